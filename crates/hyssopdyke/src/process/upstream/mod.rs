//! Status of an upstream, from its own reports.
//!
//! Reports may be late, or written by others, so that a report alone proves little:
//!
//! - A process replaces the one whose reports are followed only if that one has ended: it has reported
//!   its end after draining, its reports have stopped, or the upstream returns packets of flows that
//!   it had accepted. Until then, the other process is a [`Rival`], and its reports change nothing
//!   but how warm the upstream counts.
//! - A process that has made more reports than fit into the time since is no successor: it was there
//!   before, and holds its flows.
//! - A number below the last one is late, and one that is further above it than the process can have
//!   made reports is not its own, unless the process goes on reporting from there.
//! - A process that drains does not serve again, unless it goes on reporting that it serves.
//! - An end that does not follow on draining may be late as well. It is believed once no further report
//!   follows.
//!
//! No decision rests on the time of day, which may jump.

mod current;
mod report;

pub use report::{Phase, UpstreamReport};

use std::time::{Duration, Instant};

use current::{Current, FIRST_SEQUENCE, max_reports};

/// Missed heartbeats after which an upstream counts as down.
const DOWN_HEARTBEATS: u32 = 3;

/// Missed heartbeats after which an upstream counts as ended without having reported it.
const ENDED_HEARTBEATS: u32 = 12;

/// Missed heartbeats after which an upstream that has reported an unproven end has ended.
const END_HEARTBEATS: u32 = 2;

/// Time between the end of an agent's process and the start of the next one on the same VM, at least.
/// After a loss of power, upstream and agent start together, in any order.
const MIN_RESTART: Duration = Duration::from_millis(250);

/// Change that a report makes to the status of an upstream.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Change {
    /// No change: the report is a duplicate or late.
    None,
    /// No change: the report is of another process, and the one whose reports are followed may still
    /// be running.
    Unproven,
    /// Only the capacity may have changed.
    Capacity,
    /// The phase has changed.
    Phase,
    /// The first report. The upstream may have started before this process, and still hold flows
    /// of that time.
    First,
    /// The upstream's process was replaced by a new one, which holds no flows of the former one.
    Started,
    /// The upstream has gone on all the while, and the former reports were not its own.
    Corrected,
}

/// Process that reports while the one whose reports are followed may still be running.
#[derive(Debug)]
struct Rival {
    first: UpstreamReport,
    since: Instant,
    last: UpstreamReport,
}

