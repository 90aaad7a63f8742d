//! A daemon's session with control.

use std::collections::VecDeque;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::{Duration, Instant};

use futures_util::{SinkExt, StreamExt};
use hyssopdyke_wire::resource::{Page, Usage};
use hyssopdyke_wire::session::{Frame, Hello, Leave, Renew, frame, hello};
use hyssopdyke_wire::{Codec, Error, Key, Purpose};
use slog::{info, warn};
use tokio::net::TcpStream;
use tokio::sync::{Notify, mpsc, watch};
use tokio::task::JoinHandle;
use tokio::time::{interval, sleep, timeout};
use tokio_util::codec::Framed;

use crate::clock;
use crate::log::Events;
use crate::reload::ControlAddresses;
use crate::settings::Cluster;
use crate::stream;

/// Interval between lease renewals.
const RENEWAL_INTERVAL: Duration = Duration::from_secs(1);

/// Timeout for the answer to a renewal, and for the end of a session on leave.
const ANSWER_TIMEOUT: Duration = Duration::from_secs(1);

/// Delay before the next control VM is tried: a small part of the time in which a leader is elected
/// after a restart.
const RETRY_DELAY: Duration = Duration::from_millis(20);

/// Delay before the next control VM is tried once control has been unavailable for
/// `OUTAGE_THRESHOLD`, so that an outage causes little load.
const OUTAGE_RETRY_DELAY: Duration = Duration::from_millis(250);

/// Time without a lease after which retries slow down: longer than a restart of all control VMs.
const OUTAGE_THRESHOLD: Duration = Duration::from_secs(5);

/// Capacity of the queue of updates to the daemon.
const UPDATE_QUEUE_LENGTH: usize = 256;

/// An update from control.
#[derive(Debug)]
pub(crate) enum Update {
    /// Control granted the renewal sent at `sent`.
    Granted {
        sent: Instant,
        length: Duration,
        /// Revision of control at the grant.
        revision: u64,
    },
    /// A page of the state.
    Page(Page),
}

/// A daemon's status, which it sends to control with every renewal.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub(crate) struct Report {
    pub(crate) revision: u64,
    pub(crate) usage: Usage,
}

/// The name and role with which a daemon registers.
#[derive(Debug, Clone)]
pub(crate) struct Announcement {
    pub(crate) name: Box<str>,
    pub(crate) role: hello::Role,
}

/// A running session, which reconnects whenever the connection is lost.
pub(crate) struct Session {
    updates: mpsc::Receiver<Update>,
    report: watch::Sender<Report>,
    /// Set when the daemon leaves; tells whether its upstream goes on without it.
    leave: watch::Sender<Option<Leave>>,
    /// Notified when the connection is to be replaced.
    reconnect: Arc<Notify>,
    /// Client from which another session can be started.
    client: Client,
    task: JoinHandle<()>,
}

impl Session {
    /// Starts a session.
    pub(crate) fn spawn(
        cluster: &Cluster,
        control: ControlAddresses,
        announcement: Announcement,
        events: Events,
    ) -> Self {
        let (sender, updates) = mpsc::channel(UPDATE_QUEUE_LENGTH);
        let (report, reports) = watch::channel(Report::default());
        let (leave, left) = watch::channel(None);
        let reconnect = Arc::new(Notify::new());
        let client = Client {
            key: Key::derive(&cluster.passphrase, Purpose::Session),
            control,
            advertised: Vec::new(),
            has_lease: false,
            announcement,
            updates: sender,
            reports,
            left,
            reconnect: Arc::clone(&reconnect),
            events,
        };
        let task = tokio::spawn(client.clone().run());
        Self { updates, report, leave, reconnect, client, task }
    }

    /// Waits for the next update.
    pub(crate) async fn next_update(&mut self) -> Option<Update> {
        self.updates.recv().await
    }

    /// Returns the next update, if one is queued.
    pub(crate) fn try_next_update(&mut self) -> Option<Update> {
        self.updates.try_recv().ok()
    }

    /// Sets the status to send to control. A new revision is sent at once.
    pub(crate) fn report(&self, revision: u64, usage: Usage) {
        self.report.send_if_modified(|report| {
            let is_new = report.revision != revision;
            *report = Report { revision, usage };
            is_new
        });
    }

