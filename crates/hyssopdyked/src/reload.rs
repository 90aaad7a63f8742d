//! Reload of settings while a daemon runs.
//!
//! The file is read again on SIGHUP, and when a poll finds that its content has changed. Only the
//! addresses of control take effect at once; all other settings need a restart. A file with faults
//! is reported and ignored.

use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::time::Duration;

use slog::{info, warn};
use tokio::signal::unix::{SignalKind, signal};
use tokio::sync::watch;
use tokio::time::interval;

use crate::log::Events;
use crate::settings::{Role, Settings};

/// Interval at which the file is polled. A change is found within half of the time in which other
/// changes of the system come into force.
const POLL_INTERVAL: Duration = Duration::from_millis(1500);

/// Addresses of control in the current settings.
pub(crate) type ControlAddresses = watch::Receiver<Vec<SocketAddr>>;

/// Spawns a task that watches a settings file until the daemon ends.
pub(crate) fn spawn<R: Role + Send + Sync + 'static>(
    path: &Path,
    settings: &Settings<R>,
    events: Events,
) -> std::io::Result<ControlAddresses> {
    let (sender, control) = watch::channel(settings.common.cluster.control.clone());
    let mut hangup = signal(SignalKind::hangup())?;
    let path: PathBuf = path.into();
    let mut content = std::fs::read(&path).ok();
    tokio::spawn(async move {
        let mut polls = interval(POLL_INTERVAL);
        loop {
            let is_signaled = tokio::select! {
                _ = hangup.recv() => true,
                _ = polls.tick() => false,
            };
            let new_content = std::fs::read(&path).ok();
            if !is_signaled && (new_content == content || new_content.is_none()) {
                continue;
            }
            content = new_content;
            reload::<R>(&path, &sender, &events);
        }
    });
    Ok(control)
}

fn reload<R: Role>(path: &Path, control: &watch::Sender<Vec<SocketAddr>>, events: &Events) {
    match Settings::<R>::open(path) {
        Ok(settings) => {
            let new = settings.common.cluster.control;
            let is_changed = control.send_if_modified(|current| {
                let is_changed = *current != new;
                current.clone_from(&new);
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
