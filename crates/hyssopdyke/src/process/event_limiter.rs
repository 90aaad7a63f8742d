//! How many events of each kind a process writes, so that a flood of them costs a bounded share of
//! its time.

use std::collections::BTreeMap;
use std::time::{Duration, Instant};

/// Time for which a budget is given.
const PERIOD: Duration = Duration::from_secs(1);

/// Name of a kind of events.
pub type EventKind = &'static str;

#[derive(Debug, Clone, Copy, Default)]
struct Spent {
    written: u32,
    left_out: u64,
}

/// What each kind of events may still write in this period.
#[derive(Debug, Default)]
pub struct EventLimiter {
    since: Option<Instant>,
    kinds: BTreeMap<EventKind, Spent>,
    /// Events of periods that are over, and were not written.
    left_out: BTreeMap<EventKind, u64>,
}

impl EventLimiter {
    /// Nothing was written yet.
    #[must_use]
    pub fn new() -> Self {
        Self::default()
    }

    /// Whether another event of a kind that has at most `most` in a period may be written.
    pub fn try_admit(&mut self, kind: EventKind, most: u32, now: Instant) -> bool {
        self.turn(now);
        let spent = self.kinds.entry(kind).or_default();
        let is_admitted = spent.written < most;
        if is_admitted {
            spent.written += 1;
        } else {
            spent.left_out += 1;
        }
        is_admitted
    }

    /// Events that were not written in the periods that are over, by kind.
    pub fn take_suppressed(&mut self, now: Instant) -> BTreeMap<EventKind, u64> {
        self.turn(now);
        std::mem::take(&mut self.left_out)
    }

    /// Begins a new period where the last one is over.
    fn turn(&mut self, now: Instant) {
        let is_over = self.since.is_none_or(|since| now.saturating_duration_since(since) >= PERIOD);
        if !is_over {
            return;
        }
        self.since = Some(now);
        for (kind, spent) in std::mem::take(&mut self.kinds) {
            if spent.left_out > 0 {
                *self.left_out.entry(kind).or_default() += spent.left_out;
            }
        }
    }
}
