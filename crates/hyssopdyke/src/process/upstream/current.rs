//! Process whose reports an agent follows.

use std::time::{Duration, Instant};

use super::{Phase, UpstreamReport};

/// Reports that a process makes per heartbeat interval, at most. It repeats one that failed.
const MAX_REPORTS_PER_HEARTBEAT: u32 = 4;

/// Sequence number of an upstream's first report.
pub(super) const FIRST_SEQUENCE: u64 = 1;

/// Process whose reports are followed.
#[derive(Debug)]
pub(super) struct Current {
    /// First report to the agent's process, and its arrival.
    pub(super) first: UpstreamReport,
    pub(super) first_at: Instant,
    pub(super) last: UpstreamReport,
    pub(super) reported_at: Instant,
    /// Whether it has replaced a process that had reported to the agent's process.
    pub(super) is_successor: bool,
    /// Last report whose number does not follow, and its arrival.
    pub(super) outlier: Option<(u64, Instant)>,
    /// When it began to drain; `None` if that was before the first report.
    pub(super) draining_since: Option<Instant>,
    /// First report since it drains that says otherwise.
    pub(super) serving_since: Option<Instant>,
    /// When it reported an end that is not proven.
    pub(super) end_reported_at: Option<Instant>,
}

impl Current {
    pub(super) fn new(report: UpstreamReport, now: Instant, is_successor: bool) -> Self {
        Self {
            first: report.clone(),
            first_at: now,
            last: report,
            reported_at: now,
            is_successor,
            outlier: None,
            draining_since: None,
            serving_since: None,
            end_reported_at: None,
        }
    }

    /// Returns the phase after a report, which may be late.
    ///
    /// A process that drains does not serve again. Only if it goes on to report that it serves was its
    /// draining not reported by itself.
    pub(super) fn next_phase(
        &mut self,
        reported: Phase,
        interval: Duration,
        now: Instant,
    ) -> Phase {
        if self.last.phase == Phase::Serving && reported == Phase::Draining {
            self.draining_since = Some(now);
        }
        if self.last.phase == Phase::Serving || reported != Phase::Serving {
            self.serving_since = None;
            return reported;
        }
        let since = *self.serving_since.get_or_insert(now);
        let is_serving = now.duration_since(since) >= interval / 2;
        if is_serving { Phase::Serving } else { Phase::Draining }
    }

    /// Returns whether the process has drained for so long that its end follows.
    pub(super) fn has_drained(&self, interval: Duration, now: Instant) -> bool {
        let is_long = self.draining_since.is_none_or(|at| now.duration_since(at) >= interval);
        let is_consistent = self.serving_since.is_none() && self.end_reported_at.is_none();
        self.last.phase == Phase::Draining && is_consistent && is_long
    }

    /// Returns whether the number of a report follows the last one, or shows that the process goes on
    /// to report from another number.
    pub(super) fn follows(&mut self, sequence: u64, interval: Duration, now: Instant) -> bool {
        let is_next = |last: u64, at: Instant| {
            let max_reports = max_reports(interval, now.duration_since(at));
            sequence > last && sequence - last <= max_reports
        };
        if is_next(self.last.sequence, self.reported_at) {
            return true;
        }
        if sequence == self.last.sequence {
            return false;
        }
        let outlier = self.outlier.replace((sequence, now));
        let is_silent = now.duration_since(self.reported_at) >= interval;
        is_silent && outlier.is_some_and(|(last, at)| is_next(last, at))
    }
}

/// Returns how many reports a process can have made within `time` after its start.
pub(super) fn max_reports(interval: Duration, time: Duration) -> u64 {
    let shortest = (interval / MAX_REPORTS_PER_HEARTBEAT).max(Duration::from_millis(1));
    FIRST_SEQUENCE.saturating_add((time.as_millis() / shortest.as_millis()) as u64)
}
