//! A relay of TCP connections on loopback, which harms them on demand.

use std::io::{self, ErrorKind, Read, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex, PoisonError};
use std::thread::JoinHandle;
use std::time::Duration;

use socket2::SockRef;

/// Time after which an idle relay looks at what it shall do.
const POLL_INTERVAL: Duration = Duration::from_millis(10);

/// Bytes that are passed on at a time.
const CHUNK_BYTES: usize = 16 << 10;

/// What a relay does to all bytes that pass it.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Impairment {
    /// Nothing passes toward the server.
    pub blocks_to_server: bool,
    /// Nothing passes toward the clients.
    pub blocks_to_client: bool,
    /// Each chunk is late by this.
    pub delay: Duration,
}

/// One connection, in two halves.
#[derive(Debug)]
struct Connection {
    client: TcpStream,
    server: TcpStream,
    /// Both ends are alive and hear nothing of each other any more.
    is_blackholed: AtomicBool,
}

#[derive(Debug, Default)]
struct Shared {
    impairment: Mutex<Impairment>,
    connections: Mutex<Vec<Arc<Connection>>>,
    stop: AtomicBool,
    bytes_forwarded: AtomicU64,
}

/// A running relay before one port of a server.
#[derive(Debug)]
pub struct Relay {
    shared: Arc<Shared>,
    acceptor: Option<JoinHandle<()>>,
}

impl Relay {
    /// Relays what comes to `address` to a server.
    ///
    /// # Errors
    ///
    /// If the address cannot be bound.
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

    /// Sets what is done to all bytes from now on.
    pub fn impair(&self, impairment: Impairment) {
        *lock(&self.shared.impairment) = impairment;
    }

    /// Resets the connections of now.
    pub fn reset_connections(&self) {
        for connection in lock(&self.shared.connections).drain(..) {
            connection.close();
        }
    }

    /// Lets the connections of now fall silent for good, while new ones work.
    pub fn blackhole(&self) {
        for connection in lock(&self.shared.connections).iter() {
            connection.is_blackholed.store(true, Ordering::Relaxed);
        }
    }

    /// Bytes that were passed on.
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
            // A relay that has panicked has relayed nothing since.
            let _ = acceptor.join();
        }
    }
}

impl Connection {
    fn close(&self) {
        for end in [&self.client, &self.server] {
            // An end that has closed already needs nothing.
            let _ = SockRef::from(end).set_linger(Some(Duration::ZERO));
            let _ = end.shutdown(Shutdown::Both);
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
                // A server that is gone refuses, and so does the relay.
                let _ = connect(client, server, shared);
            }
            Err(_) => std::thread::sleep(POLL_INTERVAL),
        }
    }
}

fn connect(client: TcpStream, server: SocketAddr, shared: &Arc<Shared>) -> io::Result<()> {
    client.set_nonblocking(false)?;
    let server = TcpStream::connect(server)?;
    for end in [&client, &server] {
        end.set_nodelay(true)?;
        end.set_read_timeout(Some(POLL_INTERVAL))?;
    }
    let connection = Arc::new(Connection { client, server, is_blackholed: AtomicBool::new(false) });
    let mut connections = lock(&shared.connections);
    connections.retain(|connection| Arc::strong_count(connection) > 1);
    connections.push(Arc::clone(&connection));
    drop(connections);
    for is_to_server in [true, false] {
        let (shared, connection) = (Arc::clone(shared), Arc::clone(&connection));
        std::thread::spawn(move || {
            // Whatever ends one half ends the other, too.
            let _ = forward(&connection, is_to_server, &shared);
            connection.close();
        });
    }
    Ok(())
}

/// Passes the bytes of one half on until one end closes.
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
