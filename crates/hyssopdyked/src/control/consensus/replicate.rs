//! How the leader brings entries to the others, and what a majority has.

use std::time::{Duration, Instant};

use hyssopdyke::process::JournalError;
use hyssopdyke::version::Outcome;
use hyssopdyke_wire::ledger::{Append, Appended, Command, Entry, Install, command, message::Body};
use prost::Message as _;

use super::{Consensus, Follower, HEARTBEAT, Reply, Role};
use crate::clock;
use crate::control::handle::Error;

/// Entries in one message.
const BATCH: usize = 512;

/// Bytes of entries after which a message takes no more.
const BATCH_BYTES: usize = 1 << 20;

/// Time before a snapshot is sent again.
const INSTALL_INTERVAL: Duration = Duration::from_secs(2);

impl Consensus {
    pub(super) fn appended(&mut self, from: &str, appended: &Appended) -> Result<(), JournalError> {
        self.follow_term(appended.term)?;
        // A late answer to a former term may speak of entries that were replaced since.
        if appended.term != self.journal.vote().term {
            return Ok(());
        }
        let last = self.journal.last_index();
        let Role::Leader { followers, .. } = &mut self.role else { return Ok(()) };
        let Some(follower) = followers.get_mut(from) else { return Ok(()) };
        if follower.identity != Some(appended.identity) {
            // The VM is new or has lost its disk: what it held before does not count.
            follower.identity = Some(appended.identity);
            (follower.matched, follower.next) = (0, last + 1);
        }
        follower.heard = Instant::now();
        follower.round = follower.round.max(appended.round);
        follower.installed = None;
        if appended.success {
            follower.matched = follower.matched.max(appended.index);
            follower.next = follower.next.max(follower.matched + 1);
        } else {
            follower.next = (appended.index + 1).max(1);
        }
        let is_behind = follower.next <= last;
        self.count_round();
        self.change_members();
        if is_behind {
            self.send_entries(from);
        }
        Ok(())
    }

    /// Notes the last round of messages that a majority has answered.
    pub(super) fn count_round(&mut self) {
        let Role::Leader { round, .. } = &self.role else { return };
        let Some(reached) = self.majority_of(*round, |follower| follower.round) else { return };
        let Role::Leader { rounds, confirmed, .. } = &mut self.role else { return };
        if reached <= *confirmed {
            return;
        }
        *confirmed = reached;
        if let Some(sent) = rounds.get(&reached) {
            self.quorum.note(*sent);
        }
        *rounds = rounds.split_off(&(reached + 1));
    }

    /// The highest value that a majority of the voters has reached, of which this VM has `own`.
    ///
    /// A VM whose data folder is not the one on record does not count.
    fn majority_of(&self, own: u64, value: impl Fn(&Follower) -> u64) -> Option<u64> {
        let Role::Leader { followers, .. } = &self.role else { return None };
        let voters = followers.iter().filter(|(name, follower)| {
            follower.identity.is_some_and(|identity| self.has_vote(name, identity))
        });
        let mut reached: Vec<u64> = voters.map(|(_, follower)| value(follower)).collect();
        if self.may_vote() {
            reached.push(own);
        }
        reached.sort_unstable_by(|a, b| b.cmp(a));
        reached.get(self.majority() - 1).copied()
    }

    pub(super) fn propose(&mut self, command: Command, reply: Reply<Outcome>) {
        if !matches!(self.role, Role::Leader { .. }) {
            let _ = reply.send(Err(Error::NotLeader(self.leader.clone())));
            return;
        }
        let index = self.append(command);
        self.replies.insert(index, reply);
    }

    pub(super) fn append(&mut self, command: Command) -> u64 {
        let index = self.journal.last_index() + self.proposed.len() as u64 + 1;
        let term = self.journal.vote().term;
        if let Some(command::Body::Configuration(configuration)) = &command.body {
            self.configuration = configuration.clone();
            self.configuration_index = index;
            self.follow_configuration();
        }
        self.proposed.push(Entry { index, term, command: Some(command) });
        index
    }

