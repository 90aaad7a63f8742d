//! How many new flows a cold upstream gets.

use std::time::Instant;

/// Flows that a cold upstream gets at once, beyond its rate.
const BURST: f64 = 2.0;

/// A token bucket for the new flows of a cold upstream.
#[derive(Debug, Default)]
pub struct Cold {
    tokens: f64,
    filled: Option<Instant>,
}

impl Cold {
    /// A full bucket.
    #[must_use]
    pub const fn new() -> Self {
        Self { tokens: BURST, filled: None }
    }

    /// Takes one flow at `now`, where `rate` flows a second are borne; false if it is too soon.
    pub fn take(&mut self, rate: f64, now: Instant) -> bool {
        let last = self.filled.replace(now).unwrap_or(now);
        let earned = now.saturating_duration_since(last).as_secs_f64() * rate;
        self.tokens = (self.tokens + earned).min(BURST);
        let may_take = self.tokens >= 1.0;
        if may_take {
            self.tokens -= 1.0;
        }
        may_take
    }
}
