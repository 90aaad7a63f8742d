//! Packet forwarding.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::{Duration, Instant};

use bytes::Bytes;
use eyre::Result;
use hyssopdyke::connection::{Cache, Flow, Openings};
use hyssopdyke::process::{HoldQueue, Queued, Reachability, Shaper, Suspects};
use hyssopdyke::request::{Packet, PacketCodec};
use hyssopdyke::version::{Member, Pool, Route};
use hyssopdyke::vm;
use hyssopdyke_wire::datagram::{Datagram, Forward, Owner, datagram::Body};
use hyssopdyke_wire::resource::Usage;
use slog::{debug, info, warn};
use tokio::sync::watch;
use tokio::task::consume_budget;
use tokio::time::{Interval, interval, sleep};

use crate::clock;
use crate::log::{Events, routine, unusual};
use crate::metrics::Metrics;
use crate::node::{Link, Membership, Session, Tunnel, encode_address};
use crate::settings::Entry;

/// Maximum number of further forwards after the entry's own: from the cached owner to the home, and
/// from the home to the recorded owner.
const MAX_FORWARD_HOPS: u32 = 2;

/// Maximum number of datagrams to read from a socket before the others are polled.
const MAX_BATCH_DATAGRAMS: usize = 64;

/// Interval between flushes of the metrics and pings to peers.
const HOUSEKEEPING_INTERVAL: Duration = Duration::from_secs(1);

/// Interval between checks whether this entry is cut off: a fraction of the time without messages
/// after which it counts as cut off.
const REACHABILITY_CHECK_INTERVAL: Duration = Duration::from_millis(100);

/// Bytes per second in one megabit per second.
const BYTES_PER_MBIT: f64 = 125_000.0;

/// Time without packets after which the fabric is considered to send no more: longer than the
/// first retransmissions of callers, and shorter than the grace time of a stop.
const DRAIN_IDLE_TIME: Duration = Duration::from_secs(1);

/// Timers of the periodic tasks.
struct Timers {
    housekeeping: Interval,
    reachability: Interval,
}

impl Timers {
    fn new() -> Self {
        Self {
            housekeeping: interval(HOUSEKEEPING_INTERVAL),
            reachability: interval(REACHABILITY_CHECK_INTERVAL),
        }
    }
}

/// A parsed packet from a caller.
struct Inbound {
    bytes: Bytes,
    packet: Packet,
    flow: Flow,
    hash: u64,
    /// Time for which the packet was held until the process was allowed to act.
    held: Duration,
}

/// The entry's sockets and state.
pub(super) struct Worker<B> {
    codec: B,
    fabric: Tunnel,
    link: Link,
    membership: Membership,
    metrics: Metrics,
    cache: Cache,
    openings: Openings,
    suspects: Suspects,
    /// Packets that arrived before the process was allowed to act for the first time.
    held_packets: HoldQueue<Bytes>,
    /// When the process was allowed to act for the first time.
    acting_since: Option<Instant>,
    /// Whether messages arrive from other failure domains.
    reachability: Reachability,
    /// Queue of packets for the VM's link, if its rate is set.
    shaper: Option<Shaper<Inbound>>,
    flow_hash_keys: (u64, u64),
    address: SocketAddr,
    events: Events,
    /// Whether the fabric should send packets to this entry.
    readiness: watch::Sender<bool>,
    /// Whether the process is about to stop.
    is_stopping: bool,
    /// Time of the last packet from the fabric.
    last_packet_at: Option<Instant>,
}

/// Why a member gets a packet.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Choice {
    /// The cache has it as the owner that the flow's caller has confirmed.
    Confirmed,
    /// The cache has it as a member that has accepted the flow.
    Accepted,
    /// It is the flow's home.
    Home,
    /// It stands in for the flow's home.
    StandIn,
}

/// Member that gets a packet.
#[derive(Debug, Clone, Copy)]
struct Target<'a> {
    member: &'a Member,
    choice: Choice,
}

impl<B: PacketCodec> Worker<B> {
    pub(super) fn new(
        codec: B,
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
        let flow_hash_keys = link.flow_hash_keys();
        Ok(Self {
            codec,
            fabric,
            link,
            membership,
            metrics,
            cache,
            openings: Openings::new(),
            suspects: Suspects::new(),
            held_packets: HoldQueue::default(),
            acting_since: None,
            reachability: Reachability::new(clock::now()),
            shaper: link_mbit.map(|rate| Shaper::new(rate * BYTES_PER_MBIT)),
            flow_hash_keys,
            address,
            events,
            readiness: watch::Sender::new(false),
            is_stopping: false,
            last_packet_at: None,
        })
    }

