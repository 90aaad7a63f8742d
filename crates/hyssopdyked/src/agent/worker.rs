//! The agent's task: takes packets and messages one at a time and keeps all tables.

use std::collections::{HashMap, VecDeque};
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::{Duration, Instant, SystemTime};

use bytes::Bytes;
use eyre::Result;
use hyssopdyke::connection::{Directory, Flow, Searches, Table};
use hyssopdyke::process::{Barrier, Limit, Outbox, Upstream, WarmupLimiter};
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
use tokio::time::{Interval, interval};

use super::peers::Peers;
use crate::clock;
use crate::log::Events;
use crate::metrics::Metrics;
use crate::node::{Link, Membership, Session, Tunnel, decode_address};
use crate::settings::{Agent, Common};

/// Datagrams that are taken from a socket before the other ones are looked at.
const BATCH: usize = 64;

/// Time between two looks at what is due.
const TICK: Duration = Duration::from_millis(20);

/// Time between two exchanges of loads, flushes of metrics and sweeps of the tables.
const SWEEP: Duration = Duration::from_secs(1);

/// Time for the last reports before a graceful stop.
const FAREWELL: Duration = Duration::from_secs(1);

/// Packets that may wait for the reports of other members.
const HELD_PACKETS: usize = 512;

/// Time between two sendings of an unacknowledged report.
const REPORT_INTERVAL: Duration = Duration::from_millis(40);

/// Reports that may be unacknowledged at a time.
const REPORT_WINDOW: usize = 256;

/// The agent's sockets.
pub(super) struct Sockets {
    /// To and from other daemons.
    pub(super) link: Link,
    /// To and from the upstream, and to the fabric.
    pub(super) answers: Tunnel,
    /// Reports of the upstream; none come where it does not report.
    pub(super) reports: mpsc::Receiver<Delivery>,
}

/// Records that wait to be reported to one holder.
#[derive(Debug, Default)]
pub(super) struct Increment {
    pub(super) opened: Vec<Record>,
    pub(super) ended: Vec<Record>,
}

/// All state of an agent.
#[allow(clippy::struct_excessive_bools, reason = "each is a fact of its own")]
pub(super) struct Worker<B> {
    pub(super) border: B,
    pub(super) me: vm::Id,
    pub(super) boot: u64,
    /// Start of the process, as an instant and in milliseconds of Unix time.
    pub(super) started: (Instant, u64),
    pub(super) domain: Box<str>,
    pub(super) settings: Agent,
    pub(super) link: Link,
    pub(super) answers: Tunnel,
    reports: mpsc::Receiver<Delivery>,
    /// What the upstream says of itself.
    pub(super) upstream: Upstream,
    /// Whether the agent can serve.
    ready: watch::Sender<bool>,
    pub(super) membership: Membership,
    pub(super) metrics: Metrics,
    pub(super) events: Events,
    pub(super) keys: (u64, u64),
    /// The service's members under the current revision.
    pub(super) pool: Option<Arc<Pool>>,
    /// The agent is one of the members.
    pub(super) is_member: bool,
    /// The failure domain is out, and the flows of before are served on.
    pub(super) is_out: bool,
    /// The process is about to stop and takes no new flows.
    pub(super) is_leaving: bool,
    /// Records that are not this agent's to keep may be in the directory.
    pub(super) must_prune: bool,
    /// The process has not yet been told which flows its upstream holds.
    pub(super) is_fresh: bool,
    pub(super) peers: Peers,
    pub(super) table: Table,
    /// Flows that the upstream was asked to take, oldest first.
    pub(super) opening: VecDeque<(Instant, Flow)>,
    /// Flows whose callers have yet to go on with them, oldest first.
    pub(super) confirming: VecDeque<(Instant, Flow)>,
    /// When the upstream last sent anything.
    pub(super) upstream_heard: Option<Instant>,
    /// The upstream does not answer.
    pub(super) is_upstream_silent: bool,
    pub(super) directory: Directory,
    /// Searches that this agent makes as a home.
    pub(super) searches: Searches,
    /// Homes that are told if the upstream gives a flow's packet back, and since when.
    pub(super) searched: HashMap<Flow, (vm::Id, Instant)>,
    /// Members that have reported their records of others' flows.
    pub(super) records_barrier: Barrier,
    /// Members that have reported their own flows.
    pub(super) own_barrier: Barrier,
    pub(super) outbox: Outbox<Report>,
    pub(super) increments: HashMap<vm::Id, Increment>,
    pub(super) held: VecDeque<(Forward, SocketAddr)>,
    /// Homes whose flows were declined as the upstream was full, and when.
    pub(super) waiters: VecDeque<(vm::Id, Instant)>,
    pub(super) limit: Limit,
    /// New flows that the upstream gets while it is cold.
    pub(super) cold: WarmupLimiter,
    pub(super) draw: Scheduler<SmallRng>,
}

