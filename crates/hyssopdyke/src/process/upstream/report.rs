//! Heartbeat report of an upstream.

use std::time::Duration;

/// Phase in the life of an upstream, as the upstream reports it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Phase {
    /// The upstream accepts new flows.
    Serving,
    /// The upstream accepts no new flows and ends soon.
    Draining,
    /// The upstream has ended.
    Gone,
}

/// A heartbeat report of an upstream.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct UpstreamReport {
    /// Name of the upstream's process.
    pub instance: Box<str>,
    /// Start of the process, in milliseconds of its own clock; 0 if not reported. It only tells
    /// processes of the same name apart, since the clock may jump.
    pub started_ms: u64,
    /// Sequence number of the report, counted from 1 per process.
    pub sequence: u64,
    /// Service that the upstream serves; `None` in a final report.
    pub service: Option<Box<str>>,
    /// Maximum number of concurrent requests.
    pub slots: u32,
    /// Remaining warm-up time.
    pub warmup_left: Duration,
    /// Phase of the upstream.
    pub phase: Phase,
}

impl UpstreamReport {
    /// Creates the final report of a process.
    #[must_use]
    pub const fn gone(instance: Box<str>) -> Self {
        Self {
            instance,
            started_ms: 0,
            sequence: u64::MAX,
            service: None,
            slots: 0,
            warmup_left: Duration::ZERO,
            phase: Phase::Gone,
        }
    }

    /// Returns whether both reports are of the same process.
    #[must_use]
    pub fn is_of_same_process(&self, other: &Self) -> bool {
        self.instance == other.instance && self.started_ms == other.started_ms
    }
}
