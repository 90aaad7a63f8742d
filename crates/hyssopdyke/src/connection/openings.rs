//! Flows that an entry has recently been told of, while their callers may still send copies of the
//! first packet.
//!
//! A copy usually shows that the member that got the packet before does not answer. It does not if
//! that member has let the flow wait for an owner, or if its answer crossed the copy.

use std::collections::HashMap;
use std::time::{Duration, Instant};

/// Time after the last notice for which a flow is kept: longer than callers send copies.
const RETENTION: Duration = Duration::from_secs(2);

#[derive(Debug, Clone, Copy)]
struct Notice {
    received_at: Instant,
    is_waiting: bool,
}

/// Last notices by the hash of their flow.
#[derive(Debug, Default)]
pub struct Openings {
    notices: HashMap<u64, Notice>,
}

impl Openings {
    /// Creates an empty set.
    #[must_use]
    pub fn new() -> Self {
        Self::default()
    }

    /// Records a notice that a flow waits for an owner or was given one.
    pub fn record(&mut self, flow: u64, is_waiting: bool, now: Instant) {
        self.notices.insert(flow, Notice { received_at: now, is_waiting });
    }

    /// Returns whether a flow's first packet is being handled, although its caller sends a copy
    /// `interval` after the one before.
    #[must_use]
    pub fn is_handled(&self, flow: u64, interval: Duration, now: Instant) -> bool {
        self.notices.get(&flow).is_some_and(|notice| {
            let age = now.duration_since(notice.received_at);
            age < interval || notice.is_waiting && age < RETENTION
        })
    }

    /// Removes the flows whose callers send no more copies.
    pub fn expire(&mut self, now: Instant) {
        self.notices.retain(|_, notice| now.duration_since(notice.received_at) < RETENTION);
    }
}
