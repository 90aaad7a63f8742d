//! The replicated log: elections, majority commit, snapshots and membership changes.
//!
//! The algorithm is Raft (Ongaro and Ousterhout, "In search of an understandable consensus
//! algorithm", 2014) with the pre-vote and the read index of Ongaro's dissertation, and
//! single-server membership changes. A voter is identified by its name and by the identity of its
//! data folder. A VM that has lost its disk therefore no longer counts as the same voter: it has no
//! vote until the leader has sent it all entries and recorded its new identity.

mod election;
mod follow;
mod follower;
mod join;
mod replicate;
mod voters;

use std::collections::{BTreeMap, HashMap};
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::{Duration, Instant};

use hyssopdyke::process::{DataDir, Journal, JournalError};
use hyssopdyke::version::{Outcome, Registry};
use hyssopdyke_wire::ledger::{Configuration, Entry, Message, message::Body};
use rand::Rng;
use slog::{info, warn};
use tokio::sync::{RwLock, mpsc, oneshot, watch};
use tokio::time::sleep_until;

use follower::Follower;
pub(super) use join::Discovery;

use super::handle::{Error, Handle, Leadership, Quorum, Request};
use super::replica::Connections;
use crate::log::Events;
use crate::metrics::Metrics;

/// Interval between the messages of an idle leader.
const HEARTBEAT_INTERVAL: Duration = Duration::from_millis(100);

/// Minimum time without contact to a leader before a VM starts an election.
const MIN_ELECTION_TIMEOUT: Duration = Duration::from_millis(600);

/// Time without answers from a majority after which a leader steps down.
pub(super) const QUORUM_TIMEOUT: Duration = Duration::from_secs(1);

/// Number of applied entries after which a snapshot replaces the log.
const SNAPSHOT_ENTRIES: u64 = 4096;

/// Size of the log in bytes after which a snapshot replaces it: a small part of a control VM's disk.
const SNAPSHOT_BYTES: u64 = 8 << 20;

/// Interval between attempts to repair the journal after a disk failure.
const DISK_RETRY_INTERVAL: Duration = Duration::from_millis(500);

/// Upper limit of the election timeout at start: several times the longest round trip with a sync.
///
/// It is also the minimum election timeout until the first contact to a leader. The short timeout
/// is safe because the other VMs answer a pre-vote only if they have no contact to a leader either.
const INITIAL_ELECTION_TIMEOUT: Duration = Duration::from_millis(120);

/// Capacity of the queue of requests to the log.
const REQUEST_QUEUE_LENGTH: usize = 4096;

/// Maximum number of queued requests that are handled before the log is synced.
const MAX_BATCHED_REQUESTS: usize = 256;

/// Role of this VM in the current term.
enum Role {
    Follower,
    Candidate {
        /// Names of the voters that granted their vote.
        votes: Vec<Box<str>>,
        /// Whether the candidate only asks if it would win an election.
        is_pre_vote: bool,
    },
    Leader {
        followers: HashMap<Box<str>, Follower>,
        /// Send times, by number, of the rounds of messages that no majority has answered yet.
        pending_rounds: BTreeMap<u64, Instant>,
        /// Number of the last round of messages.
        round: u64,
        /// Last round that a majority has answered.
        confirmed_round: u64,
        since: Instant,
    },
}

type Reply<T> = oneshot::Sender<Result<T, Error>>;

/// This control VM, as other control VMs address it.
pub(super) struct Local {
    pub(super) name: Box<str>,
    /// Identity of the data folder.
    pub(super) identity: u64,
    /// Address at which this VM receives messages.
    pub(super) address: SocketAddr,
}

/// The task that owns the log.
pub(super) struct Consensus {
    name: Box<str>,
    identity: u64,
    address: SocketAddr,
    journal: Journal<DataDir>,
    connections: Connections,
    inbox: mpsc::Receiver<Request>,
    registry: Arc<RwLock<Registry>>,
    revision: watch::Sender<u64>,
    leadership: watch::Sender<Leadership>,
    quorum: Arc<Quorum>,
    role: Role,
    leader: Option<Box<str>>,
    configuration: Configuration,
    configuration_index: u64,
    commit_index: u64,
    applied_index: u64,
    deadline: Instant,
    last_leader_contact: Option<Instant>,
    /// Time of the next repair attempt after a disk failure.
    repair_at: Option<Instant>,
    discovery: Discovery,
    /// Addresses of the VMs that have sent messages, by name.
    peers: HashMap<Box<str>, SocketAddr>,
    proposed: Vec<Entry>,
    pending_replies: BTreeMap<u64, Reply<Outcome>>,
    pending_confirmations: Vec<(u64, Reply<()>)>,
    metrics: Metrics,
    events: Events,
}

