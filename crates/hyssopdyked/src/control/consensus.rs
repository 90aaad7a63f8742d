//! The replicated log: elections, majority commit, snapshots and changes of the voters.
//!
//! The method is Raft (Ongaro and Ousterhout, "In search of an understandable consensus
//! algorithm", 2014) with the trial vote and the confirmed read of Ongaro's dissertation, and one
//! change of voters at a time. A voter is known by its name and by the identity of its data
//! folder: a VM that has lost its disk is not the voter it was, and has no vote until the leader
//! has sent it all entries and recorded its new identity.

use std::collections::{BTreeMap, HashMap};
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::{Duration, Instant};

use hyssopdyke::process::{Folder, Journal, JournalError};
use hyssopdyke::version::{Outcome, Registry};
use hyssopdyke_wire::ledger::{
    Append, Appended, Command, Configuration, Entry, Install, Message, Snapshot, Vote, VoteReply,
    VoteRequest, Voter, command, message::Body,
};
use prost::Message as _;
use rand::Rng;
use slog::{info, warn};
use tokio::sync::{RwLock, mpsc, oneshot, watch};
use tokio::time::sleep_until;

use super::handle::{Error, Handle, Leadership, Quorum, Request};
use super::replica::Outgoing;
use crate::log::Events;
use crate::metrics::Metrics;

/// Time between two messages of a leader that has nothing to say.
const HEARTBEAT: Duration = Duration::from_millis(100);

/// Least time without a leader after which a VM tries to lead.
const ELECTION: Duration = Duration::from_millis(600);

/// Time without a majority after which a leader steps down.
pub(super) const QUORUM: Duration = Duration::from_secs(1);

/// Entries in one message.
const BATCH: usize = 512;

/// Applied entries after which the log is replaced by a snapshot.
const SNAPSHOT_ENTRIES: u64 = 4096;

/// Time before a snapshot is sent again.
const INSTALL_INTERVAL: Duration = Duration::from_secs(2);

/// Requests that may wait for the log.
const QUEUE: usize = 4096;

/// Requests that are taken before the log is synced.
const GATHERED: usize = 256;

/// What the leader knows of another VM.
struct Follower {
    address: SocketAddr,
    /// Identity that the VM last said it has.
    identity: Option<u64>,
    next: u64,
    matched: u64,
    /// Last round of messages that the VM has answered.
    round: u64,
    installed: Option<Instant>,
}

enum Role {
    Follower,
    /// Votes by name; `is_trial` while it only asks whether it would win.
    Candidate {
        votes: Vec<Box<str>>,
        is_trial: bool,
    },
    Leader {
        followers: HashMap<Box<str>, Follower>,
        /// Number and time of each round of messages that a majority has not answered yet.
        rounds: BTreeMap<u64, Instant>,
        round: u64,
        confirmed: u64,
        since: Instant,
    },
}

type Reply<T> = oneshot::Sender<Result<T, Error>>;

/// The task that owns the log.
pub(super) struct Consensus {
    name: Box<str>,
    identity: u64,
    address: SocketAddr,
    journal: Journal<Folder>,
    outgoing: Outgoing,
    inbox: mpsc::Receiver<Request>,
    registry: Arc<RwLock<Registry>>,
    revision: watch::Sender<u64>,
    leadership: watch::Sender<Leadership>,
    quorum: Arc<Quorum>,
    role: Role,
    leader: Option<Box<str>>,
    configuration: Configuration,
    configuration_index: u64,
    commit: u64,
    applied: u64,
    deadline: Instant,
    leader_heard: Option<Instant>,
    /// Where the VMs that were heard take messages.
    peers: HashMap<Box<str>, SocketAddr>,
    proposed: Vec<Entry>,
    replies: BTreeMap<u64, Reply<Outcome>>,
    confirms: Vec<(u64, Reply<()>)>,
    metrics: Metrics,
    events: Events,
}

