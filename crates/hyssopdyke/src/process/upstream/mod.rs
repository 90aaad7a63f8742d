//! Status of an upstream, from its own reports.

use std::time::{Duration, Instant};

/// Missed heartbeats after which an upstream counts as down.
const DOWN_HEARTBEATS: u32 = 3;

/// Missed heartbeats after which an upstream counts as ended without having reported it.
const ENDED_HEARTBEATS: u32 = 12;

/// Time between the end of an agent's process and the start of the next one on the same VM, at least.
/// After a loss of power, upstream and agent start together, in any order.
const MIN_RESTART: Duration = Duration::from_millis(250);

/// Sequence number of an upstream's first report.
const FIRST_SEQUENCE: u64 = 1;

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
    /// Start of the process, in milliseconds of its own clock; 0 if not reported.
    pub started_ms: u64,
    /// Sequence number of the report, counted per process.
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
}

/// Change that a report makes to the status of an upstream.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Change {
    /// No change: the report is a duplicate or late.
    None,
    /// Only the capacity may have changed.
    Capacity,
    /// The phase has changed.
    Phase,
    /// The first report. The upstream may have started before this process, and still hold flows
    /// of that time.
    First,
    /// The upstream's process was replaced by a new one, which holds no flows of the former one.
    Started,
}

/// Start of the agent's process.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ProcessStart {
    /// By the clock that does not jump.
    pub at: Instant,
    /// By the time of day, as Unix time in milliseconds.
    pub unix_ms: u64,
}

/// First report of an upstream's process to the agent's process.
#[derive(Debug)]
struct FirstReport {
    report: UpstreamReport,
    at: Instant,
    /// Whether the upstream has replaced one that had reported to the agent's process.
    is_successor: bool,
}

/// Status of the upstream that an agent serves, derived from its reports.
#[derive(Debug)]
pub struct Upstream {
    interval: Duration,
    first: Option<FirstReport>,
    last: Option<UpstreamReport>,
    reported_at: Option<Instant>,
    cold_until: Option<Instant>,
    /// Whether the upstream counts as cold until its next report.
    is_warmth_unknown: bool,
}

impl Upstream {
    /// Creates the status of an upstream that has not reported yet and reports about once per
    /// `interval`.
    #[must_use]
    pub const fn new(interval: Duration) -> Self {
        Self {
            interval,
            first: None,
            last: None,
            reported_at: None,
            cold_until: None,
            is_warmth_unknown: false,
        }
    }

    /// Applies a report and returns what it changed.
    pub fn report(&mut self, report: UpstreamReport, now: Instant) -> Change {
        let is_down = !self.is_alive(now);
        let change = match &self.last {
            None if report.phase == Phase::Gone => return Change::None,
            None => Change::First,
            Some(last) if last.instance == report.instance && report.phase == Phase::Gone => {
                Change::Phase
            }
            Some(_) if report.phase == Phase::Gone => return Change::None,
            // Once the upstream is down, an earlier start time counts as a restart, since the
            // upstream's clock may have been set back.
            Some(last) if report.started_ms < last.started_ms && !is_down => return Change::None,
            Some(last)
                if last.instance != report.instance || report.started_ms != last.started_ms =>
            {
                Change::Started
            }
            // Late reports of a process that has ended must not mark it as running again.
            Some(last) if report.sequence <= last.sequence => return Change::None,
            Some(last) if last.phase != report.phase => Change::Phase,
            Some(_) => Change::Capacity,
        };
        if matches!(change, Change::First | Change::Started) {
            let is_successor = change == Change::Started;
            self.first = Some(FirstReport { report: report.clone(), at: now, is_successor });
        }
        self.reported_at = Some(now);
        self.is_warmth_unknown = false;
        let is_cold = !report.warmup_left.is_zero();
        self.cold_until = now.checked_add(report.warmup_left).filter(|_| is_cold);
        let former = self.last.replace(report);
        if let (Some(last), Some(former)) = (&mut self.last, former)
            && last.phase == Phase::Gone
        {
            last.started_ms = former.started_ms;
        }
        change
    }

    /// Returns whether the upstream accepts new flows.
    #[must_use]
    pub fn is_serving(&self, now: Instant) -> bool {
        self.is_alive(now) && self.last.as_ref().is_some_and(|last| last.phase == Phase::Serving)
    }

    /// Returns whether the upstream has reported recently and has not reported its end.
    #[must_use]
    pub fn is_alive(&self, now: Instant) -> bool {
        let timeout = self.interval * DOWN_HEARTBEATS;
        let is_recent = self.reported_at.is_some_and(|at| now.duration_since(at) < timeout);
        is_recent && self.last.as_ref().is_some_and(|last| last.phase != Phase::Gone)
    }

    /// Returns whether the upstream has reported its end.
    #[must_use]
    pub fn is_gone(&self) -> bool {
        self.last.as_ref().is_some_and(|last| last.phase == Phase::Gone)
    }

    /// Returns whether the upstream may still be running: it has not reported its end, and its
    /// reports are missing for so short a time that they may only be late. An upstream that never
    /// reported counts as running if it `is_new`.
    #[must_use]
    pub fn is_present(&self, now: Instant, is_new: bool) -> bool {
        let (Some(last), Some(at)) = (&self.last, self.reported_at) else { return is_new };
        let timeout = self.interval * ENDED_HEARTBEATS;
        last.phase != Phase::Gone && now.duration_since(at) < timeout
    }

    /// Returns whether the upstream may have started before the agent's process, so that a former
    /// process may have served it. `warmup` is the time for which an upstream is cold after its start.
    ///
    /// The time of day may have jumped between the two starts, so that it is not enough that it
    /// tells of a later start of the upstream: the upstream must also have sent its first report to
    /// this process, or be cold for so short a time that it must have started later.
    #[must_use]
    pub fn may_predate(&self, process: ProcessStart, warmup: Duration) -> bool {
        let Some(FirstReport { report, at, is_successor }) = &self.first else { return true };
        if *is_successor || report.sequence <= FIRST_SEQUENCE {
            return false;
        }
        let latest_age = at.saturating_duration_since(process.at) + MIN_RESTART;
        let age = warmup.checked_sub(report.warmup_left).filter(|_| !report.warmup_left.is_zero());
        let former_process_end = process.unix_ms.saturating_sub(MIN_RESTART.as_millis() as u64);
        report.started_ms < former_process_end || age.is_none_or(|age| age > latest_age)
    }

    /// Lets the upstream count as cold until its next report: it may have become cold since the last.
    pub const fn forget_warmth(&mut self) {
        self.is_warmth_unknown = true;
    }

    /// Returns whether the upstream is or may be cold.
    #[must_use]
    pub fn is_cold(&self, now: Instant) -> bool {
        self.is_warmth_unknown || self.cold_until.is_some_and(|until| now < until)
    }

    /// Returns the last report.
    #[must_use]
    pub const fn last_report(&self) -> Option<&UpstreamReport> {
        self.last.as_ref()
    }
}