impl Consensus {
    /// Opens the log on top of a journal.
    pub(super) fn open(
        local: Local,
        journal: Journal<DataDir>,
        discovery: Discovery,
        connections: Connections,
        metrics: Metrics,
        events: Events,
    ) -> (Handle, Self) {
        let Local { name, identity, address } = local;
        let registry = Registry::restore(journal.snapshot().clone());
        let (sender, inbox) = mpsc::channel(REQUEST_QUEUE_LENGTH);
        let (revision, revision_receiver) = watch::channel(registry.store().revision());
        let (leadership, leadership_receiver) = watch::channel(Leadership::default());
        let registry = Arc::new(RwLock::new(registry));
        let quorum = Arc::new(Quorum::new());
        let handle = Handle {
            inbox: sender,
            registry: Arc::clone(&registry),
            revision: revision_receiver,
            leadership: leadership_receiver,
            quorum: Arc::clone(&quorum),
        };
        let applied = journal.snapshot().index;
        let mut consensus = Self {
            name,
            identity,
            address,
            journal,
            connections,
            inbox,
            registry,
            revision,
            leadership,
            quorum,
            role: Role::Follower,
            leader: None,
            configuration: Configuration::default(),
            configuration_index: 0,
            commit_index: applied,
            applied_index: applied,
            deadline: Instant::now(),
            last_leader_contact: None,
            repair_at: None,
            discovery,
            peers: HashMap::new(),
            proposed: Vec::new(),
            pending_replies: BTreeMap::new(),
            pending_confirmations: Vec::new(),
            metrics,
            events,
        };
        consensus.load_configuration();
        consensus.deadline =
            Instant::now() + rand::rng().random_range(Duration::ZERO..INITIAL_ELECTION_TIMEOUT);
        // A single voter has no other voters to wait for.
        if consensus.configuration.voters.len() == 1 {
            consensus.deadline = Instant::now();
        }
        (handle, consensus)
    }

    /// Serves requests until the handles are dropped or the journal is found corrupt.
    ///
    /// If the disk rejects or fails writes, this VM becomes a follower that acknowledges nothing
    /// until the disk works again.
    pub(super) async fn run(mut self) -> Result<(), JournalError> {
        loop {
            // Before the next request, which fails while the disk is not repaired.
            let served = match self.repair_disk() {
                Ok(()) => self.serve_next().await,
                Err(error) => Err(error),
            };
            match served {
                Ok(true) => {}
                Ok(false) => return Ok(()),
                Err(error @ (JournalError::Io { .. } | JournalError::Failed)) => {
                    self.handle_disk_failure(&error);
                }
                Err(error) => return Err(error),
            }
        }
    }

    /// Serves the next requests or timeout; returns false if all handles are dropped.
    async fn serve_next(&mut self) -> Result<bool, JournalError> {
        let deadline = self.repair_at.map_or(self.deadline, |repair| repair.min(self.deadline));
        tokio::select! {
            request = self.inbox.recv() => {
                let Some(request) = request else { return Ok(false) };
                self.handle_request(request).await?;
                for _ in 0..MAX_BATCHED_REQUESTS {
                    let Ok(request) = self.inbox.try_recv() else { break };
                    self.handle_request(request).await?;
                }
            }
            () = sleep_until(deadline.into()) => {}
        }
        if Instant::now() >= self.deadline {
            self.handle_deadline()?;
        }
        self.persist_proposals()?;
        self.advance_commit();
        self.apply().await?;
        Ok(true)
    }

    fn handle_disk_failure(&mut self, error: &JournalError) {
        if self.repair_at.is_none() {
            self.metrics.count("disk_failed");
            warn!(self.events.logger(), "disk failed"; "reason" => %error);
        }
        let next_repair = Instant::now() + DISK_RETRY_INTERVAL;
        self.repair_at = match error {
            // The journal was not written to: the time of the next attempt stays.
            JournalError::Failed => self.repair_at.or(Some(next_repair)),
            _ => Some(next_repair),
        };
        if !matches!(self.role, Role::Follower) {
            self.step_down(None);
        }
        // A configuration may have been proposed but not stored.
        self.load_configuration();
    }

