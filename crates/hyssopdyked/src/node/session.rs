//! A daemon's session with control.

use std::collections::VecDeque;
use std::net::SocketAddr;
use std::time::{Duration, Instant};

use futures_util::{SinkExt, StreamExt};
use hyssopdyke_wire::resource::{Page, Usage};
use hyssopdyke_wire::session::{Frame, Hello, Leave, Renew, frame, hello};
use hyssopdyke_wire::{Codec, Error, Key, Purpose};
use slog::{info, warn};
use tokio::net::TcpStream;
use tokio::sync::{mpsc, watch};
use tokio::task::JoinHandle;
use tokio::time::{interval, sleep, timeout};
use tokio_util::codec::Framed;

use crate::clock;
use crate::log::Events;
use crate::reload::ControlAddresses;
use crate::settings::Cluster;
use crate::stream;

/// Time between two renewals.
const RENEWAL: Duration = Duration::from_secs(1);

/// Time for the answer to a renewal.
const PATIENCE: Duration = Duration::from_secs(1);

/// Pause before the next control VM is tried: a small part of the time in which a restarted leader
/// is elected.
const RETRY: Duration = Duration::from_millis(20);

/// Pause once no control VM has answered for `LONG`, so that an outage costs little.
const RARE_RETRY: Duration = Duration::from_millis(250);

/// Time without control after which it is tried rarely: a restart of all control VMs is over.
const LONG: Duration = Duration::from_secs(5);

/// Updates that may wait for the daemon.
const QUEUE: usize = 256;

/// What control tells a daemon.
#[derive(Debug)]
pub(crate) enum Update {
    /// The renewal that was sent at `sent` was granted.
    Granted {
        sent: Instant,
        length: Duration,
        /// Revision that control held.
        revision: u64,
    },
    /// A part of the state.
    Page(Page),
}

/// What a daemon tells control with every renewal.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub(crate) struct Report {
    pub(crate) revision: u64,
    pub(crate) usage: Usage,
}

/// The daemon's name and role, and what it announces.
#[derive(Debug, Clone)]
pub(crate) struct Announcement {
    pub(crate) name: Box<str>,
    pub(crate) role: hello::Role,
}

/// A running session, which connects anew whenever it is lost.
pub(crate) struct Session {
    updates: mpsc::Receiver<Update>,
    report: watch::Sender<Report>,
    stop: watch::Sender<bool>,
    /// What a session is made of, to begin another one.
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
        let (sender, updates) = mpsc::channel(QUEUE);
        let (report, reports) = watch::channel(Report::default());
        let (stop, stopped) = watch::channel(false);
        let client = Client {
            key: Key::derive(&cluster.passphrase, Purpose::Session),
            control,
            learned: Vec::new(),
            is_granted: false,
            announcement,
            updates: sender,
            reports,
            stopped,
            events,
        };
        let task = tokio::spawn(client.clone().run());
        Self { updates, report, stop, client, task }
    }

    /// Waits for the next update.
    pub(crate) async fn next_update(&mut self) -> Option<Update> {
        self.updates.recv().await
    }

    /// The next update, if it has come already.
    pub(crate) fn try_next_update(&mut self) -> Option<Update> {
        self.updates.try_recv().ok()
    }

    /// Sets what control is told; a new revision is told at once.
    pub(crate) fn report(&self, revision: u64, usage: Usage) {
        self.report.send_if_modified(|report| {
            let is_new = report.revision != revision;
            *report = Report { revision, usage };
            is_new
        });
    }

    /// Gives the lease back and ends the session.
    pub(crate) async fn leave(&mut self) {
        if self.task.is_finished() {
            return;
        }
        self.stop.send_replace(true);
        // What control sends meanwhile is of no use any more, and must not hold the task up.
        while self.updates.try_recv().is_ok() {}
        let _ = timeout(PATIENCE, &mut self.task).await;
        self.task.abort();
    }

    /// Starts another session after [`leave`](Self::leave).
    pub(crate) fn rejoin(&mut self) {
        self.stop.send_replace(false);
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
    /// Control VMs of the settings.
    control: ControlAddresses,
    /// Control VMs that control has named, the leader first.
    learned: Vec<SocketAddr>,
    /// The session that is held has been granted a lease.
    is_granted: bool,
    announcement: Announcement,
    updates: mpsc::Sender<Update>,
    reports: watch::Receiver<Report>,
    stopped: watch::Receiver<bool>,
    events: Events,
}

