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
    /// Capacity of one upstream, by service name.
    pub services: BTreeMap<Box<str>, Capacity>,
    /// Members whose failure domains were not taken out, by id.
    pub members: Vec<Member>,
    /// Upstreams whose failure domains were taken out, by id.
    pub out_members: Vec<Member>,
}

impl Pool {
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

    /// Returns the two highest-ranked members for a flow, the first being its home.
    #[must_use]
    pub fn top_two(&self, flow: u64) -> (Option<vm::Id>, Option<vm::Id>) {
        Ranking::top_two(flow, self.members.iter().map(|member| member.vm))
    }

    /// Returns the highest-ranked member for a flow that is not excluded, or the home if all
    /// members are excluded.
    #[must_use]
    pub fn fallback_home(&self, flow: u64, is_excluded: impl Fn(vm::Id) -> bool) -> Option<vm::Id> {
        let all = || self.members.iter().map(|member| member.vm);
        let (fallback, _) = Ranking::top_two(flow, all().filter(|vm| !is_excluded(*vm)));
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
