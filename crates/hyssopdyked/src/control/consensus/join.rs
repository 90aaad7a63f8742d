//! Control VMs that join without an operator, and replace failed voters.
//!
//! A VM without contact to a leader asks all control VMs whose address it has to send it the log.
//! Once it has all entries, it becomes a voter if there are too few voters or if a voter does
//! not answer. The new voter is added before the unresponsive one is removed, so that at no time
//! the loss of fewer VMs than before can lose an acknowledged entry. An unresponsive voter without
//! a replacement keeps its vote indefinitely.

use std::net::SocketAddr;
use std::time::{Duration, Instant};

use hyssopdyke::process::JournalError;
use hyssopdyke_wire::ledger::{Handover, Join, Message, Voter, message::Body};
use slog::info;

use super::{Consensus, HEARTBEAT_INTERVAL, Reply, Role};
use crate::control::handle::Error;
use crate::reload;

/// Time without an answer after which a voter is replaced, if another VM is caught up. Longer than
/// an election and a restart take, and shorter than the time in which another disk may be lost.
const VOTER_REPLACEMENT_TIMEOUT: Duration = Duration::from_secs(2);

/// Time without an answer after which a VM without a vote is removed from the followers. It asks to
/// join again when it is back.
const FOLLOWER_EXPIRY: Duration = Duration::from_secs(10);

/// Delay of a heartbeat beyond which this process is taken to have been suspended. A follower that
/// has not answered for as long does not count as caught up.
const PAUSE_THRESHOLD: Duration = Duration::from_millis(500);

/// Settings by which control VMs find each other.
pub(in crate::control) struct Discovery {
    /// Control VMs in the settings. Their ports are not the replication ports.
    pub(in crate::control) seeds: reload::ControlAddresses,
    /// Port at which every control VM receives replication messages.
    pub(in crate::control) port: u16,
    /// Number of voters to reach without an operator; `None` if operators choose the voters.
    pub(in crate::control) target_voters: Option<usize>,
}

impl Consensus {
    /// Asks all control VMs with a known address to send the log.
    pub(super) fn request_join(&mut self) {
        if self.discovery.target_voters.is_none() {
            return;
        }
        let port = self.discovery.port;
        let seeds = self.discovery.seeds.borrow().clone();
        let mut addresses: Vec<SocketAddr> =
            seeds.iter().map(|seed| SocketAddr::new(seed.ip(), port)).collect();
        let voters = self.configuration.voters.iter();
        addresses.extend(voters.filter_map(|voter| voter.address.parse::<SocketAddr>().ok()));
        addresses.extend(self.peers.values());
        addresses.sort_unstable();
        addresses.dedup();
        let join = Join { identity: self.identity, forwarded: false };
        addresses.retain(|address| *address != self.address);
        for address in addresses {
            self.send_to(address, Body::Join(join));
        }
    }

    /// Adds a VM that asks to join as a follower, or forwards its request to the leader.
    pub(super) fn handle_join(&mut self, from: &str, join: &Join) {
        let Some(address) = self.peers.get(from).copied() else { return };
        if matches!(self.role, Role::Leader { .. }) {
            self.add_follower(from.into(), address);
            return;
        }
        let leader = self.leader.as_deref().and_then(|leader| self.voter(leader));
        let leader = leader.and_then(|leader| leader.address.parse().ok());
        if let Some(leader) = leader.filter(|_| !join.forwarded) {
            let body = Some(Body::Join(Join { forwarded: true, ..*join }));
            let (from, address) = (from.to_owned(), address.to_string());
            self.connections.send(leader, Message { from, address, body });
        }
    }

    /// Adds the next caught-up VM to the voters, or removes a replaced one.
    pub(super) fn update_voters(&mut self) {
        if self.commit_index < self.configuration_index {
            return;
        }
        if let Some(voter) = self.find_next_voter() {
            let mut voters = self.configuration.voters.clone();
            voters.retain(|other| other.name != voter.name);
            voters.push(voter);
            voters.sort_by(|a, b| a.name.cmp(&b.name));
            self.change_voters(voters);
        } else if let Some(name) = self.find_surplus_voter() {
            info!(self.events.logger(), "silent voter is replaced"; "voter" => &*name);
            let mut voters = self.configuration.voters.clone();
            voters.retain(|voter| *voter.name != *name);
            self.change_voters(voters);
        }
    }

