//! The agent's task: takes packets and messages one at a time and keeps all tables.

use std::collections::{HashMap, VecDeque};
use std::net::{Ipv4Addr, SocketAddr};
use std::sync::Arc;
use std::time::{Duration, Instant};

use bytes::Bytes;
use eyre::Result;
use hyssopdyke::connection::{Directory, Flow, Table};
use hyssopdyke::process::{Barrier, Limit, Outbox};
use hyssopdyke::request::{Draw, Packet};
use hyssopdyke::version::Pool;
use hyssopdyke::vm;
use hyssopdyke_wire::datagram::{
    Datagram, Forward, Load, Offer, Owner, Pong, Record, Report, Unknown, datagram::Body,
};
use hyssopdyke_wire::resource::Usage;
use rand::SeedableRng;
use rand::rngs::SmallRng;
use slog::{debug, info, warn};
use tokio::time::{Interval, interval};

use super::peers::Peers;
use crate::log::Events;
use crate::metrics::Metrics;
use crate::node::{Link, Membership, Session, Tunnel};
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
const REPORT_INTERVAL: Duration = Duration::from_millis(100);

/// Reports that may be unacknowledged at a time.
const REPORT_WINDOW: usize = 256;

/// The agent's sockets.
pub(super) struct Sockets {
    /// To and from other daemons.
    pub(super) link: Link,
    /// To and from the upstream, and to the fabric.
    pub(super) answers: Tunnel,
}

/// Records that wait to be reported to one holder.
#[derive(Debug, Default)]
pub(super) struct Increment {
    pub(super) opened: Vec<Record>,
    pub(super) ended: Vec<Record>,
}

/// All state of an agent.
#[allow(clippy::struct_excessive_bools, reason = "each is a fact of its own")]
pub(super) struct Worker {
    pub(super) me: vm::Id,
    pub(super) boot: u64,
    pub(super) domain: Box<str>,
    pub(super) settings: Agent,
    pub(super) link: Link,
    pub(super) answers: Tunnel,
    pub(super) membership: Membership,
    pub(super) metrics: Metrics,
    pub(super) events: Events,
    pub(super) keys: (u64, u64),
    /// The service's members under the current revision.
    pub(super) pool: Option<Arc<Pool>>,
    /// The agent is one of the members.
    pub(super) is_member: bool,
    /// The process is about to stop and takes no new flows.
    pub(super) is_leaving: bool,
    /// Records that are not this agent's to keep may be in the directory.
    pub(super) must_prune: bool,
    /// The process has not yet been told which flows its upstream holds.
    pub(super) is_fresh: bool,
    pub(super) peers: Peers,
    pub(super) table: Table,
    pub(super) directory: Directory,
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
    pub(super) draw: Draw<SmallRng>,
}

impl Worker {
    pub(super) fn new(
        common: &Common,
        settings: Agent,
        boot: u64,
        sockets: Sockets,
        membership: Membership,
        metrics: Metrics,
        events: Events,
    ) -> Self {
        let Sockets { link, answers } = sockets;
        Self {
            me: vm::id(&common.vm.name),
            boot,
            domain: common.vm.domain.clone(),
            settings,
            keys: link.flow_keys(),
            link,
            answers,
            membership,
            metrics,
            events,
            pool: None,
            is_member: false,
            is_leaving: false,
            must_prune: false,
            is_fresh: true,
            peers: Peers::default(),
            table: Table::new(),
            directory: Directory::new(),
            records_barrier: Barrier::new(),
            own_barrier: Barrier::new(),
            outbox: Outbox::new(REPORT_INTERVAL, REPORT_WINDOW),
            increments: HashMap::new(),
            held: VecDeque::new(),
            waiters: VecDeque::new(),
            limit: Limit::new(1, 1),
            draw: Draw::new(SmallRng::seed_from_u64(boot)),
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
        }
    }

