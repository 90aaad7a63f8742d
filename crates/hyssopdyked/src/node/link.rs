//! Datagram sockets: sealed messages between daemons, and plain IP packets to and from the fabric
//! and upstreams.

use std::collections::VecDeque;
use std::io::IoSliceMut;
use std::net::{IpAddr, Ipv4Addr, SocketAddr};

use bytes::{Bytes, BytesMut};
use hyssopdyke_wire::datagram::Datagram;
use hyssopdyke_wire::{Error, Key};
use quinn_udp::{RecvMeta, UdpSockRef, UdpSocketState};
use tokio::io::Interest;
use tokio::net::UdpSocket;

/// Buffer size of one read in bytes. The kernel may coalesce datagrams of one sender up to this
/// length.
const READ_BYTES: usize = 1 << 16;

/// Number of reads in one system call.
const READS_PER_CALL: usize = 16;

/// Size of a socket's send and receive buffers in bytes.
const SOCKET_BUFFER_BYTES: usize = 4 << 20;

/// A socket that sends and receives IP packets in UDP without a further header (Linux FOU).
pub(crate) struct Tunnel {
    socket: UdpSocket,
    state: UdpSocketState,
    buffer: Box<[u8]>,
    /// Datagrams that were read from the socket but not returned yet.
    received: VecDeque<(Bytes, SocketAddr)>,
}

impl Tunnel {
    /// Binds a socket.
    ///
    /// # Errors
    ///
    /// Returns the error of the system if the socket cannot be created or bound.
    pub(crate) fn bind(address: SocketAddr) -> std::io::Result<Self> {
        let domain = socket2::Domain::for_address(address);
        let socket = socket2::Socket::new(domain, socket2::Type::DGRAM, None)?;
        socket.set_nonblocking(true)?;
        // The kernel sets smaller buffers if the VM's limit is lower.
        socket.set_recv_buffer_size(SOCKET_BUFFER_BYTES)?;
        socket.set_send_buffer_size(SOCKET_BUFFER_BYTES)?;
        socket.bind(&address.into())?;
        let socket = UdpSocket::from_std(socket.into())?;
        let state = UdpSocketState::new(UdpSockRef::from(&socket))?;
        let buffer = vec![0; READS_PER_CALL * READ_BYTES].into_boxed_slice();
        Ok(Self { socket, state, buffer, received: VecDeque::new() })
    }

    /// Returns the address to which the socket is bound.
    pub(crate) fn local_addr(&self) -> std::io::Result<SocketAddr> {
        self.socket.local_addr()
    }

    /// Waits until a datagram may be available.
    pub(crate) async fn readable(&self) -> std::io::Result<()> {
        if self.received.is_empty() { self.socket.readable().await } else { Ok(()) }
    }

    /// Returns the next received datagram and its sender, if there is one.
    pub(crate) fn try_recv(&mut self) -> std::io::Result<Option<(Bytes, SocketAddr)>> {
        if self.received.is_empty() {
            self.fill()?;
        }
        Ok(self.received.pop_front())
    }

    /// Sends a datagram; returns false if the socket did not accept it.
    pub(crate) fn send(&self, bytes: &[u8], to: SocketAddr) -> bool {
        self.socket.try_send_to(bytes, to).is_ok()
    }

    /// Reads available datagrams, several in one system call.
    fn fill(&mut self) -> std::io::Result<()> {
        let mut metas = [RecvMeta::default(); READS_PER_CALL];
        let (socket, state) = (&self.socket, &self.state);
        let mut parts = self.buffer.chunks_mut(READ_BYTES);
        let mut slices: [IoSliceMut<'_>; READS_PER_CALL] =
            std::array::from_fn(|_| IoSliceMut::new(parts.next().unwrap_or_default()));
        let result = socket.try_io(Interest::READABLE, || {
            state.recv(UdpSockRef::from(socket), &mut slices, &mut metas)
        });
        let count = match result {
            Ok(count) => count,
            Err(error) if is_transient(&error) => 0,
            Err(error) => return Err(error),
        };
        let metas = &metas[..count];
        let mut chunk = BytesMut::with_capacity(metas.iter().map(|meta| meta.len).sum());
        for (meta, part) in metas.iter().zip(self.buffer.chunks(READ_BYTES)) {
            for datagram in part[..meta.len].chunks(meta.stride.max(1)) {
                chunk.extend_from_slice(datagram);
                self.received.push_back((chunk.split().freeze(), meta.addr));
            }
        }
        Ok(())
    }
}

/// Returns whether a receive error is temporary: no datagram is available, or an earlier datagram
/// was sent to an unreachable peer.
fn is_transient(error: &std::io::Error) -> bool {
    use std::io::ErrorKind::{ConnectionRefused, ConnectionReset, Interrupted, WouldBlock};
    matches!(error.kind(), WouldBlock | ConnectionRefused | ConnectionReset | Interrupted)
}

/// A socket for sealed messages between daemons.
pub(crate) struct Link {
    tunnel: Tunnel,
    key: Key,
    buffer: BytesMut,
}

impl Link {
    /// Binds a socket whose messages are sealed with `key`.
    ///
    /// # Errors
    ///
    /// Returns the error of the system if the socket cannot be created or bound.
    pub(crate) fn bind(address: SocketAddr, key: Key) -> std::io::Result<Self> {
        Ok(Self { tunnel: Tunnel::bind(address)?, key, buffer: BytesMut::new() })
    }

    /// Returns the address to which the socket is bound.
    pub(crate) fn local_addr(&self) -> std::io::Result<SocketAddr> {
        self.tunnel.local_addr()
    }

    /// Waits until a datagram may be available.
    pub(crate) async fn readable(&self) -> std::io::Result<()> {
        self.tunnel.readable().await
    }

    /// Returns the keys of the flow hash, which are equal in all processes with the same passphrase.
    pub(crate) fn flow_hash_keys(&self) -> (u64, u64) {
        self.key.flow_hash_keys()
    }

    /// Returns the next received message, or the error in it, with its sender.
    pub(crate) fn try_recv(
        &mut self,
    ) -> std::io::Result<Option<(Result<Datagram, Error>, SocketAddr)>> {
        let received = self.tunnel.try_recv()?;
        Ok(received.map(|(bytes, from)| (self.key.open(bytes), from)))
    }

    /// Sends a message; returns false if the socket did not accept it.
    pub(crate) fn send(&mut self, message: &Datagram, to: SocketAddr) -> bool {
        self.buffer.clear();
        self.key.seal(message, &mut self.buffer);
        self.tunnel.send(&self.buffer, to)
    }
}

/// Encodes an entry's address for a message. Only IPv4 fits: an IPv6 address becomes `(0, 0)`.
pub(crate) fn encode_address(address: SocketAddr) -> (u32, u32) {
    match address.ip() {
        IpAddr::V4(ip) => (u32::from(ip), u32::from(address.port())),
        IpAddr::V6(_) => (0, 0),
    }
}

/// Decodes an entry's address from a message; returns `None` if the port is zero or invalid.
pub(crate) fn decode_address(address: u32, port: u32) -> Option<SocketAddr> {
    let port = u16::try_from(port).ok().filter(|port| *port != 0)?;
    Some(SocketAddr::from((Ipv4Addr::from(address), port)))
}
