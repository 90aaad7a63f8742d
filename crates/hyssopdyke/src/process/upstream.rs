//! What an upstream has said of itself.

use std::time::{Duration, Instant};

/// Heartbeats that may be missing before an upstream counts as gone.
const MISSED_HEARTBEATS: u32 = 3;

/// Heartbeats that may be missing before an upstream that did not say so has ended.
const LOST_HEARTBEATS: u32 = 12;

/// What an upstream says that it does.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Phase {
    /// Takes new flows.
    Serving,
    /// Takes no new flows and ends soon.
    Draining,
    /// Has ended.
    Gone,
}

/// One report of an upstream.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct UpstreamReport {
    /// Name of the upstream's process.
    pub instance: Box<str>,
    /// Start of the process, in milliseconds of its own clock; 0 where it is not told.
    pub started_ms: u64,
    /// Number of the report among those of the process.
    pub sequence: u64,
    /// Service that the upstream serves; `None` in a report that it is gone.
    pub service: Option<Box<str>>,
    /// Requests that it runs at a time.
    pub slots: u32,
    /// How much longer it is cold.
    pub warmup_left: Duration,
    /// What it does.
    pub phase: Phase,
}

impl UpstreamReport {
    /// The last report of a process.
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
}

/// What a report changed.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Change {
    /// Nothing: the report is a repeated one or a late one.
    None,
    /// Only what the upstream bears.
    Capacity,
    /// The phase is another one.
    Phase,
    /// The upstream is heard for the first time: it may have run before whoever listens has, and
    /// hold flows of that time.
    First,
    /// The upstream's process is another one, which knows no flow of the former one.
    Restarted,
}

/// The upstream beside an agent, as its reports show it.
#[derive(Debug)]
pub struct Upstream {
    interval: Duration,
    last: Option<UpstreamReport>,
    heard: Option<Instant>,
    cold_until: Option<Instant>,
}

impl Upstream {
    /// An upstream that reports at about this interval and was not heard yet.
    #[must_use]
    pub const fn new(interval: Duration) -> Self {
        Self { interval, last: None, heard: None, cold_until: None }
    }

    /// Takes in a report.
    pub fn report(&mut self, report: UpstreamReport, now: Instant) -> Change {
        let is_silent = !self.is_alive(now);
        let change = match &self.last {
            None if report.phase == Phase::Gone => return Change::None,
            None => Change::First,
            Some(last) if last.instance == report.instance && report.phase == Phase::Gone => {
                Change::Phase
            }
            Some(_) if report.phase == Phase::Gone => return Change::None,
            // The clock that a start is told by may have been set back meanwhile.
            Some(last) if report.started_ms < last.started_ms && !is_silent => return Change::None,
            Some(last)
                if last.instance != report.instance || report.started_ms != last.started_ms =>
            {
                Change::Restarted
            }
            // Late reports of a process that has ended must not bring it back.
            Some(last) if report.sequence <= last.sequence => return Change::None,
            Some(last) if last.phase != report.phase => Change::Phase,
            Some(_) => Change::Capacity,
        };
        self.heard = Some(now);
        self.cold_until = Some(now + report.warmup_left).filter(|_| !report.warmup_left.is_zero());
        let former = self.last.replace(report);
        if let (Some(last), Some(former)) = (&mut self.last, former)
            && last.phase == Phase::Gone
        {
            last.started_ms = former.started_ms;
        }
        change
    }

    /// Whether new flows may go to the upstream.
    #[must_use]
    pub fn is_serving(&self, now: Instant) -> bool {
        self.is_alive(now) && self.last.as_ref().is_some_and(|last| last.phase == Phase::Serving)
    }

    /// Whether the upstream has reported lately and has not said that it ends.
    #[must_use]
    pub fn is_alive(&self, now: Instant) -> bool {
        let patience = self.interval * MISSED_HEARTBEATS;
        let is_heard = self.heard.is_some_and(|heard| now.duration_since(heard) < patience);
        is_heard && self.last.as_ref().is_some_and(|last| last.phase != Phase::Gone)
    }

    /// Whether the upstream has said that it ended.
    #[must_use]
    pub fn is_gone(&self) -> bool {
        self.last.as_ref().is_some_and(|last| last.phase == Phase::Gone)
    }

    /// Whether the upstream may still be there: it has not said that it ended, and is silent only
    /// for so long that its reports may merely be late. One that was never heard is there if it is
    /// `new`.
    #[must_use]
    pub fn is_present(&self, now: Instant, new: bool) -> bool {
        let (Some(last), Some(heard)) = (&self.last, self.heard) else { return new };
        let patience = self.interval * LOST_HEARTBEATS;
        last.phase != Phase::Gone && now.duration_since(heard) < patience
    }

    /// Whether the upstream is cold.
    #[must_use]
    pub fn is_cold(&self, now: Instant) -> bool {
        self.cold_until.is_some_and(|until| now < until)
    }

    /// Its last report.
    #[must_use]
    pub const fn last_report(&self) -> Option<&UpstreamReport> {
        self.last.as_ref()
    }
}
