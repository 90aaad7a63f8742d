//! Datagram sockets: sealed messages between daemons, and bare IP packets at the borders.

use std::net::SocketAddr;

use bytes::{Bytes, BytesMut};
use hyssopdyke_wire::datagram::Datagram;
use hyssopdyke_wire::{Error, Key};
use tokio::net::UdpSocket;

/// Bytes of the longest datagram that is read; the rest of a longer one is cut off.
const DATAGRAM_BYTES: usize = 4096;

/// Memory that is taken for received datagrams at a time.
const CHUNK_BYTES: usize = 64 * DATAGRAM_BYTES;

/// Bytes that a socket buffers in each direction.
const SOCKET_BYTES: usize = 4 << 20;

/// A socket that carries IP packets in UDP, without a header of its own (the FOU form of Linux).
pub(crate) struct Tunnel {
    socket: UdpSocket,
    chunk: BytesMut,
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
        Ok(Self { socket, chunk: BytesMut::new() })
    }

    /// Address that the socket is bound to.
    pub(crate) fn local_addr(&self) -> std::io::Result<SocketAddr> {
        self.socket.local_addr()
    }

    /// Waits until there may be something to take.
    pub(crate) async fn readable(&self) -> std::io::Result<()> {
        self.socket.readable().await
    }

    /// Takes a datagram that has arrived.
    pub(crate) fn take(&mut self) -> std::io::Result<Option<(Bytes, SocketAddr)>> {
        if self.chunk.capacity() < DATAGRAM_BYTES {
            self.chunk.reserve(CHUNK_BYTES);
        }
        match self.socket.try_recv_buf_from(&mut self.chunk) {
            Ok((_, from)) => Ok(Some((self.chunk.split().freeze(), from))),
            Err(error) if is_transient(&error) => Ok(None),
            Err(error) => Err(error),
        }
    }

    /// Sends a datagram; false if it was lost at once.
    pub(crate) fn send(&self, bytes: &[u8], to: SocketAddr) -> bool {
        self.socket.try_send_to(bytes, to).is_ok()
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
    pub(crate) fn flow_keys(&self) -> (u64, u64) {
        self.key.flow_keys()
    }

    /// Takes a message that has arrived, or what is wrong with it.
    pub(crate) fn take(
        &mut self,
    ) -> std::io::Result<Option<(Result<Datagram, Error>, SocketAddr)>> {
        let taken = self.tunnel.take()?;
        Ok(taken.map(|(bytes, from)| (self.key.open(bytes), from)))
    }

    /// Sends a message; false if it was lost at once.
    pub(crate) fn send(&mut self, message: &Datagram, to: SocketAddr) -> bool {
        self.buffer.clear();
        self.key.seal(message, &mut self.buffer);
        self.tunnel.send(&self.buffer, to)
    }
}
