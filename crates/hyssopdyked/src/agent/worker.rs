//! Event loop of the agent: handles packets and messages one at a time, and owns all tables.

use std::collections::{HashMap, HashSet, VecDeque};
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::{Duration, Instant};

use bytes::Bytes;
use eyre::Result;
use hyssopdyke::connection::{Directory, Flow, Miss, Searches, Table};
use hyssopdyke::process::{Barrier, HoldQueue, Limit, Outbox, ReportPlan, Upstream, WarmupLimiter};
use hyssopdyke::request::{Packet, PacketCodec, Scheduler};
use hyssopdyke::version::{Pool, Route};
use hyssopdyke::vm;
use hyssopdyke_platform::reports::Delivery;
use hyssopdyke_wire::datagram::{
    Datagram, Forward, Load, Owner, Record, Report, Unknown, datagram::Body,
};
use hyssopdyke_wire::resource::Usage;
use rand::SeedableRng;
use rand::rngs::SmallRng;
use slog::{debug, info, warn};
use tokio::sync::{mpsc, watch};
use tokio::task::consume_budget;
use tokio::time::{Interval, interval};

use super::MAX_FLOW_AGE;
use super::peers::Peers;
use crate::clock;
use crate::log::Events;
use crate::metrics::Metrics;
use crate::node::{Link, Membership, Session, Tunnel, decode_address};
use crate::settings::{Agent, Common};

/// Maximum number of datagrams read from a socket before the other sockets are polled.
const MAX_BATCH_DATAGRAMS: usize = 64;

/// Interval of the timer that sends due reports, retries offers and processes held packets.
const TICK_INTERVAL: Duration = Duration::from_millis(20);

/// Interval between exchanges of loads, flushes of metrics and sweeps of the tables.
const SWEEP_INTERVAL: Duration = Duration::from_secs(1);

/// Maximum time for delivering the final reports before a graceful stop.
const FINAL_REPORT_TIMEOUT: Duration = Duration::from_secs(1);

/// Maximum number of packets held until the reports of other members arrive.
const MAX_HELD_PACKETS: usize = 512;

/// Time after the start of a process in which callers reconnect: longer than their retries take.
const RECONNECT_PERIOD: Duration = Duration::from_secs(5);

/// Interval between transmissions of an unacknowledged report.
const REPORT_RETRY_INTERVAL: Duration = Duration::from_millis(40);

/// Maximum number of unacknowledged reports at a time.
const MAX_UNACKNOWLEDGED_REPORTS: usize = 256;

/// Sockets and channels of the agent.
pub(super) struct Sockets {
    /// Datagrams to and from other daemons.
    pub(super) link: Link,
    /// Packets to and from the upstream, and packets to the fabric.
    pub(super) answers: Tunnel,
    /// Reports of the upstream; empty if the upstream does not send any.
    pub(super) reports: mpsc::Receiver<Delivery>,
}

/// Records that wait to be reported to one holder.
#[derive(Debug, Default)]
pub(super) struct PendingRecords {
    pub(super) opened: Vec<Record>,
    pub(super) ended: Vec<Record>,
}

