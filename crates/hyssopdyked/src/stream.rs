//! TCP connections between the processes of the system.
//!
//! A connection may stop working for good while new connections work, because a middlebox has lost
//! its state. A timeout for unacknowledged data closes such a connection, so that its owner opens
//! another.

use std::net::SocketAddr;
use std::time::Duration;

use socket2::SockRef;
use tokio::net::TcpStream;
use tokio::time::timeout;

/// Timeout for the acknowledgement of sent data by the peer's kernel: several times the longest
/// round trip, and below the length of a lease.
const USER_TIMEOUT: Duration = Duration::from_millis(1200);

/// Timeout for connecting: several times the longest round trip. It is short because a VM without
/// power does not answer, and the next attempt may reach a VM that is back.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(100);

/// Opens a connection. Fails with `TimedOut` after `CONNECT_TIMEOUT`.
pub(crate) async fn connect(address: SocketAddr) -> std::io::Result<TcpStream> {
    let connecting = timeout(CONNECT_TIMEOUT, TcpStream::connect(address));
    let stream = connecting.await.map_err(|_| std::io::ErrorKind::TimedOut)??;
    set_options(&stream)?;
    Ok(stream)
}

/// Sets the socket options of an accepted or opened connection.
pub(crate) fn set_options(stream: &TcpStream) -> std::io::Result<()> {
    stream.set_nodelay(true)?;
    SockRef::from(stream).set_tcp_user_timeout(Some(USER_TIMEOUT))
}
