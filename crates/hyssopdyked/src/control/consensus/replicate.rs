//! Replication on the side of the leader, and commits by majority.

use std::time::{Duration, Instant};

use hyssopdyke::process::JournalError;
use hyssopdyke::version::Outcome;
use hyssopdyke_wire::ledger::{Append, Appended, Command, Entry, Install, command, message::Body};
use prost::Message as _;

use super::{Consensus, Follower, HEARTBEAT_INTERVAL, Reply, Role};
use crate::clock;
use crate::control::handle::Error;

/// Maximum number of entries in one message.
const MAX_BATCH_ENTRIES: usize = 512;

/// Size in bytes after which no further entry is added to a message.
const MAX_BATCH_BYTES: usize = 1 << 20;

/// Time without an answer after which a snapshot is sent again.
const SNAPSHOT_RETRY_INTERVAL: Duration = Duration::from_secs(2);

impl Consensus {
    pub(super) fn handle_appended(
        &mut self,
        from: &str,
        appended: &Appended,
    ) -> Result<(), JournalError> {
        self.adopt_newer_term(appended.term)?;
        // A late answer in an earlier term may refer to entries that were replaced since.
        if appended.term != self.journal.vote().term {
            return Ok(());
        }
        let last = self.journal.last_index();
        let Role::Leader { followers, .. } = &mut self.role else { return Ok(()) };
        let Some(follower) = followers.get_mut(from) else { return Ok(()) };
        if follower.identity != Some(appended.identity) {
            // The VM is new or has lost its disk: its earlier entries do not count.
            follower.identity = Some(appended.identity);
            (follower.match_index, follower.next_index) = (0, last + 1);
        }
        follower.last_contact = Instant::now();
        follower.acknowledged_round = follower.acknowledged_round.max(appended.round);
        follower.snapshot_sent_at = None;
        if appended.success {
            follower.match_index = follower.match_index.max(appended.index);
            follower.next_index = follower.next_index.max(follower.match_index + 1);
        } else {
            follower.next_index = (appended.index + 1).max(1);
        }
        let is_behind = follower.next_index <= last;
        self.update_confirmed_round();
        self.update_voters();
        if is_behind {
            self.send_entries(from);
        }
        Ok(())
    }

    /// Updates the last round of messages that a majority has answered.
    pub(super) fn update_confirmed_round(&mut self) {
        let Role::Leader { round, .. } = &self.role else { return };
        let Some(reached) = self.majority_value(*round, |follower| follower.acknowledged_round)
        else {
            return;
        };
        let Role::Leader { pending_rounds, confirmed_round, .. } = &mut self.role else { return };
        if reached <= *confirmed_round {
            return;
        }
        *confirmed_round = reached;
        if let Some(sent) = pending_rounds.get(&reached) {
            self.quorum.record(*sent);
        }
        *pending_rounds = pending_rounds.split_off(&(reached + 1));
    }

    /// Returns the highest value that a majority of the voters has reached; `own` is this VM's.
    ///
    /// A VM whose data folder has another identity than the configuration does not count.
    fn majority_value(&self, own: u64, value: impl Fn(&Follower) -> u64) -> Option<u64> {
        let Role::Leader { followers, .. } = &self.role else { return None };
        let voters = followers.iter().filter(|(name, follower)| {
            follower.identity.is_some_and(|identity| self.has_vote(name, identity))
        });
        let mut reached: Vec<u64> = voters.map(|(_, follower)| value(follower)).collect();
        if self.is_voter() {
            reached.push(own);
        }
        reached.sort_unstable_by(|a, b| b.cmp(a));
        reached.get(self.majority_size() - 1).copied()
    }

    pub(super) fn propose(&mut self, command: Command, reply: Reply<Outcome>) {
        if !matches!(self.role, Role::Leader { .. }) {
            let _ = reply.send(Err(Error::NotLeader(self.leader.clone())));
            return;
        }
        let index = self.append(command);
        self.pending_replies.insert(index, reply);
    }

    /// Adds a command to the proposed entries, and returns its index.
    pub(super) fn append(&mut self, command: Command) -> u64 {
        let index = self.journal.last_index() + self.proposed.len() as u64 + 1;
        let term = self.journal.vote().term;
        if let Some(command::Body::Configuration(configuration)) = &command.body {
            self.configuration = configuration.clone();
            self.configuration_index = index;
            self.apply_configuration();
        }
        self.proposed.push(Entry { index, term, command: Some(command) });
        index
    }

