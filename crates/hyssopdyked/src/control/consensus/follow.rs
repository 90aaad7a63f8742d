//! What a VM takes from the leader.

use std::time::Instant;

use hyssopdyke::process::JournalError;
use hyssopdyke::version::Registry;
use hyssopdyke_wire::ledger::{Append, Appended, Install, Snapshot, message::Body};
use prost::Message as _;
use slog::{info, warn};

use super::{Consensus, Role};

impl Consensus {
    pub(super) fn take_entries(&mut self, from: &str, append: Append) -> Result<(), JournalError> {
        if append.term < self.journal.vote().term {
            let last = self.journal.last_index();
            self.reply_appended(from, false, last, append.round);
            return Ok(());
        }
        self.hear_leader(from, append.term)?;
        let previous = append.previous_index;
        let is_known = previous <= self.journal.snapshot().index
            || self.journal.term(previous) == Some(append.previous_term);
        if !is_known {
            let last = self.journal.last_index().min(previous.saturating_sub(1));
            self.reply_appended(from, false, last, append.round);
            return Ok(());
        }
        let sent_up_to = previous + append.entries.len() as u64;
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
            self.find_configuration();
        }
        self.commit = self.commit.max(append.commit.min(sent_up_to));
        self.reply_appended(from, true, sent_up_to, append.round);
        Ok(())
    }

    pub(super) fn hear_leader(&mut self, from: &str, term: u64) -> Result<(), JournalError> {
        self.follow_term(term)?;
        if self.leader.as_deref() != Some(from) || !matches!(self.role, Role::Follower) {
            info!(self.events.logger(), "following"; "leader" => from, "term" => term);
            self.step_down(Some(from.into()));
        }
        self.leader_heard = Some(Instant::now());
        self.reset_deadline();
        Ok(())
    }

    pub(super) fn reply_appended(&mut self, to: &str, success: bool, index: u64, round: u64) {
        let (term, identity) = (self.journal.vote().term, self.identity);
        self.send(to, Body::Appended(Appended { term, success, index, round, identity }));
    }

    pub(super) async fn install(
        &mut self,
        from: Box<str>,
        install: Install,
    ) -> Result<(), JournalError> {
        if install.term < self.journal.vote().term {
            return Ok(());
        }
        self.hear_leader(&from, install.term)?;
        let Ok(snapshot) = Snapshot::decode(install.data) else {
            warn!(self.events.logger(), "snapshot of the leader is malformed");
            return Ok(());
        };
        let index = snapshot.index;
        if index > self.commit {
            info!(self.events.logger(), "snapshot installed"; "index" => index);
            tokio::task::block_in_place(|| self.journal.store_snapshot(snapshot.clone()))?;
            let restored = Registry::restore(snapshot);
            let revision = restored.store().revision();
            *self.registry.write().await = restored;
            self.revision.send_replace(revision);
            (self.commit, self.applied) = (index, index);
            self.find_configuration();
        }
        self.reply_appended(&from, true, index, install.round);
        Ok(())
    }
}