/// State of an agent.
#[allow(clippy::struct_excessive_bools, reason = "each is a fact of its own")]
pub(super) struct Worker<C> {
    pub(super) codec: C,
    pub(super) own_id: vm::Id,
    /// Identity of the process, chosen at random at its start.
    pub(super) process_identity: u64,
    /// Start of the process.
    pub(super) started: Instant,
    pub(super) domain: Box<str>,
    pub(super) settings: Agent,
    pub(super) link: Link,
    pub(super) answers: Tunnel,
    reports: mpsc::Receiver<Delivery>,
    /// State that the upstream reports.
    pub(super) upstream: Upstream,
    /// Whether the agent can serve, for the readiness check.
    ready: watch::Sender<bool>,
    pub(super) membership: Membership,
    pub(super) metrics: Metrics,
    pub(super) events: Events,
    pub(super) flow_hash_keys: (u64, u64),
    /// Members of the service at the current revision.
    pub(super) pool: Option<Arc<Pool>>,
    /// Whether the agent is one of the members.
    pub(super) is_member: bool,
    /// Whether the failure domain is out and its existing flows are still served.
    pub(super) is_domain_out: bool,
    /// Whether the agent is leaving the membership and takes no new flows.
    pub(super) is_leaving: bool,
    /// Whether the process still waits for the reports of the flows that its upstream holds.
    pub(super) is_recovering: bool,
    pub(super) peers: Peers,
    pub(super) table: Table,
    /// Flows that the upstream was asked to open, oldest first.
    pub(super) opening_flows: VecDeque<(Instant, Flow)>,
    /// Flows that their callers have yet to confirm, oldest first.
    pub(super) unconfirmed_flows: VecDeque<(Instant, Flow)>,
    /// Time at which the upstream last sent a packet or a report.
    pub(super) upstream_last_seen: Option<Instant>,
    /// Whether the upstream has stopped answering.
    pub(super) is_upstream_unresponsive: bool,
    pub(super) directory: Directory,
    /// Searches in progress that this agent started as a home.
    pub(super) searches: Searches,
    /// Flows that the upstream was found not to hold while this process recovers its flows.
    pub(super) disowned: HashSet<Flow>,
    /// Flows searched at the upstream, with the home to notify if the upstream returns the packet,
    /// and the start of the search.
    pub(super) upstream_searches: HashMap<Flow, (vm::Id, Instant)>,
    /// Flows that the upstream was found not to hold, and when.
    pub(super) returned_flows: HashMap<Flow, Instant>,
    /// Members that have reported their records of other agents' flows.
    pub(super) records_barrier: Barrier,
    /// Members that have reported their own flows.
    pub(super) owned_barrier: Barrier,
    /// Full reports that were made to the other members.
    pub(super) report_plan: ReportPlan,
    /// Revision from which on this home needed the flows of all members, once all have reported.
    pub(super) settled_epoch: Option<u64>,
    pub(super) outbox: Outbox<Report>,
    pub(super) pending_records: HashMap<vm::Id, PendingRecords>,
    pub(super) held_packets: VecDeque<(Forward, SocketAddr)>,
    /// Packets that arrived before the process was allowed to act for the first time; `None` since
    /// then.
    early_packets: Option<HoldQueue<(Forward, SocketAddr)>>,
    /// When the process was allowed to act for the first time.
    serving_since: Option<Instant>,
    /// Homes whose offers were declined because the upstream was full, with the time of declining.
    pub(super) waiting_homes: VecDeque<(vm::Id, Instant)>,
    pub(super) limit: Limit,
    /// Rate limiter of new flows while the upstream is cold.
    pub(super) warmup_limiter: WarmupLimiter,
    pub(super) scheduler: Scheduler<SmallRng>,
}

