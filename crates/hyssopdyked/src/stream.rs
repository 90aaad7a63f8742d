//! TCP connections between the system's own processes.
//!
//! A connection may go silent for good while new ones work, as something between the two ends has
//! lost track of it. What was sent and is not acknowledged in time closes such a connection, so
//! that its owner opens another.

use std::net::SocketAddr;
use std::time::Duration;

use socket2::SockRef;
use tokio::net::TcpStream;
use tokio::time::timeout;

/// Time in which the other end's kernel must acknowledge what was sent: several times the longest
/// way and back, and below the length of a lease.
const UNACKNOWLEDGED: Duration = Duration::from_millis(1200);

/// Time for connecting: several times the longest way and back, and short, since VMs without power do
/// not answer and the next attempt may meet one that is back.
const CONNECTING: Duration = Duration::from_millis(100);

/// Opens a connection, or gives up after `CONNECTING`.
pub(crate) async fn connect(address: SocketAddr) -> std::io::Result<TcpStream> {
    let connecting = timeout(CONNECTING, TcpStream::connect(address));
    let stream = connecting.await.map_err(|_| std::io::ErrorKind::TimedOut)??;
    set_options(&stream)?;
    Ok(stream)
}

/// Prepares a connection that was accepted or opened.
pub(crate) fn set_options(stream: &TcpStream) -> std::io::Result<()> {
    stream.set_nodelay(true)?;
    SockRef::from(stream).set_tcp_user_timeout(Some(UNACKNOWLEDGED))
}