/// Why a session ended.
#[derive(Debug)]
#[derive(thiserror::Error)]
enum End {
    #[error("connecting: {0}")]
    Connect(#[from] std::io::Error),
    #[error("{0}")]
    Wire(#[from] Error),
    #[error("control closed the session")]
    Closed,
    #[error("no answer within {PATIENCE:?}")]
    Silent,
    #[error("control refused: {0}")]
    Refused(Box<str>),
    #[error("the daemon stops")]
    Stopped,
}

impl Client {
    async fn run(mut self) {
        let mut tried = Vec::new();
        let mut lost = Instant::now();
        loop {
            let Some(address) = self.next_candidate(&mut tried) else { return };
            self.is_granted = false;
            match self.hold(address).await {
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
            if self.is_granted {
                tried.clear();
                lost = Instant::now();
            }
            tried.push(address);
            let pause = if lost.elapsed() < LONG { RETRY } else { RARE_RETRY };
            tokio::select! {
                () = sleep(pause) => {}
                () = is_set(&mut self.stopped) => return,
            }
        }
    }

    /// The first control VM that was not tried since the last grant, or the first of all.
    fn next_candidate(&self, tried: &mut Vec<SocketAddr>) -> Option<SocketAddr> {
        let candidates = self.candidates();
        let untried = candidates.iter().find(|candidate| !tried.contains(candidate)).copied();
        if untried.is_none() {
            tried.clear();
        }
        untried.or_else(|| candidates.first().copied())
    }

    /// Control VMs to try, the leader that was named last first.
    fn candidates(&self) -> Vec<SocketAddr> {
        let mut candidates = self.learned.clone();
        let settings = self.control.borrow();
        candidates.extend(settings.iter().filter(|address| !self.learned.contains(address)));
        candidates
    }

    /// Takes in the control VMs that control names.
    fn learn(&mut self, control: &[String]) {
        let learned: Vec<SocketAddr> =
            control.iter().filter_map(|address| address.parse().ok()).collect();
        if !learned.is_empty() {
            self.learned = learned;
        }
    }

    /// Holds a session with one control VM until it ends.
    async fn hold(&mut self, address: SocketAddr) -> End {
        match self.connect(address).await {
            Ok(mut stream) => self.exchange(&mut stream, address).await.unwrap_or_else(|end| end),
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

    async fn exchange(
        &mut self,
        stream: &mut Framed<TcpStream, Codec<Frame>>,
        address: SocketAddr,
    ) -> Result<End, End> {
        let mut renewals = interval(RENEWAL);
        let mut reports = self.reports.clone();
        let mut stopped = self.stopped.clone();
        let mut renewal = 0;
        let mut open: VecDeque<(u64, Instant)> = VecDeque::new();
        loop {
            tokio::select! {
                () = unanswered(open.front()) => return Err(End::Silent),
                _ = renewals.tick() => {
                    renewal += 1;
                    open.push_back((renewal, clock::now()));
                    let report = *reports.borrow_and_update();
                    renew(stream, renewal, report).await?;
                }
                changed = reports.changed() => {
                    changed.map_err(|_| End::Stopped)?;
                    renewal += 1;
                    open.push_back((renewal, clock::now()));
                    let report = *reports.borrow_and_update();
                    renew(stream, renewal, report).await?;
                }
                received = stream.next() => {
                    let frame = received.ok_or(End::Closed)??;
                    match frame.body {
                        Some(frame::Body::Granted(granted)) => {
                            if granted.sequence == 1 {
                                info!(self.events.logger(), "lease granted"; "control" => %address);
                            }
                            self.is_granted = true;
                            self.learn(&granted.control);
                            let length = Duration::from_millis(granted.lease_ms.into());
                            while let Some((number, sent)) = open.pop_front() {
                                if number >= granted.sequence {
                                    let revision = granted.revision;
                                    let update = Update::Granted { sent, length, revision };
                                    self.update(update).await?;
                                    break;
                                }
                            }
                        }
                        Some(frame::Body::Page(page)) => self.update(Update::Page(page)).await?,
                        Some(frame::Body::Refused(refused)) => {
                            self.learn(&refused.control);
                            return Err(End::Refused(refused.reason.into()));
                        }
                        _ => {}
                    }
                }
                () = is_set(&mut stopped) => {
                    let leave = Frame { body: Some(frame::Body::Leave(Leave {})) };
                    stream.send(leave).await?;
                    stream.close().await?;
                    return Err(End::Stopped);
                }
            }
        }
    }

    async fn update(&self, update: Update) -> Result<(), End> {
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

/// Waits until the first open renewal has been unanswered for too long.
async fn unanswered(first: Option<&(u64, Instant)>) {
    match first {
        Some((_, sent)) => sleep(PATIENCE.saturating_sub(clock::now() - *sent)).await,
        None => std::future::pending().await,
    }
}

/// Waits until the flag is set, or its sender is gone.
async fn is_set(flag: &mut watch::Receiver<bool>) {
    let _ = flag.wait_for(|set| *set).await;
}