impl<C: PacketCodec> Worker<C> {
    #[allow(clippy::too_many_arguments, reason = "a process has that many parts")]
    pub(super) fn new(
        codec: C,
        common: &Common,
        settings: Agent,
        process_identity: u64,
        sockets: Sockets,
        membership: Membership,
        metrics: Metrics,
        events: Events,
    ) -> Self {
        let Sockets { link, answers, reports } = sockets;
        Self {
            codec,
            reports,
            upstream: Upstream::new(settings.heartbeat),
            ready: watch::Sender::new(false),
            own_id: vm::id(&common.vm.name),
            process_identity,
            started: clock::now(),
            domain: common.vm.domain.clone(),
            settings,
            flow_hash_keys: link.flow_hash_keys(),
            link,
            answers,
            membership,
            metrics,
            events,
            pool: None,
            is_member: false,
            is_domain_out: false,
            is_leaving: false,
            is_recovering: true,
            peers: Peers::default(),
            table: Table::new(),
            opening_flows: VecDeque::new(),
            unconfirmed_flows: VecDeque::new(),
            upstream_last_seen: None,
            is_upstream_unresponsive: false,
            directory: Directory::new(),
            searches: Searches::new(),
            disowned: HashSet::new(),
            upstream_searches: HashMap::new(),
            returned_flows: HashMap::new(),
            records_barrier: Barrier::new(),
            owned_barrier: Barrier::new(),
            report_plan: ReportPlan::new(),
            settled_epoch: None,
            outbox: Outbox::new(REPORT_RETRY_INTERVAL, MAX_UNACKNOWLEDGED_REPORTS),
            pending_records: HashMap::new(),
            held_packets: VecDeque::new(),
            early_packets: Some(HoldQueue::default()),
            serving_since: None,
            waiting_homes: VecDeque::new(),
            limit: Limit::new(1, 1),
            warmup_limiter: WarmupLimiter::new(),
            scheduler: Scheduler::new(SmallRng::seed_from_u64(process_identity)),
        }
    }

    /// Publishes whether the agent can serve, and logs a change.
    fn update_readiness(&self, now: Instant) {
        let may_act = self.may_act(now);
        if self.ready.send_if_modified(|ready| std::mem::replace(ready, may_act) != may_act) {
            info!(self.events.logger(), "right to act"; "holds" => may_act,
                "is_member" => self.is_member, "is_out" => self.is_domain_out);
        }
    }

    /// Serves until a socket fails.
    pub(super) async fn run(&mut self, session: &mut Session) -> Result<()> {
        let mut ticks = interval(TICK_INTERVAL);
        let mut sweeps = interval(SWEEP_INTERVAL);
        loop {
            tokio::select! {
                served = self.serve_next(session, &mut ticks) => served?,
                _ = sweeps.tick() => self.sweep(),
            }
            session.report(self.membership.revision(), self.current_usage());
            self.follow_upstream(session).await?;
        }
    }

    /// Handles the next event: a message, a packet or report of the upstream, an update of control,
    /// or a tick.
    async fn serve_next(&mut self, session: &mut Session, ticks: &mut Interval) -> Result<()> {
        // Sockets that are always readable must not keep a stop or a timeout from being noticed.
        consume_budget().await;
        tokio::select! {
            ready = self.link.readable() => { ready?; self.receive_datagrams()?; }
            ready = self.answers.readable() => { ready?; self.receive_answers()?; }
            Some(delivery) = self.reports.recv() => self.handle_upstream_report(delivery),
            Some(update) = session.next_update() => {
                if self.membership.apply_updates(update, session) {
                    self.handle_view_change();
                }
            }
            _ = ticks.tick() => self.tick(),
        }
        Ok(())
    }

    /// Serves until the other members have acknowledged the final reports, for a graceful stop.
    pub(super) async fn drain_reports(&mut self, session: &mut Session) -> Result<()> {
        let mut ticks = interval(TICK_INTERVAL);
        let all_reported = async {
            self.is_leaving = true;
            self.flush_pending_records();
            self.queue_final_reports();
            while !self.outbox.is_empty() {
                self.serve_next(session, &mut ticks).await?;
            }
            Ok(())
        };
        let reported = tokio::time::timeout(FINAL_REPORT_TIMEOUT, all_reported).await;
        if let Ok(result) = reported {
            return result;
        }
        warn!(self.events.logger(), "stopping with unacknowledged reports";
            "count" => self.outbox.len());
        Ok(())
    }

    /// Returns whether the agent may deliver packets now.
    ///
    /// Checked for each packet, since the process may have been suspended between two packets.
    pub(super) fn may_act(&self, now: Instant) -> bool {
        self.is_member && self.membership.may_act(now)
    }

