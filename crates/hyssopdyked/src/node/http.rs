//! HTTP endpoints of a daemon.

use std::net::SocketAddr;

use axum::Router;
use eyre::{Result, WrapErr};
use tokio::net::TcpListener;
use tokio::task::JoinHandle;

/// A running HTTP server, which ends with this handle.
pub(crate) struct Server(JoinHandle<()>);

impl Server {
    /// Binds the address that the setting `key` names, if it does, and serves there.
    pub(crate) async fn bind(
        key: &str,
        address: Option<SocketAddr>,
        router: Router,
    ) -> Result<Option<Self>> {
        let Some(address) = address else { return Ok(None) };
        let listener =
            TcpListener::bind(address).await.wrap_err_with(|| format!("{key}: {address}"))?;
        Ok(Some(Self(tokio::spawn(async move {
            // Accepting goes on after every error, so that serving never ends.
            let _ = axum::serve(listener, router).await;
        }))))
    }
}

impl Drop for Server {
    fn drop(&mut self) {
        self.0.abort();
    }
}
