//! Headers of one inner IP packet.

use std::net::{IpAddr, SocketAddr};

use etherparse::{NetSlice, SlicedPacket, TransportSlice};

use crate::connection::{Flow, Protocol};

/// Errors of parsing a packet, which is then not forwarded.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
#[derive(thiserror::Error)]
pub enum ParseError {
    /// The bytes are not an IP packet, or end within its headers.
    #[error("malformed or truncated IP packet")]
    Malformed,
    /// The packet is a fragment, which has no ports or only a part of the segment.
    #[error("fragmented IP packet")]
    Fragment,
    /// The transport protocol is neither TCP nor UDP.
    #[error("transport protocol is neither TCP nor UDP")]
    Transport,
}

/// Fields of a TCP segment that determine the state of a flow.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Segment {
    /// Sequence number of the first byte.
    pub sequence: u32,
    /// Acknowledgement number, if the segment has the ACK flag.
    pub acknowledgement: Option<u32>,
    /// SYN flag, which opens a connection.
    pub syn: bool,
    /// FIN flag, which closes the sender's direction.
    pub fin: bool,
    /// RST flag, which aborts the connection.
    pub rst: bool,
    /// Length of the payload in bytes.
    pub length: u32,
}

impl Segment {
    /// Returns the sequence number that follows this segment.
    #[must_use]
    pub const fn next(&self) -> u32 {
        self.sequence
            .wrapping_add(self.length)
            .wrapping_add(self.syn as u32)
            .wrapping_add(self.fin as u32)
    }

    /// Returns whether the segment opens a new connection: a SYN without an acknowledgement.
    #[must_use]
    pub const fn is_opening(&self) -> bool {
        self.syn && self.acknowledgement.is_none() && !self.rst
    }
}

/// Addresses and transport fields of one IP packet.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Packet {
    /// Source address and port.
    pub source: SocketAddr,
    /// Destination address and port.
    pub destination: SocketAddr,
    /// The TCP fields, or `None` for UDP.
    pub segment: Option<Segment>,
    /// Copies of a flow's first packet that its caller has sent before; 0 in formats without this
    /// count.
    pub earlier_copies: u32,
    /// Whether the upstream returns the packet because it has not accepted it.
    pub is_returned: bool,
}

impl Packet {
    /// Parses the headers of `bytes`, an IP packet without a link-layer header.
    ///
    /// # Errors
    ///
    /// Returns a [`ParseError`] if the packet cannot be assigned to a flow.
    pub fn parse(bytes: &[u8]) -> Result<Self, ParseError> {
        let sliced = SlicedPacket::from_ip(bytes).map_err(|_| ParseError::Malformed)?;
        let net = sliced.net.as_ref().ok_or(ParseError::Malformed)?;
        if net.ip_payload_ref().is_some_and(|payload| payload.fragmented) {
            return Err(ParseError::Fragment);
        }
        let (source, destination) = addresses(net)?;
        let (ports, segment) = match sliced.transport {
            Some(TransportSlice::Tcp(tcp)) => {
                let segment = Segment {
                    sequence: tcp.sequence_number(),
                    acknowledgement: tcp.ack().then(|| tcp.acknowledgment_number()),
                    syn: tcp.syn(),
                    fin: tcp.fin(),
                    rst: tcp.rst(),
                    length: tcp.payload().len() as u32,
                };
                ((tcp.source_port(), tcp.destination_port()), Some(segment))
            }
            Some(TransportSlice::Udp(udp)) => ((udp.source_port(), udp.destination_port()), None),
            _ => return Err(ParseError::Transport),
        };
        Ok(Self {
            source: SocketAddr::new(source, ports.0),
            destination: SocketAddr::new(destination, ports.1),
            segment,
            earlier_copies: 0,
            is_returned: false,
        })
    }

    /// Returns the transport protocol of the packet.
    #[must_use]
    pub const fn protocol(&self) -> Protocol {
        match self.segment {
            Some(_) => Protocol::Tcp,
            None => Protocol::Udp,
        }
    }

    /// Returns the flow of a packet that a caller sent.
    #[must_use]
    pub const fn inbound_flow(&self) -> Flow {
        Flow { protocol: self.protocol(), caller: self.source, service: self.destination }
    }

    /// Returns the flow of a packet that an upstream sent.
    #[must_use]
    pub const fn outbound_flow(&self) -> Flow {
        Flow { protocol: self.protocol(), caller: self.destination, service: self.source }
    }
}

fn addresses(net: &NetSlice<'_>) -> Result<(IpAddr, IpAddr), ParseError> {
    match net {
        NetSlice::Ipv4(slice) => {
            let header = slice.header();
            Ok((header.source_addr().into(), header.destination_addr().into()))
        }
        NetSlice::Ipv6(slice) => {
            let header = slice.header();
            Ok((header.source_addr().into(), header.destination_addr().into()))
        }
        NetSlice::Arp(_) => Err(ParseError::Malformed),
    }
}