    /// Returns whether the flows that the agent owns may be served now. They are also served after
    /// the failure domain was taken out, if the packet codec cannot reset open flows.
    pub(super) fn may_serve_owned(&self, now: Instant) -> bool {
        (self.is_member || self.is_domain_out) && self.membership.may_act(now)
    }

    pub(super) fn hash(&self, flow: &Flow) -> u64 {
        flow.hash(self.flow_hash_keys)
    }

    /// Returns the member that decides who owns a flow.
    pub(super) fn home_of(&self, flow: &Flow) -> Option<vm::Id> {
        self.pool.as_ref()?.home(self.hash(flow)).map(|home| home.vm)
    }

    /// Returns a member's name for log events.
    pub(super) fn vm_name(&self, vm: vm::Id) -> Box<str> {
        let member = self.pool.as_ref().and_then(|pool| pool.find(vm));
        member.map_or_else(|| format!("{vm:016x}").into(), |member| member.name.clone())
    }

    /// Sends a message to a member, or to an agent whose failure domain is out. The message is
    /// dropped if the agent is gone.
    pub(super) fn send(&mut self, to: vm::Id, body: Body) {
        let address = self.pool.as_ref().and_then(|pool| pool.find(to)).map(|to| to.address);
        if let Some(address) = address {
            self.send_to(address, body);
        }
    }

    pub(super) fn send_to(&mut self, address: SocketAddr, body: Body) {
        let message = self.membership.message(body);
        if !self.link.send(&message, address) {
            self.metrics.count("dropped.send");
        }
    }

    pub(super) fn send_to_caller(&mut self, packet: &[u8], caller: SocketAddr) {
        if !packet.is_empty() && !self.answers.send(packet, self.codec.next_hop(caller)) {
            self.metrics.count("dropped.send");
        }
    }

    pub(super) fn send_to_upstream(&mut self, packet: &[u8]) {
        if !packet.is_empty() && !self.answers.send(packet, self.settings.upstream) {
            self.metrics.count("dropped.send");
        }
    }

    fn receive_datagrams(&mut self) -> Result<()> {
        for _ in 0..MAX_BATCH_DATAGRAMS {
            let Some((opened, from)) = self.link.try_recv()? else {
                break;
            };
            match opened {
                Ok(datagram) => self.handle_datagram(datagram, from),
                Err(_) => self.metrics.count("rejected"),
            }
        }
        Ok(())
    }

    fn receive_answers(&mut self) -> Result<()> {
        for _ in 0..MAX_BATCH_DATAGRAMS {
            let Some((packet, from)) = self.answers.try_recv()? else {
                break;
            };
            if from == self.settings.upstream {
                self.record_upstream_activity(clock::now());
                self.handle_answer(&packet);
            } else {
                self.metrics.count("rejected");
            }
        }
        Ok(())
    }

    fn handle_datagram(&mut self, datagram: Datagram, from: SocketAddr) {
        let revision = datagram.revision;
        self.peers.mark_seen(from, clock::now());
        self.membership.pull_if_newer(&mut self.link, from, revision);
        match datagram.body {
            Some(Body::Forward(forward)) => self.handle_forward(forward, from),
            Some(Body::Offer(offer)) => self.handle_offer(&offer, from),
            Some(Body::Accepted(accepted)) => self.handle_accepted(&accepted, from),
            Some(Body::Declined(declined)) => self.handle_declined(&declined, from),
            Some(Body::Unknown(unknown)) => self.handle_unknown(&unknown, from),
            Some(Body::Owner(owner)) => self.handle_owner(&owner, from),
            Some(Body::Report(report)) => self.handle_report(&report, from),
            Some(Body::Reported(reported)) => {
                if let Some(vm) = self.peers.id(from) {
                    self.outbox.acknowledge(vm, reported.sequence);
                }
            }
            Some(Body::Ping(ping)) => {
                if let (Some(vm), Some(load)) = (self.peers.id(from), ping.load) {
                    self.peers.record_load(vm, load);
                }
                if ping.nonce != 0 || revision < self.membership.revision() {
                    let answer = self.membership.answer_ping(ping, clock::now());
                    self.send_to(from, Body::Pong(answer));
                }
            }
            Some(Body::Pong(pong)) => self.membership.receive_pong(from, revision, pong),
            Some(Body::Pull(pull)) => self.membership.answer_pull(&mut self.link, from, pull),
            Some(Body::Page(page)) => {
                if self.membership.receive_page(&mut self.link, from, page) {
                    self.handle_view_change();
                }
            }
            Some(Body::Room(_)) => self.handle_room(from),
            None => self.metrics.count("unexpected"),
        }
    }

