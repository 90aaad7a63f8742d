//! Formats of the packets exchanged with callers and upstreams.
//!
//! A [`PacketCodec`] reads and writes packets of one format; all other code works on [`Packet`]s.
//! [`Tunneled`] is the built-in format.

use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;

use super::{Packet, ParseError, Probe, Reset};

/// Reader and writer of one packet format.
pub trait PacketCodec: Send + 'static {
    /// Reads the headers of a packet.
    ///
    /// # Errors
    ///
    /// Returns a [`ParseError`] if the packet cannot be assigned to a flow.
    fn parse(&self, bytes: &[u8]) -> Result<Packet, ParseError>;

    /// Returns the address to which packets for a caller are sent.
    fn next_hop(&self, caller: SocketAddr) -> SocketAddr;

    /// Encodes a reset for a caller.
    fn encode_caller_reset(&self, reset: &Reset) -> Vec<u8>;

    /// Encodes a reset for an upstream, or returns `None` if only the caller can write one in this
    /// format.
    fn encode_upstream_reset(&self, reset: &Reset) -> Option<Vec<u8>>;

    /// Encodes a probe of either end, or returns `None` if only the ends can write one in this
    /// format.
    fn encode_probe(&self, probe: &Probe) -> Option<Vec<u8>>;

    /// Restores a packet that an upstream returned to the form in which its caller sent it.
    fn decode_returned(&self, returned: &Bytes) -> Bytes;

    /// Returns the time after a flow's first packet at which its caller sends the copy with this
    /// number; zero if callers do not number their copies.
    fn copy_age(&self, _copy: u32) -> Duration {
        Duration::ZERO
    }

    /// Whether callers and upstreams agree among themselves on the upstream at which a flow opens,
    /// if its first packet reached several upstreams.
    ///
    /// Otherwise a first packet is only delivered once all records of its flow have been received.
    const RESOLVES_DUPLICATE_OPENS: bool;

    /// Whether callers may be reset on flows that their upstream still serves.
    const CAN_RESET_OPEN_FLOWS: bool;
}

/// IP packets in UDP without an additional header, through one fabric.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Tunneled {
    /// Address at which the fabric accepts answers.
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
