//! The replicated log: elections, majority commit, snapshots and changes of the voters.
//!
//! The method is Raft (Ongaro and Ousterhout, "In search of an understandable consensus
//! algorithm", 2014) with the trial vote and the confirmed read of Ongaro's dissertation, and one
//! change of voters at a time. A voter is known by its name and by the identity of its data
//! folder: a VM that has lost its disk is not the voter it was, and has no vote until the leader
//! has sent it all entries and recorded its new identity.

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
pub(super) use join::Members;

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

/// Applied entries after which the log is replaced by a snapshot.
const SNAPSHOT_ENTRIES: u64 = 4096;

/// Bytes of the log after which it is replaced by a snapshot: a small part of a control VM's disk.
const SNAPSHOT_BYTES: u64 = 8 << 20;

/// Time after a failure of the disk before it is tried again.
const REPAIR_INTERVAL: Duration = Duration::from_millis(500);

/// Most of the time that a VM which has not heard a leader since its start waits for one: several
/// times the longest way and back with a sync. The others answer a trial vote only where they hear
/// none.
const FIRST_ELECTION: Duration = Duration::from_millis(120);

/// Requests that may wait for the log.
const QUEUE: usize = 4096;

/// Requests that are taken before the log is synced.
const GATHERED: usize = 256;

/// What this VM does in its term.
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

/// The control VM of this process, as the others know it.
pub(super) struct Local {
    pub(super) name: Box<str>,
    /// Identity of the data folder.
    pub(super) identity: u64,
    /// Where it takes messages.
    pub(super) address: SocketAddr,
}

/// The task that owns the log.
pub(super) struct Consensus {
    name: Box<str>,
    identity: u64,
    address: SocketAddr,
    journal: Journal<DataDir>,
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
    /// When a disk that has failed is tried again.
    repair_at: Option<Instant>,
    members: Members,
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
        local: Local,
        journal: Journal<DataDir>,
        members: Members,
        outgoing: Outgoing,
        metrics: Metrics,
        events: Events,
    ) -> (Handle, Self) {
        let Local { name, identity, address } = local;
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
            repair_at: None,
            members,
            peers: HashMap::new(),
            proposed: Vec::new(),
            replies: BTreeMap::new(),
            confirms: Vec::new(),
            metrics,
            events,
        };
        consensus.find_configuration();
        consensus.deadline =
            Instant::now() + rand::rng().random_range(Duration::ZERO..FIRST_ELECTION);
        // The only voter need not wait for others.
        if consensus.configuration.voters.len() == 1 {
            consensus.deadline = Instant::now();
        }
        (handle, consensus)
    }

    /// Serves until the journal is found damaged.
    ///
    /// A disk that refuses or fails writes makes this VM a follower that acknowledges nothing; it
    /// goes on once the disk works again.
    pub(super) async fn run(mut self) -> Result<(), JournalError> {
        loop {
            match self.serve_next().await {
                Ok(true) => {}
                Ok(false) => return Ok(()),
                Err(error @ (JournalError::Io { .. } | JournalError::Failed)) => {
                    self.disk_failed(&error);
                }
                Err(error) => return Err(error),
            }
        }
    }

    /// Serves what comes next; false where nobody is left to ask for anything.
    async fn serve_next(&mut self) -> Result<bool, JournalError> {
        let deadline = self.repair_at.map_or(self.deadline, |repair| repair.min(self.deadline));
        tokio::select! {
            request = self.inbox.recv() => {
                let Some(request) = request else { return Ok(false) };
                self.take(request).await?;
                for _ in 0..GATHERED {
                    let Ok(request) = self.inbox.try_recv() else { break };
                    self.take(request).await?;
                }
            }
            () = sleep_until(deadline.into()) => {}
        }
        self.repair_disk()?;
        if Instant::now() >= self.deadline {
            self.expire()?;
        }
        self.store_proposed()?;
        self.advance();
        self.apply().await?;
        Ok(true)
    }

    fn disk_failed(&mut self, error: &JournalError) {
        if self.repair_at.is_none() {
            self.metrics.count("disk_failed");
            warn!(self.events.logger(), "disk failed"; "reason" => %error);
        }
        self.repair_at = Some(Instant::now() + REPAIR_INTERVAL);
        if !matches!(self.role, Role::Follower) {
            self.step_down(None);
        }
        // A change of the voters may have been proposed and not stored.
        self.find_configuration();
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

    async fn take(&mut self, request: Request) -> Result<(), JournalError> {
        match request {
            Request::Message(message) => self.receive(message).await?,
            Request::Propose(command, reply) => self.propose(command, reply),
            Request::Confirm(reply) => self.confirm(reply),
            Request::Admit(voter, reply) => self.admit(&voter, reply),
            Request::Remove(name, reply) => self.remove(&name, reply),
            Request::Handover(reply) => self.hand_over(reply),
        }
        Ok(())
    }

    async fn receive(&mut self, message: Message) -> Result<(), JournalError> {
        let from: Box<str> = message.from.into();
        if let Ok(address) = message.address.parse() {
            self.outgoing.note_heard(&address);
            self.peers.insert(from.clone(), address);
        }
        match message.body {
            Some(Body::VoteRequest(request)) => self.vote(&from, &request),
            Some(Body::VoteReply(reply)) => self.voted(from, &reply),
            Some(Body::Append(append)) => self.take_entries(&from, append),
            Some(Body::Appended(appended)) => self.appended(&from, &appended),
            Some(Body::Install(install)) => self.install(from, install).await,
            Some(Body::Join(join)) => {
                self.joined(&from, &join);
                Ok(())
            }
            Some(Body::Handover(handover)) => self.take_over(&from, handover),
            None => Ok(()),
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
        let is_new =
            self.revision.send_if_modified(|known| std::mem::replace(known, revision) != revision);
        if is_new {
            info!(self.events.logger(), "revision in use");
        }
        let is_long = self.applied - self.journal.snapshot().index >= SNAPSHOT_ENTRIES
            || self.journal.log_bytes() >= SNAPSHOT_BYTES;
        if is_long && !self.journal.is_failed() {
            let term = self.journal.term(self.applied).unwrap_or(0);
            let snapshot = registry.snapshot(self.applied, term);
            drop(registry);
            tokio::task::block_in_place(|| self.journal.store_snapshot(snapshot))?;
            info!(self.events.logger(), "snapshot stored"; "index" => self.applied);
        }
        self.metrics.flush();
        Ok(())
    }

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
