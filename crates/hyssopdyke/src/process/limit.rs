//! Concurrency limit of an upstream, learned from its answers.
//!
//! The limit starts at the declared concurrency of a cold upstream. It grows by additive increase
//! while requests are answered in the usual time at a full limit, and falls by multiplicative
//! decrease, at most once per round of requests, when they are slow or fail (Chiu and Jain,
//! "Analysis of the increase and decrease algorithms for congestion avoidance", 1989). A run of
//! failures ejects the upstream for a time that doubles with each ejection, after which the limit
//! restarts at the cold bound. The limit does not depend on the upstream's health endpoint.

use std::time::{Duration, Instant};

/// Factor of a multiplicative decrease.
const DECREASE_FACTOR: f64 = 0.5;

/// Ratio of the recent to the usual answer time above which the upstream counts as slow.
const SLOW_RATIO: f64 = 1.7;

/// Minimum weight of a new answer in the usual time. The first answers have equal weights.
const MIN_USUAL_WEIGHT: f64 = 0.01;

/// Weight of a new answer in the recent time. It is small because the cost of requests varies.
const RECENT_WEIGHT: f64 = 0.1;

/// Answers at a full limit that raise the limit by one request.
const ANSWERS_PER_INCREASE: f64 = 16.0;

/// Consecutive failures that eject an upstream.
const EJECTING_FAILURES: u32 = 5;

/// Duration of the first ejection.
const MIN_EJECTION: Duration = Duration::from_secs(2);

/// Maximum number of times that the duration of an ejection doubles.
const MAX_EJECTION_DOUBLINGS: u32 = 4;

/// Learned concurrency limit of one upstream.
#[derive(Debug, Clone)]
pub struct Limit {
    cold: u32,
    ceiling: u32,
    current: f64,
    usual: Option<Duration>,
    recent: Duration,
    answers: u32,
    /// Last decrease. Slow answers and failures of requests that were admitted earlier do not
    /// reflect the current limit.
    decreased_at: Option<Instant>,
    failures: u32,
    ejections: u32,
    ejected_until: Option<Instant>,
}

impl Limit {
    /// Creates the limit of a cold upstream that can run `cold` concurrent requests, and `ceiling`
    /// once it is warm.
    #[must_use]
    pub fn new(cold: u32, ceiling: u32) -> Self {
        let ceiling = ceiling.max(1);
        let cold = cold.clamp(1, ceiling);
        Self {
            cold,
            ceiling,
            current: f64::from(cold),
            usual: None,
            recent: Duration::ZERO,
            answers: 0,
            decreased_at: None,
            failures: 0,
            ejections: 0,
            ejected_until: None,
        }
    }

    /// Sets new declared bounds and clamps the learned limit to them.
    pub fn set_bounds(&mut self, cold: u32, ceiling: u32) {
        self.ceiling = ceiling.max(1);
        self.cold = cold.clamp(1, self.ceiling);
        self.current = self.current.clamp(f64::from(self.cold), f64::from(self.ceiling));
    }

    /// Returns the maximum number of concurrent requests.
    #[must_use]
    pub const fn current(&self) -> u32 {
        self.current as u32
    }

    /// Returns the usual answer time, or `None` before the first answer.
    #[must_use]
    pub const fn usual_time(&self) -> Option<Duration> {
        self.usual
    }

    /// Returns whether the upstream is ejected at `now`.
    #[must_use]
    pub fn is_ejected(&self, now: Instant) -> bool {
        self.ejected_until.is_some_and(|until| now < until)
    }

    /// Returns the learned throughput in requests per 1000 seconds, which is never 0.
    #[must_use]
    pub fn weight(&self) -> u32 {
        let seconds = self.usual.map_or(1.0, |usual| usual.as_secs_f64().max(1e-4));
        ((self.current / seconds * 1000.0) as u32).max(1)
    }

    /// Records a request that was admitted at `admitted` and answered at `now`, while `running`
    /// requests were in progress.
    pub fn record_answer(&mut self, admitted: Instant, now: Instant, running: u32) {
        let time = now.duration_since(admitted);
        self.failures = 0;
        self.answers = self.answers.saturating_add(1);
        let Some(usual) = self.usual else {
            (self.usual, self.recent) = (Some(time), time);
            return;
        };
        self.recent = weighted_mean(self.recent, time, RECENT_WEIGHT);
        if self.recent > usual.mul_f64(SLOW_RATIO) && running > self.cold {
            self.decrease(admitted, now);
            self.recent = usual;
        } else if running >= self.current() {
            self.increase();
        }
        let weight = MIN_USUAL_WEIGHT.max(1.0 / f64::from(self.answers));
        self.usual = Some(weighted_mean(usual, time, weight));
    }

    /// Records a request that was admitted at `admitted` and failed at `now`.
    pub fn record_failure(&mut self, admitted: Instant, now: Instant) {
        self.failures += 1;
        self.decrease(admitted, now);
        if self.failures >= EJECTING_FAILURES && !self.is_ejected(now) {
            self.eject(now);
        }
    }

    /// Resets the limit to the cold bound.
    pub fn reset_to_cold(&mut self, now: Instant) {
        self.current = f64::from(self.cold);
        self.decreased_at = Some(now);
    }

    fn increase(&mut self) {
        let step = 1.0 / ANSWERS_PER_INCREASE;
        self.current = (self.current + step).min(f64::from(self.ceiling));
        if self.current >= f64::from(self.ceiling) {
            self.ejections = 0;
        }
    }

    fn decrease(&mut self, admitted: Instant, now: Instant) {
        if self.decreased_at.is_some_and(|last| admitted < last) {
            return;
        }
        self.current = (self.current * DECREASE_FACTOR).max(f64::from(self.cold));
        self.decreased_at = Some(now);
    }

    fn eject(&mut self, now: Instant) {
        let doublings = self.ejections.min(MAX_EJECTION_DOUBLINGS);
        self.ejected_until = Some(now + MIN_EJECTION * 2_u32.pow(doublings));
        self.ejections += 1;
        self.failures = 0;
        self.reset_to_cold(now);
    }
}

/// Returns the exponentially weighted mean.
fn weighted_mean(mean: Duration, new: Duration, weight: f64) -> Duration {
    mean.mul_f64(1.0 - weight) + new.mul_f64(weight)
}