    pub(super) fn confirm(&mut self, reply: Reply<()>) {
        let commit_is_ours = self.journal.term(self.commit) == Some(self.journal.vote().term);
        let Role::Leader { round, .. } = &self.role else {
            let _ = reply.send(Err(Error::NotLeader(self.leader.clone())));
            return;
        };
        // Until an entry of its own term is committed, a leader does not know all commits.
        let due = if commit_is_ours { *round + 1 } else { *round + 2 };
        self.confirms.push((due, reply));
        self.broadcast();
    }

    /// Syncs what was proposed and sends it to the others.
    pub(super) fn store_proposed(&mut self) -> Result<(), JournalError> {
        if self.proposed.is_empty() {
            return Ok(());
        }
        let entries = std::mem::take(&mut self.proposed);
        let last = self.journal.last_index();
        let start = Instant::now();
        tokio::task::block_in_place(|| self.journal.store_entries(last, entries))?;
        self.metrics.observe("sync", start.elapsed());
        self.broadcast();
        Ok(())
    }

    /// Starts a round of messages to all followers.
    pub(super) fn broadcast(&mut self) {
        let Role::Leader { followers, rounds, round, .. } = &mut self.role else { return };
        *round += 1;
        rounds.insert(*round, clock::now());
        let names: Vec<Box<str>> = followers.keys().cloned().collect();
        for name in names {
            self.send_entries(&name);
        }
        self.deadline = Instant::now() + HEARTBEAT;
        self.count_round();
    }

    pub(super) fn send_entries(&mut self, to: &str) {
        let Role::Leader { followers, round, .. } = &mut self.role else { return };
        let Some(follower) = followers.get_mut(to) else { return };
        let (address, round) = (follower.address, *round);
        let previous = follower.next - 1;
        let term = self.journal.vote().term;
        let body = match self.journal.term(previous) {
            Some(previous_term) if previous >= self.journal.snapshot().index => {
                let start = (previous - self.journal.snapshot().index) as usize;
                let rest = self.journal.entries().get(start..).unwrap_or_default();
                let entries = batch(rest);
                // Entries count as sent, so that the next message carries only new ones.
                follower.next += entries.len() as u64;
                Body::Append(Append {
                    term,
                    previous_index: previous,
                    previous_term,
                    entries,
                    commit: self.commit,
                    round,
                })
            }
            _ => {
                let is_due = follower.installed.is_none_or(|at| at.elapsed() > INSTALL_INTERVAL);
                if !is_due {
                    return;
                }
                follower.installed = Some(Instant::now());
                let snapshot = self.journal.snapshot();
                Body::Install(Install {
                    term,
                    data: snapshot.encode_to_vec().into(),
                    index: snapshot.index,
                    round,
                })
            }
        };
        self.send_to(address, body);
    }

    /// Commits what a majority has synced.
    pub(super) fn advance(&mut self) {
        let last = self.journal.last_index();
        let Role::Leader { confirmed, .. } = &self.role else { return };
        let confirmed = *confirmed;
        let reached = self.majority_of(last, |follower| follower.matched).unwrap_or(0);
        // An entry of an earlier term is committed only with one of this term.
        if reached > self.commit && self.journal.term(reached) == Some(self.journal.vote().term) {
            self.commit = reached;
        }
        if self.journal.term(self.commit) == Some(self.journal.vote().term) {
            for (_, reply) in self.confirms.extract_if(.., |(due, _)| *due <= confirmed) {
                let _ = reply.send(Ok(()));
            }
        }
        if !self.may_vote() && self.commit >= self.configuration_index {
            // This VM was removed from the voters and has committed that.
            self.step_down(None);
        }
    }
}

/// The first of some entries, as many as one message takes.
fn batch(entries: &[Entry]) -> Vec<Entry> {
    let mut bytes = 0;
    let fits = entries.iter().take(BATCH).take_while(|entry| {
        let is_within = bytes < BATCH_BYTES;
        bytes += entry.encoded_len();
        is_within
    });
    fits.cloned().collect()
}
