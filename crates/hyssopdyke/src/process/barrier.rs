//! Tells when a home knows of every flow that its service's members own.
//!
//! After a change of members a new home may not place a flow before each member has reported, for
//! the same epoch, the flows that now belong to that home. A member that has reported for an
//! epoch refuses offers of the former home, so a flow is never placed by both.

use std::collections::{HashMap, HashSet};

use crate::vm;

#[derive(Debug, Default)]
struct Progress {
    epoch: u64,
    parts: HashSet<u32>,
    expected: u32,
}

/// Reports that are still missing.
#[derive(Debug, Default)]
pub struct Barrier {
    progress: HashMap<vm::Id, Progress>,
}

impl Barrier {
    /// A barrier that no member has reported to.
    #[must_use]
    pub fn new() -> Self {
        Self::default()
    }

    /// Notes one of `parts` parts of a member's report.
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

    /// Whether each of `members` has reported in full for `epoch`.
    pub fn is_complete(&self, epoch: u64, members: impl IntoIterator<Item = vm::Id>) -> bool {
        members.into_iter().all(|member| {
            self.progress.get(&member).is_some_and(|progress| {
                progress.epoch == epoch
                    && progress.expected > 0
                    && progress.parts.len() == progress.expected as usize
            })
        })
    }

    /// Forgets all reports but those of `members`.
    pub fn retain(&mut self, members: impl Fn(vm::Id) -> bool) {
        self.progress.retain(|member, _| members(*member));
    }
}
