//! Messages to peers that are retransmitted until they are acknowledged.

use std::collections::BTreeMap;
use std::time::{Duration, Instant};

use crate::vm;

#[derive(Debug)]
struct Pending<M> {
    to: vm::Id,
    message: M,
    sent: Option<Instant>,
}

/// Unacknowledged messages by sequence number.
#[derive(Debug)]
pub struct Outbox<M> {
    next: u64,
    pending: BTreeMap<u64, Pending<M>>,
    interval: Duration,
    window: usize,
}

impl<M> Outbox<M> {
    /// Creates an outbox that retransmits after `interval` and has at most `window` messages in
    /// flight.
    #[must_use]
    pub const fn new(interval: Duration, window: usize) -> Self {
        Self { next: 1, pending: BTreeMap::new(), interval, window }
    }

    /// Adds a message, built by `message` from its sequence number.
    pub fn push(&mut self, to: vm::Id, message: impl FnOnce(u64) -> M) {
        let sequence = self.next;
        self.next += 1;
        self.pending.insert(sequence, Pending { to, message: message(sequence), sent: None });
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
        let interval = self.interval;
        for pending in self.pending.values_mut().take(self.window) {
            if pending.sent.is_none_or(|sent| now.duration_since(sent) >= interval) {
                pending.sent = Some(now);
                send(pending.to, &pending.message);
            }
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