    /// Returns a receiver for whether the fabric should send packets to this entry.
    pub(super) fn subscribe_readiness(&self) -> watch::Receiver<bool> {
        self.readiness.subscribe()
    }

    /// Updates whether the fabric should send packets to this entry.
    ///
    /// An entry that is cut off reaches only the upstreams of its own failure domain, while the
    /// entries of other domains reach most upstreams. It still forwards the packets it receives.
    fn update_readiness(&self) {
        let now = clock::now();
        let (may_act, is_cut_off) = (self.membership.may_act(now), self.is_cut_off(now));
        let is_ready = !self.is_stopping && may_act && !is_cut_off;
        if self.readiness.send_if_modified(|ready| std::mem::replace(ready, is_ready) != is_ready) {
            info!(self.events.logger(), "readiness changed"; "is_ready" => is_ready,
                "may_act" => may_act, "cut_off" => is_cut_off, "leaves" => self.is_stopping);
        }
    }

    /// Returns whether this entry is cut off, rather than all other entries.
    ///
    /// If there is only one other failure domain, that domain may have lost power instead. In that
    /// case control still answers.
    fn is_cut_off(&self, now: Instant) -> bool {
        let may_be_other_domain = self.membership.other_domain_count() < 2;
        self.reachability.is_isolated(now)
            && !(may_be_other_domain && self.membership.is_renewed(now))
    }

    /// Pings processes in other failure domains while no messages arrive from there.
    fn check_reachability(&mut self) {
        let now = clock::now();
        if self.membership.other_domain_count() > 0 && self.reachability.take_probe(now) {
            self.membership.ping_peers(&mut self.link, now);
        }
        self.update_readiness();
    }

    /// Forwards packets until a socket fails.
    ///
    /// # Errors
    ///
    /// Returns the error of the socket.
    pub(super) async fn run(&mut self, session: &mut Session) -> Result<()> {
        let mut timers = Timers::new();
        loop {
            self.serve_next(session, &mut timers).await?;
        }
    }

    async fn serve_next(&mut self, session: &mut Session, timers: &mut Timers) -> Result<()> {
        // Sockets that are always readable must not keep a stop or a timeout from being noticed.
        consume_budget().await;
        let delay = self.queue_delay();
        tokio::select! {
            ready = self.fabric.readable() => { ready?; self.forward_batch()?; }
            ready = self.link.readable() => { ready?; self.receive_batch()?; }
            Some(update) = session.next_update() => {
                self.membership.apply_updates(update, session);
                self.update_readiness();
            }
            () = wait_for_delay(delay) => self.forward_queued(),
            _ = timers.reachability.tick() => self.check_reachability(),
            _ = timers.housekeeping.tick() => self.run_housekeeping(),
        }
        self.start_acting();
        session.report(self.membership.revision(), Usage::default());
        Ok(())
    }

    /// Forwards the held packets once the process may act for the first time.
    fn start_acting(&mut self) {
        let now = clock::now();
        if self.acting_since.is_some() || !self.membership.may_act(now) {
            return;
        }
        self.acting_since = Some(now);
        let held = self.held_packets.take(now);
        info!(self.events.logger(), "forwarding starts"; "held_packets" => held.len());
        for (packet, held) in held {
            self.shape(packet, held, now);
        }
    }

    /// Continues to forward until the fabric sends no more packets, for a graceful stop.
    ///
    /// # Errors
    ///
    /// Returns the error of a socket that fails.
    pub(super) async fn drain(&mut self, session: &mut Session) -> Result<()> {
        self.is_stopping = true;
        self.update_readiness();
        let start = clock::now();
        let mut timers = Timers::new();
        loop {
            let idle_since = self.last_packet_at.map_or(start, |last| last.max(start));
            let remaining = DRAIN_IDLE_TIME.saturating_sub(clock::now() - idle_since);
            tokio::select! {
                served = self.serve_next(session, &mut timers) => served?,
                () = sleep(remaining) => return Ok(()),
            }
        }
    }

