//! The members of the services that share routes.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;

use super::Ranking;
use crate::vm;

/// An upstream with its agent.
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
    /// Agent's socket for datagrams of other daemons.
    pub address: SocketAddr,
    /// Identity of the agent's process.
    pub boot: u64,
    /// Takes no new flows.
    pub is_draining: bool,
}

/// What one upstream of a service bears.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Capacity {
    /// Connections.
    pub connections: u32,
    /// Requests that it runs at a time.
    pub slots: u32,
    /// Requests that it runs at a time while it is cold.
    pub cold_slots: u32,
    /// Time for which it is cold after its start.
    pub warmup: Duration,
    /// New flows that it bears in 1000 seconds while it is cold; 0 where that is not declared.
    pub cold_rate: u32,
}

/// The members of the services that share routes, and what one of each bears.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Pool {
    /// Revision of the last change of the members.
    pub epoch: u64,
    /// The services by name.
    pub services: BTreeMap<Box<str>, Capacity>,
    /// Members in failure domains that are in, by id.
    pub members: Vec<Member>,
    /// Upstreams in failure domains that are out, by id.
    pub out_members: Vec<Member>,
}

impl Pool {
    /// The member on a VM.
    #[must_use]
    pub fn member(&self, vm: vm::Id) -> Option<&Member> {
        let index = self.members.binary_search_by_key(&vm, |member| member.vm).ok()?;
        self.members.get(index)
    }

    /// All members, and the upstreams whose failure domains are out.
    pub fn all_members(&self) -> impl Iterator<Item = &Member> {
        self.members.iter().chain(&self.out_members)
    }

    /// The member on a VM, or the upstream there whose failure domain is out.
    #[must_use]
    pub fn find(&self, vm: vm::Id) -> Option<&Member> {
        self.member(vm).or_else(|| self.out_members.iter().find(|member| member.vm == vm))
    }

    /// The first and the second member for a flow.
    #[must_use]
    pub fn top_two(&self, flow: u64) -> (Option<vm::Id>, Option<vm::Id>) {
        Ranking::top_two(flow, self.members.iter().map(|member| member.vm))
    }

    /// The highest-ranked member for a flow that `is_spared` does not name, or the home where it
    /// names all.
    #[must_use]
    pub fn fallback_home(&self, flow: u64, is_spared: impl Fn(vm::Id) -> bool) -> Option<vm::Id> {
        let all = || self.members.iter().map(|member| member.vm);
        let (stand_in, _) = Ranking::top_two(flow, all().filter(|vm| !is_spared(*vm)));
        stand_in.or_else(|| self.top_two(flow).0)
    }

    /// The member that decides who owns a flow.
    #[must_use]
    pub fn home(&self, flow: u64) -> Option<&Member> {
        self.member(self.top_two(flow).0?)
    }

    /// Whether `vm` keeps the record of a flow of `owner`: as its home, or as the second-ranked
    /// member where the owner is the home itself.
    #[must_use]
    pub fn is_record_holder(&self, flow: u64, owner: vm::Id, vm: vm::Id) -> bool {
        let (first, second) = self.top_two(flow);
        if first == Some(owner) { second == Some(vm) || owner == vm } else { first == Some(vm) }
    }
}