    fn repair_disk(&mut self) -> Result<(), JournalError> {
        if self.repair_at.is_none_or(|at| Instant::now() < at) {
            return Ok(());
        }
        tokio::task::block_in_place(|| self.journal.repair())?;
        info!(self.events.logger(), "disk works again");
        self.repair_at = None;
        Ok(())
    }

    async fn handle_request(&mut self, request: Request) -> Result<(), JournalError> {
        match request {
            Request::Message(message) => self.handle_message(message).await?,
            Request::Propose(command, reply) => self.propose(command, reply),
            Request::Confirm(reply) => self.confirm_leadership(reply),
            Request::Admit(voter, reply) => self.admit_voter(&voter, reply),
            Request::Remove(name, reply) => self.remove_voter(&name, reply),
            Request::Handover(reply) => self.hand_over(reply),
        }
        Ok(())
    }

    async fn handle_message(&mut self, message: Message) -> Result<(), JournalError> {
        let from: Box<str> = message.from.into();
        if let Ok(address) = message.address.parse() {
            self.connections.notify_reachable(&address);
            self.peers.insert(from.clone(), address);
        }
        match message.body {
            Some(Body::VoteRequest(request)) => self.handle_vote_request(&from, &request),
            Some(Body::VoteReply(reply)) => self.handle_vote_reply(from, &reply),
            Some(Body::Append(append)) => self.handle_append(&from, append),
            Some(Body::Appended(appended)) => self.handle_appended(&from, &appended),
            Some(Body::Install(install)) => self.handle_install(from, install).await,
            Some(Body::Join(join)) => {
                self.handle_join(&from, &join);
                Ok(())
            }
            Some(Body::Handover(handover)) => self.handle_handover(&from, handover),
            None => Ok(()),
        }
    }

    /// Applies the committed entries, and answers the requests that wait for them.
    async fn apply(&mut self) -> Result<(), JournalError> {
        if self.applied_index < self.commit_index {
            self.apply_entries().await?;
        }
        self.answer_confirmations();
        Ok(())
    }

    async fn apply_entries(&mut self) -> Result<(), JournalError> {
        let registry = Arc::clone(&self.registry);
        let mut registry = registry.write().await;
        while self.applied_index < self.commit_index {
            let Some(entry) = self.journal.entry(self.applied_index + 1).cloned() else { break };
            self.applied_index = entry.index;
            let outcome = registry.apply(entry.command.unwrap_or_default());
            self.metrics.count("applied");
            if let Some(reply) = self.pending_replies.remove(&entry.index) {
                let _ = reply.send(Ok(outcome));
            }
        }
        let revision = registry.store().revision();
        self.events.set_revision(revision);
        let is_new =
            self.revision.send_if_modified(|last| std::mem::replace(last, revision) != revision);
        if is_new {
            info!(self.events.logger(), "revision in use");
        }
        let needs_snapshot = self.applied_index - self.journal.snapshot().index >= SNAPSHOT_ENTRIES
            || self.journal.log_bytes() >= SNAPSHOT_BYTES;
        if needs_snapshot && !self.journal.is_failed() {
            let term = self.journal.term(self.applied_index).unwrap_or(0);
            let snapshot = registry.snapshot(self.applied_index, term);
            drop(registry);
            tokio::task::block_in_place(|| self.journal.store_snapshot(snapshot))?;
            info!(self.events.logger(), "snapshot stored"; "index" => self.applied_index);
        }
        self.metrics.flush();
        Ok(())
    }

    fn send(&mut self, to: &str, body: Body) {
        let voter_address = self.voter(to).and_then(|voter| voter.address.parse().ok());
        // A VM without entries has the address of its leader only from the leader's messages.
        if let Some(address) = voter_address.or_else(|| self.peers.get(to).copied()) {
            self.send_to(address, body);
        }
    }

    fn send_to(&mut self, address: SocketAddr, body: Body) {
        let (from, own_address) = (self.name.to_string(), self.address.to_string());
        self.connections.send(address, Message { from, address: own_address, body: Some(body) });
    }

    fn send_to_voters(&mut self, body: &Body) {
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

#[cfg(test)]
#[path = "disk_tests.rs"]
mod disk_tests;

#[cfg(test)]
#[path = "read_tests.rs"]
mod read_tests;
