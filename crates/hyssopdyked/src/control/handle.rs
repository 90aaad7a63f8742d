//! Access to the replicated log.

use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::{Duration, Instant};

use crate::clock;
use hyssopdyke::version::{Outcome, Registry};
use hyssopdyke_wire::ledger::{Command, Message, Voter, command};
use tokio::sync::{RwLock, RwLockReadGuard, mpsc, oneshot, watch};

/// Errors of a request to the log.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(thiserror::Error)]
pub(super) enum Error {
    #[error("this control VM is not the leader; {}", describe_leader(.0.as_deref()))]
    NotLeader(Option<Box<str>>),
    #[error(
        "leadership was lost before the outcome was known; retry with the same idempotency key"
    )]
    OutcomeUnknown,
    #[error("another change of the voters is in progress")]
    ChangeInProgress,
    #[error("the log is closed")]
    Closed,
}

fn describe_leader(name: Option<&str>) -> String {
    name.map_or_else(|| "the leader is unknown".to_owned(), |name| format!("the leader is {name}"))
}

/// A request to the log.
pub(super) enum Request {
    /// Handles a message from another control VM.
    Message(Message),
    /// Appends a command, and replies once it is applied.
    Propose(Command, oneshot::Sender<Result<Outcome, Error>>),
    /// Replies once a majority has confirmed that this VM led after the request.
    Confirm(oneshot::Sender<Result<(), Error>>),
    /// Adds a VM as a follower, which becomes a voter once it has all entries.
    Admit(Voter, oneshot::Sender<Result<(), Error>>),
    /// Asks another VM to take over as leader.
    Handover(oneshot::Sender<Result<(), Error>>),
    /// Removes a VM from the voters.
    Remove(Box<str>, oneshot::Sender<Result<(), Error>>),
}

/// The current leader and term.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub(super) struct Leadership {
    pub(super) leader: Option<Box<str>>,
    pub(super) term: u64,
    /// Time at which this VM became the leader; `None` if another VM leads.
    pub(super) since: Option<Instant>,
}

/// A clonable handle on the log.
#[derive(Clone)]
pub(super) struct Handle {
    pub(super) inbox: mpsc::Sender<Request>,
    pub(super) registry: Arc<RwLock<Registry>>,
    pub(super) revision: watch::Receiver<u64>,
    pub(super) leadership: watch::Receiver<Leadership>,
    pub(super) quorum: Arc<Quorum>,
}

/// Time of the last contact to a majority.
pub(super) struct Quorum {
    start: Instant,
    last_micros: AtomicU64,
}

impl Quorum {
    pub(super) fn new() -> Self {
        Self { start: clock::now(), last_micros: AtomicU64::new(0) }
    }

    /// Records that a majority has answered a message sent at `sent`.
    pub(super) fn record(&self, sent: Instant) {
        let last_micros = sent.duration_since(self.start).as_micros() as u64;
        self.last_micros.store(last_micros, Ordering::Release);
    }

    /// Returns whether a majority has answered a message sent within the last `time`.
    pub(super) fn is_within(&self, time: Duration) -> bool {
        let last = self.start + Duration::from_micros(self.last_micros.load(Ordering::Acquire));
        clock::now().saturating_duration_since(last) < time
    }
}

impl Handle {
    /// Locks the state as of the last applied command for reading.
    ///
    /// A task must not call this while it holds the guard. A writer that waits in between would
    /// wait for the first guard and block the second: a deadlock.
    pub(super) async fn registry(&self) -> RwLockReadGuard<'_, Registry> {
        self.registry.read().await
    }

    /// Appends a command, and waits until it is applied.
    pub(super) async fn propose(&self, body: command::Body) -> Result<Outcome, Error> {
        let command = Command { body: Some(body) };
        self.request(|reply| Request::Propose(command, reply)).await
    }

    /// Waits until a majority has confirmed that this VM leads, so that its state is the latest.
    pub(super) async fn confirm_leadership(&self) -> Result<(), Error> {
        self.request(Request::Confirm).await
    }

    /// Adds a control VM as a follower, which becomes a voter once it has all entries.
    pub(super) async fn admit_voter(&self, voter: Voter) -> Result<(), Error> {
        self.request(|reply| Request::Admit(voter, reply)).await
    }

    /// Asks another control VM to take over as leader.
    ///
    /// # Errors
    ///
    /// Returns [`Error::NotLeader`] if this VM does not lead, and [`Error::ChangeInProgress`] if no
    /// other voter has all entries.
    pub(super) async fn hand_over(&self) -> Result<(), Error> {
        self.request(Request::Handover).await
    }

    /// Removes a control VM from the voters.
    pub(super) async fn remove_voter(&self, name: Box<str>) -> Result<(), Error> {
        self.request(|reply| Request::Remove(name, reply)).await
    }

    /// Returns whether this VM leads and a majority has confirmed it within the last `time`.
    pub(super) fn is_leader_within(&self, time: Duration) -> bool {
        self.leadership.borrow().since.is_some() && self.quorum.is_within(time)
    }

    async fn request<T>(
        &self,
        request: impl FnOnce(oneshot::Sender<Result<T, Error>>) -> Request,
    ) -> Result<T, Error> {
        let (reply, answer) = oneshot::channel();
        self.inbox.send(request(reply)).await.map_err(|_| Error::Closed)?;
        answer.await.map_err(|_| Error::OutcomeUnknown)?
    }
}
