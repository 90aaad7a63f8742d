//! Sessions with daemons: registration, lease renewals, and pages of the state.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use futures_util::{SinkExt, StreamExt};
use hyssopdyke::version::{Cursor, Registry};
use hyssopdyke_wire::ledger::{Register, Unregister, command};
use hyssopdyke_wire::resource::{Kind, Resource, resource};
use hyssopdyke_wire::session::{Frame, Granted, Hello, Leave, Refused, Renew, frame, hello};
use hyssopdyke_wire::{Codec, Error as WireError, Key};
use slog::{debug, info};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::watch;
use tokio::time::{Instant, sleep_until, timeout};
use tokio_util::codec::Framed;

use super::consensus::QUORUM_TIMEOUT;
use super::handle::{Error as LogError, Handle, Leadership};
use super::leases::Leases;
use crate::log::Events;
use crate::stream;

/// Timeout for a daemon's first frame, and for writing a frame.
const FRAME_TIMEOUT: Duration = Duration::from_secs(3);

/// Size in bytes after which no further revision is added to a page.
const PAGE_BYTES: usize = 256 << 10;

/// Minimum time between two batches of changes to one daemon. When many daemons start together, each
/// would otherwise be sent each registration on its own.
const BATCH_INTERVAL: Duration = Duration::from_millis(100);

