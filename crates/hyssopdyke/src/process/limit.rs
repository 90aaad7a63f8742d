//! How many requests an upstream bears at a time, learned from its answers.
//!
//! The limit starts at the bound that the upstream is declared to bear while it is cold. It grows
//! by additive increase while requests are answered in the usual time at a full limit, and falls
//! by multiplicative decrease, at most once per round of requests, when they are slow or fail
//! (Chiu and Jain, "Analysis of the increase and decrease algorithms for congestion avoidance",
//! 1989). A run of failures ejects the upstream for a time that doubles with each ejection; it
//! returns through the cold bound. What its health endpoint says plays no part.

use std::time::{Duration, Instant};

/// Share that a decrease leaves of the limit.
const DECREASE: f64 = 0.5;

/// The upstream is slow while its recent answers take longer than this multiple of the usual time.
const SLOW_RATIO: f64 = 1.7;

/// Least weight of a new answer in the usual time, which is the mean of the first answers.
const USUAL_SMOOTHING: f64 = 0.01;

/// Weight of a new answer in the recent time. A single answer is no sign: requests differ.
const RECENT_SMOOTHING: f64 = 0.1;

/// Answers at a full limit for each further request at a time.
const ANSWERS_PER_STEP: f64 = 16.0;

/// Failures in a row that eject an upstream.
const EJECTING_FAILURES: u32 = 5;

/// Shortest time of an ejection.
const EJECTION: Duration = Duration::from_secs(2);

/// Doublings of the time of an ejection.
const EJECTION_DOUBLINGS: u32 = 4;

/// Learned limit of one upstream.
#[derive(Debug, Clone)]
pub struct Limit {
    cold: u32,
    ceiling: u32,
    current: f64,
    usual: Option<Duration>,
    recent: Duration,
    answers: u32,
    /// Requests admitted before this instant say nothing about the limit of now.
    decreased: Option<Instant>,
    failures: u32,
    ejections: u32,
    ejected_until: Option<Instant>,
}

impl Limit {
    /// The limit of a cold upstream that bears `cold` requests, and `ceiling` once it is warm.
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
            decreased: None,
            failures: 0,
            ejections: 0,
            ejected_until: None,
        }
    }

    /// Follows a changed declaration; the learned limit stays within it.
    pub fn set_bounds(&mut self, cold: u32, ceiling: u32) {
        self.ceiling = ceiling.max(1);
        self.cold = cold.clamp(1, self.ceiling);
        self.current = self.current.clamp(f64::from(self.cold), f64::from(self.ceiling));
    }

    /// Requests that the upstream may run at a time.
    #[must_use]
    pub const fn current(&self) -> u32 {
        self.current as u32
    }

    /// Usual time of an answer.
    #[must_use]
    pub const fn usual_time(&self) -> Option<Duration> {
        self.usual
    }

    /// Whether the upstream is ejected at `now`.
    #[must_use]
    pub fn is_ejected(&self, now: Instant) -> bool {
        self.ejected_until.is_some_and(|until| now < until)
    }

    /// Learned throughput in requests per 1000 seconds; never 0.
    #[must_use]
    pub fn weight(&self) -> u32 {
        let seconds = self.usual.map_or(1.0, |usual| usual.as_secs_f64().max(1e-4));
        ((self.current / seconds * 1000.0) as u32).max(1)
    }

    /// Notes a request that was admitted at `since` and answered at `now`, while `busy` requests
    /// ran.
    pub fn record_answer(&mut self, since: Instant, now: Instant, busy: u32) {
        let time = now.duration_since(since);
        self.failures = 0;
        self.answers = self.answers.saturating_add(1);
        let Some(usual) = self.usual else {
            (self.usual, self.recent) = (Some(time), time);
            return;
        };
        self.recent = smooth(self.recent, time, RECENT_SMOOTHING);
        if self.recent > usual.mul_f64(SLOW_RATIO) && busy > self.cold {
            self.decrease(since, now);
            self.recent = usual;
        } else if busy >= self.current() {
            self.increase();
        }
        let weight = USUAL_SMOOTHING.max(1.0 / f64::from(self.answers));
        self.usual = Some(smooth(usual, time, weight));
    }

    /// Notes a request that was admitted at `since` and failed at `now`.
    pub fn record_failure(&mut self, since: Instant, now: Instant) {
        self.failures += 1;
        self.decrease(since, now);
        if self.failures >= EJECTING_FAILURES && !self.is_ejected(now) {
            self.eject(now);
        }
    }

    /// Starts anew from the cold bound.
    pub fn reset_to_cold(&mut self, now: Instant) {
        self.current = f64::from(self.cold);
        self.decreased = Some(now);
    }

    fn increase(&mut self) {
        let step = 1.0 / ANSWERS_PER_STEP;
        self.current = (self.current + step).min(f64::from(self.ceiling));
        if self.current >= f64::from(self.ceiling) {
            self.ejections = 0;
        }
    }

    fn decrease(&mut self, since: Instant, now: Instant) {
        if self.decreased.is_some_and(|last| since < last) {
            return;
        }
        self.current = (self.current * DECREASE).max(f64::from(self.cold));
        self.decreased = Some(now);
    }

    fn eject(&mut self, now: Instant) {
        let doublings = self.ejections.min(EJECTION_DOUBLINGS);
        self.ejected_until = Some(now + EJECTION * 2_u32.pow(doublings));
        self.ejections += 1;
        self.failures = 0;
        self.reset_to_cold(now);
    }
}

/// Exponentially weighted mean.
fn smooth(mean: Duration, new: Duration, weight: f64) -> Duration {
    mean.mul_f64(1.0 - weight) + new.mul_f64(weight)
}
