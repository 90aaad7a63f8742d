//! HTTP endpoints of a daemon.

use std::net::SocketAddr;

use axum::Router;
use eyre::{Result, WrapErr};
use tokio::net::TcpListener;
use tokio::task::JoinHandle;

/// Handle of a running HTTP server. Dropping it stops the server.
pub(crate) struct Server(JoinHandle<()>);

impl Server {
    /// Serves on the address in the setting `key`; returns `None` if the address is not set.
    ///
    /// # Errors
    ///
    /// Returns an error with the setting and the address if the address cannot be bound.
    pub(crate) async fn bind(
        key: &str,
        address: Option<SocketAddr>,
        router: Router,
    ) -> Result<Option<Self>> {
        let Some(address) = address else { return Ok(None) };
        let listener =
            TcpListener::bind(address).await.wrap_err_with(|| format!("{key}: {address}"))?;
        Ok(Some(Self(tokio::spawn(async move {
            // `axum::serve` continues after errors of accept, so it never returns.
            let _ = axum::serve(listener, router).await;
        }))))
    }
}

impl Drop for Server {
    fn drop(&mut self) {
        self.0.abort();
    }
}
