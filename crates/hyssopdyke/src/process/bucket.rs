//! A token bucket. The rate and the size are passed in with each call.

use std::time::Instant;

/// Tokens that were added and not spent.
#[derive(Debug, Clone, Copy)]
pub(super) struct Bucket {
    tokens: f64,
    filled: Option<Instant>,
}

impl Bucket {
    /// Creates a bucket with `tokens` tokens, which adds more from the first [`fill`](Self::fill)
    /// on.
    pub(super) const fn new(tokens: f64) -> Self {
        Self { tokens, filled: None }
    }

    /// Adds the tokens due since the last call, at `rate` tokens per second, up to `max`.
    /// Returns the balance.
    pub(super) fn fill(&mut self, rate: f64, max: f64, now: Instant) -> f64 {
        let last = self.filled.replace(now).unwrap_or(now);
        let added = now.saturating_duration_since(last).as_secs_f64() * rate;
        self.tokens = (self.tokens + added).min(max);
        self.tokens
    }

    /// Spends tokens. The balance may become negative.
    pub(super) fn spend(&mut self, tokens: f64) {
        self.tokens -= tokens;
    }
}
