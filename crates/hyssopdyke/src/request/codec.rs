//! The form of packets where the system meets callers and upstreams.
//!
//! A [`PacketCodec`] reads and writes packets of one form; everything else works on [`Packet`]s.
//! [`Tunneled`] is the product's own form.

use std::net::SocketAddr;

use bytes::Bytes;

use super::{Packet, ParseError, Probe, Reset};

/// Reads and writes packets of one form.
pub trait PacketCodec: Send + 'static {
    /// Reads the headers of a packet.
    ///
    /// # Errors
    ///
    /// A [`ParseError`] where the packet cannot be told to belong to a flow.
    fn parse(&self, bytes: &[u8]) -> Result<Packet, ParseError>;

    /// Where packets for a caller are sent.
    fn next_hop(&self, caller: SocketAddr) -> SocketAddr;

    /// A reset for a caller.
    fn encode_caller_reset(&self, reset: &Reset) -> Vec<u8>;

    /// A reset for an upstream; `None` where the form lets nobody but the caller write one.
    fn encode_upstream_reset(&self, reset: &Reset) -> Option<Vec<u8>>;

    /// A probe of either end; `None` where the form lets nobody but the ends write one.
    fn encode_probe(&self, probe: &Probe) -> Option<Vec<u8>>;

    /// A packet that an upstream gave back, as its caller had sent it.
    fn decode_returned(&self, returned: &Bytes) -> Bytes;

    /// Whether the ends settle themselves which upstream a flow opens at, when its first packet
    /// has reached several.
    ///
    /// Otherwise a first packet is handed out only once all that is known of its flow has come in.
    const RESOLVES_DUPLICATE_OPENS: bool;

    /// Whether callers may be reset on flows that their upstream still serves.
    const CAN_RESET_OPEN_FLOWS: bool;
}

/// IP packets in UDP without a header of their own, through one fabric.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Tunneled {
    /// Where the fabric takes answers.
    pub fabric: SocketAddr,
}

impl PacketCodec for Tunneled {
    fn parse(&self, bytes: &[u8]) -> Result<Packet, ParseError> {
        Packet::parse(bytes)
    }

    fn next_hop(&self, _: SocketAddr) -> SocketAddr {
        self.fabric
    }

    fn encode_caller_reset(&self, reset: &Reset) -> Vec<u8> {
        reset.encode()
    }

    fn encode_upstream_reset(&self, reset: &Reset) -> Option<Vec<u8>> {
        Some(reset.encode())
    }

    fn encode_probe(&self, probe: &Probe) -> Option<Vec<u8>> {
        Some(probe.encode())
    }

    fn decode_returned(&self, returned: &Bytes) -> Bytes {
        returned.clone()
    }

    const RESOLVES_DUPLICATE_OPENS: bool = false;

    const CAN_RESET_OPEN_FLOWS: bool = true;
}
