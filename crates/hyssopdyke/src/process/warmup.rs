//! How many new flows a cold upstream gets.

use std::time::Instant;

use super::bucket::Bucket;

/// Flows that a cold upstream gets at once, beyond its rate.
const BURST: f64 = 2.0;

/// A token bucket for the new flows of a cold upstream.
#[derive(Debug)]
pub struct WarmupLimiter {
    bucket: Bucket,
}

impl WarmupLimiter {
    /// A full bucket.
    #[must_use]
    pub const fn new() -> Self {
        Self { bucket: Bucket::new(BURST) }
    }

    /// Takes one flow at `now`, where `rate` flows a second are borne; false if it is too soon.
    pub fn try_take(&mut self, rate: f64, now: Instant) -> bool {
        let may_take = self.bucket.fill(rate, BURST, now) >= 1.0;
        if may_take {
            self.bucket.spend(1.0);
        }
        may_take
    }
}

impl Default for WarmupLimiter {
    fn default() -> Self {
        Self::new()
    }
}
