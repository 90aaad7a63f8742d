//! Members of the services that share routes.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;

use super::Ranking;
use crate::vm;

/// An upstream and its agent.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Member {
    /// Hash of the VM's name.
    pub vm: vm::Id,
    /// The VM's name.
    pub name: Box<str>,
    /// Service that the upstream serves.
    pub service: Box<str>,
    /// Failure domain.
    pub domain: Box<str>,
    /// Address of the agent's socket for datagrams of other daemons.
    pub address: SocketAddr,
    /// Identity of the agent's process.
    pub boot: u64,
    /// Revision at which the agent's process was admitted.
    pub incarnation: u64,
    /// Whether the agent chooses homes among a bounded number of members.
    pub has_bounded_homes: bool,
    /// Whether the upstream accepts no new flows.
    pub is_draining: bool,
}

/// Declared capacity of one upstream of a service.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Capacity {
    /// Maximum number of connections.
    pub connections: u32,
    /// Maximum number of concurrent requests.
    pub slots: u32,
    /// Maximum number of concurrent requests while the upstream is cold.
    pub cold_slots: u32,
    /// Time after its start for which an upstream is cold.
    pub warmup: Duration,
    /// Maximum number of new flows per 1000 seconds while the upstream is cold; 0 if not declared.
    pub cold_rate: u32,
}

/// Members of the services that share routes, and the capacity of one upstream of each service.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Pool {
    /// Revision of the last change of the members.
    pub epoch: u64,
    /// Revision of the last change of the homes.
    pub home_epoch: u64,
    /// Members among which the homes of all flows are chosen, by id.
    pub homes: Vec<vm::Id>,
    /// Capacity of one upstream, by service name.
    pub services: BTreeMap<Box<str>, Capacity>,
    /// Members whose failure domains were not taken out, by id.
    pub members: Vec<Member>,
    /// Upstreams whose failure domains were taken out, by id.
    pub out_members: Vec<Member>,
    /// VMs whose agents have stopped and are expected back, and whose upstreams may hold flows.
    pub away: Vec<vm::Id>,
}

impl Pool {
    /// Returns the members among which the homes are chosen. All members are homes as long as the
    /// agent of one of them has a version that knows no others.
    #[must_use]
    pub(super) fn select_homes(members: &[Member]) -> Vec<vm::Id> {
        let mut all: Vec<vm::Id> = members.iter().map(|member| member.vm).collect();
        if Self::has_bounded_homes(members) {
            return Ranking::homes(all);
        }
        all.sort_unstable();
        all
    }

    /// Returns whether the agents of all members choose homes among a bounded number of members.
    pub(super) fn has_bounded_homes(members: &[Member]) -> bool {
        members.iter().all(|member| member.has_bounded_homes)
    }

    /// Returns the member on a VM.
    #[must_use]
    pub fn member(&self, vm: vm::Id) -> Option<&Member> {
        let index = self.members.binary_search_by_key(&vm, |member| member.vm).ok()?;
        self.members.get(index)
    }

    /// Returns all members, followed by the upstreams whose failure domains were taken out.
    pub fn all_members(&self) -> impl Iterator<Item = &Member> {
        self.members.iter().chain(&self.out_members)
    }

    /// Returns the member on a VM, including upstreams whose failure domains were taken out.
    #[must_use]
    pub fn find(&self, vm: vm::Id) -> Option<&Member> {
        self.member(vm).or_else(|| self.out_members.iter().find(|member| member.vm == vm))
    }

    /// Returns whether the member on a VM is the home of some flows.
    #[must_use]
    pub fn is_home(&self, vm: vm::Id) -> bool {
        self.homes.binary_search(&vm).is_ok()
    }

    /// Returns the revision from which on the member on a VM needs the reports of all other
    /// members: that of its process's admission or, for a home, of a later change of the homes.
    #[must_use]
    pub fn report_epoch(&self, vm: vm::Id) -> Option<u64> {
        let incarnation = self.find(vm)?.incarnation;
        Some(if self.is_home(vm) { self.home_epoch.max(incarnation) } else { incarnation })
    }

    /// Returns the two highest-ranked homes for a flow, the first being the flow's home.
    #[must_use]
    pub fn top_two(&self, flow: u64) -> (Option<vm::Id>, Option<vm::Id>) {
        Ranking::top_two(flow, self.homes.iter().copied())
    }

    /// Returns the highest-ranked home for a flow that is not excluded, or the flow's home if all
    /// homes are excluded.
    #[must_use]
    pub fn fallback_home(&self, flow: u64, is_excluded: impl Fn(vm::Id) -> bool) -> Option<vm::Id> {
        let remaining = self.homes.iter().copied().filter(|vm| !is_excluded(*vm));
        let (fallback, _) = Ranking::top_two(flow, remaining);
        fallback.or_else(|| self.top_two(flow).0)
    }

    /// Returns the home of a flow, the member that decides which member owns it.
    #[must_use]
    pub fn home(&self, flow: u64) -> Option<&Member> {
        self.member(self.top_two(flow).0?)
    }

    /// Returns whether `vm` keeps the record of a flow of `owner`. The record is kept by the flow's
    /// home and, if the owner is the home, also by the second-ranked member.
    #[must_use]
    pub fn is_record_holder(&self, flow: u64, owner: vm::Id, vm: vm::Id) -> bool {
        let (first, second) = self.top_two(flow);
        if first == Some(owner) { second == Some(vm) || owner == vm } else { first == Some(vm) }
    }
}