/// Why a session ended.
#[derive(Debug)]
#[derive(thiserror::Error)]
enum End {
    #[error("{0}")]
    Wire(#[from] WireError),
    #[error("{0}")]
    Log(#[from] LogError),
    #[error("timed out reading the first frame or writing a frame ({FRAME_TIMEOUT:?})")]
    Timeout,
    #[error("the daemon closed the session")]
    Closed,
    #[error("the first frame is not a valid Hello")]
    InvalidHello,
    #[error("this VM is no longer the leader")]
    Deposed,
    #[error("the daemon left")]
    Left,
    #[error("another process of the daemon has registered since")]
    Superseded,
}

type Stream = Framed<TcpStream, Codec<Frame>>;

/// Accepts sessions with daemons.
pub(super) async fn serve(
    listener: TcpListener,
    key: Key,
    handle: Handle,
    leases: Arc<Leases>,
    events: Events,
) -> std::io::Result<()> {
    loop {
        let (stream, from) = listener.accept().await?;
        stream::set_options(&stream)?;
        let stream = Framed::new(stream, Codec::new(key.clone()));
        let (handle, leases, events) = (handle.clone(), Arc::clone(&leases), events.clone());
        tokio::spawn(async move {
            let end = run_session(stream, handle, leases, &events).await.unwrap_or_else(|end| end);
            debug!(events.logger(), "session ended"; "from" => %from, "reason" => %end);
        });
    }
}

/// A daemon that has sent a valid `Hello`.
struct Daemon {
    kind: Kind,
    resource: Resource,
    boot: u64,
}

impl Daemon {
    fn new(hello: Hello) -> Option<Self> {
        let (kind, boot, body, address) = match hello.role? {
            hello::Role::Upstream(upstream) => {
                let (boot, address) = (upstream.boot, upstream.address.clone());
                (Kind::Upstream, boot, resource::Body::Upstream(upstream), address)
            }
            hello::Role::Entry(entry) => {
                let (boot, address) = (entry.boot, entry.address.clone());
                (Kind::Entry, boot, resource::Body::Entry(entry), address)
            }
        };
        let is_valid = !hello.name.is_empty() && boot != 0 && address.parse::<SocketAddr>().is_ok();
        let resource = Resource { name: hello.name, body: Some(body), ..Resource::default() };
        is_valid.then_some(Self { kind, resource, boot })
    }

    /// Returns the identity of the process that is registered under the daemon's name.
    async fn registered_boot(&self, handle: &Handle) -> Option<u64> {
        let registry = handle.registry().await;
        match registry.store().get(self.kind, &self.resource.name)?.body.as_ref()? {
            resource::Body::Upstream(upstream) => Some(upstream.boot),
            resource::Body::Entry(entry) => Some(entry.boot),
            _ => None,
        }
    }

    /// Returns whether another process was registered under the daemon's name since its session
    /// began. Renewals of a former process may arrive after that.
    async fn is_superseded(&self, handle: &Handle) -> bool {
        let registered = self.registered_boot(handle).await;
        registered.is_some_and(|boot| boot != 0 && boot != self.boot)
    }

    /// Registers the daemon, unless this process of it is registered already.
    async fn register(&self, handle: &Handle) -> Result<(), LogError> {
        if self.registered_boot(handle).await != Some(self.boot) {
            let register = Register { resource: Some(self.resource.clone()) };
            handle.propose(command::Body::Register(register)).await?;
        }
        Ok(())
    }
}

async fn run_session(
    mut stream: Stream,
    handle: Handle,
    leases: Arc<Leases>,
    events: &Events,
) -> Result<End, End> {
    let received = timeout(FRAME_TIMEOUT, stream.next()).await.map_err(|_| End::Timeout)?;
    let frame = received.ok_or(End::Closed)??;
    let Some(frame::Body::Hello(hello)) = frame.body else {
        return Err(End::InvalidHello);
    };
    let mut cursor = Cursor::at(hello.revision);
    let daemon = Daemon::new(hello).ok_or(End::InvalidHello)?;
    // A majority must confirm the leader before it sends anything to a daemon. Otherwise a
    // partitioned leader would send an old state.
    if let Err(error) = confirm_and_register(&daemon, &handle).await {
        refuse(&mut stream, &handle, &error).await?;
        return Err(error.into());
    }
    info!(events.logger(), "daemon announced"; "daemon" => daemon.resource.name.as_str(),
        "kind" => daemon.kind.as_str_name(), "boot" => daemon.boot);
    let mut revision = handle.revision.clone();
    let mut leadership = handle.leadership.clone();
    revision.mark_changed();
    let mut next_batch = Instant::now();
    loop {
        let batch_due = async {
            sleep_until(next_batch).await;
            revision.changed().await
        };
        tokio::select! {
            received = stream.next() => {
                let frame = received.ok_or(End::Closed)??;
                match frame.body {
                    Some(frame::Body::Renew(renew)) => {
                        // A lease takes effect once the daemon has the revision of its grant.
                        cursor = send_changes(&mut stream, &handle, cursor).await?;
                        grant_lease(&mut stream, &daemon, &handle, &leases, renew).await?;
                    }
                    Some(frame::Body::Leave(leave)) => {
                        unregister(&daemon, &handle, leave).await?;
                        return Err(End::Left);
                    }
                    _ => {}
                }
            }
            changed = batch_due => {
                changed.map_err(|_| End::Deposed)?;
                next_batch = Instant::now() + BATCH_INTERVAL;
                cursor = send_changes(&mut stream, &handle, cursor).await?;
            }
            () = wait_until_deposed(&mut leadership) => return Err(End::Deposed),
        }
    }
}

/// Waits until this VM no longer leads.
async fn wait_until_deposed(leadership: &mut watch::Receiver<Leadership>) {
    let _ = leadership.wait_for(|leadership| leadership.since.is_none()).await;
}

async fn confirm_and_register(daemon: &Daemon, handle: &Handle) -> Result<(), LogError> {
    handle.confirm_leadership().await?;
    daemon.register(handle).await
}

async fn grant_lease(
    stream: &mut Stream,
    daemon: &Daemon,
    handle: &Handle,
    leases: &Leases,
    renew: Renew,
) -> Result<(), End> {
    // A leader without recent answers from a majority may have been replaced.
    if !handle.is_leader_within(QUORUM_TIMEOUT) {
        return Ok(());
    }
    if daemon.is_superseded(handle).await {
        return Err(End::Superseded);
    }
    daemon.register(handle).await?;
    let id = (daemon.kind, daemon.resource.name.as_str().into());
    leases.record_renewal(id, daemon.boot, renew.revision, renew.usage.unwrap_or_default());
    let lease_ms = leases.duration().as_millis() as u32;
    let (revision, control) = {
        let registry = handle.registry().await;
        (registry.store().revision(), control_addresses(&registry, handle, stream))
    };
    let granted = Granted { sequence: renew.sequence, lease_ms, revision, control };
    send(stream, frame::Body::Granted(granted)).await
}

async fn unregister(daemon: &Daemon, handle: &Handle, leave: Leave) -> Result<(), End> {
    let unregister = Unregister {
        kind: daemon.kind as i32,
        name: daemon.resource.name.clone(),
        boot: daemon.boot,
        returns: leave.returns,
    };
    handle.propose(command::Body::Unregister(unregister)).await?;
    Ok(())
}

/// Sends the changes after `cursor`, and returns the position after them.
async fn send_changes(
    stream: &mut Stream,
    handle: &Handle,
    mut cursor: Cursor,
) -> Result<Cursor, End> {
    if handle.registry().await.store().revision() == cursor.after {
        return Ok(cursor);
    }
    loop {
        let page = handle.registry().await.store().changes_since(cursor, PAGE_BYTES);
        let is_complete = page.complete;
        cursor = cursor.following(&page);
        send(stream, frame::Body::Page(page)).await?;
        if is_complete {
            return Ok(cursor);
        }
    }
}

async fn refuse(stream: &mut Stream, handle: &Handle, error: &LogError) -> Result<(), End> {
    let leader = handle.leadership.borrow().leader.clone().unwrap_or_default();
    let control = control_addresses(&*handle.registry().await, handle, stream);
    let refused = Refused { reason: error.to_string(), leader: leader.into(), control };
    send(stream, frame::Body::Refused(refused)).await
}

/// Returns the session addresses of the control VMs, the leader first.
///
/// All control VMs accept sessions at the same port.
fn control_addresses(registry: &Registry, handle: &Handle, stream: &Stream) -> Vec<String> {
    let Ok(local) = stream.get_ref().local_addr() else { return Vec::new() };
    let leader = handle.leadership.borrow().leader.clone();
    let voters = registry.configuration().voters.iter();
    let mut voters: Vec<(bool, SocketAddr)> = voters
        .filter_map(|voter| {
            let address: SocketAddr = voter.address.parse().ok()?;
            let is_leader = leader.as_deref() == Some(voter.name.as_str());
            Some((!is_leader, SocketAddr::new(address.ip(), local.port())))
        })
        .collect();
    voters.sort_unstable();
    voters.into_iter().map(|(_, address)| address.to_string()).collect()
}

async fn send(stream: &mut Stream, body: frame::Body) -> Result<(), End> {
    let sending = stream.send(Frame { body: Some(body) });
    timeout(FRAME_TIMEOUT, sending).await.map_err(|_| End::Timeout)??;
    Ok(())
}
