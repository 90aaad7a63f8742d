//! Packets that an agent sends in the name of one end of a TCP connection.

use std::net::{IpAddr, SocketAddr};

use etherparse::PacketBuilder;

use super::Packet;

/// Hops that a packet of ours may take.
const HOP_LIMIT: u8 = 64;

/// Window that a probe offers, in bytes.
const PROBE_WINDOW_BYTES: u16 = 1024;

/// A TCP reset.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Reset {
    /// End in whose name the reset is sent.
    pub source: SocketAddr,
    /// End that the reset is for.
    pub destination: SocketAddr,
    /// Sequence number that the receiver expects next.
    pub sequence: u32,
    /// What it answers, for a connection that is not open.
    pub acknowledgement: Option<u32>,
}

impl Reset {
    /// Answers a packet of a connection that does not exist, as RFC 9293 section 3.10.7.1 has it.
    ///
    /// `None` for a packet that a reset must not answer: UDP, or a reset itself.
    #[must_use]
    pub fn reply_to(packet: &Packet) -> Option<Self> {
        let segment = packet.segment.filter(|segment| !segment.rst)?;
        let (sequence, acknowledgement) = match segment.acknowledgement {
            Some(expected) => (expected, None),
            None => (0, Some(segment.next())),
        };
        Some(Self {
            source: packet.destination,
            destination: packet.source,
            sequence,
            acknowledgement,
        })
    }

    /// Aborts a connection at the sequence number that the receiver expects next.
    #[must_use]
    pub const fn abort(source: SocketAddr, destination: SocketAddr, sequence: u32) -> Self {
        Self { source, destination, sequence, acknowledgement: None }
    }

    /// Bytes of the IP packet; empty where the ends are of different address families.
    #[must_use]
    pub fn encode(&self) -> Vec<u8> {
        let Some(builder) = ip(self.source, self.destination) else {
            return Vec::new();
        };
        let ports = (self.source.port(), self.destination.port());
        let builder = builder.tcp(ports.0, ports.1, self.sequence, 0).rst();
        match self.acknowledgement {
            Some(number) => write(builder.ack(number)),
            None => write(builder),
        }
    }
}

/// A TCP keep-alive: an old sequence number that a live peer answers with its state.
///
/// RFC 1122 section 4.2.3.6.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Probe {
    /// End in whose name the probe is sent.
    pub source: SocketAddr,
    /// End that is probed.
    pub destination: SocketAddr,
    /// Next sequence number of `source`.
    pub sequence: u32,
    /// Next sequence number of `destination`.
    pub acknowledgement: u32,
}

impl Probe {
    /// Bytes of the IP packet; empty where the ends are of different address families.
    #[must_use]
    pub fn encode(&self) -> Vec<u8> {
        let Some(builder) = ip(self.source, self.destination) else {
            return Vec::new();
        };
        let sequence = self.sequence.wrapping_sub(1);
        let ports = (self.source.port(), self.destination.port());
        let builder = builder.tcp(ports.0, ports.1, sequence, PROBE_WINDOW_BYTES);
        write(builder.ack(self.acknowledgement))
    }
}

fn ip(
    source: SocketAddr,
    destination: SocketAddr,
) -> Option<etherparse::PacketBuilderStep<etherparse::IpHeaders>> {
    match (source.ip(), destination.ip()) {
        (IpAddr::V4(from), IpAddr::V4(to)) => {
            Some(PacketBuilder::ipv4(from.octets(), to.octets(), HOP_LIMIT))
        }
        (IpAddr::V6(from), IpAddr::V6(to)) => {
            Some(PacketBuilder::ipv6(from.octets(), to.octets(), HOP_LIMIT))
        }
        _ => None,
    }
}

fn write(builder: etherparse::PacketBuilderStep<etherparse::TcpHeader>) -> Vec<u8> {
    let mut bytes = Vec::with_capacity(builder.size(0));
    // Writing a packet without payload to a vector cannot fail.
    if builder.write(&mut bytes, &[]).is_err() {
        bytes.clear();
    }
    bytes
}
