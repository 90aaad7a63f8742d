//! Tracks whether a home has records of all flows that its service's members own.
//!
//! After a change of the homes, a home may not place a flow before each member has reported, for
//! the same epoch, its flows that now belong to that home. A member that has reported for an epoch
//! rejects offers of the former home, so that a flow is never placed by both homes.

use std::collections::{HashMap, HashSet};

use crate::vm;

#[derive(Debug, Default)]
struct Progress {
    epoch: u64,
    parts: HashSet<u32>,
    expected: u32,
}

impl Progress {
    fn is_complete(&self) -> bool {
        self.expected > 0 && self.parts.len() == self.expected as usize
    }
}

/// Progress of the members' reports.
#[derive(Debug, Default)]
pub struct Barrier {
    progress: HashMap<vm::Id, Progress>,
}

impl Barrier {
    /// Creates a barrier without reports.
    #[must_use]
    pub fn new() -> Self {
        Self::default()
    }

    /// Records one of `parts` parts of a member's report. Parts of earlier epochs are ignored.
    pub fn record_part(&mut self, member: vm::Id, epoch: u64, part: u32, parts: u32) {
        let progress = self.progress.entry(member).or_default();
        if epoch < progress.epoch {
            return;
        }
        if epoch > progress.epoch {
            *progress = Progress { epoch, ..Progress::default() };
        }
        progress.expected = parts;
        if part < parts {
            progress.parts.insert(part);
        }
    }

    /// Returns whether each of `members` has sent all parts of its report for `epoch`.
    pub fn is_complete(&self, epoch: u64, members: impl IntoIterator<Item = vm::Id>) -> bool {
        let reported = |progress: &Progress| progress.epoch == epoch && progress.is_complete();
        members.into_iter().all(|member| self.progress.get(&member).is_some_and(reported))
    }

    /// Returns whether each of `members` has sent all parts of its report for `epoch` or a later
    /// one.
    pub fn is_complete_since(&self, epoch: u64, members: impl IntoIterator<Item = vm::Id>) -> bool {
        let reported = |progress: &Progress| progress.epoch >= epoch && progress.is_complete();
        members.into_iter().all(|member| self.progress.get(&member).is_some_and(reported))
    }

    /// Drops the reports for epochs before `epoch`.
    ///
    /// Those of members that have left are kept: such a member may be back already, and have
    /// reported again, in a revision that this process has not applied yet.
    pub fn forget_before(&mut self, epoch: u64) {
        self.progress.retain(|_, progress| progress.epoch >= epoch);
    }
}
