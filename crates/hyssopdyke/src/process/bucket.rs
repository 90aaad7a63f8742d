//! A token bucket, whose rate and size its owner knows.

use std::time::Instant;

/// Tokens that were earned and not spent.
#[derive(Debug, Clone, Copy)]
pub(super) struct Bucket {
    tokens: f64,
    filled: Option<Instant>,
}

impl Bucket {
    /// A bucket with some tokens, which earns more from its first filling on.
    pub(super) const fn new(tokens: f64) -> Self {
        Self { tokens, filled: None }
    }

    /// Adds what was earned since the last filling at `rate` tokens a second, up to `most`; returns
    /// what there is then.
    pub(super) fn fill(&mut self, rate: f64, most: f64, now: Instant) -> f64 {
        let last = self.filled.replace(now).unwrap_or(now);
        let earned = now.saturating_duration_since(last).as_secs_f64() * rate;
        self.tokens = (self.tokens + earned).min(most);
        self.tokens
    }

    /// Spends tokens; below zero they are owed.
    pub(super) fn spend(&mut self, tokens: f64) {
        self.tokens -= tokens;
    }
}