/// Status of the upstream that an agent serves, derived from its reports.
#[derive(Debug)]
pub struct Upstream {
    interval: Duration,
    current: Option<Current>,
    rival: Option<Rival>,
    /// When the upstream last returned a packet of a flow that it had accepted.
    lost_flow_at: Option<Instant>,
    /// When the present process first reported, if it has replaced another one.
    succeeded_at: Option<Instant>,
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
            current: None,
            rival: None,
            lost_flow_at: None,
            succeeded_at: None,
            cold_until: None,
            is_warmth_unknown: false,
        }
    }

    /// Applies a report and returns what it changed.
    pub fn report(&mut self, report: UpstreamReport, now: Instant) -> Change {
        if report.phase == Phase::Gone {
            return self.report_end(&report.instance, now);
        }
        match &self.current {
            None => {
                self.follow(report, now, false);
                Change::First
            }
            Some(current) if current.last.is_of_same_process(&report) => {
                self.report_current(report, now)
            }
            Some(_) => self.report_rival(report, now),
        }
    }

    /// Records that the upstream has returned a packet of a flow that it had accepted, so that the
    /// process that accepted it has ended. Returns what that changes.
    pub fn record_lost_flow(&mut self, now: Instant) -> Change {
        self.lost_flow_at = Some(now);
        let has_reported_end =
            self.current.as_ref().is_some_and(|current| current.end_reported_at.is_some());
        if has_reported_end {
            return self.end();
        }
        self.promote_rival(now).unwrap_or(Change::None)
    }

    /// Ends an upstream that has reported an unproven end, and nothing since. Returns what that
    /// changes.
    pub fn check_end(&mut self, now: Instant) -> Change {
        let is_due = self.current.as_ref().is_some_and(|current| {
            current.end_reported_at.is_some() && self.has_ended(current, now)
        });
        // Another process that reports may be the upstream, whose end this was not.
        if is_due { self.promote_rival(now).unwrap_or_else(|| self.end()) } else { Change::None }
    }

    /// Returns whether the process whose reports are followed has ended, by its reports.
    fn has_ended(&self, current: &Current, now: Instant) -> bool {
        let is_over = |at, heartbeats| now.duration_since(at) >= self.interval * heartbeats;
        current.last.phase == Phase::Gone
            || is_over(current.reported_at, DOWN_HEARTBEATS)
            || current.end_reported_at.is_some_and(|at| is_over(at, END_HEARTBEATS))
    }

    /// Applies a report of the process whose reports are followed.
    fn report_current(&mut self, report: UpstreamReport, now: Instant) -> Change {
        let interval = self.interval;
        let Some(current) = &mut self.current else { return Change::None };
        let former = current.last.phase;
        if former == Phase::Gone {
            return Change::None;
        }
        let follows = current.follows(report.sequence, interval, now);
        let is_late = report.sequence <= current.last.sequence;
        if !follows && report.phase == Phase::Serving {
            return if is_late { Change::None } else { Change::Unproven };
        }
        let phase = current.next_phase(report.phase, interval, now);
        if !follows {
            current.last.phase = phase;
            return if phase == former { Change::None } else { Change::Phase };
        }
        current.reported_at = now;
        current.outlier = None;
        current.end_reported_at = None;
        self.rival = None;
        self.is_warmth_unknown = false;
        self.cold_until = cold_until(&report, now);
        current.last = UpstreamReport { phase, ..report };
        if phase == former { Change::Capacity } else { Change::Phase }
    }

    /// Applies a report of another process.
    fn report_rival(&mut self, report: UpstreamReport, now: Instant) -> Change {
        let cold_until = cold_until(&report, now);
        match &mut self.rival {
            Some(rival) if rival.first.is_of_same_process(&report) => {
                if report.sequence > rival.last.sequence {
                    rival.last = report;
                }
            }
            rival => *rival = Some(Rival { first: report.clone(), since: now, last: report }),
        }
        if let Some(change) = self.promote_rival(now) {
            return change;
        }
        // It may be the upstream's present process, and cold.
        self.cold_until = self.cold_until.max(cold_until);
        Change::Unproven
    }

    /// Follows the reports of the other process from now on, if the former one has ended.
    fn promote_rival(&mut self, now: Instant) -> Option<Change> {
        let (current, rival) = (self.current.as_ref()?, self.rival.as_ref()?);
        let time = rival.since.duration_since(current.reported_at);
        let may_succeed = rival.first.sequence <= max_reports(self.interval, time);
        let has_lost_flows = self.lost_flow_at.is_some_and(|at| at > current.reported_at);
        let change = if current.last.phase == Phase::Gone || has_lost_flows && may_succeed {
            Change::Started
        } else if !self.has_ended(current, now) {
            return None;
        } else if may_succeed {
            Change::Started
        } else {
            Change::Corrected
        };
        let Rival { since, last, .. } = self.rival.take()?;
        self.succeeded_at = Some(since).filter(|_| change == Change::Started);
        self.follow(last, now, change == Change::Started);
        Some(change)
    }

    /// Applies the report of a process's end.
    fn report_end(&mut self, instance: &str, now: Instant) -> Change {
        self.rival.take_if(|rival| *rival.first.instance == *instance);
        let Some(current) = &mut self.current else { return Change::None };
        if *current.last.instance != *instance {
            return Change::None;
        }
        if current.last.phase == Phase::Gone {
            return Change::None;
        }
        if current.has_drained(self.interval, now) {
            return self.end();
        }
        current.end_reported_at = current.end_reported_at.or(Some(now));
        let former = std::mem::replace(&mut current.last.phase, Phase::Draining);
        if former == Phase::Draining { Change::None } else { Change::Phase }
    }

    fn end(&mut self) -> Change {
        if let Some(current) = &mut self.current {
            current.last.phase = Phase::Gone;
            current.end_reported_at = None;
        }
        Change::Phase
    }

    fn follow(&mut self, report: UpstreamReport, now: Instant, is_successor: bool) {
        self.is_warmth_unknown = false;
        self.cold_until = cold_until(&report, now);
        self.current = Some(Current::new(report, now, is_successor));
    }

    /// Returns whether the upstream accepts new flows.
    #[must_use]
    pub fn is_serving(&self, now: Instant) -> bool {
        self.is_alive(now) && self.last_report().is_some_and(|last| last.phase == Phase::Serving)
    }

    /// Returns whether the upstream has reported recently and has not reported its end.
    #[must_use]
    pub fn is_alive(&self, now: Instant) -> bool {
        self.is_present_within(self.interval * DOWN_HEARTBEATS, now)
    }

    /// Returns whether the upstream has reported its end.
    #[must_use]
    pub fn is_gone(&self) -> bool {
        self.last_report().is_some_and(|last| last.phase == Phase::Gone)
    }

    /// Returns whether the upstream may still be running: it has not reported its end, and its
    /// reports are missing for so short a time that they may only be late. An upstream that never
    /// reported counts as running if it `is_new`.
    #[must_use]
    pub fn is_present(&self, now: Instant, is_new: bool) -> bool {
        match self.current {
            None => is_new,
            Some(_) => self.is_present_within(self.interval * ENDED_HEARTBEATS, now),
        }
    }

    fn is_present_within(&self, timeout: Duration, now: Instant) -> bool {
        self.current.as_ref().is_some_and(|current| {
            current.last.phase != Phase::Gone && now.duration_since(current.reported_at) < timeout
        })
    }

    /// Returns whether the upstream may have started before the agent's process, which started at
    /// `process`, so that a former process may have served it. `warmup` is the time for which an
    /// upstream is cold after its start.
    ///
    /// It has started later only if it has sent its first report to this process, or has made few
    /// reports and is cold for so short a time that it cannot be older.
    #[must_use]
    pub fn may_predate(&self, process: Instant, warmup: Duration) -> bool {
        let Some(Current { first, first_at, is_successor, .. }) = &self.current else {
            return true;
        };
        if *is_successor || first.sequence <= FIRST_SEQUENCE {
            return false;
        }
        let latest_age = first_at.saturating_duration_since(process) + MIN_RESTART;
        let age = warmup.checked_sub(first.warmup_left).filter(|_| !first.warmup_left.is_zero());
        first.sequence > max_reports(self.interval, latest_age)
            || age.is_none_or(|age| age > latest_age)
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

    /// Returns when the present process first reported, if it has replaced another one. The upstream
    /// holds no flow on which it has sent nothing since.
    #[must_use]
    pub const fn succeeded_at(&self) -> Option<Instant> {
        self.succeeded_at
    }

    /// Returns the last report.
    #[must_use]
    pub fn last_report(&self) -> Option<&UpstreamReport> {
        self.current.as_ref().map(|current| &current.last)
    }
}

/// Returns until when an upstream is cold, by a report that has just come.
fn cold_until(report: &UpstreamReport, now: Instant) -> Option<Instant> {
    let is_cold = !report.warmup_left.is_zero();
    now.checked_add(report.warmup_left).filter(|_| is_cold)
}
