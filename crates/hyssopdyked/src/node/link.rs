//! Datagram sockets: sealed messages between daemons, and bare IP packets at the borders.

use std::collections::VecDeque;
use std::io::IoSliceMut;
use std::net::{IpAddr, Ipv4Addr, SocketAddr};

use bytes::{Bytes, BytesMut};
use hyssopdyke_wire::datagram::Datagram;
use hyssopdyke_wire::{Error, Key};
use quinn_udp::{RecvMeta, UdpSockRef, UdpSocketState};
use tokio::io::Interest;
use tokio::net::UdpSocket;

/// Bytes for one read. The kernel may join datagrams of one sender up to this length.
const READ_BYTES: usize = 1 << 16;

/// Reads in one system call.
const READS: usize = 16;

/// Bytes that a socket buffers in each direction.
const SOCKET_BYTES: usize = 4 << 20;

/// A socket that carries IP packets in UDP, without a header of its own (the FOU form of Linux).
pub(crate) struct Tunnel {
    socket: UdpSocket,
    state: UdpSocketState,
    buffer: Box<[u8]>,
    /// Datagrams that were read and not taken yet.
    read: VecDeque<(Bytes, SocketAddr)>,
}

impl Tunnel {
    /// Binds a socket.
    pub(crate) fn bind(address: SocketAddr) -> std::io::Result<Self> {
        let domain = socket2::Domain::for_address(address);
        let socket = socket2::Socket::new(domain, socket2::Type::DGRAM, None)?;
        socket.set_nonblocking(true)?;
        // The kernel grants less where the VM's limit is lower.
        socket.set_recv_buffer_size(SOCKET_BYTES)?;
        socket.set_send_buffer_size(SOCKET_BYTES)?;
        socket.bind(&address.into())?;
        let socket = UdpSocket::from_std(socket.into())?;
        let state = UdpSocketState::new(UdpSockRef::from(&socket))?;
        let buffer = vec![0; READS * READ_BYTES].into_boxed_slice();
        Ok(Self { socket, state, buffer, read: VecDeque::new() })
    }

    /// Address that the socket is bound to.
    pub(crate) fn local_addr(&self) -> std::io::Result<SocketAddr> {
        self.socket.local_addr()
    }

    /// Waits until there may be something to take.
    pub(crate) async fn readable(&self) -> std::io::Result<()> {
        if self.read.is_empty() { self.socket.readable().await } else { Ok(()) }
    }

    /// Takes a datagram that has arrived.
    pub(crate) fn try_recv(&mut self) -> std::io::Result<Option<(Bytes, SocketAddr)>> {
        if self.read.is_empty() {
            self.fill()?;
        }
        Ok(self.read.pop_front())
    }

    /// Sends a datagram; false if it was lost at once.
    pub(crate) fn send(&self, bytes: &[u8], to: SocketAddr) -> bool {
        self.socket.try_send_to(bytes, to).is_ok()
    }

    /// Reads what has arrived, several datagrams in one system call.
    fn fill(&mut self) -> std::io::Result<()> {
        let mut metas = [RecvMeta::default(); READS];
        let (socket, state) = (&self.socket, &self.state);
        let mut parts = self.buffer.chunks_mut(READ_BYTES);
        let mut slices: [IoSliceMut<'_>; READS] =
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
                self.read.push_back((chunk.split().freeze(), meta.addr));
            }
        }
        Ok(())
    }
}

/// A full socket, or the echo of an earlier datagram to a peer that is gone.
fn is_transient(error: &std::io::Error) -> bool {
    use std::io::ErrorKind::{ConnectionRefused, ConnectionReset, Interrupted, WouldBlock};
    matches!(error.kind(), WouldBlock | ConnectionRefused | ConnectionReset | Interrupted)
}

/// A socket that carries sealed messages between daemons.
pub(crate) struct Link {
    tunnel: Tunnel,
    key: Key,
    buffer: BytesMut,
}

impl Link {
    /// Binds a socket.
    pub(crate) fn bind(address: SocketAddr, key: Key) -> std::io::Result<Self> {
        Ok(Self { tunnel: Tunnel::bind(address)?, key, buffer: BytesMut::new() })
    }

    /// Address that the socket is bound to.
    pub(crate) fn local_addr(&self) -> std::io::Result<SocketAddr> {
        self.tunnel.local_addr()
    }

    /// Waits until there may be something to take.
    pub(crate) async fn readable(&self) -> std::io::Result<()> {
        self.tunnel.readable().await
    }

    /// Keys of the hash of flows, the same in every process that shares the passphrase.
    pub(crate) fn flow_hash_keys(&self) -> (u64, u64) {
        self.key.flow_hash_keys()
    }

    /// Takes a message that has arrived, or what is wrong with it.
    pub(crate) fn try_recv(
        &mut self,
    ) -> std::io::Result<Option<(Result<Datagram, Error>, SocketAddr)>> {
        let taken = self.tunnel.try_recv()?;
        Ok(taken.map(|(bytes, from)| (self.key.open(bytes), from)))
    }

    /// Sends a message; false if it was lost at once.
    pub(crate) fn send(&mut self, message: &Datagram, to: SocketAddr) -> bool {
        self.buffer.clear();
        self.key.seal(message, &mut self.buffer);
        self.tunnel.send(&self.buffer, to)
    }
}

/// An entry's address as it travels with a packet; only IPv4 fits.
pub(crate) fn encode_address(address: SocketAddr) -> (u32, u32) {
    match address.ip() {
        IpAddr::V4(ip) => (u32::from(ip), u32::from(address.port())),
        IpAddr::V6(_) => (0, 0),
    }
}

/// An entry's address that has come with a packet.
pub(crate) fn decode_address(address: u32, port: u32) -> Option<SocketAddr> {
    let port = u16::try_from(port).ok().filter(|port| *port != 0)?;
    Some(SocketAddr::from((Ipv4Addr::from(address), port)))
}
