//! Finds out which revisions are older than a given time.

use std::collections::VecDeque;
use std::time::{Duration, Instant};

/// Observations of the current revision, by which the age of earlier ones is known.
#[derive(Debug)]
pub struct Horizon {
    age: Duration,
    /// Revisions, each with the first time at which it was observed; those that are old enough
    /// except for the latest are dropped.
    observed: VecDeque<(Instant, u64)>,
}

impl Horizon {
    /// Creates a horizon for revisions that are older than `age`, without observations.
    #[must_use]
    pub const fn new(age: Duration) -> Self {
        Self { age, observed: VecDeque::new() }
    }

    /// Records that `revision` is the current one at `now`.
    pub fn observe(&mut self, revision: u64, now: Instant) {
        if self.observed.back().is_none_or(|(_, last)| *last < revision) {
            self.observed.push_back((now, revision));
        }
        while self.observed.get(1).is_some_and(|(at, _)| now.duration_since(*at) >= self.age) {
            self.observed.pop_front();
        }
    }

    /// Returns the last revision that is known to be old enough at `now`.
    #[must_use]
    pub fn passed(&self, now: Instant) -> Option<u64> {
        let (at, revision) = self.observed.front()?;
        (now.duration_since(*at) >= self.age).then_some(*revision)
    }
}
