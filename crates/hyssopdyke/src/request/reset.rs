//! Packets that an agent sends on behalf of one end of a TCP connection.

use std::net::{IpAddr, SocketAddr};

use etherparse::PacketBuilder;

use super::Packet;

/// Hop limit (IPv4 TTL) of the packets.
const HOP_LIMIT: u8 = 64;

/// TCP window advertised in a probe, in bytes.
const PROBE_WINDOW_BYTES: u16 = 1024;

/// A TCP reset.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Reset {
    /// End on whose behalf the reset is sent.
    pub source: SocketAddr,
    /// End that receives the reset.
    pub destination: SocketAddr,
    /// Sequence number that the receiver expects next.
    pub sequence: u32,
    /// Acknowledgement number, for a connection that is not open.
    pub acknowledgement: Option<u32>,
}

impl Reset {
    /// Creates the reply to a packet of a connection that does not exist (RFC 9293 section
    /// 3.10.7.1).
    ///
    /// Returns `None` for packets that must not be answered with a reset: UDP and resets.
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

    /// Creates a reset that aborts a connection. `sequence` is the sequence number that the
    /// receiver expects next.
    #[must_use]
    pub const fn abort(source: SocketAddr, destination: SocketAddr, sequence: u32) -> Self {
        Self { source, destination, sequence, acknowledgement: None }
    }

    /// Encodes the IP packet. The result is empty if the ends have different address families.
    #[must_use]
    pub fn encode(&self) -> Vec<u8> {
        let Some(builder) = ip_builder(self.source, self.destination) else {
            return Vec::new();
        };
        let ports = (self.source.port(), self.destination.port());
        let builder = builder.tcp(ports.0, ports.1, self.sequence, 0).rst();
        match self.acknowledgement {
            Some(number) => encode_without_payload(builder.ack(number)),
            None => encode_without_payload(builder),
        }
    }
}

/// A TCP keep-alive probe (RFC 1122 section 4.2.3.6).
///
/// It carries an old sequence number, which a live receiver answers with its current numbers.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Probe {
    /// End on whose behalf the probe is sent.
    pub source: SocketAddr,
    /// End that is probed.
    pub destination: SocketAddr,
    /// Next sequence number of `source`.
    pub sequence: u32,
    /// Next sequence number of `destination`.
    pub acknowledgement: u32,
}

impl Probe {
    /// Encodes the IP packet. The result is empty if the ends have different address families.
    #[must_use]
    pub fn encode(&self) -> Vec<u8> {
        let Some(builder) = ip_builder(self.source, self.destination) else {
            return Vec::new();
        };
        let sequence = self.sequence.wrapping_sub(1);
        let ports = (self.source.port(), self.destination.port());
        let builder = builder.tcp(ports.0, ports.1, sequence, PROBE_WINDOW_BYTES);
        encode_without_payload(builder.ack(self.acknowledgement))
    }
}

fn ip_builder(
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

fn encode_without_payload(
    builder: etherparse::PacketBuilderStep<etherparse::TcpHeader>,
) -> Vec<u8> {
    let mut bytes = Vec::with_capacity(builder.size(0));
    // Writing a packet without payload to a vector cannot fail.
    if builder.write(&mut bytes, &[]).is_err() {
        bytes.clear();
    }
    bytes
}