impl Consensus {
    /// Opens the log over a journal.
    pub(super) fn open(
        name: Box<str>,
        identity: u64,
        address: SocketAddr,
        journal: Journal<Folder>,
        outgoing: Outgoing,
        metrics: Metrics,
        events: Events,
    ) -> (Handle, Self) {
        let registry = Registry::restore(journal.snapshot().clone());
        let (sender, inbox) = mpsc::channel(QUEUE);
        let (revision, revisions) = watch::channel(registry.store().revision());
        let (leadership, leaderships) = watch::channel(Leadership::default());
        let registry = Arc::new(RwLock::new(registry));
        let quorum = Arc::new(Quorum::new());
        let handle = Handle {
            inbox: sender,
            registry: Arc::clone(&registry),
            revision: revisions,
            leadership: leaderships,
            quorum: Arc::clone(&quorum),
        };
        let applied = journal.snapshot().index;
        let mut consensus = Self {
            name,
            identity,
            address,
            journal,
            outgoing,
            inbox,
            registry,
            revision,
            leadership,
            quorum,
            role: Role::Follower,
            leader: None,
            configuration: Configuration::default(),
            configuration_index: 0,
            commit: applied,
            applied,
            deadline: Instant::now(),
            leader_heard: None,
            peers: HashMap::new(),
            proposed: Vec::new(),
            replies: BTreeMap::new(),
            confirms: Vec::new(),
            metrics,
            events,
        };
        consensus.find_configuration();
        consensus.reset_deadline();
        // The only voter need not wait for others.
        if consensus.configuration.voters.len() == 1 {
            consensus.deadline = Instant::now();
        }
        (handle, consensus)
    }

    /// Serves until the journal fails.
    pub(super) async fn run(mut self) -> Result<(), JournalError> {
        loop {
            let deadline = tokio::time::Instant::from_std(self.deadline);
            tokio::select! {
                request = self.inbox.recv() => {
                    let Some(request) = request else { return Ok(()) };
                    self.take(request).await?;
                    for _ in 0..GATHERED {
                        let Ok(request) = self.inbox.try_recv() else { break };
                        self.take(request).await?;
                    }
                }
                () = sleep_until(deadline) => self.expire()?,
            }
            self.store_proposed()?;
            self.advance();
            self.apply().await?;
        }
    }

    async fn take(&mut self, request: Request) -> Result<(), JournalError> {
        match request {
            Request::Message(message) => self.receive(message).await?,
            Request::Propose(command, reply) => self.propose(command, reply),
            Request::Confirm(reply) => self.confirm(reply),
            Request::Admit(voter, reply) => self.admit(&voter, reply),
            Request::Remove(name, reply) => self.remove(&name, reply),
        }
        Ok(())
    }

    // Voters

    /// Takes the configuration from the last entry that has one, or from the snapshot.
    fn find_configuration(&mut self) {
        let snapshot = self.journal.snapshot();
        let mut found = (snapshot.index, snapshot.configuration.clone().unwrap_or_default());
        for entry in self.journal.entries() {
            if let Some(configuration) = configuration(entry) {
                found = (entry.index, configuration.clone());
            }
        }
        (self.configuration_index, self.configuration) = found;
        self.follow_configuration();
    }

    fn follow_configuration(&mut self) {
        let known: Vec<SocketAddr> = self
            .configuration
            .voters
            .iter()
            .filter_map(|voter| voter.address.parse().ok())
            .collect();
        if let Role::Leader { followers, .. } = &mut self.role {
            let last = self.journal.last_index();
            for voter in &self.configuration.voters {
                if *voter.name == *self.name {
                    continue;
                }
                let Ok(address) = voter.address.parse() else { continue };
                followers
                    .entry(voter.name.as_str().into())
                    .or_insert_with(|| follower(address, last));
            }
        } else {
            let peers: Vec<SocketAddr> = self.peers.values().copied().collect();
            self.outgoing.retain(|address| known.contains(address) || peers.contains(address));
        }
    }

