//! Limits the events of each kind that a process logs, so that a flood of them costs a bounded
//! share of its time.

use std::collections::BTreeMap;
use std::time::{Duration, Instant};

/// Period to which the limit of each kind applies.
const PERIOD: Duration = Duration::from_secs(1);

/// Name of a kind of events.
pub type EventKind = &'static str;

#[derive(Debug, Clone, Copy, Default)]
struct Counts {
    written: u32,
    suppressed: u64,
}

/// Per-kind counts of written and suppressed events.
#[derive(Debug, Default)]
pub struct EventLimiter {
    period_start: Option<Instant>,
    /// Counts of the current period.
    kinds: BTreeMap<EventKind, Counts>,
    /// Events that were suppressed in past periods.
    suppressed: BTreeMap<EventKind, u64>,
}

impl EventLimiter {
    /// Creates a limiter that has admitted no events.
    #[must_use]
    pub fn new() -> Self {
        Self::default()
    }

    /// Returns whether an event may be written, where its kind is limited to `max` events per
    /// period, and counts the event.
    pub fn try_admit(&mut self, kind: EventKind, max: u32, now: Instant) -> bool {
        self.roll_period(now);
        let counts = self.kinds.entry(kind).or_default();
        let is_admitted = counts.written < max;
        if is_admitted {
            counts.written += 1;
        } else {
            counts.suppressed += 1;
        }
        is_admitted
    }

    /// Takes the counts of events that were suppressed in past periods, by kind.
    pub fn take_suppressed(&mut self, now: Instant) -> BTreeMap<EventKind, u64> {
        self.roll_period(now);
        std::mem::take(&mut self.suppressed)
    }

    /// Starts a new period if the current one is over.
    fn roll_period(&mut self, now: Instant) {
        let is_over =
            self.period_start.is_none_or(|start| now.saturating_duration_since(start) >= PERIOD);
        if !is_over {
            return;
        }
        self.period_start = Some(now);
        for (kind, counts) in std::mem::take(&mut self.kinds) {
            if counts.suppressed > 0 {
                *self.suppressed.entry(kind).or_default() += counts.suppressed;
            }
        }
    }
}
