//! Fake daemons that only maintain a session with control, to measure control with many sessions.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;

use eyre::Result;
use futures_util::{SinkExt, StreamExt};
use hyssopdyke_wire::resource::{Entry, Upstream, Usage};
use hyssopdyke_wire::session::{Frame, Hello, Renew, frame, hello};
use hyssopdyke_wire::{Codec, Key, Purpose};
use standin::Cluster;
use tokio::net::TcpStream;
use tokio::time::interval;
use tokio_util::codec::Framed;

/// Interval between lease renewals, the same as in the daemons.
const RENEWAL_INTERVAL: Duration = Duration::from_secs(1);

/// Pause before a lost session is reopened.
const RECONNECT_PAUSE: Duration = Duration::from_millis(200);

/// Counts of messages to all fake daemons.
#[derive(Debug, Default)]
pub(crate) struct Counters {
    pub(crate) granted: AtomicU64,
    pub(crate) pages: AtomicU64,
}

/// Returns the name and role of an entry that forwards nothing.
pub(crate) fn entry(index: u64) -> (String, hello::Role) {
    let port = 10_000 + index % 50_000;
    let entry = Entry {
        domain: format!("domain-{}", index % 7),
        address: format!("127.255.{}.1:{port}", index / 50_000),
        boot: index + 1,
        incarnation: 0,
    };
    (format!("fake-{index}"), hello::Role::Entry(entry))
}

/// Returns the name and role of an upstream whose agent is a bare socket.
pub(crate) fn upstream(service: &str, address: SocketAddr) -> (String, hello::Role) {
    let upstream = Upstream {
        domain: "domain-0".into(),
        service: service.into(),
        address: address.to_string(),
        boot: 77,
        ..Upstream::default()
    };
    (format!("fake-{service}"), hello::Role::Upstream(upstream))
}

/// Maintains a session until the runtime is shut down.
pub(crate) async fn run(
    control: SocketAddr,
    name: String,
    role: hello::Role,
    counters: Arc<Counters>,
) {
    loop {
        // The session is reopened after any error, as a daemon does.
        let _ = run_session(control, &name, &role, &counters).await;
        tokio::time::sleep(RECONNECT_PAUSE).await;
    }
}

async fn run_session(
    control: SocketAddr,
    name: &str,
    role: &hello::Role,
    counters: &Counters,
) -> Result<()> {
    let key = Key::derive(Cluster::passphrase(), Purpose::Session);
    let stream = TcpStream::connect(control).await?;
    stream.set_nodelay(true)?;
    let mut stream = Framed::new(stream, Codec::<Frame>::new(key));
    let hello = Hello { name: name.into(), revision: 0, role: Some(role.clone()) };
    stream.send(Frame { body: Some(frame::Body::Hello(hello)) }).await?;
    let mut renewals = interval(RENEWAL_INTERVAL);
    let (mut sequence, mut revision) = (0, 0);
    loop {
        let is_due = tokio::select! {
            _ = renewals.tick() => true,
            received = stream.next() => {
                let frame = received.ok_or_else(|| eyre::eyre!("control closed the session"))??;
                match frame.body {
                    Some(frame::Body::Page(page)) => {
                        counters.pages.fetch_add(1, Ordering::Relaxed);
                        revision = page.upto;
                        page.complete
                    }
                    Some(frame::Body::Granted(granted)) => {
                        if granted.sequence == 1 {
                            counters.granted.fetch_add(1, Ordering::Relaxed);
                        }
                        false
                    }
                    _ => false,
                }
            }
        };
        if is_due {
            sequence += 1;
            let renew = Renew { sequence, revision, usage: Some(Usage::default()) };
            stream.send(Frame { body: Some(frame::Body::Renew(renew)) }).await?;
        }
    }
}
