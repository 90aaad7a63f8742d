//! Tests of whether a daemon may act across changes of the view.

use std::time::Duration;

use futures_util::{SinkExt, StreamExt};
use hyssopdyke::version::{Cursor, Source, Store};
use hyssopdyke_wire::datagram::Pong;
use hyssopdyke_wire::resource::{Domain, Entry, Resource, Upstream, resource::Body};
use hyssopdyke_wire::session::{Frame, Granted, frame, hello};
use hyssopdyke_wire::{Codec, Key, Purpose};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::watch;
use tokio::time::timeout;
use tokio_util::codec::Framed;

use super::{BEHIND_TIMEOUT, DEFAULT_LEASE, Link, Membership, Session};
use crate::clock;
use crate::log::Events;
use crate::node::Announcement;
use crate::settings::sample;

const BOOT: u64 = 7;

/// Time within which a connection on loopback arrives, even under load.
const ARRIVAL_TIMEOUT: Duration = Duration::from_secs(20);

fn membership() -> Membership {
    let (events, _writer) = Events::open("agent", &sample::common("vm-1"));
    Membership::new(BOOT, "d".into(), events)
}

/// Returns a store with the agent under test, a peer in another domain, and the agent's domain.
fn store(out: bool) -> Store {
    let mut store = Store::new();
    let mut put = |name: &str, revision, body| {
        store.put(Resource { name: name.into(), revision, generation: revision, body: Some(body) });
    };
    let upstream = Upstream {
        domain: "d".into(),
        service: "a".into(),
        address: "10.0.0.1:5556".into(),
        boot: BOOT,
        ..Upstream::default()
    };
    put("vm-1", 1, Body::Upstream(upstream));
    let entry = Entry { domain: "e".into(), address: "10.0.0.2:5556".into(), ..Entry::default() };
    put("vm-2", 2, Body::Entry(entry));
    put("d", 3, Body::Domain(Domain { out: false }));
    if out {
        put("d", 4, Body::Domain(Domain { out: true }));
    }
    store
}

fn follow(membership: &mut Membership, store: &Store) {
    let page = store.changes_since(membership.replica.cursor(Source::Control), usize::MAX);
    assert_eq!(membership.apply_page(Source::Control, page), Ok(true));
    membership.rebuild_view();
}

#[test]
fn was_active_lease_expired() {
    // The daemon was suspended for longer than its lease while its domain was taken out. The
    // renewal lets it act on the new view, but it was not allowed to act before applying that view.
    let mut membership = membership();
    let now = clock::now();
    let before = now.checked_sub(DEFAULT_LEASE + Duration::from_secs(1)).unwrap();
    follow(&mut membership, &store(false));
    membership.lease.grant(before, DEFAULT_LEASE, 3);
    membership.lease.record_revision(3);
    assert!(membership.may_act(before) && !membership.may_act(now));
    membership.lease.grant(now, DEFAULT_LEASE, 4);
    assert!(
        !membership.may_act(now),
        "a renewal at a newer revision extended the lease for the old view"
    );
    follow(&mut membership, &store(true));
    assert!(membership.may_act(clock::now()));
    assert!(!membership.was_active());
}

#[test]
fn was_active_lease_valid() {
    let mut membership = membership();
    follow(&mut membership, &store(false));
    membership.lease.grant(clock::now(), DEFAULT_LEASE, 3);
    membership.lease.record_revision(3);
    follow(&mut membership, &store(true));
    assert!(membership.was_active());
}

#[test]
fn receive_pong_inactive_peer() {
    // Two daemons that were suspended together must not reactivate each other with an old view.
    let mut membership = membership();
    follow(&mut membership, &store(false));
    let peer = ([10, 0, 0, 2], 5556).into();
    let now = clock::now();
    let ping = membership.new_ping(None, now);
    membership.receive_pong(peer, 3, Pong { nonce: ping.nonce, active: false });
    assert!(!membership.may_act(now));
    assert!(!membership.answer_ping(ping, now).active);
    let ping = membership.new_ping(None, now);
    membership.receive_pong(peer, 3, Pong { nonce: ping.nonce, active: true });
    assert!(membership.may_act(now));
}

