//! Signals that stop a daemon: the first asks for a graceful stop, the second ends it at once.

use std::future::Future;

use tokio::signal::unix::{SignalKind, signal};
use tokio::sync::watch;

/// Tells when a graceful stop was asked for.
#[derive(Debug, Clone)]
pub(crate) struct Stop(watch::Receiver<bool>);

impl Stop {
    /// Listens to SIGTERM and SIGINT.
    ///
    /// The future ends with the second signal.
    pub(crate) fn spawn() -> std::io::Result<(Self, impl Future<Output = ()>)> {
        let mut terminate = signal(SignalKind::terminate())?;
        let mut interrupt = signal(SignalKind::interrupt())?;
        let (first, receiver) = watch::channel(false);
        let second = async move {
            for _ in 0..2 {
                tokio::select! {
                    _ = terminate.recv() => {}
                    _ = interrupt.recv() => {}
                }
                first.send_replace(true);
            }
        };
        Ok((Self(receiver), second))
    }

    /// Waits for the first signal.
    pub(crate) async fn requested(&mut self) {
        // The sender lives as long as the daemon; without it there is nobody left to ask.
        if self.0.wait_for(|requested| *requested).await.is_err() {
            std::future::pending::<()>().await;
        }
    }
}
