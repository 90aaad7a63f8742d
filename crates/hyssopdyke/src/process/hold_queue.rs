//! Packets that arrive before a process may act.
//!
//! After a loss of power, callers send their packets again while the system starts. A process that
//! drops them leaves each caller waiting for its next retransmission, which comes later each time.

use std::collections::VecDeque;
use std::time::{Duration, Instant};

/// Maximum number of packets that a new process holds.
const MAX_PACKETS: usize = 256;

/// Maximum time for which a packet is held: shorter than the time for which callers wait for the
/// answer to a first packet.
const MAX_AGE: Duration = Duration::from_secs(1);

/// Bounded queue of items that expire.
#[derive(Debug)]
pub struct HoldQueue<T> {
    items: VecDeque<(Instant, T)>,
    capacity: usize,
    max_age: Duration,
}

impl<T> HoldQueue<T> {
    /// Creates a queue of at most `capacity` items, which expire after `max_age`.
    #[must_use]
    pub const fn new(capacity: usize, max_age: Duration) -> Self {
        Self { items: VecDeque::new(), capacity, max_age }
    }

    /// Adds an item. Returns the oldest item if the queue was full.
    pub fn push(&mut self, item: T, now: Instant) -> Option<T> {
        let evicted = (self.items.len() >= self.capacity).then(|| self.items.pop_front());
        self.items.push_back((now, item));
        evicted.flatten().map(|(_, item)| item)
    }

    /// Returns whether the queue is empty.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.items.is_empty()
    }

    /// Removes all items, and returns those that have not expired, oldest first, with the time for
    /// which each was held.
    pub fn take(&mut self, now: Instant) -> Vec<(T, Duration)> {
        let max_age = self.max_age;
        let items = self.items.drain(..).map(|(since, item)| (item, now.duration_since(since)));
        items.filter(|(_, held)| *held < max_age).collect()
    }
}

impl<T> Default for HoldQueue<T> {
    /// Creates the queue of a process that has just started.
    fn default() -> Self {
        Self::new(MAX_PACKETS, MAX_AGE)
    }
}