    fn voter(&self, name: &str) -> Option<&Voter> {
        self.configuration.voters.iter().find(|voter| voter.name == name)
    }

    /// Whether a VM votes with this identity.
    fn has_vote(&self, name: &str, identity: u64) -> bool {
        self.voter(name).is_some_and(|voter| voter.identity == identity)
    }

    fn may_vote(&self) -> bool {
        self.has_vote(&self.name, self.identity)
    }

    const fn majority(&self) -> usize {
        self.configuration.voters.len() / 2 + 1
    }

    /// Gives a VM a vote, once it has all entries.
    fn admit(&mut self, voter: &Voter, reply: Reply<()>) {
        let last = self.journal.last_index();
        let answer = match (&mut self.role, voter.address.parse()) {
            (Role::Leader { followers, .. }, Ok(address)) => {
                followers
                    .entry(voter.name.as_str().into())
                    .or_insert_with(|| follower(address, last));
                Ok(())
            }
            _ => Err(Error::NotLeader(self.leader.clone())),
        };
        let _ = reply.send(answer);
    }

    fn remove(&mut self, name: &str, reply: Reply<()>) {
        let answer = if !matches!(self.role, Role::Leader { .. }) {
            Err(Error::NotLeader(self.leader.clone()))
        } else if self.commit < self.configuration_index {
            Err(Error::Busy)
        } else {
            let mut voters = self.configuration.voters.clone();
            voters.retain(|voter| voter.name != name);
            if let Role::Leader { followers, .. } = &mut self.role {
                followers.remove(name);
            }
            self.change_voters(voters);
            Ok(())
        };
        let _ = reply.send(answer);
    }

    fn change_voters(&mut self, voters: Vec<Voter>) {
        let names: Vec<_> = voters.iter().map(|voter| voter.name.clone()).collect();
        info!(self.events.logger(), "voters change"; "voters" => names.join(" "));
        let body = command::Body::Configuration(Configuration { voters });
        self.append(Command { body: Some(body) });
    }

    /// Records the identity of a VM that has all entries but no vote.
    fn admit_caught_up(&mut self) {
        if self.commit < self.configuration_index {
            return;
        }
        let Role::Leader { followers, .. } = &self.role else { return };
        let last = self.journal.last_index();
        let caught_up = followers.iter().find_map(|(name, follower)| {
            let identity = follower.identity?;
            let is_due = follower.matched == last && !self.has_vote(name, identity);
            is_due.then(|| Voter {
                name: name.to_string(),
                identity,
                address: follower.address.to_string(),
            })
        });
        if let Some(admitted) = caught_up {
            let mut voters = self.configuration.voters.clone();
            voters.retain(|voter| voter.name != admitted.name);
            voters.push(admitted);
            voters.sort_by(|a, b| a.name.cmp(&b.name));
            self.change_voters(voters);
        }
    }

    // Elections

    fn reset_deadline(&mut self) {
        let spread = rand::rng().random_range(Duration::ZERO..ELECTION);
        self.deadline = Instant::now() + ELECTION + spread;
    }

    fn expire(&mut self) -> Result<(), JournalError> {
        match &self.role {
            Role::Leader { rounds, .. } => {
                let oldest = rounds.first_key_value().map(|(_, sent)| *sent);
                if oldest.is_some_and(|sent| sent.elapsed() > QUORUM) {
                    warn!(self.events.logger(), "majority lost");
                    self.step_down(None);
                    return Ok(());
                }
                self.broadcast();
                Ok(())
            }
            _ => self.campaign(true),
        }
    }

    /// Asks for votes; a trial changes no term, so that a VM that was cut off does not disturb
    /// the others when it is back.
    fn campaign(&mut self, is_trial: bool) -> Result<(), JournalError> {
        self.reset_deadline();
        if !self.may_vote() {
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
        };
        self.send_all(&Body::VoteRequest(request));
        self.count_votes()
    }

