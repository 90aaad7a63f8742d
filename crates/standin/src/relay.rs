//! A TCP relay on loopback that impairs its connections on demand.

use std::io::{self, ErrorKind, Read, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex, PoisonError};
use std::thread::JoinHandle;
use std::time::Duration;

use socket2::SockRef;

/// Interval at which an idle relay checks for a stop or a changed impairment.
const POLL_INTERVAL: Duration = Duration::from_millis(10);

/// Size of the buffer for one read and write, in bytes.
const CHUNK_BYTES: usize = 16 << 10;

/// Impairment of all connections of a relay.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Impairment {
    /// Whether bytes to the server are held back.
    pub blocks_to_server: bool,
    /// Whether bytes to the clients are held back.
    pub blocks_to_client: bool,
    /// Delay before each chunk is forwarded.
    pub delay: Duration,
}

/// One relayed connection, with a socket on each side.
#[derive(Debug)]
struct Connection {
    client: TcpStream,
    server: TcpStream,
    /// Whether the relay discards all bytes, while both sockets stay open.
    is_blackholed: AtomicBool,
}

#[derive(Debug, Default)]
struct Shared {
    impairment: Mutex<Impairment>,
    connections: Mutex<Vec<Arc<Connection>>>,
    stop: AtomicBool,
    bytes_forwarded: AtomicU64,
}

/// A running relay in front of one port of a server.
#[derive(Debug)]
pub struct Relay {
    shared: Arc<Shared>,
    acceptor: Option<JoinHandle<()>>,
}

impl Relay {
    /// Starts to relay connections from `address` to `server`.
    ///
    /// # Errors
    ///
    /// Returns an error if the address cannot be bound.
    pub fn bind(address: SocketAddr, server: SocketAddr) -> io::Result<Self> {
        let listener = TcpListener::bind(address)?;
        listener.set_nonblocking(true)?;
        let shared = Arc::new(Shared::default());
        let acceptor = {
            let shared = Arc::clone(&shared);
            std::thread::spawn(move || accept_connections(&listener, server, &shared))
        };
        Ok(Self { shared, acceptor: Some(acceptor) })
    }

    /// Sets the impairment of current and future connections.
    pub fn impair(&self, impairment: Impairment) {
        *lock(&self.shared.impairment) = impairment;
    }

    /// Resets the current connections.
    pub fn reset_connections(&self) {
        for connection in lock(&self.shared.connections).drain(..) {
            connection.close();
        }
    }

    /// Discards all bytes of the current connections from now on. New connections work.
    pub fn blackhole(&self) {
        for connection in lock(&self.shared.connections).iter() {
            connection.is_blackholed.store(true, Ordering::Relaxed);
        }
    }

    /// Returns the number of bytes forwarded in both directions.
    #[must_use]
    pub fn bytes_forwarded(&self) -> u64 {
        self.shared.bytes_forwarded.load(Ordering::Relaxed)
    }
}

impl Drop for Relay {
    fn drop(&mut self) {
        self.shared.stop.store(true, Ordering::Relaxed);
        self.reset_connections();
        if let Some(acceptor) = self.acceptor.take() {
            // A panic of the relay thread needs no further handling here.
            let _ = acceptor.join();
        }
    }
}

impl Connection {
    fn close(&self) {
        for socket in [&self.client, &self.server] {
            // Errors mean that the socket is closed already.
            let _ = SockRef::from(socket).set_linger(Some(Duration::ZERO));
            let _ = socket.shutdown(Shutdown::Both);
        }
    }
}

fn lock<T>(mutex: &Mutex<T>) -> std::sync::MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}

fn accept_connections(listener: &TcpListener, server: SocketAddr, shared: &Arc<Shared>) {
    while !shared.stop.load(Ordering::Relaxed) {
        match listener.accept() {
            Ok((client, _)) => {
                // If the server refuses the connection, the client's is closed.
                let _ = connect(client, server, shared);
            }
            Err(_) => std::thread::sleep(POLL_INTERVAL),
        }
    }
}

fn connect(client: TcpStream, server: SocketAddr, shared: &Arc<Shared>) -> io::Result<()> {
    client.set_nonblocking(false)?;
    let server = TcpStream::connect(server)?;
    for socket in [&client, &server] {
        socket.set_nodelay(true)?;
        socket.set_read_timeout(Some(POLL_INTERVAL))?;
    }
    let connection = Arc::new(Connection { client, server, is_blackholed: AtomicBool::new(false) });
    let mut connections = lock(&shared.connections);
    connections.retain(|connection| Arc::strong_count(connection) > 1);
    connections.push(Arc::clone(&connection));
    drop(connections);
    for is_to_server in [true, false] {
        let (shared, connection) = (Arc::clone(shared), Arc::clone(&connection));
        std::thread::spawn(move || {
            // The end of one direction closes the connection in both.
            let _ = forward(&connection, is_to_server, &shared);
            connection.close();
        });
    }
    Ok(())
}

/// Forwards the bytes of one direction until either socket closes.
fn forward(connection: &Connection, is_to_server: bool, shared: &Shared) -> io::Result<()> {
    let (mut from, mut to) = if is_to_server {
        (&connection.client, &connection.server)
    } else {
        (&connection.server, &connection.client)
    };
    let mut chunk = vec![0; CHUNK_BYTES];
    while !shared.stop.load(Ordering::Relaxed) {
        let impairment = *lock(&shared.impairment);
        if (is_to_server && impairment.blocks_to_server)
            || (!is_to_server && impairment.blocks_to_client)
        {
            std::thread::sleep(POLL_INTERVAL);
            continue;
        }
        let length = match from.read(&mut chunk) {
            Ok(0) => return Ok(()),
            Ok(length) => length,
            Err(error) if matches!(error.kind(), ErrorKind::WouldBlock | ErrorKind::TimedOut) => {
                continue;
            }
            Err(error) => return Err(error),
        };
        std::thread::sleep(impairment.delay);
        if !connection.is_blackholed.load(Ordering::Relaxed) {
            to.write_all(&chunk[..length])?;
            shared.bytes_forwarded.fetch_add(length as u64, Ordering::Relaxed);
        }
    }
    Ok(())
}
