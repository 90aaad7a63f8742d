//! Packets of the platform: a header of 32 bytes, little-endian, and up to 1,200 bytes of data.

use std::net::{Ipv4Addr, SocketAddrV4};

pub const SYN: u8 = 2;
pub const ACK: u8 = 4;
pub const FIN: u8 = 8;
pub const RST: u8 = 64;
pub const BOUNCED: u8 = 128;

#[derive(Debug, Clone)]
pub struct Packet {
    pub seq: u32,
    pub ack: u32,
    pub flags: u8,
    pub src: SocketAddrV4,
    pub dst: SocketAddrV4,
    pub data: Vec<u8>,
}

impl Packet {
    pub fn has(&self, flag: u8) -> bool {
        self.flags & flag != 0
    }

    /// Sequence number after the packet.
    pub fn end(&self) -> u32 {
        let length = self.data.len() as u32 + u32::from(self.has(SYN)) + u32::from(self.has(FIN));
        self.seq.wrapping_add(length)
    }

    /// Keyed sum over all fields except `echo`, `pad` and BOUNCED. It is never 0.
    fn sum(&self) -> u32 {
        let mut sum: u32 = 0x811c_9dc5;
        let mut add = |bytes: &[u8]| {
            for byte in bytes {
                sum = (sum ^ u32::from(*byte)).wrapping_mul(0x0100_0193);
            }
        };
        add(&self.seq.to_le_bytes());
        add(&self.ack.to_le_bytes());
        add(&[self.flags & !BOUNCED]);
        for end in [self.src, self.dst] {
            add(&end.ip().octets());
            add(&end.port().to_le_bytes());
        }
        add(&self.data);
        sum | 1
    }

    pub fn encode(&self) -> Vec<u8> {
        let mut bytes = vec![0; 32];
        bytes[0..4].copy_from_slice(&self.seq.to_le_bytes());
        bytes[4..8].copy_from_slice(&self.ack.to_le_bytes());
        bytes[12] = self.flags;
        bytes[14..18].copy_from_slice(&self.sum().to_le_bytes());
        bytes[18..20].copy_from_slice(&(self.data.len() as u16).to_le_bytes());
        bytes[20..24].copy_from_slice(&self.src.ip().to_bits().to_le_bytes());
        bytes[24..28].copy_from_slice(&self.dst.ip().to_bits().to_le_bytes());
        bytes[28..30].copy_from_slice(&self.dst.port().to_le_bytes());
        bytes[30..32].copy_from_slice(&self.src.port().to_le_bytes());
        bytes.extend(&self.data);
        bytes
    }

    /// Returns the packet and whether its sum is that of its sender.
    pub fn decode(bytes: &[u8]) -> Option<(Self, bool)> {
        let u32_at = |at: usize| Some(u32::from_le_bytes(bytes.get(at..at + 4)?.try_into().ok()?));
        let u16_at = |at: usize| Some(u16::from_le_bytes(bytes.get(at..at + 2)?.try_into().ok()?));
        let length = usize::from(u16_at(18)?);
        if bytes.len() != 32 + length {
            return None;
        }
        let end = |at, port| {
            Some(SocketAddrV4::new(Ipv4Addr::from_bits(u32_at(at)?), u16_at(port)?))
        };
        let packet = Self {
            seq: u32_at(0)?,
            ack: u32_at(4)?,
            flags: bytes[12],
            src: end(20, 30)?,
            dst: end(24, 28)?,
            data: bytes[32..].to_vec(),
        };
        let is_genuine = u32_at(14)? == packet.sum();
        Some((packet, is_genuine))
    }
}
