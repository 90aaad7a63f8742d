//! How the parts of a control VM reach its log.

use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::{Duration, Instant};

use crate::clock;
use hyssopdyke::version::{Outcome, Registry};
use hyssopdyke_wire::ledger::{Command, Message, Voter, command};
use tokio::sync::{RwLock, RwLockReadGuard, mpsc, oneshot, watch};

/// Why a request to the log was not carried out.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(thiserror::Error)]
pub(super) enum Error {
    #[error("this control VM does not lead; {}", leader(.0.as_deref()))]
    NotLeader(Option<Box<str>>),
    #[error("leadership was lost before the outcome was known; repeat with the same key")]
    Unknown,
    #[error("another change of the voters is under way")]
    Busy,
    #[error("the log is closed")]
    Closed,
}

fn leader(name: Option<&str>) -> String {
    name.map_or_else(|| "no leader is known".to_owned(), |name| format!("{name} does"))
}

/// A request to the log.
pub(super) enum Request {
    /// A message of another control VM.
    Message(Message),
    /// Appends a command and answers once it was applied.
    Propose(Command, oneshot::Sender<Result<Outcome, Error>>),
    /// Answers once this VM is known to have led after the request.
    Confirm(oneshot::Sender<Result<(), Error>>),
    /// Catches a VM up and gives it a vote.
    Admit(Voter, oneshot::Sender<Result<(), Error>>),
    /// Asks another VM to lead.
    Handover(oneshot::Sender<Result<(), Error>>),
    /// Takes a VM's vote.
    Remove(Box<str>, oneshot::Sender<Result<(), Error>>),
}

/// Who leads.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub(super) struct Leadership {
    pub(super) leader: Option<Box<str>>,
    pub(super) term: u64,
    /// Since when this VM has led.
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

/// Last time at which a majority was known to follow this VM.
pub(super) struct Quorum {
    start: Instant,
    micros: AtomicU64,
}

impl Quorum {
    pub(super) fn new() -> Self {
        Self { start: clock::now(), micros: AtomicU64::new(0) }
    }

    /// Notes that a majority has answered a message that was sent at `sent`.
    pub(super) fn note(&self, sent: Instant) {
        let micros = sent.duration_since(self.start).as_micros() as u64;
        self.micros.store(micros, Ordering::Release);
    }

    /// Whether a majority has answered a message that was sent within `time`.
    pub(super) fn is_within(&self, time: Duration) -> bool {
        let last = self.start + Duration::from_micros(self.micros.load(Ordering::Acquire));
        clock::now().saturating_duration_since(last) < time
    }
}

impl Handle {
    /// The state as of the last applied command.
    ///
    /// A task must not ask for it while it holds it: a change that waits in between would wait for
    /// the first and hold up the second.
    pub(super) async fn registry(&self) -> RwLockReadGuard<'_, Registry> {
        self.registry.read().await
    }

    /// Appends a command and waits until it was applied.
    pub(super) async fn propose(&self, body: command::Body) -> Result<Outcome, Error> {
        let command = Command { body: Some(body) };
        self.request(|reply| Request::Propose(command, reply)).await
    }

    /// Waits until this VM is known to lead, so that its state is the latest.
    pub(super) async fn confirm(&self) -> Result<(), Error> {
        self.request(Request::Confirm).await
    }

    /// Gives a control VM a vote once it is caught up.
    pub(super) async fn admit(&self, voter: Voter) -> Result<(), Error> {
        self.request(|reply| Request::Admit(voter, reply)).await
    }

    /// Asks another control VM to lead, where this one does.
    pub(super) async fn hand_over(&self) -> Result<(), Error> {
        self.request(Request::Handover).await
    }

    /// Takes a control VM's vote.
    pub(super) async fn remove(&self, name: Box<str>) -> Result<(), Error> {
        self.request(|reply| Request::Remove(name, reply)).await
    }

    /// Whether this VM leads, and a majority has said so within `time`.
    pub(super) fn leads_within(&self, time: Duration) -> bool {
        self.leadership.borrow().since.is_some() && self.quorum.is_within(time)
    }

    async fn request<T>(
        &self,
        request: impl FnOnce(oneshot::Sender<Result<T, Error>>) -> Request,
    ) -> Result<T, Error> {
        let (reply, answer) = oneshot::channel();
        self.inbox.send(request(reply)).await.map_err(|_| Error::Closed)?;
        answer.await.map_err(|_| Error::Unknown)?
    }
}