    /// Handles a caller's packet as the owner or the home of its flow, or forwards it to the home.
    pub(super) fn handle_forward(&mut self, forward: Forward, from: SocketAddr) {
        let now = clock::now();
        if !self.may_serve_owned(now) {
            if forward.search && self.has_no_upstream(now) {
                return self.answer_without_upstream(&forward.packet, from);
            }
            return self.hold_early(forward, from, now);
        }
        let Some((packet, _)) = self.parse_routed(&forward.packet) else {
            return;
        };
        let flow = packet.inbound_flow();
        if self.is_owned(&flow, &packet) {
            let is_confirmed_now = self.deliver(&flow, &packet, &forward.packet);
            if forward.search {
                self.report_found(&flow);
            } else if is_confirmed_now && C::RESOLVES_DUPLICATE_OPENS {
                let entry = decode_address(forward.entry_address, forward.entry_port);
                self.notify_entry(&flow, entry, true);
            }
            return;
        }
        if forward.search {
            return self.handle_search(flow, forward, from);
        }
        if !self.may_act(now) {
            return self.metrics.count("dropped.inactive");
        }
        // A flow that is still in the table here is closed, and its endpoints are opening a new
        // one. The new flow may go to another upstream, so its packets must not be treated as late
        // packets of the closed flow.
        self.end_flow(&flow);
        let home = self.home_of(&flow);
        let is_opening = packet.segment.is_none_or(|segment| segment.is_opening());
        if forward.cached && !is_opening && self.own_miss(&flow, now) == Miss::Unsure {
            // A former process owned the flow, or accepted it.
            return self.query_upstream(flow, &forward.packet, home.unwrap_or(self.own_id));
        }
        let is_fallback_home = C::RESOLVES_DUPLICATE_OPENS && forward.stand_in;
        if home == Some(self.own_id) || is_fallback_home {
            self.handle_as_home(flow, &packet, forward, from);
        } else if let (Some(home), Some(hops)) = (home, forward.hops.checked_sub(1)) {
            self.send_owner_hint(&forward, &flow, 0, false);
            self.send(home, Body::Forward(Forward { hops, ..forward }));
        } else {
            self.disclaim(flow, &forward.packet, from);
        }
    }

    /// Tells the home of a flow that this agent does not own it. If a former process may have accepted
    /// it, and the caller may have confirmed it since, its upstream is asked before.
    fn disclaim(&mut self, flow: Flow, bytes: &Bytes, from: SocketAddr) {
        let may_hold = self.may_have_unknown_flows(clock::now());
        if let Some(home) = self.peers.id(from).filter(|_| C::RESOLVES_DUPLICATE_OPENS && may_hold)
        {
            self.query_upstream(flow, bytes, home);
        } else if !self.is_recovering {
            let flow = Some(flow.into());
            self.send_to(from, Body::Unknown(Unknown { flow, ..Unknown::default() }));
        }
    }

    /// Holds a packet until the process may act for the first time, and drops it otherwise.
    fn hold_early(&mut self, forward: Forward, from: SocketAddr, now: Instant) {
        let held = self.early_packets.as_mut().map(|packets| packets.push((forward, from), now));
        if held.is_none_or(|evicted| evicted.is_some()) {
            self.metrics.count("dropped.inactive");
        }
    }

