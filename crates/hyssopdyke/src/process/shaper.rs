//! Rate-limits packets to the capacity of a link, with fair queueing among flows.
//!
//! Callers send whole windows at once. A link that is slower than the arriving traffic drops
//! packets once its short queue is full, and each loss costs a retransmission after some hundred
//! milliseconds. The shaper queues these packets instead. It schedules flows by deficit round robin
//! and serves flows whose queue was empty first (Høiland-Jørgensen et al., RFC 8290 section 4), so
//! that a first packet or a short request does not wait behind the windows of uploads. A
//! retransmission replaces the queued copy of the same segment.

use std::collections::{HashMap, VecDeque};
use std::time::{Duration, Instant};

use super::bucket::Bucket;
use crate::request::Segment;

/// Bytes added to a flow's deficit per turn: one full-size packet.
const QUANTUM_BYTES: i64 = 1500;

/// Bytes on the link in addition to each packet: the IP and UDP headers, and the message envelope.
const OVERHEAD_BYTES: usize = 110;

/// Fraction of the link's rate that is used, so that the link's own queue stays short.
const RATE_UTILIZATION: f64 = 0.95;

/// Burst size as time at the link's rate, equal to the timer's precision.
const BURST: Duration = Duration::from_millis(8);

/// Minimum burst size in bytes.
const MIN_BURST_BYTES: f64 = 3000.0;

/// Maximum number of queued bytes, enough for the windows of some dozen uploads.
const MAX_QUEUED_BYTES: usize = 1 << 20;

/// A queued packet.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Queued<P> {
    /// TCP fields of the packet; `None` for packets without sequence numbers.
    pub segment: Option<Segment>,
    /// Size of the packet in bytes.
    pub bytes: usize,
    /// The packet.
    pub packet: P,
}

#[derive(Debug)]
struct FlowQueue<P> {
    packets: VecDeque<Queued<P>>,
    bytes: usize,
    deficit: i64,
}

/// Queue of packets for one rate-limited link.
#[derive(Debug)]
pub struct Shaper<P> {
    /// Bytes per second.
    rate: f64,
    /// Maximum number of bytes sent at once.
    burst: f64,
    /// Bytes that may be sent now; negative if the last packet used more than was available.
    bucket: Bucket,
    queues: HashMap<u64, FlowQueue<P>>,
    /// Flows whose queue was empty before.
    new_flows: VecDeque<u64>,
    /// Flows that already had a turn.
    old_flows: VecDeque<u64>,
    bytes: usize,
}

impl<P> Shaper<P> {
    /// Creates a shaper for a link of `rate` bytes per second.
    #[must_use]
    pub fn new(rate: f64) -> Self {
        let rate = rate * RATE_UTILIZATION;
        let burst = (rate * BURST.as_secs_f64()).max(MIN_BURST_BYTES);
        Self {
            rate,
            burst,
            bucket: Bucket::new(burst),
            queues: HashMap::new(),
            new_flows: VecDeque::new(),
            old_flows: VecDeque::new(),
            bytes: 0,
        }
    }

    /// Returns whether a packet may be sent at once, and accounts for it as sent.
    ///
    /// This requires that no packet is queued.
    pub fn try_pass(&mut self, bytes: usize, now: Instant) -> bool {
        if self.bytes > 0 {
            return false;
        }
        let may_pass = self.fill(now) > 0.0;
        if may_pass {
            self.bucket.spend((bytes + OVERHEAD_BYTES) as f64);
        }
        may_pass
    }

    /// Queues a packet of a flow. If the queue is then too long, returns a packet that was dropped.
    pub fn push(&mut self, flow: u64, queued: Queued<P>) -> Option<Queued<P>> {
        let queue = self.queues.entry(flow).or_insert_with(|| {
            self.new_flows.push_back(flow);
            FlowQueue { packets: VecDeque::new(), bytes: 0, deficit: QUANTUM_BYTES }
        });
        if let Some(same) = queue.packets.iter_mut().find(|other| is_same_segment(&queued, other)) {
            same.packet = queued.packet;
            return None;
        }
        self.bytes += queued.bytes;
        queue.bytes += queued.bytes;
        queue.packets.push_back(queued);
        if self.bytes > MAX_QUEUED_BYTES { self.drop_oldest() } else { None }
    }

    /// Removes and returns the next packet. Returns `None` if no packet is queued, or the rate does
    /// not allow one at `now`.
    pub fn pop(&mut self, now: Instant) -> Option<P> {
        if self.fill(now) <= 0.0 {
            return None;
        }
        loop {
            let is_new = !self.new_flows.is_empty();
            let list = if is_new { &mut self.new_flows } else { &mut self.old_flows };
            let flow = list.pop_front()?;
            let Some(queue) = self.queues.get_mut(&flow) else { continue };
            if queue.deficit <= 0 {
                queue.deficit += QUANTUM_BYTES;
                self.old_flows.push_back(flow);
                continue;
            }
            let Some(next) = queue.packets.pop_front() else {
                // A flow that queues another packet at once must not count as new again.
                if is_new {
                    self.old_flows.push_back(flow);
                } else {
                    self.queues.remove(&flow);
                }
                continue;
            };
            let cost = next.bytes + OVERHEAD_BYTES;
            queue.deficit = queue.deficit.saturating_sub_unsigned(cost as u64);
            queue.bytes -= next.bytes;
            self.bytes -= next.bytes;
            self.bucket.spend(cost as f64);
            let list = if is_new { &mut self.new_flows } else { &mut self.old_flows };
            list.push_front(flow);
            return Some(next.packet);
        }
    }

    /// Returns the time until the next packet should be sent, or `None` if no packet is queued.
    pub fn delay(&mut self, now: Instant) -> Option<Duration> {
        if self.bytes == 0 {
            return None;
        }
        // A single packet needs only a positive balance, but waiting for half a burst of tokens
        // lets several packets be sent at once.
        let missing = (self.burst / 2.0 - self.fill(now)).max(0.0);
        Some(Duration::from_secs_f64(missing / self.rate))
    }

    /// Returns the size of all queued packets in bytes.
    #[must_use]
    pub const fn queued_bytes(&self) -> usize {
        self.bytes
    }

    fn fill(&mut self, now: Instant) -> f64 {
        self.bucket.fill(self.rate, self.burst, now)
    }

    /// Removes the oldest packet of the flow with the most queued bytes.
    fn drop_oldest(&mut self) -> Option<Queued<P>> {
        let queue = self.queues.values_mut().max_by_key(|queue| queue.bytes)?;
        let dropped = queue.packets.pop_front()?;
        queue.bytes -= dropped.bytes;
        self.bytes -= dropped.bytes;
        Some(dropped)
    }
}

/// Returns whether two packets of a flow carry the same segment.
fn is_same_segment<P>(a: &Queued<P>, b: &Queued<P>) -> bool {
    let key = |segment: &Segment| {
        (segment.sequence, segment.length, segment.syn, segment.fin, segment.rst)
    };
    match (&a.segment, &b.segment) {
        (Some(a), Some(b)) => key(a) == key(b),
        _ => false,
    }
}
