//! How a leader is found.

use std::collections::{BTreeMap, HashMap};
use std::time::{Duration, Instant};

use hyssopdyke::process::JournalError;
use hyssopdyke_wire::ledger::{Command, Vote, VoteReply, VoteRequest, command, message::Body};
use rand::Rng;
use slog::{info, warn};

use super::{Consensus, ELECTION, FIRST_ELECTION, QUORUM, Role};
use crate::clock;
use crate::control::handle::{Error, Leadership};

impl Consensus {
    pub(super) fn reset_deadline(&mut self) {
        // Until a leader was heard there is none that could be disturbed.
        let least = if self.leader_heard.is_some() { ELECTION } else { FIRST_ELECTION };
        let spread = rand::rng().random_range(Duration::ZERO..least);
        self.deadline = Instant::now() + least + spread;
    }

    pub(super) fn expire(&mut self) -> Result<(), JournalError> {
        let Role::Leader { rounds, .. } = &self.role else {
            self.ask_to_join();
            return self.campaign(true, false);
        };
        let oldest = rounds.first_key_value().map(|(_, sent)| *sent);
        if oldest.is_some_and(|sent| clock::now().duration_since(sent) > QUORUM) {
            warn!(self.events.logger(), "majority lost");
            self.step_down(None);
            return Ok(());
        }
        let lateness = self.deadline.elapsed();
        self.broadcast();
        self.look_after_members(lateness);
        Ok(())
    }

    /// Asks for votes; a trial changes no term, so that a VM that was cut off does not disturb
    /// the others when it is back.
    pub(super) fn campaign(
        &mut self,
        is_trial: bool,
        is_handover: bool,
    ) -> Result<(), JournalError> {
        self.reset_deadline();
        if !self.may_vote() || self.journal.is_failed() {
            return Ok(());
        }
        let term = self.journal.vote().term + 1;
        if !is_trial {
            self.journal.store_vote(Vote {
                term,
                candidate: self.name.to_string(),
                identity: self.identity,
            })?;
        }
        self.role = Role::Candidate { votes: vec![self.name.clone()], is_trial };
        self.leader = None;
        self.publish();
        let last_index = self.journal.last_index();
        let request = VoteRequest {
            term,
            candidate: self.name.to_string(),
            identity: self.identity,
            last_index,
            last_term: self.journal.term(last_index).unwrap_or(0),
            trial: is_trial,
            handover: is_handover,
        };
        self.send_all(&Body::VoteRequest(request));
        self.count_votes()
    }

    pub(super) fn count_votes(&mut self) -> Result<(), JournalError> {
        let Role::Candidate { votes, is_trial } = &self.role else { return Ok(()) };
        if votes.len() < self.majority() {
            return Ok(());
        }
        if *is_trial {
            return self.campaign(false, false);
        }
        self.lead();
        Ok(())
    }

    pub(super) fn lead(&mut self) {
        self.metrics.count("elected");
        info!(self.events.logger(), "leading"; "term" => self.journal.vote().term);
        self.role = Role::Leader {
            followers: HashMap::new(),
            rounds: BTreeMap::new(),
            round: 0,
            confirmed: 0,
            since: clock::now(),
        };
        self.leader = Some(self.name.clone());
        self.quorum.note(clock::now());
        self.follow_configuration();
        self.append(Command { body: Some(command::Body::Barrier(true)) });
        self.publish();
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
            for (_, reply) in std::mem::take(&mut self.replies) {
                let _ = reply.send(Err(Error::Unknown));
            }
            for (_, reply) in std::mem::take(&mut self.confirms) {
                let _ = reply.send(Err(Error::NotLeader(self.leader.clone())));
            }
        }
        self.publish();
    }

    pub(super) fn publish(&self) {
        let since = match &self.role {
            Role::Leader { since, .. } => Some(*since),
            _ => None,
        };
        let now = Leadership { leader: self.leader.clone(), term: self.journal.vote().term, since };
        self.leadership.send_if_modified(|known| {
            let is_new = *known != now;
            *known = now;
            is_new
        });
    }

    pub(super) fn follow_term(&mut self, term: u64) -> Result<(), JournalError> {
        if term > self.journal.vote().term {
            self.journal.store_vote(Vote { term, ..Vote::default() })?;
            self.step_down(None);
        }
        Ok(())
    }

    fn hears_leader(&self) -> bool {
        matches!(self.role, Role::Leader { .. })
            || self.leader_heard.is_some_and(|heard| heard.elapsed() < ELECTION)
    }

    pub(super) fn vote(&mut self, from: &str, request: &VoteRequest) -> Result<(), JournalError> {
        // While a leader is heard, a candidate has merely lost its own connection.
        let has_leader = !request.handover && self.hears_leader();
        let is_voter = self.has_vote(from, request.identity) && self.may_vote();
        if has_leader || !is_voter {
            return Ok(());
        }
        if !request.trial {
            self.follow_term(request.term)?;
        }
        let vote = self.journal.vote();
        let last_index = self.journal.last_index();
        let last = (self.journal.term(last_index).unwrap_or(0), last_index);
        let is_current = (request.last_term, request.last_index) >= last;
        let is_free = request.term == vote.term
            && (vote.candidate.is_empty()
                || (vote.candidate == from && vote.identity == request.identity));
        let granted = is_current && if request.trial { request.term > vote.term } else { is_free };
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

    pub(super) fn voted(&mut self, from: Box<str>, reply: &VoteReply) -> Result<(), JournalError> {
        if !reply.trial {
            self.follow_term(reply.term)?;
        }
        let is_voter = self.has_vote(&from, reply.identity);
        let term = self.journal.vote().term;
        let Role::Candidate { votes, is_trial } = &mut self.role else { return Ok(()) };
        let is_ours = *is_trial == reply.trial && reply.term == term + u64::from(reply.trial);
        if reply.granted && is_ours && is_voter && !votes.contains(&from) {
            votes.push(from);
        }
        self.count_votes()
    }
}
