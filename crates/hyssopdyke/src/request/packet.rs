//! The headers of one inner IP packet.

use std::net::{IpAddr, SocketAddr};

use etherparse::{NetSlice, SlicedPacket, TransportSlice};

use crate::connection::{Flow, Protocol};

/// Why a packet is not forwarded.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
#[derive(thiserror::Error)]
pub enum ParseError {
    /// The bytes are no IP packet, or end before their headers do.
    #[error("malformed or truncated IP packet")]
    Malformed,
    /// A fragment carries no ports, or only some of the segment.
    #[error("IP fragment")]
    Fragment,
    /// Neither TCP nor UDP.
    #[error("transport other than TCP and UDP")]
    Transport,
}

/// Fields of a TCP header that decide the state of a flow.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Segment {
    /// Sequence number of the first byte.
    pub sequence: u32,
    /// Acknowledgement number, if the segment carries one.
    pub acknowledgement: Option<u32>,
    /// Opens a connection.
    pub syn: bool,
    /// Ends the sender's direction.
    pub fin: bool,
    /// Aborts the connection.
    pub rst: bool,
    /// Bytes of payload.
    pub length: u32,
}

impl Segment {
    /// Sequence number that follows this segment.
    #[must_use]
    pub const fn next(&self) -> u32 {
        self.sequence
            .wrapping_add(self.length)
            .wrapping_add(self.syn as u32)
            .wrapping_add(self.fin as u32)
    }

    /// Asks for a new connection: a SYN that answers nothing.
    #[must_use]
    pub const fn is_opening(&self) -> bool {
        self.syn && self.acknowledgement.is_none() && !self.rst
    }
}

/// Addresses and transport fields of one IP packet.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Packet {
    /// Sender.
    pub source: SocketAddr,
    /// Receiver.
    pub destination: SocketAddr,
    /// The TCP fields, or `None` for UDP.
    pub segment: Option<Segment>,
    /// Copies of a flow's first packet that its caller has sent before, where the form tells.
    pub earlier_copies: u32,
    /// The upstream gives the packet back: it has not taken it.
    pub is_returned: bool,
}

impl Packet {
    /// Reads the headers of `bytes`, an IP packet without a link layer.
    ///
    /// # Errors
    ///
    /// A [`ParseError`] where the packet cannot be told to belong to a flow.
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

    /// The transport of the packet.
    #[must_use]
    pub const fn protocol(&self) -> Protocol {
        match self.segment {
            Some(_) => Protocol::Tcp,
            None => Protocol::Udp,
        }
    }

    /// The flow of a packet that a caller sent.
    #[must_use]
    pub const fn inbound_flow(&self) -> Flow {
        Flow { protocol: self.protocol(), caller: self.source, service: self.destination }
    }

    /// The flow of a packet that an upstream sent.
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
