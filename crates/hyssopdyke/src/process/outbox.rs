//! Messages to peers that are retransmitted until they are acknowledged.

use std::collections::BTreeMap;
use std::time::{Duration, Instant};

use crate::vm;

#[derive(Debug)]
struct Pending<M> {
    to: vm::Id,
    message: M,
    sent: Option<Instant>,
    /// Time until the next transmission.
    interval: Duration,
}

/// Factor by which the interval grows with each transmission, so that a receiver that is overloaded or
/// gone does not get more and more messages.
const BACKOFF: u32 = 2;

/// Maximum interval, in multiples of the first one.
const MAX_BACKOFF: u32 = 16;

/// Unacknowledged messages by sequence number.
#[derive(Debug)]
pub struct Outbox<M> {
    next: u64,
    pending: BTreeMap<u64, Pending<M>>,
    interval: Duration,
    window: usize,
}

impl<M> Outbox<M> {
    /// Creates an outbox that retransmits after `interval` at first, then less often, and has at most
    /// `window` messages in flight.
    #[must_use]
    pub const fn new(interval: Duration, window: usize) -> Self {
        Self { next: 1, pending: BTreeMap::new(), interval, window }
    }

    /// Adds a message, built by `message` from its sequence number.
    pub fn push(&mut self, to: vm::Id, message: impl FnOnce(u64) -> M) {
        let sequence = self.next;
        self.next += 1;
        let (message, interval) = (message(sequence), self.interval);
        self.pending.insert(sequence, Pending { to, message, sent: None, interval });
    }

    /// Removes an acknowledged message.
    pub fn acknowledge(&mut self, from: vm::Id, sequence: u64) {
        if self.pending.get(&sequence).is_some_and(|pending| pending.to == from) {
            self.pending.remove(&sequence);
        }
    }

    /// Retains only the messages for which `keep` returns true.
    pub fn retain(&mut self, keep: impl Fn(vm::Id, &M) -> bool) {
        self.pending.retain(|_, pending| keep(pending.to, &pending.message));
    }

    /// Passes each message that is due to `send`, oldest first.
    pub fn send_due(&mut self, now: Instant, mut send: impl FnMut(vm::Id, &M)) {
        let max_interval = self.interval * MAX_BACKOFF;
        for pending in self.pending.values_mut().take(self.window) {
            match pending.sent {
                Some(last) if now.duration_since(last) < pending.interval => continue,
                Some(_) => pending.interval = (pending.interval * BACKOFF).min(max_interval),
                None => {}
            }
            pending.sent = Some(now);
            send(pending.to, &pending.message);
        }
    }

    /// Returns the number of unacknowledged messages.
    #[must_use]
    pub fn len(&self) -> usize {
        self.pending.len()
    }

    /// Returns whether every message was acknowledged.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.pending.is_empty()
    }
}
