//! The voters and changes to them.

use std::net::SocketAddr;

use hyssopdyke_wire::ledger::{Command, Configuration, Entry, Voter, command};
use slog::info;

use super::{Consensus, Follower, Reply, Role};
use crate::control::handle::Error;

impl Consensus {
    /// Loads the configuration from the last entry that has one, or from the snapshot.
    pub(super) fn load_configuration(&mut self) {
        let snapshot = self.journal.snapshot();
        let mut latest = (snapshot.index, snapshot.configuration.clone().unwrap_or_default());
        for entry in self.journal.entries() {
            if let Some(configuration) = configuration(entry) {
                latest = (entry.index, configuration.clone());
            }
        }
        (self.configuration_index, self.configuration) = latest;
        self.apply_configuration();
    }

    /// Adds the voters to a leader's followers; otherwise closes connections that are not needed.
    pub(super) fn apply_configuration(&mut self) {
        let voters = self.configuration.voters.iter();
        let others = voters.filter(|voter| *voter.name != *self.name);
        let others: Vec<(Box<str>, SocketAddr)> = others
            .filter_map(|voter| Some((voter.name.as_str().into(), voter.address.parse().ok()?)))
            .collect();
        if matches!(self.role, Role::Leader { .. }) {
            for (name, address) in others {
                self.add_follower(name, address);
            }
        } else {
            let is_used = |address: &SocketAddr| {
                others.iter().any(|(_, voter)| voter == address)
                    || self.peers.values().any(|peer| peer == address)
            };
            self.connections.retain(is_used);
        }
    }

    /// Adds a VM to the followers, or updates its address; returns false if this VM does not lead.
    pub(super) fn add_follower(&mut self, name: Box<str>, address: SocketAddr) -> bool {
        let last = self.journal.last_index();
        let Role::Leader { followers, .. } = &mut self.role else { return false };
        let follower = followers.entry(name).or_insert_with(|| Follower::new(address, last));
        follower.address = address;
        true
    }

    pub(super) fn voter(&self, name: &str) -> Option<&Voter> {
        self.configuration.voters.iter().find(|voter| voter.name == name)
    }

    /// Returns whether a VM is a voter with this identity.
    pub(super) fn has_vote(&self, name: &str, identity: u64) -> bool {
        self.voter(name).is_some_and(|voter| voter.identity == identity)
    }

    pub(super) fn is_voter(&self) -> bool {
        self.has_vote(&self.name, self.identity)
    }

    pub(super) const fn majority_size(&self) -> usize {
        self.configuration.voters.len() / 2 + 1
    }

    /// Adds a VM as a follower, which becomes a voter once it has all entries.
    pub(super) fn admit_voter(&mut self, voter: &Voter, reply: Reply<()>) {
        let is_added = match voter.address.parse() {
            Ok(address) => self.add_follower(voter.name.as_str().into(), address),
            Err(_) => false,
        };
        let result = if is_added { Ok(()) } else { Err(Error::NotLeader(self.leader.clone())) };
        let _ = reply.send(result);
    }

    pub(super) fn remove_voter(&mut self, name: &str, reply: Reply<()>) {
        let result = if !matches!(self.role, Role::Leader { .. }) {
            Err(Error::NotLeader(self.leader.clone()))
        } else if self.commit_index < self.configuration_index {
            Err(Error::ChangeInProgress)
        } else {
            let mut voters = self.configuration.voters.clone();
            voters.retain(|voter| voter.name != name);
            if let Role::Leader { followers, .. } = &mut self.role {
                followers.remove(name);
            }
            self.change_voters(voters);
            Ok(())
        };
        let _ = reply.send(result);
    }

    pub(super) fn change_voters(&mut self, voters: Vec<Voter>) {
        let names: Vec<_> = voters.iter().map(|voter| voter.name.clone()).collect();
        info!(self.events.logger(), "voters change"; "voters" => names.join(" "));
        let body = command::Body::Configuration(Configuration { voters });
        self.append(Command { body: Some(body) });
    }
}

/// Returns the configuration in an entry, if it has one.
fn configuration(entry: &Entry) -> Option<&Configuration> {
    match entry.command.as_ref()?.body.as_ref()? {
        command::Body::Configuration(configuration) => Some(configuration),
        _ => None,
    }
}
