//! Loads and reachability of the other members of an agent's service.

use std::collections::{HashMap, HashSet};
use std::net::SocketAddr;
use std::time::{Duration, Instant};

use hyssopdyke::request::Candidate;
use hyssopdyke::version::{Member, Pool};
use hyssopdyke::vm;
use hyssopdyke_wire::datagram::Load;

/// Silence after which a home treats a member as gone or cut off. Members report their load to each
/// home once per second, so a reachable member is silent for this long only if its link loses most
/// datagrams.
const UNREACHABLE_TIMEOUT: Duration = Duration::from_millis(2500);

/// Time in which an upstream answers as many requests as its weight, which is in thousandths of a
/// request per second.
const WEIGHT_PERIOD: Duration = Duration::from_secs(1000);

/// Weight of an upstream that has not answered a request yet: 20 requests per second. While its
/// slots are taken, it gets a short queue at most, since it may have just started and be slow.
const UNKNOWN_WEIGHT: u32 = 20_000;

/// Addresses, last reported loads and last signs of activity of the members.
#[derive(Debug, Default)]
pub(super) struct Peers {
    ids: HashMap<SocketAddr, vm::Id>,
    loads: HashMap<vm::Id, Load>,
    /// Members that did not answer an offer and have sent nothing since.
    suspects: HashSet<vm::Id>,
    /// Time at which each member last sent a datagram or joined.
    last_seen: HashMap<vm::Id, Instant>,
}

impl Peers {
    /// Applies a change of the members.
    pub(super) fn update_members(&mut self, pool: &Pool, now: Instant) {
        self.last_seen.retain(|vm, _| pool.find(*vm).is_some());
        for member in pool.all_members() {
            self.last_seen.entry(member.vm).or_insert(now);
        }
        self.ids = pool.all_members().map(|member| (member.address, member.vm)).collect();
        self.loads.retain(|vm, _| pool.find(*vm).is_some());
        self.suspects.retain(|vm| pool.member(*vm).is_some());
    }

    /// Returns the member with an address.
    pub(super) fn id(&self, address: SocketAddr) -> Option<vm::Id> {
        self.ids.get(&address).copied()
    }

    /// Marks a member that did not answer an offer as suspect.
    pub(super) fn suspect(&mut self, vm: vm::Id) {
        self.suspects.insert(vm);
    }

    /// Records a datagram of a member and clears its suspicion.
    pub(super) fn mark_seen(&mut self, address: SocketAddr, now: Instant) {
        let Some(vm) = self.id(address) else { return };
        self.last_seen.insert(vm, now);
        if !self.suspects.is_empty() {
            self.suspects.remove(&vm);
        }
    }

    /// Returns whether a member has been silent for so long that it must be gone or cut off.
    fn is_unreachable(&self, vm: vm::Id, now: Instant) -> bool {
        self.last_seen
            .get(&vm)
            .is_some_and(|last_seen| now.duration_since(*last_seen) >= UNREACHABLE_TIMEOUT)
    }

    /// Returns the reachable members, including those in failure domains that are out.
    ///
    /// An agent sends no datagrams to itself, so `own_id` always counts as reachable.
    pub(super) fn reachable_members(
        &self,
        pool: &Pool,
        own_id: vm::Id,
        now: Instant,
    ) -> impl Iterator<Item = vm::Id> {
        let members = pool.all_members().map(|member| member.vm);
        members.filter(move |vm| *vm == own_id || !self.is_unreachable(*vm, now))
    }

    /// Records the load that a member reported.
    pub(super) fn record_load(&mut self, vm: vm::Id, load: Load) {
        self.loads.insert(vm, load);
    }

    /// Returns the members that may take a new flow, without those in `declined`.
    ///
    /// Ejected members are excluded, unless fewer than half of the service would remain. Suspect
    /// members are returned only if there are no others.
    pub(super) fn candidates(
        &self,
        pool: &Pool,
        service: &str,
        declined: &[vm::Id],
    ) -> Vec<Candidate> {
        let needs_ejected = self.needs_ejected(pool, service);
        let available = self.available(pool, service);
        let candidates: Vec<Candidate> = available
            .filter(|member| needs_ejected || !self.is_ejected(member.vm))
            .filter(|member| !declined.contains(&member.vm))
            .map(|member| Candidate {
                vm: member.vm,
                weight: self.loads.get(&member.vm).map_or(0, |load| load.weight),
            })
            .collect();
        let is_unsuspected = |candidate: &&Candidate| !self.suspects.contains(&candidate.vm);
        let unsuspected: Vec<Candidate> =
            candidates.iter().filter(is_unsuspected).copied().collect();
        if unsuspected.is_empty() { candidates } else { unsuspected }
    }

    /// Returns whether so many members are ejected that ejected members must serve as well.
    pub(super) fn needs_ejected(&self, pool: &Pool, service: &str) -> bool {
        let available = || self.available(pool, service);
        let healthy = available().filter(|member| !self.is_ejected(member.vm)).count();
        healthy * 2 < available().count()
    }

    /// Returns the members of a service whose upstreams take new flows.
    fn available<'a>(
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

    /// Returns whether a member has an entry for each flow that its upstream holds.
    pub(super) fn knows_flows(&self, vm: vm::Id) -> bool {
        self.loads.get(&vm).is_some_and(|load| load.knows_flows)
    }

    /// Returns the candidate with the shortest expected wait for a slot, by the last reported
    /// loads.
    pub(super) fn shortest_wait(&self, candidates: &[Candidate]) -> Option<vm::Id> {
        let wait = |vm| self.loads.get(&vm).map_or(Duration::ZERO, expected_wait);
        candidates.iter().map(|candidate| candidate.vm).min_by_key(|vm| wait(*vm))
    }

    /// Returns the candidates that last reported room, or have not reported their load yet.
    pub(super) fn with_room(&self, candidates: &[Candidate]) -> Vec<Candidate> {
        let has_room = |vm| self.loads.get(&vm).is_none_or(|load| load.room > 0);
        candidates.iter().filter(|candidate| has_room(candidate.vm)).copied().collect()
    }
}

/// Returns the time that another request would wait for a slot.
pub(super) fn expected_wait(load: &Load) -> Duration {
    if load.room > 0 {
        return Duration::ZERO;
    }
    let weight = if load.weight > 0 { load.weight } else { UNKNOWN_WEIGHT };
    WEIGHT_PERIOD * load.queue.saturating_add(1) / weight
}

#[cfg(test)]
#[path = "peers_tests.rs"]
mod tests;