impl<B: PacketCodec> Worker<B> {
    #[allow(clippy::too_many_arguments, reason = "a process has that many parts")]
    pub(super) fn new(
        border: B,
        common: &Common,
        settings: Agent,
        boot: u64,
        sockets: Sockets,
        membership: Membership,
        metrics: Metrics,
        events: Events,
    ) -> Self {
        let Sockets { link, answers, reports } = sockets;
        Self {
            border,
            reports,
            upstream: Upstream::new(settings.heartbeat),
            ready: watch::Sender::new(false),
            me: vm::id(&common.vm.name),
            boot,
            started: (clock::now(), unix_millis()),
            domain: common.vm.domain.clone(),
            settings,
            keys: link.flow_hash_keys(),
            link,
            answers,
            membership,
            metrics,
            events,
            pool: None,
            is_member: false,
            is_out: false,
            is_leaving: false,
            must_prune: false,
            is_fresh: true,
            peers: Peers::default(),
            table: Table::new(),
            opening: VecDeque::new(),
            confirming: VecDeque::new(),
            upstream_heard: None,
            is_upstream_silent: false,
            directory: Directory::new(),
            searches: Searches::new(),
            searched: HashMap::new(),
            records_barrier: Barrier::new(),
            own_barrier: Barrier::new(),
            outbox: Outbox::new(REPORT_INTERVAL, REPORT_WINDOW),
            increments: HashMap::new(),
            held: VecDeque::new(),
            waiters: VecDeque::new(),
            limit: Limit::new(1, 1),
            cold: WarmupLimiter::new(),
            draw: Scheduler::new(SmallRng::seed_from_u64(boot)),
        }
    }

    /// Sets whether the agent can serve.
    fn publish_ready(&self, now: Instant) {
        let may_act = self.may_act(now);
        if self.ready.send_if_modified(|ready| std::mem::replace(ready, may_act) != may_act) {
            info!(self.events.logger(), "right to act"; "holds" => may_act,
                "is_member" => self.is_member, "is_out" => self.is_out);
        }
    }

    /// Serves until a socket fails.
    pub(super) async fn run(&mut self, session: &mut Session) -> Result<()> {
        let mut ticks = interval(TICK);
        let mut sweeps = interval(SWEEP);
        loop {
            tokio::select! {
                served = self.serve_next(session, &mut ticks) => served?,
                _ = sweeps.tick() => self.sweep(),
            }
            session.report(self.membership.revision(), self.usage());
            self.follow_upstream(session).await?;
        }
    }

    /// Serves what comes next: messages, answers, an update of control, or what is due.
    async fn serve_next(&mut self, session: &mut Session, ticks: &mut Interval) -> Result<()> {
        tokio::select! {
            ready = self.link.readable() => { ready?; self.receive_batch()?; }
            ready = self.answers.readable() => { ready?; self.answer_batch()?; }
            Some(delivery) = self.reports.recv() => self.reported_by_upstream(delivery),
            Some(update) = session.next_update() => {
                if self.membership.apply_updates(update, session) {
                    self.view_changed();
                }
            }
            _ = ticks.tick() => self.tick(),
        }
        Ok(())
    }

    /// Serves on until the other members know of all flows, for a graceful stop.
    pub(super) async fn finish(&mut self, session: &mut Session) -> Result<()> {
        let mut ticks = interval(TICK);
        let all_reported = async {
            self.is_leaving = true;
            self.flush_increments();
            self.report_farewell();
            while !self.outbox.is_empty() {
                self.serve_next(session, &mut ticks).await?;
            }
            Ok(())
        };
        let reported = tokio::time::timeout(FAREWELL, all_reported).await;
        if let Ok(result) = reported {
            return result;
        }
        warn!(self.events.logger(), "stopping with reports unacknowledged";
            "count" => self.outbox.len());
        Ok(())
    }

    /// Whether the agent may deliver packets now.
    ///
    /// This is looked at for each packet: the process may have been frozen between two of them.
    pub(super) fn may_act(&self, now: Instant) -> bool {
        self.is_member && self.membership.may_act(now)
    }

    /// Whether flows that the agent owns may be served now: also after its failure domain was
    /// taken out, where their callers cannot be told that they are given up.
    pub(super) fn may_serve_own(&self, now: Instant) -> bool {
        (self.is_member || self.is_out) && self.membership.may_act(now)
    }