    /// Returns whether the process has started to serve so recently that callers may still return
    /// all at once after an outage.
    pub(super) fn is_after_outage(&self, now: Instant) -> bool {
        self.serving_since.is_none_or(|since| now.duration_since(since) < RECONNECT_PERIOD)
    }

    /// Handles the packets that arrived before the process may act, which it may now.
    fn handle_early_packets(&mut self) {
        let Some(mut packets) = self.early_packets.take() else { return };
        self.serving_since = Some(clock::now());
        let held = packets.take(clock::now());
        info!(self.events.logger(), "serving starts"; "held_packets" => held.len());
        self.exchange_loads(clock::now());
        for ((forward, from), held) in held {
            let held_ms = forward.held_ms.saturating_add(held.as_millis() as u32);
            self.handle_forward(Forward { held_ms, ..forward }, from);
        }
    }

    /// Parses a caller's packet and finds its route. Returns `None` if the packet is malformed or
    /// no route of the agent's service matches.
    pub(super) fn parse_routed(&mut self, bytes: &Bytes) -> Option<(Packet, Arc<Route>)> {
        let Ok(packet) = self.codec.parse(bytes) else {
            self.metrics.count("dropped.malformed");
            return None;
        };
        let view = Arc::clone(self.membership.view());
        let route = view.route(packet.destination, packet.protocol());
        let route = route.filter(|route| route.pool.services.contains_key(&self.settings.service));
        if route.is_none() {
            self.metrics.count("dropped.foreign");
        }
        route.map(|route| (packet, Arc::clone(route)))
    }

    /// Returns a receiver that indicates whether the agent can serve.
    pub(super) fn readiness(&self) -> watch::Receiver<bool> {
        self.ready.subscribe()
    }

    /// Notifies the entry that received the packet of the owner of its flow; 0 if the entry must
    /// not cache an owner.
    pub(super) fn send_owner_hint(
        &mut self,
        forward: &Forward,
        flow: &Flow,
        vm: vm::Id,
        confirmed: bool,
    ) {
        if let Some(entry) = decode_address(forward.entry_address, forward.entry_port) {
            let flow = Some((*flow).into());
            self.send_to(entry, Body::Owner(Owner { flow, vm, confirmed, ..Owner::default() }));
        }
    }

    /// Holds a packet until the reports of other members arrive. Drops the oldest held packet if
    /// the queue is full.
    pub(super) fn hold_packet(&mut self, forward: Forward, from: SocketAddr) {
        if self.held_packets.len() == MAX_HELD_PACKETS {
            self.metrics.count("dropped.held");
            self.held_packets.pop_front();
        }
        self.held_packets.push_back((forward, from));
    }

    fn handle_view_change(&mut self) {
        let view = Arc::clone(self.membership.view());
        let former = self.pool.take();
        self.pool = view.pool(&self.settings.service).cloned();
        let was_member = self.is_member;
        self.is_member = self.pool.as_ref().is_some_and(|pool| {
            pool.member(self.own_id).is_some_and(|member| member.boot == self.process_identity)
        });
        let was_domain_out = self.is_domain_out;
        self.is_domain_out = !C::CAN_RESET_OPEN_FLOWS && view.is_out(&self.domain);
        if was_domain_out && !self.is_domain_out && self.settings.reports.is_some() {
            self.upstream.forget_warmth();
        }
        if was_member && view.is_out(&self.domain) {
            self.handle_domain_out();
        }
        let Some(pool) = self.pool.clone() else {
            return;
        };
        self.apply_declared_limit();
        if former.as_ref().is_some_and(|former| former.epoch == pool.epoch) {
            return;
        }
        info!(self.events.logger(), "members changed"; "epoch" => pool.epoch,
            "home_epoch" => pool.home_epoch, "members" => pool.members.len(),
            "is_member" => self.is_member, "is_home" => pool.is_home(self.own_id));
        let incarnation = |pool: &Pool| pool.find(self.own_id).map(|member| member.incarnation);
        let former_incarnation = former.as_deref().and_then(incarnation);
        if incarnation(&pool) != former_incarnation {
            // Others may have left and joined meanwhile, so that all reports are made again.
            self.report_plan.clear();
            self.outbox.retain(|_, report| report.parts == 0);
        }
        let is_home_change = former.is_none_or(|former| {
            former.home_epoch != pool.home_epoch || former.homes != pool.homes
        });
        self.handle_epoch_change(&pool, is_home_change);
    }