    /// Serves what comes next: messages, answers, an update of control, or what is due.
    async fn serve_next(&mut self, session: &mut Session, ticks: &mut Interval) -> Result<()> {
        tokio::select! {
            ready = self.link.readable() => { ready?; self.receive_batch()?; }
            ready = self.answers.readable() => { ready?; self.answer_batch()?; }
            Some(update) = session.update() => {
                if self.membership.update(update, session) {
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

    pub(super) fn hash(&self, flow: &Flow) -> u64 {
        flow.hash(self.keys)
    }

    /// Sends a message to a member; lost if the member is gone.
    pub(super) fn send(&mut self, to: vm::Id, body: Body) {
        let address = self.pool.as_ref().and_then(|pool| pool.member(to)).map(|to| to.address);
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

    pub(super) fn send_to_fabric(&mut self, packet: &[u8]) {
        if !packet.is_empty() && !self.answers.send(packet, self.settings.fabric) {
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

    fn answer_batch(&mut self) -> Result<()> {
        for _ in 0..BATCH {
            let Some((packet, from)) = self.answers.take()? else {
                break;
            };
            if from == self.settings.upstream {
                self.answered(&packet);
            } else {
                self.metrics.count("rejected");
            }
        }
        Ok(())
    }

    fn receive(&mut self, datagram: Datagram, from: SocketAddr) {
        let revision = datagram.revision;
        self.membership.follow(&mut self.link, from, revision);
        match datagram.body {
            Some(Body::Forward(forward)) => self.forwarded(forward, from),
            Some(Body::Offer(offer)) => self.offered(&offer, from),
            Some(Body::Accepted(accepted)) => self.accepted(accepted.flow.as_ref(), from),
            Some(Body::Declined(declined)) => self.declined(&declined, from),
            Some(Body::Unknown(unknown)) => self.disowned(&unknown, from),
            Some(Body::Owner(owner)) => self.let_go(&owner),
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
                self.send_to(from, Body::Pong(Pong { nonce: ping.nonce }));
            }
            Some(Body::Pong(pong)) => self.membership.vouch(from, revision, pong),
            Some(Body::Pull(pull)) => self.membership.serve(&mut self.link, from, pull),
            Some(Body::Page(page)) => {
                if self.membership.receive(&mut self.link, from, page) {
                    self.view_changed();
                }
            }
            Some(Body::Room(_)) => self.room(from),
            None => self.metrics.count("unexpected"),
        }
    }

    /// Takes a caller's packet, as the owner of its flow, as its home, or to pass it on.
    pub(super) fn forwarded(&mut self, forward: Forward, from: SocketAddr) {
        if !self.may_act(Instant::now()) {
            return self.metrics.count("dropped.inactive");
        }
        let Some((packet, _)) = self.checked(&forward.packet) else {
            return;
        };
        let flow = packet.inbound();
        if self.is_own(&flow, &packet) {
            return self.deliver(&flow, &packet, &forward.packet);
        }
        // What is left here is a closed flow whose ends begin a new one, which may go to another
        // upstream: its packets must not be taken for late ones of the closed flow.
        self.forget(&flow);
        let hash = self.hash(&flow);
        let home = self.pool.as_ref().and_then(|pool| pool.home(hash)).map(|home| home.vm);
        if home == Some(self.me) {
            self.home(flow, &packet, forward, from);
        } else if let (Some(home), Some(hops)) = (home, forward.hops.checked_sub(1)) {
            self.hint(&forward, &flow, 0);
            self.send(home, Body::Forward(Forward { hops, ..forward }));
        } else if !self.is_fresh {
            self.send_to(from, Body::Unknown(Unknown { flow: Some(flow.into()) }));
        }
    }

    /// Reads a caller's packet and refuses one of another service.
    pub(super) fn checked(&mut self, bytes: &Bytes) -> Option<(Packet, bool)> {
        let Ok(packet) = Packet::parse(bytes) else {
            self.metrics.count("dropped.malformed");
            return None;
        };
        let view = Arc::clone(self.membership.view());
        let service = view.service(packet.destination, packet.protocol());
        let service = service.filter(|service| service.pool.service == self.settings.service);
        if service.is_none() {
            self.metrics.count("dropped.foreign");
        }
        service.map(|service| (packet, service.is_request))
    }

    /// Tells the entry that took the packet who owns its flow; 0 for nobody it should remember.
    pub(super) fn hint(&mut self, forward: &Forward, flow: &Flow, vm: vm::Id) {
        let Ok(port) = u16::try_from(forward.entry_port) else {
            return;
        };
        if port != 0 {
            let entry = SocketAddr::from((Ipv4Addr::from(forward.entry_address), port));
            self.send_to(entry, Body::Owner(Owner { flow: Some((*flow).into()), vm }));
        }
    }

    /// Asks a member to take a flow.
    pub(super) fn send_offer(&mut self, to: vm::Id, packet: Bytes) {
        self.send(to, Body::Offer(Offer { packet }));
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
        if was_member && view.is_out(&self.domain) {
            self.give_up_all();
        }
        let Some(pool) = self.pool.clone() else {
            return;
        };
        self.limit.declare(pool.cold_slots, pool.slots);
        let former_epoch = former.map_or(0, |former| former.epoch);
        if pool.epoch != former_epoch {
            info!(self.events.logger(), "members changed"; "epoch" => pool.epoch,
                "members" => pool.members.len(), "is_member" => self.is_member);
            self.epoch_changed(&pool);
        }
    }

    fn tick(&mut self) {
        self.flush_increments();
        self.send_reports();
        self.prune();
        if self.may_act(Instant::now()) {
            self.retry_offers();
        }
    }

    fn sweep(&mut self) {
        let now = Instant::now();
        self.exchange_loads(now);
        if self.may_act(now) {
            self.sweep_flows(now);
        }
        self.sweep_records(now);
        self.metrics.gauge("connections", self.table.connections().into());
        self.metrics.gauge("slots", self.table.slots().into());
        self.metrics.gauge("limit", self.limit.current().into());
        self.metrics.gauge("records", self.directory.len() as u64);
        self.metrics.gauge("revision", self.membership.revision());
        let counts = self.metrics.flush();
        if let Some(rejected) = counts.get("rejected") {
            warn!(self.events.logger(), "datagrams of no peer"; "count" => rejected);
        }
        if !counts.is_empty() {
            debug!(self.events.logger(), "counters"; "counts" => ?counts);
        }
    }

    pub(super) fn exchange_loads(&mut self, now: Instant) {
        let Some(pool) = self.pool.clone() else {
            return;
        };
        let load = self.load(now);
        self.peers.note(self.me, load);
        let me = self.me;
        for member in pool.members.iter().filter(|member| member.vm != me) {
            let ping = self.membership.ping(Some(load), now);
            self.send_to(member.address, Body::Ping(ping));
        }
        self.membership.ask_peers(&mut self.link, now);
    }

    fn load(&self, now: Instant) -> Load {
        let room = match &self.pool {
            Some(pool) if self.table.connections() < pool.connections => {
                self.limit.current().saturating_sub(self.table.slots())
            }
            _ => 0,
        };
        Load { weight: self.limit.weight(), room, ejected: self.limit.is_ejected(now) }
    }

    fn usage(&self) -> Usage {
        Usage {
            connections: self.table.connections(),
            slots: self.table.slots(),
            limit: self.limit.current(),
            ejected: self.limit.is_ejected(Instant::now()),
        }
    }
}
