//! The forwarding of packets.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::{Duration, Instant};

use bytes::Bytes;
use eyre::Result;
use hyssopdyke::connection::{Cache, Flow};
use hyssopdyke::process::{Queued, Reachability, Shaper, Suspects};
use hyssopdyke::request::{Packet, PacketCodec};
use hyssopdyke::version::{Member, Pool, Route};
use hyssopdyke::vm;
use hyssopdyke_wire::datagram::{Datagram, Forward, Owner, datagram::Body};
use hyssopdyke_wire::resource::Usage;
use slog::{debug, info, warn};
use tokio::sync::watch;
use tokio::time::{Interval, interval, sleep};

use crate::clock;
use crate::log::{Events, routine, unusual};
use crate::metrics::Metrics;
use crate::node::{Link, Membership, Session, Tunnel, encode_address};
use crate::settings::Entry;

/// Forwards that may follow the entry's own: from the owner it remembered to the home, and on to
/// the owner that the home knows.
const HOPS: u32 = 2;

/// Datagrams that are taken from a socket before the other ones are looked at.
const BATCH: usize = 64;

/// Time between two flushes of the metrics, and two questions to peers.
const TICK: Duration = Duration::from_secs(1);

/// Time between two looks at whether this entry is cut off: a part of the silence that shows it.
const LOOK: Duration = Duration::from_millis(100);

/// Bytes a second of one megabit a second.
const BYTES_PER_MBIT: f64 = 125_000.0;

/// Time without packets after which the fabric is taken to send no more: longer than callers'
/// first repetitions, shorter than the grace time of a stop.
const QUIET: Duration = Duration::from_secs(1);

/// What is done again and again.
struct Ticks {
    publishing: Interval,
    looking: Interval,
}

impl Ticks {
    fn new() -> Self {
        Self { publishing: interval(TICK), looking: interval(LOOK) }
    }
}

/// A caller's packet, read once.
struct Inbound {
    bytes: Bytes,
    packet: Packet,
    flow: Flow,
    /// Hash of the flow.
    hash: u64,
}

/// The entry's sockets and what it remembers.
pub(super) struct Worker<B> {
    border: B,
    fabric: Tunnel,
    link: Link,
    membership: Membership,
    metrics: Metrics,
    cache: Cache,
    suspects: Suspects,
    /// Whether this entry hears anybody outside its failure domain.
    contact: Reachability,
    /// Packets that wait for the VM's link, where its rate is known.
    shaper: Option<Shaper<Inbound>>,
    keys: (u64, u64),
    address: SocketAddr,
    events: Events,
    /// Whether the fabric shall send packets here.
    ready: watch::Sender<bool>,
    /// The process is about to stop.
    is_leaving: bool,
    /// When the fabric last sent a packet.
    forwarded: Option<Instant>,
}

impl<B: PacketCodec> Worker<B> {
    pub(super) fn new(
        border: B,
        fabric: Tunnel,
        link: Link,
        membership: Membership,
        metrics: Metrics,
        settings: &Entry,
        events: Events,
    ) -> Result<Self> {
        let (cached_flows, link_mbit) = (settings.cached_flows, settings.link_mbit);
        let address = link.local_addr()?;
        let cache = Cache::new(cached_flows);
        let keys = link.flow_hash_keys();
        Ok(Self {
            border,
            fabric,
            link,
            membership,
            metrics,
            cache,
            suspects: Suspects::new(),
            contact: Reachability::new(clock::now()),
            shaper: link_mbit.map(|rate| Shaper::new(rate * BYTES_PER_MBIT)),
            keys,
            address,
            events,
            ready: watch::Sender::new(false),
            is_leaving: false,
            forwarded: None,
        })
    }

    /// Tells whether the fabric shall send packets here.
    pub(super) fn ready(&self) -> watch::Receiver<bool> {
        self.ready.subscribe()
    }

    /// Sets whether the fabric shall send packets here.
    ///
    /// An entry that is cut off reaches only the upstreams of its own failure domain, while the
    /// entries of the others reach most. It forwards what it is sent all the same.
    fn publish_ready(&self) {
        let now = clock::now();
        let (may_act, is_cut_off) = (self.membership.may_act(now), self.is_cut_off(now));
        let is_ready = !self.is_leaving && may_act && !is_cut_off;
        if self.ready.send_if_modified(|ready| std::mem::replace(ready, is_ready) != is_ready) {
            info!(self.events.logger(), "readiness changed"; "is_ready" => is_ready,
                "may_act" => may_act, "cut_off" => is_cut_off, "leaves" => self.is_leaving);
        }
    }

    /// Whether this entry rather than all others is cut off. Where there is only one other failure
    /// domain, that one may be without power: then control still answers.
    fn is_cut_off(&self, now: Instant) -> bool {
        let may_be_others = self.membership.other_domain_count() < 2;
        self.contact.is_isolated(now) && !(may_be_others && self.membership.is_renewed(now))
    }

