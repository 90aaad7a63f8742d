//! One direction of a TCP connection.

use crate::request::Segment;

/// Sequence numbers of one end, from the packets seen so far.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub(super) struct Half {
    /// Next sequence number that the sender will use.
    pub(super) next: Option<u32>,
    /// Sequence number after the sender's FIN.
    pub(super) fin: Option<u32>,
    /// Highest acknowledgement from the other end.
    pub(super) acknowledged: Option<u32>,
}

impl Half {
    pub(super) fn record_sent(&mut self, segment: &Segment) {
        let next = segment.next();
        if self.next.is_none_or(|highest| is_after(next, highest)) {
            self.next = Some(next);
        }
        if segment.fin {
            self.fin = Some(next);
        }
    }

    pub(super) fn record_acknowledged(&mut self, number: u32) {
        if self.acknowledged.is_none_or(|highest| is_after(number, highest)) {
            self.acknowledged = Some(number);
        }
    }

    /// Returns whether the other end has acknowledged the sender's FIN.
    pub(super) fn is_finished(&self) -> bool {
        match (self.fin, self.acknowledged) {
            (Some(fin), Some(acknowledged)) => !is_after(fin, acknowledged),
            _ => false,
        }
    }
}

/// Returns whether sequence number `a` follows `b`, modulo 2^32.
const fn is_after(a: u32, b: u32) -> bool {
    a.wrapping_sub(b).cast_signed() > 0
}
