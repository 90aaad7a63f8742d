//! A user-space TCP/IP stack whose packets are carried in UDP.

use std::collections::{HashSet, VecDeque};
use std::io;
use std::net::{Ipv4Addr, SocketAddr, UdpSocket};
use std::time::{Duration, Instant};

use rustix::event::{PollFd, PollFlags, Timespec, poll};
use smoltcp::iface::{Config, Interface, SocketHandle, SocketSet};
use smoltcp::phy::{Device, DeviceCapabilities, Medium, RxToken, TxToken};
use smoltcp::socket::tcp;
use smoltcp::time::Instant as StackInstant;
use smoltcp::wire::{HardwareAddress, IpAddress, IpCidr};

/// Largest inner packet in bytes: an Ethernet payload of 1500 less the outer headers.
const MTU: usize = 1400;

/// Largest datagram in bytes.
const DATAGRAM_BYTES: usize = 2048;

/// Largest number of datagrams read from the socket between two polls of the stack.
const BATCH: usize = 256;

/// Packets queued into and out of the stack.
#[derive(Debug, Default)]
pub(crate) struct Queues {
    incoming: VecDeque<Vec<u8>>,
    outgoing: VecDeque<Vec<u8>>,
}

pub(crate) struct Received(Vec<u8>);

impl RxToken for Received {
    fn consume<R, F: FnOnce(&[u8]) -> R>(self, read: F) -> R {
        read(&self.0)
    }
}

pub(crate) struct Outgoing<'a>(&'a mut VecDeque<Vec<u8>>);

impl TxToken for Outgoing<'_> {
    fn consume<R, F: FnOnce(&mut [u8]) -> R>(self, length: usize, fill: F) -> R {
        let mut packet = vec![0; length];
        let result = fill(&mut packet);
        self.0.push_back(packet);
        result
    }
}

impl Device for Queues {
    type RxToken<'a> = Received;
    type TxToken<'a> = Outgoing<'a>;

    fn receive(&mut self, _: StackInstant) -> Option<(Received, Outgoing<'_>)> {
        let packet = self.incoming.pop_front()?;
        Some((Received(packet), Outgoing(&mut self.outgoing)))
    }

    fn transmit(&mut self, _: StackInstant) -> Option<Outgoing<'_>> {
        Some(Outgoing(&mut self.outgoing))
    }

    fn capabilities(&self) -> DeviceCapabilities {
        let mut capabilities = DeviceCapabilities::default();
        capabilities.medium = Medium::Ip;
        capabilities.max_transmission_unit = MTU;
        capabilities
    }
}

/// A stack with its TCP sockets and the UDP socket that carries its packets.
pub(crate) struct Stack {
    pub(crate) sockets: SocketSet<'static>,
    interface: Interface,
    queues: Queues,
    tunnel: UdpSocket,
    start: Instant,
}

impl Stack {
    /// Creates a stack with one address whose packets arrive on `tunnel`.
    pub(crate) fn new(address: Ipv4Addr, tunnel: UdpSocket, seed: u64) -> io::Result<Self> {
        let start = Instant::now();
        let mut queues = Queues::default();
        let mut config = Config::new(HardwareAddress::Ip);
        config.random_seed = seed;
        let mut interface = Interface::new(config, &mut queues, StackInstant::ZERO);
        interface.update_ip_addrs(|addresses| {
            // The list has a capacity of more than one address.
            let _ = addresses.push(IpCidr::new(IpAddress::Ipv4(address), 0));
        });
        tunnel.set_nonblocking(true)?;
        let sockets = SocketSet::new(Vec::new());
        Ok(Self { sockets, interface, queues, tunnel, start })
    }

    /// Adds a TCP socket with buffers of `buffer_bytes` in each direction.
    pub(crate) fn add(&mut self, buffer_bytes: usize) -> SocketHandle {
        let buffer = || tcp::SocketBuffer::new(vec![0; buffer_bytes]);
        let mut socket = tcp::Socket::new(buffer(), buffer());
        socket.set_nagle_enabled(false);
        self.sockets.add(socket)
    }

    /// Returns a TCP socket.
    pub(crate) fn tcp(&mut self, handle: SocketHandle) -> &mut tcp::Socket<'static> {
        self.sockets.get_mut(handle)
    }

    /// Opens a connection. Returns false if the socket is in use or an address is invalid.
    pub(crate) fn connect(
        &mut self,
        handle: SocketHandle,
        to: (Ipv4Addr, u16),
        from_port: u16,
    ) -> bool {
        let socket = self.sockets.get_mut::<tcp::Socket<'_>>(handle);
        socket.connect(self.interface.context(), to, from_port).is_ok()
    }

    /// Returns the remote endpoints of all TCP sockets.
    pub(crate) fn remote_endpoints(&self) -> HashSet<SocketAddr> {
        let endpoints = self.sockets.iter().filter_map(|(_, socket)| match socket {
            smoltcp::socket::Socket::Tcp(socket) => socket.remote_endpoint(),
        });
        endpoints.map(|endpoint| SocketAddr::new(endpoint.addr.into(), endpoint.port)).collect()
    }

    /// Waits for packets for at most `wait` and queues them for the stack.
    ///
    /// Packets for which `inspect` returns false are dropped.
    pub(crate) fn receive(
        &mut self,
        wait: Duration,
        mut inspect: impl FnMut(&[u8]) -> bool,
    ) -> io::Result<()> {
        let mut buffer = [0; DATAGRAM_BYTES];
        self.wait_readable(wait);
        for _ in 0..BATCH {
            match self.tunnel.recv_from(&mut buffer) {
                Ok((length, _)) => {
                    if inspect(&buffer[..length]) {
                        self.queues.incoming.push_back(buffer[..length].to_vec());
                    }
                }
                Err(error) if is_transient(&error) => break,
                Err(error) => return Err(error),
            }
        }
        Ok(())
    }

    /// Waits for a packet. A socket read timeout would be rounded up to kernel ticks.
    fn wait_readable(&self, wait: Duration) {
        let nanos = i64::from(wait.subsec_nanos());
        let timeout = Timespec { tv_sec: wait.as_secs().cast_signed(), tv_nsec: nanos };
        let mut readable = [PollFd::new(&self.tunnel, PollFlags::IN)];
        // An interrupted wait only returns early.
        let _ = poll(&mut readable, Some(&timeout));
    }

    /// Receives and discards packets for at most `wait`. Returns their number.
    pub(crate) fn discard(&self, wait: Duration) -> u64 {
        let mut buffer = [0; DATAGRAM_BYTES];
        let mut count = 0;
        self.wait_readable(wait);
        while count < BATCH as u64 && self.tunnel.recv(&mut buffer).is_ok() {
            count += 1;
        }
        count
    }

    /// Polls the stack and sends its packets to `to`.
    pub(crate) fn poll(&mut self, to: SocketAddr) {
        let now = self.now();
        self.interface.poll(now, &mut self.queues, &mut self.sockets);
        for packet in self.queues.outgoing.drain(..) {
            // The stack retransmits lost packets.
            let _ = self.tunnel.send_to(&packet, to);
        }
    }

    fn now(&self) -> StackInstant {
        StackInstant::from_micros(self.start.elapsed().as_micros() as i64)
    }
}

fn is_transient(error: &io::Error) -> bool {
    use io::ErrorKind::{ConnectionRefused, Interrupted, TimedOut, WouldBlock};
    matches!(error.kind(), WouldBlock | TimedOut | Interrupted | ConnectionRefused)
}