    /// Replaces the connection. Control then sends the changes since the revision that was last
    /// reported.
    pub(crate) fn reconnect(&self) {
        self.reconnect.notify_one();
    }

    /// Returns the lease to control and ends the session. `returns` tells whether the daemon's
    /// upstream goes on without it.
    pub(crate) async fn leave(&mut self, returns: bool) {
        if self.task.is_finished() {
            return;
        }
        self.leave.send_replace(Some(Leave { returns }));
        // Updates are no longer needed, and a full queue must not block the task.
        while self.updates.try_recv().is_ok() {}
        let _ = timeout(ANSWER_TIMEOUT, &mut self.task).await;
        self.task.abort();
    }

    /// Starts another session after [`leave`](Self::leave).
    pub(crate) fn rejoin(&mut self) {
        self.leave.send_replace(None);
        self.task = tokio::spawn(self.client.clone().run());
    }
}

impl Drop for Session {
    fn drop(&mut self) {
        self.task.abort();
    }
}

#[derive(Clone)]
struct Client {
    key: Key,
    /// Control VMs in the settings.
    control: ControlAddresses,
    /// Control VMs named by control in its last answer, the leader first.
    advertised: Vec<SocketAddr>,
    /// Whether control has granted a lease in the current session.
    has_lease: bool,
    announcement: Announcement,
    updates: mpsc::Sender<Update>,
    reports: watch::Receiver<Report>,
    left: watch::Receiver<Option<Leave>>,
    reconnect: Arc<Notify>,
    events: Events,
}

