//! Packets of the platform: a head of 32 bytes, and data.

use std::net::{Ipv4Addr, SocketAddrV4};

pub(crate) const SYN: u8 = 2;
pub(crate) const ACK: u8 = 4;
pub(crate) const FIN: u8 = 8;
pub(crate) const RST: u8 = 64;
pub(crate) const BOUNCED: u8 = 128;

const HEAD: usize = 32;

/// Key of the sum, which only clients and targets have.
const KEY: u32 = 0x9e37_79b9;

#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) struct Packet {
    pub(crate) seq: u32,
    pub(crate) ack: u32,
    pub(crate) flags: u8,
    pub(crate) src: SocketAddrV4,
    pub(crate) dst: SocketAddrV4,
    pub(crate) data: Vec<u8>,
}

impl Packet {
    pub(crate) fn has(&self, flags: u8) -> bool {
        self.flags & flags == flags
    }

    /// Returns the number that follows this packet.
    pub(crate) fn end(&self) -> u32 {
        let marks = u32::from(self.has(SYN)) + u32::from(self.has(FIN));
        self.seq.wrapping_add(self.data.len() as u32).wrapping_add(marks)
    }

    pub(crate) fn encode(&self) -> Vec<u8> {
        let mut bytes = vec![0; HEAD];
        bytes[0..4].copy_from_slice(&self.seq.to_le_bytes());
        bytes[4..8].copy_from_slice(&self.ack.to_le_bytes());
        bytes[12] = self.flags;
        bytes[18..20].copy_from_slice(&(self.data.len() as u16).to_le_bytes());
        bytes[20..24].copy_from_slice(&self.src.ip().to_bits().to_le_bytes());
        bytes[24..28].copy_from_slice(&self.dst.ip().to_bits().to_le_bytes());
        bytes[28..30].copy_from_slice(&self.dst.port().to_le_bytes());
        bytes[30..32].copy_from_slice(&self.src.port().to_le_bytes());
        bytes.extend(&self.data);
        let sum = sum(&bytes);
        bytes[14..18].copy_from_slice(&sum.to_le_bytes());
        bytes
    }

    /// Decodes a packet; `None` if it is none, or is not as its sender wrote it. A reset of the
    /// system's own has the sum 0.
    pub(crate) fn decode(bytes: &[u8]) -> Option<Self> {
        let head = bytes.get(..HEAD)?;
        let word =
            |at: usize| u32::from_le_bytes([head[at], head[at + 1], head[at + 2], head[at + 3]]);
        let half = |at: usize| u16::from_le_bytes([head[at], head[at + 1]]);
        let flags = head[12];
        let written = word(14);
        let is_right = written == sum(bytes) || written == 0 && flags == RST;
        if !is_right || bytes.len() != HEAD + usize::from(half(18)) {
            return None;
        }
        Some(Self {
            seq: word(0),
            ack: word(4),
            flags,
            src: SocketAddrV4::new(Ipv4Addr::from_bits(word(20)), half(30)),
            dst: SocketAddrV4::new(Ipv4Addr::from_bits(word(24)), half(28)),
            data: bytes[HEAD..].to_vec(),
        })
    }
}

/// Returns the keyed sum over all fields but `echo`, `pad`, `sum` and BOUNCED.
fn sum(bytes: &[u8]) -> u32 {
    let mut state = KEY;
    for (at, byte) in bytes.iter().enumerate() {
        let byte = match at {
            8..12 | 13 | 14..18 => 0,
            12 => byte & !BOUNCED,
            _ => *byte,
        };
        state = (state ^ u32::from(byte)).wrapping_mul(0x0100_0193).rotate_left(5);
    }
    state
}
