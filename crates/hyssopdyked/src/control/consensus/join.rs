//! Control VMs that come by themselves, and take the place of those that are gone.
//!
//! A VM that hears no leader asks the control VMs that it knows to be sent the log. Once it has
//! all entries, it gets a vote where votes are missing, or where a voter is silent: first the new
//! vote is given, then the silent one is taken, so that at no time fewer VMs than before must be
//! lost before an acknowledged entry is. A VM in whose place nobody stands ready keeps its vote,
//! however long it is silent.

use std::net::SocketAddr;
use std::time::{Duration, Instant};

use hyssopdyke::process::JournalError;
use hyssopdyke_wire::ledger::{Handover, Join, Message, Voter, message::Body};
use slog::info;

use super::{Consensus, HEARTBEAT, Reply, Role};
use crate::control::handle::Error;
use crate::reload;

/// Silence after which a voter is replaced, if another VM stands ready. Longer than an election
/// and a restart take, and shorter than the time after which a further disk may be lost.
const REPLACED_AFTER: Duration = Duration::from_secs(2);

/// Silence after which a VM without a vote is sent nothing more. It asks again if it is back.
const FORGOTTEN_AFTER: Duration = Duration::from_secs(10);

/// A pause of this length between two heartbeats means that this process did not run.
const FREEZE: Duration = Duration::from_millis(500);

/// How the control VMs find each other.
pub(in crate::control) struct Members {
    /// Control VMs of the settings, of which the ports are not those of the log.
    pub(in crate::control) seeds: reload::ControlAddresses,
    /// Port at which every control VM takes messages.
    pub(in crate::control) port: u16,
    /// Votes that are given without an operator; `None` where operators name the voters.
    pub(in crate::control) votes: Option<usize>,
}

impl Consensus {
    /// Asks all that may know the leader to be sent the log.
    pub(super) fn ask_to_join(&mut self) {
        if self.members.votes.is_none() {
            return;
        }
        let port = self.members.port;
        let seeds = self.members.seeds.borrow().clone();
        let mut known: Vec<SocketAddr> =
            seeds.iter().map(|seed| SocketAddr::new(seed.ip(), port)).collect();
        let voters = self.configuration.voters.iter();
        known.extend(voters.filter_map(|voter| voter.address.parse::<SocketAddr>().ok()));
        known.extend(self.peers.values());
        known.sort_unstable();
        known.dedup();
        let join = Join { identity: self.identity, forwarded: false };
        known.retain(|address| *address != self.address);
        for address in known {
            self.send_to(address, Body::Join(join));
        }
    }

    /// Sends the log to a VM that asks for it, or passes its question on to the leader.
    pub(super) fn joined(&mut self, from: &str, join: &Join) {
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
            self.outgoing.send(leader, Message { from, address, body });
        }
    }

    /// Gives votes to VMs that have all entries, and takes them from those that are replaced.
    pub(super) fn change_members(&mut self) {
        if self.commit < self.configuration_index {
            return;
        }
        if let Some(voter) = self.next_voter() {
            let mut voters = self.configuration.voters.clone();
            voters.retain(|known| known.name != voter.name);
            voters.push(voter);
            voters.sort_by(|a, b| a.name.cmp(&b.name));
            self.change_voters(voters);
        } else if let Some(name) = self.surplus_voter() {
            info!(self.events.logger(), "silent voter is replaced"; "voter" => &*name);
            let mut voters = self.configuration.voters.clone();
            voters.retain(|voter| *voter.name != *name);
            self.change_voters(voters);
        }
    }

    /// A VM that has all entries, and to which a vote is due.
    fn next_voter(&self) -> Option<Voter> {
        let Role::Leader { followers, .. } = &self.role else { return None };
        let is_vacant = match self.members.votes {
            None => true,
            Some(votes) => {
                let held = self.configuration.voters.len();
                held < votes || (held == votes && self.silent_voter().is_some())
            }
        };
        followers.iter().find_map(|(name, follower)| {
            let identity = follower.identity?;
            let is_caught_up = follower.matched >= self.commit && !follower.is_silent(FREEZE);
            // A voter that has lost its disk gets its vote back whoever else votes.
            let is_due =
                !self.has_vote(name, identity) && (is_vacant || self.voter(name).is_some());
            (is_caught_up && is_due).then(|| Voter {
                name: name.to_string(),
                identity,
                address: follower.address.to_string(),
            })
        })
    }

    /// A silent voter that is not needed any more.
    fn surplus_voter(&self) -> Option<Box<str>> {
        let votes = self.members.votes?;
        if self.configuration.voters.len() > votes { self.silent_voter() } else { None }
    }

    fn silent_voter(&self) -> Option<Box<str>> {
        let Role::Leader { followers, .. } = &self.role else { return None };
        let silent = followers.iter().filter(|(name, follower)| {
            self.voter(name).is_some() && follower.is_silent(REPLACED_AFTER)
        });
        let longest = silent.min_by_key(|(_, follower)| follower.heard);
        longest.map(|(name, _)| name.clone())
    }

    /// Forgets VMs without a vote that are gone, and looks whether votes must change.
    ///
    /// `lateness` tells by how much this look comes too late.
    pub(super) fn look_after_members(&mut self, lateness: Duration) {
        let configuration = &self.configuration;
        let Role::Leader { followers, .. } = &mut self.role else { return };
        if lateness > FREEZE {
            // What the others sent meanwhile is still to be taken.
            for follower in followers.values_mut() {
                follower.heard = Instant::now();
            }
        }
        followers.retain(|name, follower| {
            let is_voter = configuration.voters.iter().any(|voter| voter.name == **name);
            is_voter || !follower.is_silent(FORGOTTEN_AFTER)
        });
        self.change_members();
    }

    /// Asks the voter that is furthest ahead to lead in this VM's place.
    pub(super) fn hand_over(&mut self, reply: Reply<()>) {
        let last = self.journal.last_index();
        let Role::Leader { followers, .. } = &self.role else {
            let _ = reply.send(Err(Error::NotLeader(self.leader.clone())));
            return;
        };
        let ready = followers.iter().find(|(name, follower)| {
            let is_voter = follower.identity.is_some_and(|it| self.has_vote(name, it));
            is_voter && follower.matched == last && !follower.is_silent(HEARTBEAT * 3)
        });
        let Some(address) = ready.map(|(_, follower)| follower.address) else {
            let _ = reply.send(Err(Error::Busy));
            return;
        };
        info!(self.events.logger(), "handing over"; "to" => %address);
        let term = self.journal.vote().term;
        self.send_to(address, Body::Handover(Handover { term }));
        let _ = reply.send(Ok(()));
    }

    /// Leads in place of a leader that stops.
    pub(super) fn take_over(&mut self, from: &str, handover: Handover) -> Result<(), JournalError> {
        let is_current =
            handover.term == self.journal.vote().term && self.leader.as_deref() == Some(from);
        if is_current { self.campaign(false, true) } else { Ok(()) }
    }
}
