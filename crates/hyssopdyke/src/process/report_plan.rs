//! Decides which full reports a member owes the others after a change of members.
//!
//! A process that has just started needs the records of its flows from all members. A home needs
//! the records and the flows of all members, once for each change of the homes. All other members
//! need nothing, so that most changes of a large group cost each member one message.

use std::collections::HashMap;

use hyssopdyke_wire::datagram::Stage;

use crate::version::Pool;
use crate::vm;

/// A full report that is due.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Due {
    /// Member that needs the report.
    pub to: vm::Id,
    /// Revision from which on the member needs it.
    pub epoch: u64,
}

impl Due {
    /// Returns whether a full report that was queued earlier is still needed by its receiver.
    #[must_use]
    pub fn is_needed(self, pool: &Pool, stage: Stage) -> bool {
        let epoch = pool.member(self.to).and_then(|_| pool.report_epoch(self.to));
        match stage {
            Stage::Own => pool.is_home(self.to) && epoch == Some(self.epoch),
            Stage::Records | Stage::Unspecified => epoch.is_some_and(|epoch| self.epoch >= epoch),
        }
    }

    /// Returns whether the receiver of a full report can count it.
    ///
    /// Records are welcome from a sender that knows later homes. Flows are not: before they count,
    /// their owner must have stopped to accept offers of earlier homes, and this home must know
    /// that it is one.
    #[must_use]
    pub fn is_expected(self, pool: &Pool, stage: Stage) -> bool {
        let epoch = pool.report_epoch(self.to).unwrap_or(0);
        match stage {
            Stage::Own => self.epoch == epoch,
            Stage::Records | Stage::Unspecified => self.epoch >= epoch,
        }
    }
}

/// Full reports that a member has made, by receiver, with the revision from which on each was
/// needed.
#[derive(Debug, Clone, Default)]
pub struct ReportPlan {
    records: HashMap<vm::Id, u64>,
    owned: HashMap<vm::Id, u64>,
}

impl ReportPlan {
    /// Creates a plan in which no report was made.
    #[must_use]
    pub fn new() -> Self {
        Self::default()
    }

    /// Returns the members to which the member on `own_id` must report its records of other
    /// members' flows, and counts these reports as made.
    pub fn take_due_records(&mut self, pool: &Pool, own_id: vm::Id) -> Vec<Due> {
        let receivers = pool.members.iter().map(|member| member.vm);
        take_due(&mut self.records, pool, receivers.filter(|vm| *vm != own_id))
    }

    /// Returns the homes to which the member on `own_id` must report its own flows, and counts
    /// these reports as made.
    pub fn take_due_owned(&mut self, pool: &Pool, own_id: vm::Id) -> Vec<Due> {
        let receivers = pool.homes.iter().copied();
        take_due(&mut self.owned, pool, receivers.filter(|vm| *vm != own_id))
    }

    /// Forgets the reports to receivers for which `is_member` returns false.
    pub fn retain(&mut self, is_member: impl Fn(vm::Id) -> bool) {
        self.records.retain(|vm, _| is_member(*vm));
        self.owned.retain(|vm, _| is_member(*vm));
    }

    /// Forgets all reports, since the receivers have dropped them.
    pub fn clear(&mut self) {
        self.records.clear();
        self.owned.clear();
    }
}

fn take_due(
    made: &mut HashMap<vm::Id, u64>,
    pool: &Pool,
    receivers: impl Iterator<Item = vm::Id>,
) -> Vec<Due> {
    let needed = receivers.filter_map(|to| Some(Due { to, epoch: pool.report_epoch(to)? }));
    let due: Vec<Due> =
        needed.filter(|due| made.get(&due.to).is_none_or(|epoch| *epoch < due.epoch)).collect();
    made.extend(due.iter().map(|due| (due.to, due.epoch)));
    due
}
