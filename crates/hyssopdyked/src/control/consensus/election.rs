//! Leader election.

use std::collections::{BTreeMap, HashMap};
use std::time::{Duration, Instant};

use hyssopdyke::process::JournalError;
use hyssopdyke_wire::ledger::{Command, Vote, VoteReply, VoteRequest, command, message::Body};
use rand::Rng;
use slog::{info, warn};

use super::{Consensus, INITIAL_ELECTION_TIMEOUT, MIN_ELECTION_TIMEOUT, QUORUM_TIMEOUT, Role};
use crate::clock;
use crate::control::handle::{Error, Leadership};

impl Consensus {
    /// Sets a new random election deadline.
    pub(super) fn reset_deadline(&mut self) {
        // Before the first contact to a leader, an early election can't disturb one.
        let minimum = if self.last_leader_contact.is_some() {
            MIN_ELECTION_TIMEOUT
        } else {
            INITIAL_ELECTION_TIMEOUT
        };
        let jitter = rand::rng().random_range(Duration::ZERO..minimum);
        self.deadline = Instant::now() + minimum + jitter;
    }

    /// Starts an election, or as the leader sends a heartbeat and checks for a majority.
    pub(super) fn handle_deadline(&mut self) -> Result<(), JournalError> {
        let Role::Leader { pending_rounds, .. } = &self.role else {
            self.request_join();
            return self.campaign(true, false);
        };
        let oldest = pending_rounds.first_key_value().map(|(_, sent)| *sent);
        if oldest.is_some_and(|sent| clock::now().duration_since(sent) > QUORUM_TIMEOUT) {
            warn!(self.events.logger(), "majority lost");
            self.step_down(None);
            return Ok(());
        }
        let lateness = self.deadline.elapsed();
        self.broadcast();
        self.maintain_members(lateness);
        Ok(())
    }

    /// Requests votes.
    ///
    /// A pre-vote leaves the term unchanged, so that a VM that was partitioned does not disturb the
    /// others when it reconnects.
    pub(super) fn campaign(
        &mut self,
        is_pre_vote: bool,
        is_handover: bool,
    ) -> Result<(), JournalError> {
        self.reset_deadline();
        if !self.is_voter() || self.journal.is_failed() {
            return Ok(());
        }
        let term = self.journal.vote().term + 1;
        if !is_pre_vote {
            self.journal.store_vote(Vote {
                term,
                candidate: self.name.to_string(),
                identity: self.identity,
            })?;
        }
        self.role = Role::Candidate { votes: vec![self.name.clone()], is_pre_vote };
        self.leader = None;
        self.publish_leadership();
        let last_index = self.journal.last_index();
        let request = VoteRequest {
            term,
            candidate: self.name.to_string(),
            identity: self.identity,
            last_index,
            last_term: self.journal.term(last_index).unwrap_or(0),
            trial: is_pre_vote,
            handover: is_handover,
        };
        self.send_to_voters(&Body::VoteRequest(request));
        self.tally_votes()
    }

    pub(super) fn tally_votes(&mut self) -> Result<(), JournalError> {
        let Role::Candidate { votes, is_pre_vote } = &self.role else { return Ok(()) };
        if votes.len() < self.majority_size() {
            return Ok(());
        }
        if *is_pre_vote {
            return self.campaign(false, false);
        }
        self.become_leader();
        Ok(())
    }

    pub(super) fn become_leader(&mut self) {
        self.metrics.count("elected");
        info!(self.events.logger(), "leading"; "term" => self.journal.vote().term);
        self.role = Role::Leader {
            followers: HashMap::new(),
            pending_rounds: BTreeMap::new(),
            round: 0,
            confirmed_round: 0,
            since: clock::now(),
        };
        self.leader = Some(self.name.clone());
        self.quorum.record(clock::now());
        self.apply_configuration();
        self.append(Command { body: Some(command::Body::Barrier(true)) });
        self.publish_leadership();
    }

    pub(super) fn step_down(&mut self, leader: Option<Box<str>>) {
        let was_leader = matches!(self.role, Role::Leader { .. });
        self.role = Role::Follower;
        self.leader = leader;
        self.reset_deadline();
        if was_leader {
            self.metrics.count("deposed");
            info!(self.events.logger(), "no longer leading");
            self.proposed.clear();
            for (_, reply) in std::mem::take(&mut self.pending_replies) {
                let _ = reply.send(Err(Error::OutcomeUnknown));
            }
            for (_, reply) in std::mem::take(&mut self.pending_confirmations) {
                let _ = reply.send(Err(Error::NotLeader(self.leader.clone())));
            }
        }
        self.publish_leadership();
    }

    pub(super) fn publish_leadership(&self) {
        let since = match &self.role {
            Role::Leader { since, .. } => Some(*since),
            _ => None,
        };
        let current =
            Leadership { leader: self.leader.clone(), term: self.journal.vote().term, since };
        self.leadership.send_if_modified(|published| {
            let is_changed = *published != current;
            *published = current;
            is_changed
        });
    }

    pub(super) fn adopt_newer_term(&mut self, term: u64) -> Result<(), JournalError> {
        if term > self.journal.vote().term {
            self.journal.store_vote(Vote { term, ..Vote::default() })?;
            self.step_down(None);
        }
        Ok(())
    }

    fn has_recent_leader(&self) -> bool {
        matches!(self.role, Role::Leader { .. })
            || self
                .last_leader_contact
                .is_some_and(|contact| contact.elapsed() < MIN_ELECTION_TIMEOUT)
    }

    pub(super) fn handle_vote_request(
        &mut self,
        from: &str,
        request: &VoteRequest,
    ) -> Result<(), JournalError> {
        // While this VM has contact to a leader, only the candidate's connection is lost.
        let has_leader = !request.handover && self.has_recent_leader();
        let is_voter = self.has_vote(from, request.identity) && self.is_voter();
        if has_leader || !is_voter {
            return Ok(());
        }
        if !request.trial {
            self.adopt_newer_term(request.term)?;
        }
        let vote = self.journal.vote();
        let last_index = self.journal.last_index();
        let last = (self.journal.term(last_index).unwrap_or(0), last_index);
        let is_up_to_date = (request.last_term, request.last_index) >= last;
        let is_vote_free = request.term == vote.term
            && (vote.candidate.is_empty()
                || (vote.candidate == from && vote.identity == request.identity));
        let granted =
            is_up_to_date && if request.trial { request.term > vote.term } else { is_vote_free };
        if granted && !request.trial {
            self.journal.store_vote(Vote {
                term: request.term,
                candidate: from.into(),
                identity: request.identity,
            })?;
            self.reset_deadline();
        }
        let reply = VoteReply {
            term: if request.trial { request.term } else { self.journal.vote().term },
            granted,
            trial: request.trial,
            identity: self.identity,
        };
        self.send(from, Body::VoteReply(reply));
        Ok(())
    }

    pub(super) fn handle_vote_reply(
        &mut self,
        from: Box<str>,
        reply: &VoteReply,
    ) -> Result<(), JournalError> {
        if !reply.trial {
            self.adopt_newer_term(reply.term)?;
        }
        let is_voter = self.has_vote(&from, reply.identity);
        let term = self.journal.vote().term;
        let Role::Candidate { votes, is_pre_vote } = &mut self.role else { return Ok(()) };
        let is_current = *is_pre_vote == reply.trial && reply.term == term + u64::from(reply.trial);
        if reply.granted && is_current && is_voter && !votes.contains(&from) {
            votes.push(from);
        }
        self.tally_votes()
    }
}