    /// Returns a VM that has all entries and should become a voter.
    fn find_next_voter(&self) -> Option<Voter> {
        let Role::Leader { followers, .. } = &self.role else { return None };
        let is_vacant = match self.discovery.target_voters {
            None => true,
            Some(target) => {
                let count = self.configuration.voters.len();
                count < target || (count == target && self.find_unresponsive_voter().is_some())
            }
        };
        followers.iter().find_map(|(name, follower)| {
            let identity = follower.identity?;
            let is_caught_up = follower.match_index >= self.commit_index
                && !follower.is_unresponsive(PAUSE_THRESHOLD);
            // A voter that has lost its disk gets its vote back regardless of the other voters.
            let needs_vote =
                !self.has_vote(name, identity) && (is_vacant || self.voter(name).is_some());
            (is_caught_up && needs_vote).then(|| Voter {
                name: name.to_string(),
                identity,
                address: follower.address.to_string(),
            })
        })
    }

    /// Returns an unresponsive voter if there are more voters than needed.
    fn find_surplus_voter(&self) -> Option<Box<str>> {
        let target = self.discovery.target_voters?;
        if self.configuration.voters.len() > target { self.find_unresponsive_voter() } else { None }
    }

    /// Returns the voter that has not answered for longest, if it counts as unresponsive.
    fn find_unresponsive_voter(&self) -> Option<Box<str>> {
        let Role::Leader { followers, .. } = &self.role else { return None };
        let unresponsive = followers.iter().filter(|(name, follower)| {
            self.voter(name).is_some() && follower.is_unresponsive(VOTER_REPLACEMENT_TIMEOUT)
        });
        let longest = unresponsive.min_by_key(|(_, follower)| follower.last_contact);
        longest.map(|(name, _)| name.clone())
    }

    /// Removes unresponsive VMs without a vote, and updates the voters.
    ///
    /// `lateness` is the delay of this call after its deadline.
    pub(super) fn maintain_members(&mut self, lateness: Duration) {
        let configuration = &self.configuration;
        let Role::Leader { followers, .. } = &mut self.role else { return };
        if lateness > PAUSE_THRESHOLD {
            // Messages that arrived during the pause are still in the queue.
            for follower in followers.values_mut() {
                follower.last_contact = Instant::now();
            }
        }
        followers.retain(|name, follower| {
            let is_voter = configuration.voters.iter().any(|voter| voter.name == **name);
            is_voter || !follower.is_unresponsive(FOLLOWER_EXPIRY)
        });
        self.update_voters();
    }

    /// Asks a voter that has all entries to take over as leader.
    pub(super) fn hand_over(&mut self, reply: Reply<()>) {
        let last = self.journal.last_index();
        let Role::Leader { followers, .. } = &self.role else {
            let _ = reply.send(Err(Error::NotLeader(self.leader.clone())));
            return;
        };
        let ready = followers.iter().find(|(name, follower)| {
            let is_voter = follower.identity.is_some_and(|identity| self.has_vote(name, identity));
            is_voter
                && follower.match_index == last
                && !follower.is_unresponsive(HEARTBEAT_INTERVAL * 3)
        });
        let Some(address) = ready.map(|(_, follower)| follower.address) else {
            let _ = reply.send(Err(Error::ChangeInProgress));
            return;
        };
        info!(self.events.logger(), "handing over"; "to" => %address);
        let term = self.journal.vote().term;
        self.send_to(address, Body::Handover(Handover { term }));
        let _ = reply.send(Ok(()));
    }

    /// Starts an election on request of a leader that stops.
    pub(super) fn handle_handover(
        &mut self,
        from: &str,
        handover: Handover,
    ) -> Result<(), JournalError> {
        let is_current =
            handover.term == self.journal.vote().term && self.leader.as_deref() == Some(from);
        if is_current { self.campaign(false, true) } else { Ok(()) }
    }
}