    fn count_votes(&mut self) -> Result<(), JournalError> {
        let Role::Candidate { votes, is_trial } = &self.role else { return Ok(()) };
        if votes.len() < self.majority() {
            return Ok(());
        }
        if *is_trial {
            return self.campaign(false);
        }
        self.lead();
        Ok(())
    }

    fn lead(&mut self) {
        info!(self.events.logger(), "leading"; "term" => self.journal.vote().term);
        self.role = Role::Leader {
            followers: HashMap::new(),
            rounds: BTreeMap::new(),
            round: 0,
            confirmed: 0,
            since: Instant::now(),
        };
        self.leader = Some(self.name.clone());
        self.quorum.note(Instant::now());
        self.follow_configuration();
        self.append(Command { body: Some(command::Body::Barrier(true)) });
        self.publish();
    }

    fn step_down(&mut self, leader: Option<Box<str>>) {
        let was_leader = matches!(self.role, Role::Leader { .. });
        self.role = Role::Follower;
        self.leader = leader;
        self.reset_deadline();
        if was_leader {
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

    fn publish(&self) {
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

    fn follow_term(&mut self, term: u64) -> Result<(), JournalError> {
        if term > self.journal.vote().term {
            self.journal.store_vote(Vote { term, ..Vote::default() })?;
            self.step_down(None);
        }
        Ok(())
    }

    // Messages

    async fn receive(&mut self, message: Message) -> Result<(), JournalError> {
        let from: Box<str> = message.from.into();
        if let Ok(address) = message.address.parse() {
            self.peers.insert(from.clone(), address);
        }
        match message.body {
            Some(Body::VoteRequest(request)) => self.vote(&from, &request),
            Some(Body::VoteReply(reply)) => self.voted(from, &reply),
            Some(Body::Append(append)) => self.take_entries(&from, append),
            Some(Body::Appended(appended)) => self.appended(&from, &appended),
            Some(Body::Install(install)) => self.install(from, install).await,
            None => Ok(()),
        }
    }

    fn vote(&mut self, from: &str, request: &VoteRequest) -> Result<(), JournalError> {
        // While a leader is heard, a candidate has merely lost its own connection.
        let has_leader = matches!(self.role, Role::Leader { .. })
            || self.leader_heard.is_some_and(|heard| heard.elapsed() < ELECTION);
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

    fn voted(&mut self, from: Box<str>, reply: &VoteReply) -> Result<(), JournalError> {
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

    fn take_entries(&mut self, from: &str, append: Append) -> Result<(), JournalError> {
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
            tokio::task::block_in_place(|| self.journal.store_entries(after, entries))?;
            self.find_configuration();
        }
        self.commit = self.commit.max(append.commit.min(sent_up_to));
        self.reply_appended(from, true, sent_up_to, append.round);
        Ok(())
    }

    fn hear_leader(&mut self, from: &str, term: u64) -> Result<(), JournalError> {
        self.follow_term(term)?;
        if self.leader.as_deref() != Some(from) || !matches!(self.role, Role::Follower) {
            info!(self.events.logger(), "following"; "leader" => from, "term" => term);
            self.step_down(Some(from.into()));
        }
        self.leader_heard = Some(Instant::now());
        self.reset_deadline();
        Ok(())
    }

    fn reply_appended(&mut self, to: &str, success: bool, index: u64, round: u64) {
        let (term, identity) = (self.journal.vote().term, self.identity);
        self.send(to, Body::Appended(Appended { term, success, index, round, identity }));
    }

    async fn install(&mut self, from: Box<str>, install: Install) -> Result<(), JournalError> {
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

    fn appended(&mut self, from: &str, appended: &Appended) -> Result<(), JournalError> {
        self.follow_term(appended.term)?;
        let last = self.journal.last_index();
        let Role::Leader { followers, .. } = &mut self.role else { return Ok(()) };
        let Some(follower) = followers.get_mut(from) else { return Ok(()) };
        if follower.identity != Some(appended.identity) {
            // The VM is new or has lost its disk: what it held before does not count.
            follower.identity = Some(appended.identity);
            (follower.matched, follower.next) = (0, last + 1);
        }
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
        self.admit_caught_up();
        if is_behind {
            self.send_entries(from);
        }
        Ok(())
    }

    /// Notes the last round of messages that a majority has answered.
    fn count_round(&mut self) {
        let (mine, majority) = (self.may_vote(), self.majority());
        let identities: HashMap<Box<str>, u64> = self.identities();
        let Role::Leader { followers, rounds, round, confirmed, .. } = &mut self.role else {
            return;
        };
        let voters = followers.iter().filter(|(name, follower)| {
            follower.identity.is_some() && identities.get(*name).copied() == follower.identity
        });
        let mut answered: Vec<u64> = voters.map(|(_, follower)| follower.round).collect();
        if mine {
            answered.push(*round);
        }
        answered.sort_unstable_by(|a, b| b.cmp(a));
        let Some(reached) = answered.get(majority - 1).copied() else { return };
        if reached <= *confirmed {
            return;
        }
        *confirmed = reached;
        if let Some(sent) = rounds.get(&reached) {
            self.quorum.note(*sent);
        }
        *rounds = rounds.split_off(&(reached + 1));
    }

    fn identities(&self) -> HashMap<Box<str>, u64> {
        let voters = self.configuration.voters.iter();
        voters.map(|voter| (voter.name.as_str().into(), voter.identity)).collect()
    }

    // Entries

    fn propose(&mut self, command: Command, reply: Reply<Outcome>) {
        if !matches!(self.role, Role::Leader { .. }) {
            let _ = reply.send(Err(Error::NotLeader(self.leader.clone())));
            return;
        }
        let index = self.append(command);
        self.replies.insert(index, reply);
    }

    fn append(&mut self, command: Command) -> u64 {
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

    fn confirm(&mut self, reply: Reply<()>) {
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
    fn store_proposed(&mut self) -> Result<(), JournalError> {
        if self.proposed.is_empty() {
            return Ok(());
        }
        let entries = std::mem::take(&mut self.proposed);
        let last = self.journal.last_index();
        tokio::task::block_in_place(|| self.journal.store_entries(last, entries))?;
        self.broadcast();
        Ok(())
    }

    /// Starts a round of messages to all followers.
    fn broadcast(&mut self) {
        let Role::Leader { followers, rounds, round, .. } = &mut self.role else { return };
        *round += 1;
        rounds.insert(*round, Instant::now());
        let names: Vec<Box<str>> = followers.keys().cloned().collect();
        for name in names {
            self.send_entries(&name);
        }
        self.deadline = Instant::now() + HEARTBEAT;
        self.count_round();
    }

    fn send_entries(&mut self, to: &str) {
        let Role::Leader { followers, round, .. } = &mut self.role else { return };
        let Some(follower) = followers.get_mut(to) else { return };
        let (address, round) = (follower.address, *round);
        let previous = follower.next - 1;
        let term = self.journal.vote().term;
        let body = match self.journal.term(previous) {
            Some(previous_term) if previous >= self.journal.snapshot().index => {
                let start = (previous - self.journal.snapshot().index) as usize;
                let rest = self.journal.entries().get(start..).unwrap_or_default();
                let entries = rest[..rest.len().min(BATCH)].to_vec();
                // Entries count as sent, so that the next message carries only new ones.
                follower.next += entries.len() as u64;
                Body::Append(Append {
                    term,
                    leader: self.name.to_string(),
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
                    leader: self.name.to_string(),
                    data: snapshot.encode_to_vec().into(),
                    offset: 0,
                    last: true,
                    index: snapshot.index,
                    round,
                })
            }
        };
        self.send_to(address, body);
    }

    /// Commits what a majority has synced.
    fn advance(&mut self) {
        let (mine, majority) = (self.may_vote(), self.majority());
        let identities = self.identities();
        let last = self.journal.last_index();
        let Role::Leader { followers, confirmed, .. } = &self.role else { return };
        let voters = followers.iter().filter(|(name, follower)| {
            follower.identity.is_some() && identities.get(*name).copied() == follower.identity
        });
        let mut synced: Vec<u64> = voters.map(|(_, follower)| follower.matched).collect();
        if mine {
            synced.push(last);
        }
        synced.sort_unstable_by(|a, b| b.cmp(a));
        let reached = synced.get(majority - 1).copied().unwrap_or(0);
        // An entry of an earlier term is committed only with one of this term.
        if reached > self.commit && self.journal.term(reached) == Some(self.journal.vote().term) {
            self.commit = reached;
        }
        let confirmed = *confirmed;
        let (ready, waiting): (Vec<_>, Vec<_>) =
            std::mem::take(&mut self.confirms).into_iter().partition(|(due, _)| *due <= confirmed);
        self.confirms = waiting;
        let is_current = self.journal.term(self.commit) == Some(self.journal.vote().term);
        for (due, reply) in ready {
            if is_current {
                let _ = reply.send(Ok(()));
            } else {
                self.confirms.push((due, reply));
            }
        }
        if !self.may_vote() && self.commit >= self.configuration_index {
            // This VM was removed from the voters and has committed that.
            self.step_down(None);
        }
    }

    async fn apply(&mut self) -> Result<(), JournalError> {
        if self.applied >= self.commit {
            return Ok(());
        }
        let registry = Arc::clone(&self.registry);
        let mut registry = registry.write().await;
        while self.applied < self.commit {
            let Some(entry) = self.journal.entry(self.applied + 1).cloned() else { break };
            self.applied = entry.index;
            let outcome = registry.apply(entry.command.unwrap_or_default());
            self.metrics.count("applied");
            if let Some(reply) = self.replies.remove(&entry.index) {
                let _ = reply.send(Ok(outcome));
            }
        }
        let revision = registry.store().revision();
        self.events.set_revision(revision);
        self.revision.send_if_modified(|known| std::mem::replace(known, revision) != revision);
        if self.applied - self.journal.snapshot().index >= SNAPSHOT_ENTRIES {
            let term = self.journal.term(self.applied).unwrap_or(0);
            let snapshot = registry.snapshot(self.applied, term);
            drop(registry);
            tokio::task::block_in_place(|| self.journal.store_snapshot(snapshot))?;
            info!(self.events.logger(), "snapshot stored"; "index" => self.applied);
        }
        self.metrics.flush();
        Ok(())
    }

    // Sending

    fn send(&mut self, to: &str, body: Body) {
        let listed = self.voter(to).and_then(|voter| voter.address.parse().ok());
        // A VM that has no entries yet knows its leader only by the leader's messages.
        if let Some(address) = listed.or_else(|| self.peers.get(to).copied()) {
            self.send_to(address, body);
        }
    }

    fn send_to(&mut self, address: SocketAddr, body: Body) {
        let (from, own) = (self.name.to_string(), self.address.to_string());
        self.outgoing.send(address, Message { from, address: own, body: Some(body) });
    }

    fn send_all(&mut self, body: &Body) {
        let others: Vec<String> = self
            .configuration
            .voters
            .iter()
            .filter(|voter| *voter.name != *self.name)
            .map(|voter| voter.name.clone())
            .collect();
        for name in others {
            self.send(&name, body.clone());
        }
    }
}

fn follower(address: SocketAddr, last: u64) -> Follower {
    Follower { address, identity: None, next: last + 1, matched: 0, round: 0, installed: None }
}

fn configuration(entry: &Entry) -> Option<&Configuration> {
    match entry.command.as_ref()?.body.as_ref()? {
        command::Body::Configuration(configuration) => Some(configuration),
        _ => None,
    }
}
