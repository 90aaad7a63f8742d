//! Detects whether a process is isolated from all peers outside its failure domain.
//!
//! Silence alone is no proof of isolation, since peers may have nothing to send. So the process
//! sends probes while it receives nothing, and counts as isolated once several probes to different
//! processes were not answered.

use std::time::{Duration, Instant};

/// Silence, or time since the last probe, after which a probe is sent.
const PROBE_INTERVAL: Duration = Duration::from_millis(150);

/// Silence after which a process counts as isolated: many times the longest round trip, and less
/// than callers wait for an answer.
const ISOLATION_TIMEOUT: Duration = Duration::from_millis(600);

/// Unanswered probes before a process counts as isolated, so that a few lost datagrams or a pause
/// of the process itself do not count.
const UNANSWERED_PROBES: u32 = 3;

/// Time of the last datagram from outside the failure domain, and the probes sent since.
#[derive(Debug, Clone, Copy)]
pub struct Reachability {
    received_at: Instant,
    probed_at: Option<Instant>,
    /// Probes sent since the last received datagram.
    probes: u32,
}

impl Reachability {
    /// Creates the state of a process that starts at `now`.
    #[must_use]
    pub const fn new(now: Instant) -> Self {
        Self { received_at: now, probed_at: None, probes: 0 }
    }

    /// Records a datagram from outside the failure domain.
    pub const fn record_received(&mut self, now: Instant) {
        self.received_at = now;
        self.probes = 0;
    }

    /// Returns whether a probe is due, and records it as sent.
    pub fn take_probe(&mut self, now: Instant) -> bool {
        let last = self.probed_at.map_or(self.received_at, |probed| probed.max(self.received_at));
        let is_due = now.saturating_duration_since(last) >= PROBE_INTERVAL;
        if is_due {
            self.probed_at = Some(now);
            self.probes += 1;
        }
        is_due
    }

    /// Returns whether the process is isolated from all peers outside its failure domain.
    #[must_use]
    pub fn is_isolated(&self, now: Instant) -> bool {
        // The last probe may still be answered.
        let is_answerable = self.probed_at.is_some_and(|probed| now - probed < PROBE_INTERVAL);
        let probes = self.probes - u32::from(is_answerable && self.probes > 0);
        probes >= UNANSWERED_PROBES
            && now.saturating_duration_since(self.received_at) >= ISOLATION_TIMEOUT
    }
}
