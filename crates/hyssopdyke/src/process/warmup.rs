//! Limits the rate of new flows to a cold upstream.

use std::time::Instant;

use super::bucket::Bucket;

/// New flows that a cold upstream may receive at once, beyond its rate.
const BURST_FLOWS: f64 = 2.0;

/// Token bucket for the new flows of a cold upstream.
#[derive(Debug)]
pub struct WarmupLimiter {
    bucket: Bucket,
}

impl WarmupLimiter {
    /// Creates a full bucket.
    #[must_use]
    pub const fn new() -> Self {
        Self { bucket: Bucket::new(BURST_FLOWS) }
    }

    /// Takes the token for one flow at `now`, at a rate of `rate` flows per second. Returns false
    /// if no token is available.
    pub fn try_take(&mut self, rate: f64, now: Instant) -> bool {
        let may_take = self.bucket.fill(rate, BURST_FLOWS, now) >= 1.0;
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