    fn forward_batch(&mut self) -> Result<()> {
        for _ in 0..MAX_BATCH_DATAGRAMS {
            let Some((packet, _)) = self.fabric.try_recv()? else {
                break;
            };
            // Check the lease for each packet, because the process may have been suspended between
            // two packets.
            let now = clock::now();
            self.last_packet_at = Some(now);
            if self.membership.may_act(now) {
                self.shape(packet, Duration::ZERO, now);
            } else if self.acting_since.is_some() || self.held_packets.push(packet, now).is_some() {
                self.metrics.count("dropped.inactive");
            }
        }
        self.forward_queued();
        Ok(())
    }

    /// Forwards a packet at once, or queues it for the link.
    fn shape(&mut self, bytes: Bytes, held: Duration, now: Instant) {
        let Ok(packet) = self.codec.parse(&bytes) else {
            return self.metrics.count("dropped.malformed");
        };
        let flow = packet.inbound_flow();
        let inbound = Inbound { bytes, packet, flow, hash: flow.hash(self.flow_hash_keys), held };
        let length = inbound.bytes.len();
        let Some(shaper) = &mut self.shaper else { return self.forward(inbound) };
        if shaper.try_pass(length, now) {
            return self.forward(inbound);
        }
        let hash = inbound.hash;
        let queued = Queued { segment: inbound.packet.segment, bytes: length, packet: inbound };
        if shaper.push(hash, queued).is_some() {
            self.metrics.count("dropped.queue");
        }
    }

    /// Returns the time until the link accepts the next queued packet; `None` if none is queued.
    fn queue_delay(&mut self) -> Option<Duration> {
        self.shaper.as_mut().and_then(|shaper| shaper.delay(clock::now()))
    }

    /// Forwards the queued packets that the link accepts now.
    fn forward_queued(&mut self) {
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
        let is_opening = packet.segment.is_none_or(|segment| segment.is_opening());
        let Some(Target { member: target, choice }) =
            self.select_target(route, &inbound, is_opening)
        else {
            unusual!(self.events, "packet has no member to go to"; "flow" => %flow,
                "out" => route.pool.out_members.len());
            return self.metrics.count("dropped.no_member");
        };
        if is_opening {
            self.log_first_packet(&inbound, target, choice == Choice::StandIn);
        } else {
            self.record_retransmission(&inbound, target);
        }
        let (entry_address, entry_port) = encode_address(self.address);
        let forward = Forward {
            packet: inbound.bytes,
            hops: MAX_FORWARD_HOPS,
            entry_address,
            entry_port,
            stand_in: choice == Choice::StandIn,
            cached: choice == Choice::Confirmed,
            held_ms: inbound.held.as_millis() as u32,
            ..Forward::default()
        };
        let message = self.membership.message(Body::Forward(forward));
        self.metrics.count("forwarded");
        if !self.link.send(&message, target.address) {
            self.metrics.count("dropped.send");
        }
    }

    /// Logs the target of a flow's first packet.
    fn log_first_packet(&self, inbound: &Inbound, to: &Member, is_fallback: bool) {
        let Inbound { packet, flow, .. } = inbound;
        if is_fallback || packet.earlier_copies > 0 {
            unusual!(self.events, "first packet goes past its home"; "flow" => %flow,
                "to" => &*to.name, "copies" => packet.earlier_copies, "stand_in" => is_fallback);
        } else {
            routine!(self.events, "first packet goes to its home"; "flow" => %flow,
                "to" => &*to.name);
        }
    }

    /// Counts and logs a retransmission by a caller: its packet, or the answer to it, was lost.
    fn record_retransmission(&mut self, inbound: &Inbound, to: &Member) {
        let segment = inbound.packet.segment.filter(|segment| segment.length > 0);
        let Some(segment) = segment else { return };
        if self.cache.record_sequence(inbound.hash, segment.sequence) {
            self.metrics.count("repeated");
            unusual!(self.events, "caller repeats a packet"; "flow" => %inbound.flow, "to" => &*to.name,
                "sequence" => segment.sequence, "length" => segment.length);
        }
    }

