//! Sends packets no faster than a link takes them, each flow in its turn.
//!
//! Callers send whole windows at once. A link that is slower than what arrives drops what its short
//! queue does not hold, and each loss costs a repetition after some hundred milliseconds. So
//! packets wait here instead. Flows take turns by deficit round robin, those with nothing waiting
//! first (Høiland-Jørgensen et al., RFC 8290 section 4), so that a first packet or a short request
//! does not wait behind the windows of uploads. A repetition takes the place of the packet that
//! still waits.

use std::collections::{HashMap, VecDeque};
use std::time::{Duration, Instant};

use super::bucket::Bucket;
use crate::request::Segment;

/// Bytes that a flow may send in its turn: one packet of full size.
const QUANTUM: i64 = 1500;

/// Bytes on the link besides the packet: the headers of IP and UDP, and our own envelope.
const OVERHEAD: usize = 110;

/// Part of the link's rate that is used, so that the link's own queue stays short.
const SHARE: f64 = 0.95;

/// Time at the link's rate for which packets may be sent at once: a timer's precision.
const BURST: Duration = Duration::from_millis(8);

/// Least bytes that may be sent at once.
const LEAST_BURST: f64 = 3000.0;

/// Bytes that may wait: the windows of some dozen uploads.
const WAITING_BYTES: usize = 1 << 20;

/// A packet that waits.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Queued<P> {
    /// What the packet carries of its flow; `None` where it has no numbers.
    pub segment: Option<Segment>,
    /// Bytes of the packet.
    pub bytes: usize,
    /// The packet.
    pub packet: P,
}

#[derive(Debug)]
struct Turn<P> {
    packets: VecDeque<Queued<P>>,
    bytes: usize,
    deficit: i64,
}

/// Packets that wait for a link.
#[derive(Debug)]
pub struct Shaper<P> {
    /// Bytes a second.
    rate: f64,
    /// Bytes that may be sent at once.
    burst: f64,
    /// Bytes that may be sent now; below zero, what the last packet has taken in advance.
    bucket: Bucket,
    turns: HashMap<u64, Turn<P>>,
    /// Flows of which nothing waited before.
    fresh: VecDeque<u64>,
    /// Flows that have had a turn.
    served: VecDeque<u64>,
    bytes: usize,
}

impl<P> Shaper<P> {
    /// Sends at most `rate` bytes a second.
    #[must_use]
    pub fn new(rate: f64) -> Self {
        let rate = rate * SHARE;
        let burst = (rate * BURST.as_secs_f64()).max(LEAST_BURST);
        Self {
            rate,
            burst,
            bucket: Bucket::new(burst),
            turns: HashMap::new(),
            fresh: VecDeque::new(),
            served: VecDeque::new(),
            bytes: 0,
        }
    }

    /// Whether a packet may be sent past all that waits, as nothing does; it is taken for sent.
    pub fn try_pass(&mut self, bytes: usize, now: Instant) -> bool {
        if self.bytes > 0 {
            return false;
        }
        let may_pass = self.fill(now) > 0.0;
        if may_pass {
            self.bucket.spend((bytes + OVERHEAD) as f64);
        }
        may_pass
    }

    /// Adds a packet of a flow; returns one that has to go, where too much waits.
    pub fn push(&mut self, flow: u64, waiting: Queued<P>) -> Option<Queued<P>> {
        let turn = self.turns.entry(flow).or_insert_with(|| {
            self.fresh.push_back(flow);
            Turn { packets: VecDeque::new(), bytes: 0, deficit: QUANTUM }
        });
        if let Some(same) = turn.packets.iter_mut().find(|other| is_repeated(&waiting, other)) {
            same.packet = waiting.packet;
            return None;
        }
        self.bytes += waiting.bytes;
        turn.bytes += waiting.bytes;
        turn.packets.push_back(waiting);
        if self.bytes > WAITING_BYTES { self.shed() } else { None }
    }

    /// The next packet, if the link takes one now.
    pub fn pop(&mut self, now: Instant) -> Option<P> {
        if self.fill(now) <= 0.0 {
            return None;
        }
        loop {
            let is_fresh = !self.fresh.is_empty();
            let list = if is_fresh { &mut self.fresh } else { &mut self.served };
            let flow = list.pop_front()?;
            let Some(turn) = self.turns.get_mut(&flow) else { continue };
            if turn.deficit <= 0 {
                turn.deficit += QUANTUM;
                self.served.push_back(flow);
                continue;
            }
            let Some(next) = turn.packets.pop_front() else {
                // A flow that comes back at once must not count as fresh again.
                if is_fresh {
                    self.served.push_back(flow);
                } else {
                    self.turns.remove(&flow);
                }
                continue;
            };
            let cost = next.bytes + OVERHEAD;
            turn.deficit = turn.deficit.saturating_sub_unsigned(cost as u64);
            turn.bytes -= next.bytes;
            self.bytes -= next.bytes;
            self.bucket.spend(cost as f64);
            let list = if is_fresh { &mut self.fresh } else { &mut self.served };
            list.push_front(flow);
            return Some(next.packet);
        }
    }

    /// How long the next packet has to wait; `None` where none does.
    pub fn delay(&mut self, now: Instant) -> Option<Duration> {
        if self.bytes == 0 {
            return None;
        }
        // A packet is sent as soon as there is any token; a burst of them is waited for.
        let missing = (self.burst / 2.0 - self.fill(now)).max(0.0);
        Some(Duration::from_secs_f64(missing / self.rate))
    }

    /// Bytes that wait.
    #[must_use]
    pub const fn queued_bytes(&self) -> usize {
        self.bytes
    }

    fn fill(&mut self, now: Instant) -> f64 {
        self.bucket.fill(self.rate, self.burst, now)
    }

    /// Takes the oldest packet of the flow of which most waits.
    fn shed(&mut self) -> Option<Queued<P>> {
        let turn = self.turns.values_mut().max_by_key(|turn| turn.bytes)?;
        let shed = turn.packets.pop_front()?;
        turn.bytes -= shed.bytes;
        self.bytes -= shed.bytes;
        Some(shed)
    }
}

/// Whether two packets of a flow carry the same part of it.
fn is_repeated<P>(a: &Queued<P>, b: &Queued<P>) -> bool {
    let part = |segment: &Segment| {
        (segment.sequence, segment.length, segment.syn, segment.fin, segment.rst)
    };
    match (&a.segment, &b.segment) {
        (Some(a), Some(b)) => part(a) == part(b),
        _ => false,
    }
}