    /// Asks processes outside the failure domain while nothing is heard from there.
    fn look_after_contact(&mut self) {
        let now = clock::now();
        if self.membership.other_domain_count() > 0 && self.contact.take_probe(now) {
            self.membership.ping_peers(&mut self.link, now);
        }
        self.publish_ready();
    }

    /// Forwards packets until a socket fails.
    pub(super) async fn run(&mut self, session: &mut Session) -> Result<()> {
        let mut ticks = Ticks::new();
        loop {
            self.serve_next(session, &mut ticks).await?;
        }
    }

    async fn serve_next(&mut self, session: &mut Session, ticks: &mut Ticks) -> Result<()> {
        let due = self.due();
        tokio::select! {
            ready = self.fabric.readable() => { ready?; self.forward_batch()?; }
            ready = self.link.readable() => { ready?; self.receive_batch()?; }
            Some(update) = session.next_update() => {
                self.membership.apply_updates(update, session);
                self.publish_ready();
            }
            () = until_due(due) => self.forward_waiting(),
            _ = ticks.looking.tick() => self.look_after_contact(),
            _ = ticks.publishing.tick() => self.tick(),
        }
        session.report(self.membership.revision(), Usage::default());
        Ok(())
    }

    /// Forwards on until the fabric sends no more packets, for a graceful stop.
    pub(super) async fn finish(&mut self, session: &mut Session) -> Result<()> {
        self.is_leaving = true;
        self.publish_ready();
        let start = clock::now();
        let mut ticks = Ticks::new();
        loop {
            let quiet_since = self.forwarded.map_or(start, |last| last.max(start));
            let left = QUIET.saturating_sub(clock::now() - quiet_since);
            tokio::select! {
                served = self.serve_next(session, &mut ticks) => served?,
                () = sleep(left) => return Ok(()),
            }
        }
    }

    fn forward_batch(&mut self) -> Result<()> {
        for _ in 0..BATCH {
            let Some((packet, _)) = self.fabric.try_recv()? else {
                break;
            };
            // The lease is looked at for each packet: the process may have been frozen between
            // two of them.
            let now = clock::now();
            self.forwarded = Some(now);
            if self.membership.may_act(now) {
                self.shape(packet, now);
            } else {
                self.metrics.count("dropped.inactive");
            }
        }
        self.forward_waiting();
        Ok(())
    }

    /// Forwards a packet at once, or lets it wait for the link.
    fn shape(&mut self, bytes: Bytes, now: Instant) {
        let Ok(packet) = self.border.parse(&bytes) else {
            return self.metrics.count("dropped.malformed");
        };
        let flow = packet.inbound_flow();
        let inbound = Inbound { bytes, packet, flow, hash: flow.hash(self.keys) };
        let length = inbound.bytes.len();
        let Some(shaper) = &mut self.shaper else { return self.forward(inbound) };
        if shaper.try_pass(length, now) {
            return self.forward(inbound);
        }
        let hash = inbound.hash;
        let waiting = Queued { segment: inbound.packet.segment, bytes: length, packet: inbound };
        if shaper.push(hash, waiting).is_some() {
            self.metrics.count("dropped.queue");
        }
    }

    /// How long the packets that wait for the link do so; `None` where none does.
    fn due(&mut self) -> Option<Duration> {
        self.shaper.as_mut().and_then(|shaper| shaper.delay(clock::now()))
    }

    /// Forwards the packets that the link takes now.
    fn forward_waiting(&mut self) {
        let now = clock::now();
        while let Some(inbound) = self.shaper.as_mut().and_then(|shaper| shaper.pop(now)) {
            if self.membership.may_act(now) {
                self.forward(inbound);
            } else {
                self.metrics.count("dropped.inactive");
            }
        }
    }

    fn forward(&mut self, inbound: Inbound) {
        let Inbound { packet, flow, .. } = &inbound;
        let view = Arc::clone(self.membership.view());
        let Some(route) = view.route(flow.service, flow.protocol) else {
            unusual!(self.events, "packet has no route"; "flow" => %flow,
                "declared" => view.declaration_version());
            return self.metrics.count("dropped.unknown_service");
        };
        let opens = packet.segment.is_none_or(|segment| segment.is_opening());
        let Some((target, stand_in)) = self.target(route, &inbound, opens) else {
            unusual!(self.events, "packet has no member to go to"; "flow" => %flow,
                "out" => route.pool.out_members.len());
            return self.metrics.count("dropped.no_member");
        };
        if opens {
            self.note_opening(&inbound, target, stand_in);
        } else {
            self.note_repetition(&inbound, target);
        }
        let (entry_address, entry_port) = encode_address(self.address);
        let forward = Forward {
            packet: inbound.bytes,
            hops: HOPS,
            entry_address,
            entry_port,
            stand_in,
            search: false,
        };
        let message = self.membership.message(Body::Forward(forward));
        self.metrics.count("forwarded");
        if !self.link.send(&message, target.address) {
            self.metrics.count("dropped.send");
        }
    }

