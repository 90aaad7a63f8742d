//! Signals that stop a daemon. The first signal requests a graceful stop, the second ends the daemon
//! at once.

use std::future::Future;

use tokio::signal::unix::{SignalKind, signal};
use tokio::sync::watch;

/// Receiver of the request for a graceful stop.
#[derive(Debug, Clone)]
pub(crate) struct Stop(watch::Receiver<bool>);

impl Stop {
    /// Installs handlers of SIGTERM and SIGINT. The returned future completes with the second
    /// signal.
    pub(crate) fn spawn() -> std::io::Result<(Self, impl Future<Output = ()>)> {
        let mut terminate = signal(SignalKind::terminate())?;
        let mut interrupt = signal(SignalKind::interrupt())?;
        let (sender, receiver) = watch::channel(false);
        let interrupted = async move {
            for _ in 0..2 {
                tokio::select! {
                    _ = terminate.recv() => {}
                    _ = interrupt.recv() => {}
                }
                sender.send_replace(true);
            }
        };
        Ok((Self(receiver), interrupted))
    }

    /// Waits for the first signal.
    pub(crate) async fn requested(&mut self) {
        // The sender lives as long as the daemon. Without a sender no stop can be requested.
        if self.0.wait_for(|requested| *requested).await.is_err() {
            std::future::pending::<()>().await;
        }
    }
}