    pub(super) fn hash(&self, flow: &Flow) -> u64 {
        flow.hash(self.keys)
    }

    /// The member that decides who owns a flow.
    pub(super) fn home_of(&self, flow: &Flow) -> Option<vm::Id> {
        self.pool.as_ref()?.home(self.hash(flow)).map(|home| home.vm)
    }

    /// A member's name, for events.
    pub(super) fn name(&self, vm: vm::Id) -> Box<str> {
        let member = self.pool.as_ref().and_then(|pool| pool.find(vm));
        member.map_or_else(|| format!("{vm:016x}").into(), |member| member.name.clone())
    }

    /// Sends a message to a member, or to one whose failure domain is out; lost if it is gone.
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

    /// Sends a packet to a caller.
    pub(super) fn send_to_caller(&mut self, packet: &[u8], caller: SocketAddr) {
        if !packet.is_empty() && !self.answers.send(packet, self.border.next_hop(caller)) {
            self.metrics.count("dropped.send");
        }
    }

    pub(super) fn send_to_upstream(&mut self, packet: &[u8]) {
        if !packet.is_empty() && !self.answers.send(packet, self.settings.upstream) {
            self.metrics.count("dropped.send");
        }
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

    fn answer_batch(&mut self) -> Result<()> {
        for _ in 0..BATCH {
            let Some((packet, from)) = self.answers.try_recv()? else {
                break;
            };
            if from == self.settings.upstream {
                self.hear_upstream(clock::now());
                self.answered(&packet);
            } else {
                self.metrics.count("rejected");
            }
        }
        Ok(())
    }

    fn receive(&mut self, datagram: Datagram, from: SocketAddr) {
        let revision = datagram.revision;
        self.peers.heard(from, clock::now());
        self.membership.pull_if_newer(&mut self.link, from, revision);
        match datagram.body {
            Some(Body::Forward(forward)) => self.forwarded(forward, from),
            Some(Body::Offer(offer)) => self.offered(&offer, from),
            Some(Body::Accepted(accepted)) => self.accepted(&accepted, from),
            Some(Body::Declined(declined)) => self.declined(&declined, from),
            Some(Body::Unknown(unknown)) => self.disowned(&unknown, from),
            Some(Body::Owner(owner)) => self.let_go(&owner, from),
            Some(Body::Report(report)) => self.reported(&report, from),
            Some(Body::Reported(reported)) => {
                if let Some(vm) = self.peers.id(from) {
                    self.outbox.acknowledge(vm, reported.sequence);
                }
            }
            Some(Body::Ping(ping)) => {
                if let (Some(vm), Some(load)) = (self.peers.id(from), ping.load) {
                    self.peers.note(vm, load);
                }
                let answer = self.membership.answer_ping(ping, clock::now());
                self.send_to(from, Body::Pong(answer));
            }
            Some(Body::Pong(pong)) => self.membership.receive_pong(from, revision, pong),
            Some(Body::Pull(pull)) => self.membership.answer_pull(&mut self.link, from, pull),
            Some(Body::Page(page)) => {
                if self.membership.receive_page(&mut self.link, from, page) {
                    self.view_changed();
                }
            }
            Some(Body::Room(_)) => self.room(from),
            None => self.metrics.count("unexpected"),
        }
    }

    /// Takes a caller's packet, as the owner of its flow, as its home, or to pass it on.
    pub(super) fn forwarded(&mut self, forward: Forward, from: SocketAddr) {
        let now = clock::now();
        if !self.may_serve_own(now) {
            return self.metrics.count("dropped.inactive");
        }
        let Some((packet, _)) = self.checked(&forward.packet) else {
            return;
        };
        let flow = packet.inbound_flow();
        if self.is_own(&flow, &packet) {
            self.deliver(&flow, &packet, &forward.packet);
            if forward.search {
                self.found(&flow);
            }
            return;
        }
        if forward.search {
            return self.search_upstream(flow, &forward.packet, from);
        }
        if !self.may_act(now) {
            return self.metrics.count("dropped.inactive");
        }
        // What is left here is a closed flow whose ends begin a new one, which may go to another
        // upstream: its packets must not be taken for late ones of the closed flow.
        self.forget(&flow);
        let home = self.home_of(&flow);
        let stands_in = B::RESOLVES_DUPLICATE_OPENS && forward.stand_in;
        if home == Some(self.me) || stands_in {
            self.home(flow, &packet, forward, from);
        } else if let (Some(home), Some(hops)) = (home, forward.hops.checked_sub(1)) {
            self.hint(&forward, &flow, 0);
            self.send(home, Body::Forward(Forward { hops, ..forward }));
        } else if !self.is_fresh {
            let flow = Some(flow.into());
            self.send_to(from, Body::Unknown(Unknown { flow, ..Unknown::default() }));
        }
    }

    /// Reads a caller's packet and refuses one that no route of the agent's service has.
    pub(super) fn checked(&mut self, bytes: &Bytes) -> Option<(Packet, Arc<Route>)> {
        let Ok(packet) = self.border.parse(bytes) else {
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

    /// Tells whether the agent can serve.
    pub(super) fn ready(&self) -> watch::Receiver<bool> {
        self.ready.subscribe()
    }

    /// Tells the entry that took the packet who owns its flow; 0 for nobody it should remember.
    pub(super) fn hint(&mut self, forward: &Forward, flow: &Flow, vm: vm::Id) {
        if let Some(entry) = decode_address(forward.entry_address, forward.entry_port) {
            self.send_to(entry, Body::Owner(Owner { flow: Some((*flow).into()), vm }));
        }
    }

    /// Notes a packet that waits for the reports of other members.
    pub(super) fn hold(&mut self, forward: Forward, from: SocketAddr) {
        if self.held.len() == HELD_PACKETS {
            self.metrics.count("dropped.held");
            self.held.pop_front();
        }
        self.held.push_back((forward, from));
    }

    fn view_changed(&mut self) {
        let view = Arc::clone(self.membership.view());
        let former = self.pool.take();
        self.pool = view.pool(&self.settings.service).cloned();
        let was_member = self.is_member;
        self.is_member = self.pool.as_ref().is_some_and(|pool| {
            pool.member(self.me).is_some_and(|member| member.boot == self.boot)
        });
        self.is_out = !B::CAN_RESET_OPEN_FLOWS && view.is_out(&self.domain);
        if was_member && view.is_out(&self.domain) {
            self.taken_out();
        }
        let Some(pool) = self.pool.clone() else {
            return;
        };
        self.declare_limit();
        let former_epoch = former.map_or(0, |former| former.epoch);
        if pool.epoch != former_epoch {
            info!(self.events.logger(), "members changed"; "epoch" => pool.epoch,
                "members" => pool.members.len(), "is_member" => self.is_member);
            self.epoch_changed(&pool);
        }
    }

    fn tick(&mut self) {
        self.look_after_opening(clock::now());
        self.look_after_confirming(clock::now());
        self.flush_increments();
        self.send_reports();
        self.prune();
        if self.may_act(clock::now()) {
            self.take_held();
            self.retry_offers();
        }
    }

    fn sweep(&mut self) {
        let now = clock::now();
        self.events.log_suppressed();
        self.exchange_loads(now);
        if self.may_serve_own(now) {
            self.sweep_flows(now);
        }
        self.sweep_records(now);
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

    pub(super) fn exchange_loads(&mut self, now: Instant) {
        self.publish_ready(now);
        let Some(pool) = self.pool.clone() else {
            return;
        };
        let load = self.load(now);
        self.peers.note(self.me, load);
        let me = self.me;
        for member in pool.all_members().filter(|member| member.vm != me) {
            let ping = self.membership.new_ping(Some(load), now);
            self.send_to(member.address, Body::Ping(ping));
        }
        self.membership.ping_peers(&mut self.link, now);
    }

    pub(super) fn load(&self, now: Instant) -> Load {
        let room = match &self.pool {
            Some(_) if self.table.connections() < self.bounds().connections => {
                self.limit.current().saturating_sub(self.table.slots())
            }
            _ => 0,
        };
        Load {
            // The speed of an upstream that has answered nothing yet is not known.
            weight: self.limit.usual_time().map_or(0, |_| self.limit.weight()),
            queue: self.table.slots().saturating_sub(self.limit.current()),
            room,
            ejected: self.limit.is_ejected(now),
            closed: self.is_leaving || !self.is_serving(now),
        }
    }

    fn usage(&self) -> Usage {
        Usage {
            connections: self.table.connections(),
            slots: self.table.slots(),
            limit: self.limit.current(),
            ejected: self.limit.is_ejected(clock::now()),
        }
    }
}

/// Milliseconds of Unix time; 0 before its beginning.
fn unix_millis() -> u64 {
    let since_epoch = SystemTime::now().duration_since(SystemTime::UNIX_EPOCH);
    since_epoch.map_or(0, |time| time.as_millis() as u64)
}

#[cfg(test)]
#[path = "worker_tests.rs"]
mod tests;
