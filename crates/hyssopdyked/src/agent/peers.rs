//! What an agent knows of the other members of its service.

use std::collections::{HashMap, HashSet};
use std::net::SocketAddr;
use std::time::{Duration, Instant};

use hyssopdyke::request::Candidate;
use hyssopdyke::version::{Member, Pool};
use hyssopdyke::vm;
use hyssopdyke_wire::datagram::Load;

/// Silence after which a member is gone or cut off: it sends two datagrams a second, of which
/// none is likely to come only over a link that loses most.
const SILENCE: Duration = Duration::from_millis(2500);

/// Time in which an upstream answers as many requests as its weight says.
const WEIGHED: Duration = Duration::from_secs(1000);

/// Addresses and last reported loads of the members.
#[derive(Debug, Default)]
pub(super) struct Peers {
    ids: HashMap<SocketAddr, vm::Id>,
    loads: HashMap<vm::Id, Load>,
    /// Members that have not answered an offer and were not heard since.
    suspects: HashSet<vm::Id>,
    /// When each member was last heard, or became one.
    heard: HashMap<vm::Id, Instant>,
}

impl Peers {
    /// Follows a change of members.
    pub(super) fn follow(&mut self, pool: &Pool, now: Instant) {
        self.heard.retain(|vm, _| pool.find(*vm).is_some());
        for member in pool.all_members() {
            self.heard.entry(member.vm).or_insert(now);
        }
        self.ids = pool.all_members().map(|member| (member.address, member.vm)).collect();
        self.loads.retain(|vm, _| pool.find(*vm).is_some());
        self.suspects.retain(|vm| pool.member(*vm).is_some());
    }

    /// The member at an address.
    pub(super) fn id(&self, address: SocketAddr) -> Option<vm::Id> {
        self.ids.get(&address).copied()
    }

    /// Notes that a member has not answered an offer.
    pub(super) fn suspect(&mut self, vm: vm::Id) {
        self.suspects.insert(vm);
    }

    /// Notes that a member was heard.
    pub(super) fn heard(&mut self, address: SocketAddr, now: Instant) {
        let Some(vm) = self.id(address) else { return };
        self.heard.insert(vm, now);
        if !self.suspects.is_empty() {
            self.suspects.remove(&vm);
        }
    }

    /// Whether a member was not heard for so long that it must be gone or cut off.
    fn is_silent(&self, vm: vm::Id, now: Instant) -> bool {
        self.heard.get(&vm).is_some_and(|heard| now.duration_since(*heard) >= SILENCE)
    }

    /// Members that can be asked for a flow, those in failure domains that are out among them.
    ///
    /// `me` hears nothing from itself, and is never silent.
    pub(super) fn heard_members(
        &self,
        pool: &Pool,
        me: vm::Id,
        now: Instant,
    ) -> impl Iterator<Item = vm::Id> {
        let known = pool.all_members().map(|member| member.vm);
        known.filter(move |vm| *vm == me || !self.is_silent(*vm, now))
    }

    /// Notes a member's load.
    pub(super) fn note(&mut self, vm: vm::Id, load: Load) {
        self.loads.insert(vm, load);
    }

    /// Members that may take a new flow, without those that declined it.
    ///
    /// Ejected members are left out, unless fewer than half of the service would be left.
    pub(super) fn candidates(
        &self,
        pool: &Pool,
        service: &str,
        declined: &[vm::Id],
    ) -> Vec<Candidate> {
        let takes_ejected = self.takes_ejected(pool, service);
        let active = self.active(pool, service);
        let candidates: Vec<Candidate> = active
            .filter(|member| takes_ejected || !self.is_ejected(member.vm))
            .filter(|member| !declined.contains(&member.vm))
            .map(|member| Candidate {
                vm: member.vm,
                weight: self.loads.get(&member.vm).map_or(0, |load| load.weight),
            })
            .collect();
        let is_heard = |candidate: &&Candidate| !self.suspects.contains(&candidate.vm);
        let heard: Vec<Candidate> = candidates.iter().filter(is_heard).copied().collect();
        if heard.is_empty() { candidates } else { heard }
    }

    /// Whether so many members are ejected that these must serve as well.
    pub(super) fn takes_ejected(&self, pool: &Pool, service: &str) -> bool {
        let active = || self.active(pool, service);
        let sound = active().filter(|member| !self.is_ejected(member.vm)).count();
        sound * 2 < active().count()
    }

    /// Members of a service whose upstreams take new flows.
    fn active<'a>(
        &'a self,
        pool: &'a Pool,
        service: &'a str,
    ) -> impl Iterator<Item = &'a Member> + 'a {
        let members = pool.members.iter().filter(move |member| *member.service == *service);
        members.filter(|member| !member.is_draining && !self.is_closed(member.vm))
    }

    fn is_closed(&self, vm: vm::Id) -> bool {
        self.loads.get(&vm).is_some_and(|load| load.closed)
    }

    fn is_ejected(&self, vm: vm::Id) -> bool {
        self.loads.get(&vm).is_some_and(|load| load.ejected)
    }

    /// The candidate at which a request waits least for a slot, by what was last heard.
    pub(super) fn least_wait(&self, candidates: &[Candidate]) -> Option<vm::Id> {
        let wait = |vm| self.loads.get(&vm).map_or(Duration::ZERO, expected_wait);
        candidates.iter().map(|candidate| candidate.vm).min_by_key(|vm| wait(*vm))
    }

    /// Those of some candidates that last reported room.
    pub(super) fn with_room(&self, candidates: &[Candidate]) -> Vec<Candidate> {
        let has_room = |vm| self.loads.get(&vm).is_some_and(|load| load.room > 0);
        candidates.iter().filter(|candidate| has_room(candidate.vm)).copied().collect()
    }
}

/// Time that another request would wait for a slot; zero where the upstream's speed is not known.
pub(super) fn expected_wait(load: &Load) -> Duration {
    if load.room > 0 || load.weight == 0 {
        return Duration::ZERO;
    }
    WEIGHED * (load.queue + 1) / load.weight
}

#[cfg(test)]
#[path = "peers_tests.rs"]
mod tests;