    fn tick(&mut self) {
        self.update_readiness(clock::now());
        self.check_opening(clock::now());
        self.release_unconfirmed(clock::now());
        self.flush_pending_records();
        self.send_reports();
        if self.may_act(clock::now()) {
            self.handle_early_packets();
            self.process_held_packets();
            self.retry_offers();
            self.continue_searches(clock::now());
        }
    }

    fn sweep(&mut self) {
        let now = clock::now();
        self.events.log_suppressed();
        let change = self.upstream.check_end(now);
        self.handle_upstream_change(change, now);
        self.exchange_loads(now);
        if self.may_serve_owned(now) {
            self.sweep_flows(now);
        }
        self.sweep_records(now);
        self.returned_flows.retain(|_, at| now.duration_since(*at) < MAX_FLOW_AGE);
        self.metrics.set_gauge("connections", self.table.connections().into());
        self.metrics.set_gauge("slots", self.table.slots().into());
        self.metrics.set_gauge("limit", self.limit.current().into());
        self.metrics.set_gauge("records", self.directory.len() as u64);
        self.metrics.set_gauge("revision", self.membership.revision());
        let counts = self.metrics.flush();
        if let Some(rejected) = counts.get("rejected") {
            warn!(self.events.logger(), "datagrams of no peer"; "count" => rejected);
        }
        if !counts.is_empty() {
            debug!(self.events.logger(), "counters"; "counts" => ?counts);
        }
    }

    /// Reports the upstream's load to the homes, which place the new flows.
    pub(super) fn exchange_loads(&mut self, now: Instant) {
        let Some(pool) = self.pool.clone() else {
            return;
        };
        let load = self.current_load(now);
        self.peers.record_load(self.own_id, load);
        let own_id = self.own_id;
        for home in pool.homes.iter().copied().filter(|home| *home != own_id) {
            let ping = self.membership.new_load_ping(load, now);
            self.send(home, Body::Ping(ping));
        }
        self.membership.ping_peers(&mut self.link, now);
    }

    pub(super) fn current_load(&self, now: Instant) -> Load {
        let room = match &self.pool {
            Some(_) if self.table.connections() < self.capacity().connections => {
                self.limit.current().saturating_sub(self.table.slots())
            }
            _ => 0,
        };
        Load {
            // The throughput of an upstream that has not answered a request yet is unknown.
            weight: self.limit.usual_time().map_or(0, |_| self.limit.weight()),
            queue: self.table.slots().saturating_sub(self.limit.current()),
            room,
            ejected: self.limit.is_ejected(now),
            closed: self.is_leaving || !self.is_serving(now),
            knows_flows: !self.is_recovering && !self.may_have_unknown_flows(now),
        }
    }

    /// Returns the number of flows that are not closed, and how many of them their callers have not
    /// confirmed.
    pub(super) fn count_flows(&self) -> (usize, usize) {
        let open = || self.table.iter().filter(|(_, state)| !state.is_closed());
        (open().count(), open().filter(|(_, state)| !state.is_confirmed()).count())
    }

    fn current_usage(&self) -> Usage {
        Usage {
            connections: self.table.connections(),
            slots: self.table.slots(),
            limit: self.limit.current(),
            ejected: self.limit.is_ejected(clock::now()),
        }
    }
}

#[cfg(test)]
#[path = "worker_tests.rs"]
mod tests;
