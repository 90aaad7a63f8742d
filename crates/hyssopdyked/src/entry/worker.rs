//! The forwarding of packets.

use std::net::{IpAddr, SocketAddr};
use std::sync::Arc;
use std::time::{Duration, Instant};

use bytes::Bytes;
use eyre::Result;
use hyssopdyke::connection::{Cache, Flow};
use hyssopdyke::request::Packet;
use hyssopdyke::version::{Member, Pool, Service};
use hyssopdyke_wire::datagram::{Datagram, Forward, Owner, Pong, datagram::Body};
use hyssopdyke_wire::resource::Usage;
use slog::warn;
use tokio::time::interval;

use crate::log::Events;
use crate::metrics::Metrics;
use crate::node::{Link, Membership, Session, Tunnel};

/// Forwards that may follow the entry's own: from the owner it remembered to the home, and on to
/// the owner that the home knows.
const HOPS: u32 = 2;

/// Datagrams that are taken from a socket before the other ones are looked at.
const BATCH: usize = 64;

/// Time between two flushes of the metrics, and two questions to peers.
const TICK: Duration = Duration::from_secs(1);

/// The entry's sockets and what it remembers.
pub(super) struct Worker {
    fabric: Tunnel,
    link: Link,
    membership: Membership,
    metrics: Metrics,
    cache: Cache,
    keys: (u64, u64),
    address: SocketAddr,
    events: Events,
}

impl Worker {
    pub(super) fn new(
        fabric: Tunnel,
        link: Link,
        membership: Membership,
        metrics: Metrics,
        cached_flows: usize,
        events: Events,
    ) -> Result<Self> {
        let address = link.local_addr()?;
        let cache = Cache::new(cached_flows);
        let keys = link.flow_keys();
        Ok(Self { fabric, link, membership, metrics, cache, keys, address, events })
    }

    /// Forwards packets until a socket fails.
    pub(super) async fn run(&mut self, session: &mut Session) -> Result<()> {
        let mut ticks = interval(TICK);
        loop {
            tokio::select! {
                ready = self.fabric.readable() => { ready?; self.forward_batch()?; }
                ready = self.link.readable() => { ready?; self.receive_batch()?; }
                Some(update) = session.update() => { self.membership.update(update, session); }
                _ = ticks.tick() => self.tick(),
            }
            session.report(self.membership.revision(), Usage::default());
        }
    }

    /// Forwards packets without a session, for the time of a graceful stop.
    pub(super) async fn finish(&mut self) -> Result<()> {
        loop {
            self.fabric.readable().await?;
            self.forward_batch()?;
        }
    }

    fn forward_batch(&mut self) -> Result<()> {
        for _ in 0..BATCH {
            let Some((packet, _)) = self.fabric.take()? else {
                break;
            };
            // The lease is looked at for each packet: the process may have been frozen between
            // two of them.
            if self.membership.may_act(Instant::now()) {
                self.forward(packet);
            } else {
                self.metrics.count("dropped.inactive");
            }
        }
        Ok(())
    }

    fn forward(&mut self, bytes: Bytes) {
        let Ok(packet) = Packet::parse(&bytes) else {
            return self.metrics.count("dropped.malformed");
        };
        let flow = packet.inbound();
        let view = Arc::clone(self.membership.view());
        let Some(service) = view.service(flow.service, flow.protocol) else {
            return self.metrics.count("dropped.unknown_service");
        };
        let Some(target) = self.target(service, &flow) else {
            return self.metrics.count("dropped.no_member");
        };
        let (entry_address, entry_port) = encode_address(self.address);
        let forward = Forward { packet: bytes, hops: HOPS, entry_address, entry_port };
        let message = self.membership.message(Body::Forward(forward));
        self.metrics.count("forwarded");
        if !self.link.send(&message, target.address) {
            self.metrics.count("dropped.send");
        }
    }

    fn target<'a>(&mut self, service: &'a Service, flow: &Flow) -> Option<&'a Member> {
        let pool: &Pool = &service.pool;
        let hash = flow.hash(self.keys);
        let owner = self.cache.owner(hash).and_then(|vm| pool.member(vm));
        owner.or_else(|| pool.home(hash))
    }

    fn receive_batch(&mut self) -> Result<()> {
        for _ in 0..BATCH {
            let Some((opened, from)) = self.link.take()? else {
                break;
            };
            match opened {
                Ok(datagram) => self.receive(datagram, from),
                Err(_) => self.metrics.count("rejected"),
            }
        }
        Ok(())
    }

    fn receive(&mut self, datagram: Datagram, from: SocketAddr) {
        let revision = datagram.revision;
        self.membership.follow(&mut self.link, from, revision);
        match datagram.body {
            Some(Body::Owner(owner)) => self.learn(&owner),
            Some(Body::Pull(pull)) => self.membership.serve(&mut self.link, from, pull),
            Some(Body::Page(page)) => {
                self.membership.receive(&mut self.link, from, page);
            }
            Some(Body::Ping(ping)) => {
                let answer = self.membership.message(Body::Pong(Pong { nonce: ping.nonce }));
                self.link.send(&answer, from);
            }
            Some(Body::Pong(pong)) => self.membership.vouch(from, revision, pong),
            _ => self.metrics.count("unexpected"),
        }
    }

    fn learn(&mut self, owner: &Owner) {
        let Ok(flow) = Flow::try_from(owner.flow.as_ref()) else {
            return self.metrics.count("unexpected");
        };
        let hash = flow.hash(self.keys);
        match owner.vm {
            0 => self.cache.remove(hash),
            vm => self.cache.insert(hash, vm),
        }
    }

    fn tick(&mut self) {
        self.membership.ask_peers(&mut self.link, Instant::now());
        self.metrics.gauge("cached_flows", self.cache.len() as u64);
        self.metrics.gauge("revision", self.membership.revision());
        let counts = self.metrics.flush();
        if let Some(rejected) = counts.get("rejected") {
            warn!(self.events.logger(), "datagrams of no peer"; "count" => rejected);
        }
    }
}

/// The entry's address as it travels with a packet; only IPv4 fits.
fn encode_address(address: SocketAddr) -> (u32, u32) {
    match address.ip() {
        IpAddr::V4(ip) => (u32::from(ip), u32::from(address.port())),
        IpAddr::V6(_) => (0, 0),
    }
}