    /// Returns the target of a packet.
    fn select_target<'a>(
        &mut self,
        route: &'a Route,
        inbound: &Inbound,
        is_opening: bool,
    ) -> Option<Target<'a>> {
        let pool: &Pool = &route.pool;
        let (hash, copies) = (inbound.hash, inbound.packet.earlier_copies);
        let now = clock::now();
        let is_usable =
            copies == 0 || self.openings.is_handled(hash, self.copy_interval(copies), now);
        if is_opening {
            self.cache.reopen(hash);
        }
        if let Some((owner, is_confirmed)) = self.cache.owner(hash).filter(|_| is_usable)
            && let Some(member) = pool.find(owner)
        {
            let choice = if is_confirmed { Choice::Confirmed } else { Choice::Accepted };
            return Some(Target { member, choice });
        }
        let home = pool.top_two(hash).0?;
        let chosen = if is_opening { self.select_home(pool, hash, copies) } else { Some(home) };
        let member = chosen.and_then(|vm| pool.member(vm))?;
        let choice = if member.vm == home { Choice::Home } else { Choice::StandIn };
        Some(Target { member, choice })
    }

    /// Returns the member that places a new flow: its home, or the next in rank that is not
    /// suspected.
    ///
    /// A retransmission of a flow's first packet means that the previous target has not answered,
    /// unless this entry did not forward the copy before.
    fn select_home(&mut self, pool: &Pool, hash: u64, copies: u32) -> Option<vm::Id> {
        let now = clock::now();
        if self.has_forwarded_copy(copies, now)
            && let Some(last) = pool.fallback_home(hash, |vm| self.suspects.is_suspected(vm, now))
        {
            self.suspects.suspect(last, now);
            let name = pool.member(last).map(|member| &*member.name);
            unusual!(self.events, "member spared"; "member" => name, "copies" => copies);
        }
        pool.fallback_home(hash, |vm| self.suspects.is_suspected(vm, now))
    }

    /// Returns whether this entry could already forward packets when the caller sent the copy before
    /// the one that has arrived now.
    fn has_forwarded_copy(&self, copies: u32, now: Instant) -> bool {
        let interval = self.copy_interval(copies);
        copies > 0 && self.acting_since.is_some_and(|since| now.duration_since(since) >= interval)
    }

    /// Returns the time between a copy of a first packet and the copy before.
    fn copy_interval(&self, copies: u32) -> Duration {
        let before = self.codec.copy_age(copies.saturating_sub(1));
        self.codec.copy_age(copies).saturating_sub(before)
    }

    fn receive_batch(&mut self) -> Result<()> {
        for _ in 0..MAX_BATCH_DATAGRAMS {
            let Some((result, from)) = self.link.try_recv()? else {
                break;
            };
            match result {
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
            self.reachability.record_received(clock::now());
        }
        self.membership.pull_if_newer(&mut self.link, from, revision);
        match datagram.body {
            Some(Body::Owner(owner)) => self.update_cache(&owner, from),
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

    fn update_cache(&mut self, owner: &Owner, from: SocketAddr) {
        let Ok(flow) = Flow::try_from(owner.flow.as_ref()) else {
            return self.metrics.count("unexpected");
        };
        let hash = flow.hash(self.flow_hash_keys);
        if owner.vm == 0 {
            return self.drop_from_cache(hash, from);
        }
        self.openings.record(hash, owner.waiting, clock::now());
        if owner.confirmed {
            self.cache.confirm(hash, owner.vm);
        } else {
            self.cache.insert(hash, owner.vm);
        }
    }

    /// Drops a flow from the cache, since a member that got its packet does not own it. Another member
    /// may have been confirmed since.
    fn drop_from_cache(&mut self, hash: u64, from: SocketAddr) {
        let Some((owner, is_confirmed)) = self.cache.owner(hash) else { return };
        let is_sender = || self.membership.view().agent_address(owner) == Some(from);
        if !is_confirmed || is_sender() {
            self.cache.remove(hash);
        }
    }

    /// Pings suspected members to find out whether they answer again.
    fn probe_suspects(&mut self) {
        let now = clock::now();
        for vm in self.suspects.suspected(now) {
            let Some(address) = self.membership.view().agent_address(vm) else { continue };
            self.suspects.record_probe(vm, address);
            let ping = self.membership.new_ping(None, now);
            self.link.send(&self.membership.message(Body::Ping(ping)), address);
        }
    }

    fn run_housekeeping(&mut self) {
        self.events.log_suppressed();
        self.probe_suspects();
        self.openings.expire(clock::now());
        self.membership.ping_peers(&mut self.link, clock::now());
        let queued_bytes = self.shaper.as_ref().map_or(0, Shaper::queued_bytes);
        self.metrics.set_gauge("waiting_bytes", queued_bytes as u64);
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

/// Waits for a delay, or forever if there is none.
async fn wait_for_delay(delay: Option<Duration>) {
    match delay {
        Some(delay) => sleep(delay).await,
        None => std::future::pending().await,
    }
}