/// Daemons that could not follow their peers kept each other's leases alive with an old state.
#[tokio::test]
async fn receive_pong_stuck() {
    let mut membership = membership();
    follow(&mut membership, &store(false));
    let address = ([127, 0, 0, 1], 0).into();
    let mut link = Link::bind(address, Key::derive("any", Purpose::Datagram)).unwrap();
    let now = clock::now();
    membership.pull_if_newer(&mut link, address, 9);
    membership.behind_since = now.checked_sub(DEFAULT_LEASE);
    let peer = ([10, 0, 0, 2], 5556).into();
    let ping = membership.new_ping(None, now);
    membership.receive_pong(peer, 3, Pong { nonce: ping.nonce, active: true });
    assert!(!membership.may_act(now));
    // An update shows that the daemon follows.
    follow(&mut membership, &store(true));
    let ping = membership.new_ping(None, now);
    membership.receive_pong(peer, 4, Pong { nonce: ping.nonce, active: true });
    assert!(membership.may_act(now));
}

/// After a gap in its pages, control went on from there, and the daemon stayed where it was.
#[tokio::test]
async fn apply_updates_gap() {
    let common = sample::common("vm-2");
    let (events, _writer) = Events::open("entry", &common);
    let control = TcpListener::bind(("127.0.0.1", 0)).await.unwrap();
    let (_, addresses) = watch::channel(vec![control.local_addr().unwrap()]);
    let role = hello::Role::Entry(Entry::default());
    let announcement = Announcement { name: "vm-2".into(), role };
    let mut session = Session::spawn(&common.cluster, addresses, announcement, events.clone());
    let mut membership = Membership::new(BOOT, "d".into(), events);
    let state = store(false);
    for (after, applied) in [(2, 0), (0, 3)] {
        let (stream, _) = timeout(ARRIVAL_TIMEOUT, control.accept()).await.unwrap().unwrap();
        let key = Key::derive(&common.cluster.passphrase, Purpose::Session);
        let mut stream = Framed::new(stream, Codec::<Frame>::new(key));
        let hello = stream.next().await.unwrap().unwrap();
        assert!(matches!(hello.body, Some(frame::Body::Hello(hello)) if hello.revision == 0));
        let page = state.changes_since(Cursor::at(after), usize::MAX);
        stream.send(Frame { body: Some(frame::Body::Page(page)) }).await.unwrap();
        tokio::spawn(answer_renewals(stream));
        loop {
            let update = session.next_update().await.unwrap();
            membership.apply_updates(update, &mut session);
            if membership.revision() == applied {
                break;
            }
        }
    }
}

async fn answer_renewals(mut stream: Framed<TcpStream, Codec<Frame>>) {
    while let Some(Ok(frame)) = stream.next().await {
        let Some(frame::Body::Renew(renew)) = frame.body else { continue };
        let granted = Granted { sequence: renew.sequence, lease_ms: 3000, ..Granted::default() };
        let _ = stream.send(Frame { body: Some(frame::Body::Granted(granted)) }).await;
    }
}

#[tokio::test]
async fn is_behind_expires() {
    // One message with a revision that control never had kept an agent from ending any search.
    let mut membership = membership();
    follow(&mut membership, &store(false));
    let address = ([127, 0, 0, 1], 0).into();
    let mut link = Link::bind(address, Key::derive("any", Purpose::Datagram)).unwrap();
    membership.pull_if_newer(&mut link, address, 3);
    assert!(!membership.is_behind(clock::now()));
    membership.pull_if_newer(&mut link, address, u64::MAX);
    assert!(membership.is_behind(clock::now()));
    assert!(!membership.is_behind(clock::now() + BEHIND_TIMEOUT));
}

impl Membership {
    /// Creates the membership of a daemon that holds a lease and has the state of a store.
    pub(crate) fn with_lease(boot: u64, domain: &str, store: &Store, events: Events) -> Self {
        let mut membership = Self::new(boot, domain.into(), events);
        follow(&mut membership, store);
        membership.lease.grant(clock::now(), DEFAULT_LEASE, store.revision());
        membership.lease.record_revision(store.revision());
        membership
    }
}
