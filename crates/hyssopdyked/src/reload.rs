//! Settings that change while a daemon runs.
//!
//! A file is read again on SIGHUP, and when its content is seen to have changed without a signal.
//! What takes effect at once are the addresses of control; the rest is taken at the next start. A
//! file with faults is reported and changes nothing.

use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::time::Duration;

use slog::{info, warn};
use tokio::signal::unix::{SignalKind, signal};
use tokio::sync::watch;
use tokio::time::interval;

use crate::log::Events;
use crate::settings::{Role, Settings};

/// Time between two looks at the file: a changed file shows within half of the time in which
/// other changes of the system are in force.
const LOOK: Duration = Duration::from_millis(1500);

/// Addresses of control, as of the settings that hold now.
pub(crate) type ControlAddresses = watch::Receiver<Vec<SocketAddr>>;

/// Follows a settings file for as long as the daemon runs.
pub(crate) fn spawn<R: Role + Send + Sync + 'static>(
    path: &Path,
    settings: &Settings<R>,
    events: Events,
) -> std::io::Result<ControlAddresses> {
    let (sender, control) = watch::channel(settings.common.cluster.control.clone());
    let mut hangup = signal(SignalKind::hangup())?;
    let path: PathBuf = path.into();
    let mut known = std::fs::read(&path).ok();
    tokio::spawn(async move {
        let mut looks = interval(LOOK);
        loop {
            let is_asked = tokio::select! {
                _ = hangup.recv() => true,
                _ = looks.tick() => false,
            };
            let found = std::fs::read(&path).ok();
            if !is_asked && (found == known || found.is_none()) {
                continue;
            }
            known = found;
            follow::<R>(&path, &sender, &events);
        }
    });
    Ok(control)
}

fn follow<R: Role>(path: &Path, control: &watch::Sender<Vec<SocketAddr>>, events: &Events) {
    match Settings::<R>::open(path) {
        Ok(settings) => {
            let new = settings.common.cluster.control;
            let is_changed = control.send_if_modified(|held| {
                let is_changed = *held != new;
                held.clone_from(&new);
                is_changed
            });
            info!(events.logger(), "settings reloaded";
                "control" => ?new, "control_changed" => is_changed);
        }
        Err(error) => {
            warn!(events.logger(), "settings not reloaded"; "reason" => %error);
        }
    }
}
