//! Replication on the side of a follower.

use std::time::Instant;

use hyssopdyke::process::JournalError;
use hyssopdyke::version::Registry;
use hyssopdyke_wire::ledger::{Append, Appended, Install, Snapshot, message::Body};
use hyssopdyke_wire::range::Check;
use prost::Message as _;
use slog::{info, warn};

use super::{Consensus, Role};

impl Consensus {
    pub(super) fn handle_append(&mut self, from: &str, append: Append) -> Result<(), JournalError> {
        if append.term < self.journal.vote().term {
            let last = self.journal.last_index();
            self.reply_appended(from, false, last, append.round);
            return Ok(());
        }
        self.follow_leader(from, append.term)?;
        let previous = append.previous_index;
        let has_previous = previous <= self.journal.snapshot().index
            || self.journal.term(previous) == Some(append.previous_term);
        if !has_previous {
            let last = self.journal.last_index().min(previous.saturating_sub(1));
            self.reply_appended(from, false, last, append.round);
            return Ok(());
        }
        let last_sent = previous + append.entries.len() as u64;
        let mut entries = append.entries;
        entries.retain(|entry| {
            entry.index > self.journal.snapshot().index
                && self.journal.term(entry.index) != Some(entry.term)
        });
        if let Some(first) = entries.first() {
            let after = first.index - 1;
            let start = Instant::now();
            tokio::task::block_in_place(|| self.journal.store_entries(after, entries))?;
            self.metrics.observe("sync", start.elapsed());
            self.load_configuration();
        }
        self.commit_index = self.commit_index.max(append.commit.min(last_sent));
        self.reply_appended(from, true, last_sent, append.round);
        Ok(())
    }

    /// Records contact to the leader of a term, and follows it.
    pub(super) fn follow_leader(&mut self, from: &str, term: u64) -> Result<(), JournalError> {
        self.adopt_newer_term(term)?;
        if self.leader.as_deref() != Some(from) || !matches!(self.role, Role::Follower) {
            info!(self.events.logger(), "following"; "leader" => from, "term" => term);
            self.step_down(Some(from.into()));
        }
        self.last_leader_contact = Some(Instant::now());
        self.reset_deadline();
        Ok(())
    }

    pub(super) fn reply_appended(&mut self, to: &str, success: bool, index: u64, round: u64) {
        let (term, identity) = (self.journal.vote().term, self.identity);
        self.send(to, Body::Appended(Appended { term, success, index, round, identity }));
    }

    pub(super) async fn handle_install(
        &mut self,
        from: Box<str>,
        install: Install,
    ) -> Result<(), JournalError> {
        if install.term < self.journal.vote().term {
            return Ok(());
        }
        self.follow_leader(&from, install.term)?;
        let snapshot = match Snapshot::decode(install.data) {
            Ok(snapshot) => snapshot,
            Err(error) => {
                warn!(self.events.logger(), "snapshot of the leader is malformed";
                    "reason" => %error);
                return Ok(());
            }
        };
        if let Err(error) = snapshot.check() {
            warn!(self.events.logger(), "snapshot of the leader is out of range";
                "reason" => %error);
            return Ok(());
        }
        let index = snapshot.index;
        if index > self.commit_index {
            info!(self.events.logger(), "snapshot installed"; "index" => index);
            tokio::task::block_in_place(|| self.journal.store_snapshot(snapshot.clone()))?;
            let restored = Registry::restore(snapshot);
            let revision = restored.store().revision();
            *self.registry.write().await = restored;
            self.revision.send_replace(revision);
            (self.commit_index, self.applied_index) = (index, index);
            self.load_configuration();
        }
        self.reply_appended(&from, true, index, install.round);
        Ok(())
    }
}