    /// Writes where a flow's first packet goes.
    fn note_opening(&self, inbound: &Inbound, to: &Member, stand_in: bool) {
        let Inbound { packet, flow, .. } = inbound;
        if stand_in || packet.earlier_copies > 0 {
            unusual!(self.events, "first packet goes past its home"; "flow" => %flow,
                "to" => &*to.name, "copies" => packet.earlier_copies, "stand_in" => stand_in);
        } else {
            routine!(self.events, "first packet goes to its home"; "flow" => %flow,
                "to" => &*to.name);
        }
    }

    /// Writes that a caller repeats itself: its packet, or the answer to it, was lost.
    fn note_repetition(&mut self, inbound: &Inbound, to: &Member) {
        let segment = inbound.packet.segment.filter(|segment| segment.length > 0);
        let Some(segment) = segment else { return };
        if self.cache.record_sequence(inbound.hash, segment.sequence) {
            self.metrics.count("repeated");
            unusual!(self.events, "caller repeats a packet"; "flow" => %inbound.flow, "to" => &*to.name,
                "sequence" => segment.sequence, "length" => segment.length);
        }
    }

    /// The member that a packet goes to, and whether it is asked in place of the flow's home.
    fn target<'a>(
        &mut self,
        route: &'a Route,
        inbound: &Inbound,
        opens: bool,
    ) -> Option<(&'a Member, bool)> {
        let pool: &Pool = &route.pool;
        let (hash, copies) = (inbound.hash, inbound.packet.earlier_copies);
        if let Some(owner) = self.cache.owner(hash).filter(|_| copies == 0)
            && let Some(owner) = pool.find(owner)
        {
            return Some((owner, false));
        }
        let home = pool.top_two(hash).0?;
        let chosen = if opens { self.opener(pool, hash, copies) } else { Some(home) };
        chosen.and_then(|vm| pool.member(vm)).map(|member| (member, member.vm != home))
    }

    /// The member that places a new flow: its home, or the next in rank that answers.
    ///
    /// A copy of a flow's first packet shows that whoever got the one before has not answered.
    fn opener(&mut self, pool: &Pool, hash: u64, copies: u32) -> Option<vm::Id> {
        let now = clock::now();
        if copies > 0
            && let Some(last) = pool.fallback_home(hash, |vm| self.suspects.is_suspected(vm, now))
        {
            self.suspects.suspect(last, now);
            let name = pool.member(last).map(|member| &*member.name);
            unusual!(self.events, "member spared"; "member" => name, "copies" => copies);
        }
        pool.fallback_home(hash, |vm| self.suspects.is_suspected(vm, now))
    }

    fn receive_batch(&mut self) -> Result<()> {
        for _ in 0..BATCH {
            let Some((opened, from)) = self.link.try_recv()? else {
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
        self.suspects.record_reply(from);
        if self.membership.is_in_other_domain(from) {
            self.contact.record_received(clock::now());
        }
        self.membership.pull_if_newer(&mut self.link, from, revision);
        match datagram.body {
            Some(Body::Owner(owner)) => self.learn(&owner),
            Some(Body::Pull(pull)) => self.membership.answer_pull(&mut self.link, from, pull),
            Some(Body::Page(page)) => {
                self.membership.receive_page(&mut self.link, from, page);
            }
            Some(Body::Ping(ping)) => {
                let answer = self.membership.answer_ping(ping, clock::now());
                let answer = self.membership.message(Body::Pong(answer));
                self.link.send(&answer, from);
            }
            Some(Body::Pong(pong)) => self.membership.receive_pong(from, revision, pong),
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

    /// Asks members that are spared whether they answer again.
    fn ask_suspects(&mut self) {
        let now = clock::now();
        for vm in self.suspects.suspected(now) {
            let Some(address) = self.membership.view().agent_address(vm) else { continue };
            self.suspects.record_probe(vm, address);
            let ping = self.membership.new_ping(None, now);
            self.link.send(&self.membership.message(Body::Ping(ping)), address);
        }
    }

    fn tick(&mut self) {
        self.events.log_suppressed();
        self.ask_suspects();
        self.membership.ping_peers(&mut self.link, clock::now());
        let waiting = self.shaper.as_ref().map_or(0, Shaper::queued_bytes);
        self.metrics.set_gauge("waiting_bytes", waiting as u64);
        self.metrics.set_gauge("cached_flows", self.cache.len() as u64);
        self.metrics.set_gauge("revision", self.membership.revision());
        let counts = self.metrics.flush();
        if let Some(rejected) = counts.get("rejected") {
            warn!(self.events.logger(), "datagrams of no peer"; "count" => rejected);
        }
        if !counts.is_empty() {
            debug!(self.events.logger(), "counters"; "counts" => ?counts);
        }
    }
}

/// Waits for a time, or for ever where there is none.
async fn until_due(delay: Option<Duration>) {
    match delay {
        Some(delay) => sleep(delay).await,
        None => std::future::pending().await,
    }
}