/// Why a session ended.
#[derive(Debug)]
#[derive(thiserror::Error)]
enum End {
    #[error("connection failed: {0}")]
    Connect(#[from] std::io::Error),
    #[error("{0}")]
    Wire(#[from] Error),
    #[error("control closed the session")]
    Closed,
    #[error("no answer to a renewal within {ANSWER_TIMEOUT:?}")]
    AnswerTimeout,
    #[error("control refused: {0}")]
    Refused(Box<str>),
    #[error("the daemon is stopping")]
    Stopped,
    #[error("a page of control does not follow the previous ones")]
    Gap,
}

impl Client {
    async fn run(mut self) {
        let mut tried = Vec::new();
        let mut outage_start = Instant::now();
        loop {
            let Some(address) = self.next_candidate(&mut tried) else { return };
            self.has_lease = false;
            match self.run_session(address).await {
                End::Stopped => return,
                end @ (End::Connect(_) | End::Refused(_)) => {
                    slog::debug!(self.events.logger(), "no session with control";
                        "control" => %address, "reason" => %end);
                }
                end => {
                    warn!(self.events.logger(), "session with control lost";
                        "control" => %address, "reason" => %end);
                }
            }
            if self.has_lease {
                tried.clear();
                outage_start = Instant::now();
            }
            tried.push(address);
            let pause = if outage_start.elapsed() < OUTAGE_THRESHOLD {
                RETRY_DELAY
            } else {
                OUTAGE_RETRY_DELAY
            };
            tokio::select! {
                () = sleep(pause) => {}
                _ = wait_until_left(&mut self.left) => return,
            }
        }
    }

    /// Returns the first control VM that was not tried since the last lease, or the first of all.
    fn next_candidate(&self, tried: &mut Vec<SocketAddr>) -> Option<SocketAddr> {
        let candidates = self.candidates();
        let untried = candidates.iter().find(|candidate| !tried.contains(candidate)).copied();
        if untried.is_none() {
            tried.clear();
        }
        untried.or_else(|| candidates.first().copied())
    }

    /// Returns the control VMs to try, starting with the last leader named by control.
    fn candidates(&self) -> Vec<SocketAddr> {
        let mut candidates = self.advertised.clone();
        let settings = self.control.borrow();
        candidates.extend(settings.iter().filter(|address| !self.advertised.contains(address)));
        candidates
    }

    /// Stores the control VMs that control names, if any.
    fn update_advertised(&mut self, control: &[String]) {
        let advertised: Vec<SocketAddr> =
            control.iter().filter_map(|address| address.parse().ok()).collect();
        if !advertised.is_empty() {
            self.advertised = advertised;
        }
    }

    /// Runs a session with one control VM until it ends.
    async fn run_session(&mut self, address: SocketAddr) -> End {
        match self.connect(address).await {
            Ok(mut stream) => self.serve(&mut stream, address).await.unwrap_or_else(|end| end),
            Err(end) => end,
        }
    }

    async fn connect(&self, address: SocketAddr) -> Result<Framed<TcpStream, Codec<Frame>>, End> {
        let stream = stream::connect(address).await?;
        let mut stream = Framed::new(stream, Codec::new(self.key.clone()));
        let hello = Hello {
            name: self.announcement.name.to_string(),
            revision: self.reports.borrow().revision,
            role: Some(self.announcement.role.clone()),
        };
        stream.send(Frame { body: Some(frame::Body::Hello(hello)) }).await?;
        Ok(stream)
    }

    async fn serve(
        &mut self,
        stream: &mut Framed<TcpStream, Codec<Frame>>,
        address: SocketAddr,
    ) -> Result<End, End> {
        let mut renewals = interval(RENEWAL_INTERVAL);
        let mut reports = self.reports.clone();
        let mut left = self.left.clone();
        let mut sequence = 0;
        let mut unanswered: VecDeque<(u64, Instant)> = VecDeque::new();
        loop {
            tokio::select! {
                () = wait_answer_timeout(unanswered.front()) => return Err(End::AnswerTimeout),
                () = self.reconnect.notified() => return Err(End::Gap),
                _ = renewals.tick() => {
                    sequence += 1;
                    unanswered.push_back((sequence, clock::now()));
                    let report = *reports.borrow_and_update();
                    renew(stream, sequence, report).await?;
                }
                changed = reports.changed() => {
                    changed.map_err(|_| End::Stopped)?;
                    sequence += 1;
                    unanswered.push_back((sequence, clock::now()));
                    let report = *reports.borrow_and_update();
                    renew(stream, sequence, report).await?;
                }
                received = stream.next() => {
                    let frame = received.ok_or(End::Closed)??;
                    match frame.body {
                        Some(frame::Body::Granted(granted)) => {
                            if granted.sequence == 1 {
                                info!(self.events.logger(), "lease granted"; "control" => %address);
                            }
                            self.has_lease = true;
                            self.update_advertised(&granted.control);
                            let length = Duration::from_millis(granted.lease_ms.into());
                            while let Some((number, sent)) = unanswered.pop_front() {
                                if number >= granted.sequence {
                                    let revision = granted.revision;
                                    let update = Update::Granted { sent, length, revision };
                                    self.send_update(update).await?;
                                    break;
                                }
                            }
                        }
                        Some(frame::Body::Page(page)) => self.send_update(Update::Page(page)).await?,
                        Some(frame::Body::Refused(refused)) => {
                            self.update_advertised(&refused.control);
                            return Err(End::Refused(refused.reason.into()));
                        }
                        _ => {}
                    }
                }
                leave = wait_until_left(&mut left) => {
                    stream.send(Frame { body: Some(frame::Body::Leave(leave)) }).await?;
                    stream.close().await?;
                    return Err(End::Stopped);
                }
            }
        }
    }

    async fn send_update(&self, update: Update) -> Result<(), End> {
        self.updates.send(update).await.map_err(|_| End::Stopped)
    }
}

async fn renew(
    stream: &mut Framed<TcpStream, Codec<Frame>>,
    sequence: u64,
    report: Report,
) -> Result<(), End> {
    let Report { revision, usage } = report;
    let renew = Renew { sequence, revision, usage: Some(usage) };
    Ok(stream.send(Frame { body: Some(frame::Body::Renew(renew)) }).await?)
}

/// Waits until the oldest unanswered renewal has timed out.
async fn wait_answer_timeout(first: Option<&(u64, Instant)>) {
    match first {
        Some((_, sent)) => sleep(ANSWER_TIMEOUT.saturating_sub(clock::now() - *sent)).await,
        None => std::future::pending().await,
    }
}

/// Waits until the daemon leaves, or is dropped.
async fn wait_until_left(left: &mut watch::Receiver<Option<Leave>>) -> Leave {
    left.wait_for(Option::is_some).await.ok().and_then(|leave| *leave).unwrap_or_default()
}