    pub(super) fn confirm_leadership(&mut self, reply: Reply<()>) {
        let has_committed_in_term =
            self.journal.term(self.commit_index) == Some(self.journal.vote().term);
        let Role::Leader { round, .. } = &self.role else {
            let _ = reply.send(Err(Error::NotLeader(self.leader.clone())));
            return;
        };
        // Until an entry of its own term is committed, a leader may be missing commits.
        let required_round = if has_committed_in_term { *round + 1 } else { *round + 2 };
        self.pending_confirmations.push((required_round, reply));
        self.broadcast();
    }

    /// Syncs proposed entries to the journal and sends them to the followers.
    pub(super) fn persist_proposals(&mut self) -> Result<(), JournalError> {
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
        let Role::Leader { followers, pending_rounds, round, .. } = &mut self.role else { return };
        *round += 1;
        pending_rounds.insert(*round, clock::now());
        let names: Vec<Box<str>> = followers.keys().cloned().collect();
        for name in names {
            self.send_entries(&name);
        }
        self.deadline = Instant::now() + HEARTBEAT_INTERVAL;
        self.update_confirmed_round();
    }

    pub(super) fn send_entries(&mut self, to: &str) {
        let Role::Leader { followers, round, .. } = &mut self.role else { return };
        let Some(follower) = followers.get_mut(to) else { return };
        let (address, round) = (follower.address, *round);
        let previous = follower.next_index - 1;
        let term = self.journal.vote().term;
        let body = match self.journal.term(previous) {
            Some(previous_term) if previous >= self.journal.snapshot().index => {
                let start = (previous - self.journal.snapshot().index) as usize;
                let remaining = self.journal.entries().get(start..).unwrap_or_default();
                let entries = take_batch(remaining);
                // Assume delivery, so that the next message contains only new entries.
                follower.next_index += entries.len() as u64;
                Body::Append(Append {
                    term,
                    previous_index: previous,
                    previous_term,
                    entries,
                    commit: self.commit_index,
                    round,
                })
            }
            _ => {
                let is_due = follower
                    .snapshot_sent_at
                    .is_none_or(|at| at.elapsed() > SNAPSHOT_RETRY_INTERVAL);
                if !is_due {
                    return;
                }
                follower.snapshot_sent_at = Some(Instant::now());
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

    /// Commits the entries that a majority has synced.
    pub(super) fn advance_commit(&mut self) {
        let last = self.journal.last_index();
        if !matches!(self.role, Role::Leader { .. }) {
            return;
        }
        let reached = self.majority_value(last, |follower| follower.match_index).unwrap_or(0);
        // An entry of an earlier term is committed only together with one of this term.
        if reached > self.commit_index
            && self.journal.term(reached) == Some(self.journal.vote().term)
        {
            self.commit_index = reached;
        }
        if !self.is_voter() && self.commit_index >= self.configuration_index {
            // The configuration that removes this VM from the voters is committed.
            self.step_down(None);
        }
    }

    /// Answers the reads whose round a majority has answered, once all that was committed before is
    /// applied.
    pub(super) fn answer_confirmations(&mut self) {
        let Role::Leader { confirmed_round, .. } = &self.role else { return };
        let confirmed_round = *confirmed_round;
        let has_committed_in_term =
            self.journal.term(self.commit_index) == Some(self.journal.vote().term);
        if !has_committed_in_term || self.applied_index < self.commit_index {
            return;
        }
        let is_confirmed = |(required, _): &mut (u64, Reply<()>)| *required <= confirmed_round;
        for (_, reply) in self.pending_confirmations.extract_if(.., is_confirmed) {
            let _ = reply.send(Ok(()));
        }
    }
}

/// Returns the first entries, up to the limits of one message.
fn take_batch(entries: &[Entry]) -> Vec<Entry> {
    let mut bytes = 0;
    let fits = entries.iter().take(MAX_BATCH_ENTRIES).take_while(|entry| {
        let is_within = bytes < MAX_BATCH_BYTES;
        bytes += entry.encoded_len();
        is_within
    });
    fits.cloned().collect()
}
