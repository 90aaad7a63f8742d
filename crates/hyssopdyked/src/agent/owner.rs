//! The agent as the owner of its upstream's flows.

use std::net::SocketAddr;
use std::time::{Duration, Instant};

use bytes::Bytes;
use hyssopdyke::connection::{self, Class, Event, Flow, Protocol};
use hyssopdyke::request::{Packet, PacketCodec, Reset};
use hyssopdyke::version::{Capacity, Route};
use hyssopdyke::vm;
use hyssopdyke_wire::datagram::{
    Accepted, Declined, Forward, Offer, Owner, Reason, Room, Unknown, datagram::Body,
};
use slog::info;

use super::peers::expected_wait;
use super::placement::WAIT;
use super::worker::Worker;
use crate::clock;
use crate::log::{routine, unusual};
use crate::node::decode_address;

/// Time for which a closed flow is remembered, so that its last packets find the upstream.
const LINGER: Duration = Duration::from_secs(5);

/// Time in which an upstream must take a connection.
const OPENING: Duration = Duration::from_secs(1);

/// Seconds for which the rate of a cold upstream is declared.
const PER_MILLE_SECONDS: f64 = 1000.0;

/// Time after which a caller that has not gone on with a flow has given it up: longer than callers
/// repeat first packets.
const UNCONFIRMED: Duration = Duration::from_secs(3);

/// Declined flows that may wait for room at a time.
const WAITERS: usize = 256;

/// Time between two probes of a silent flow.
const PROBE_INTERVAL: Duration = Duration::from_secs(5);

/// Probes without an answer after which a flow is given up.
const PROBES: u32 = 3;

/// On what terms a flow is offered.
#[derive(Debug, Clone, Copy)]
pub(super) struct Terms {
    /// Who offers it.
    pub(super) home: vm::Id,
    /// Time that its first request may wait for a slot.
    pub(super) patience: Duration,
}

impl<B: PacketCodec> Worker<B> {
    /// Whether a packet belongs to a flow that this agent owns.
    pub(super) fn is_own(&self, flow: &Flow, packet: &Packet) -> bool {
        let Some(connection) = self.table.get(flow) else {
            return false;
        };
        if packet.segment.is_some_and(|segment| !connection.accepts(&segment)) {
            return false;
        }
        // A new connection between the ends of a closed one is placed anew.
        let reopens = packet
            .segment
            .is_some_and(|segment| segment.is_opening() && segment.sequence != connection.isn);
        !(connection.is_closed() && reopens)
    }

    /// Hands a caller's packet to the upstream.
    pub(super) fn deliver(&mut self, flow: &Flow, packet: &Packet, bytes: &Bytes) {
        let was_contested = self.is_contested(flow);
        self.table.inbound(flow, packet.segment.as_ref(), clock::now());
        self.metrics.count("delivered");
        self.send_to_upstream(bytes);
        if was_contested && !self.is_contested(flow) {
            self.insist(flow);
        }
    }

    /// Whether another upstream is taken for the owner of a flow that may be this agent's.
    fn is_contested(&self, flow: &Flow) -> bool {
        self.table.get(flow).is_some_and(connection::State::is_contested)
    }

    /// Tells the member that keeps a flow's record that its caller goes on here.
    fn insist(&mut self, flow: &Flow) {
        if let Some(holder) = self.holder(flow) {
            let flow = Some((*flow).into());
            self.send(holder, Body::Accepted(Accepted { flow, confirmed: true }));
        }
    }

    /// Answers a home that offers a flow.
    pub(super) fn offered(&mut self, offer: &Offer, from: SocketAddr) {
        let Some(home) = self.peers.id(from) else {
            return self.metrics.count("dropped.no_peer");
        };
        let Some((packet, route)) = self.checked(&offer.packet) else {
            return;
        };
        let flow = packet.inbound_flow();
        let terms = Terms { home, patience: Duration::from_millis(offer.patience_ms.into()) };
        let answer = match self.admit(terms, flow, &packet, &route, &offer.packet) {
            Ok(()) => {
                let entry = decode_address(offer.entry_address, offer.entry_port);
                self.tell_entry(&flow, entry);
                Body::Accepted(Accepted { flow: Some(flow.into()), confirmed: false })
            }
            Err(reason) => {
                let (flow, reason) = (Some(flow.into()), reason as i32);
                let load = Some(self.load(clock::now()));
                Body::Declined(Declined { flow, reason, packet: Bytes::new(), load })
            }
        };
        self.send_to(from, answer);
    }

    /// Tells an entry that this agent owns a flow.
    pub(super) fn tell_entry(&mut self, flow: &Flow, entry: Option<SocketAddr>) {
        if let Some(entry) = entry {
            let (flow, vm) = (Some((*flow).into()), self.me);
            self.send_to(entry, Body::Owner(Owner { flow, vm }));
        }
    }

    /// Takes a flow that a home offers and delivers its first packet, or says why not.
    ///
    /// A declined flow has had no packet delivered, so it may be placed elsewhere.
    pub(super) fn admit(
        &mut self,
        terms: Terms,
        flow: Flow,
        packet: &Packet,
        route: &Route,
        bytes: &Bytes,
    ) -> Result<(), Reason> {
        let now = clock::now();
        // Until the flows of a former process are known, the upstream's load is not.
        let knows_load = !self.is_fresh || B::RESOLVES_DUPLICATE_OPENS;
        if !self.may_act(now) || !knows_load {
            return Err(Reason::Inactive);
        }
        if self.is_own(&flow, packet) {
            self.deliver(&flow, packet, bytes);
            return Ok(());
        }
        self.forget(&flow);
        self.check_room(terms, &flow, route)?;
        let isn = packet.segment.map_or(0, |segment| segment.sequence);
        self.table.insert(flow, connection::State::new(isn, now, route.class));
        routine!(self.events, "flow admitted"; "flow" => %flow, "home" => &*self.name(terms.home),
            "connections" => self.table.connections(), "slots" => self.table.slots(),
            "limit" => self.limit.current(),
            "patience_ms" => terms.patience.as_millis() as u64);
        self.metrics.count("admitted");
        self.note_opened(&flow, terms.home, isn);
        if self.holder(&flow).is_some_and(|holder| holder != terms.home) {
            // Nobody else knows of the flow yet: this agent may be lost before its next tick, and
            // the home must not take the flow for an unknown one.
            self.flush_increments();
            self.send_reports();
        }
        self.opening.push_back((now, flow));
        self.deliver(&flow, packet, bytes);
        Ok(())
    }

    fn check_room(&mut self, terms: Terms, flow: &Flow, route: &Route) -> Result<(), Reason> {
        let now = clock::now();
        let home = terms.home;
        let hash = self.hash(flow);
        let pool = self.pool.as_ref().ok_or(Reason::Inactive)?;
        if !B::RESOLVES_DUPLICATE_OPENS && pool.top_two(hash).0 != Some(home) {
            return Err(Reason::NotHome);
        }
        let is_drained = pool.member(self.me).is_none_or(|member| member.is_draining);
        if self.is_leaving || is_drained || !self.is_serving(now) {
            return Err(Reason::Draining);
        }
        if !route.allows(&self.settings.service) {
            return Err(Reason::Inactive);
        }
        let is_ejected = self.limit.is_ejected(now);
        if is_ejected && !self.peers.takes_ejected(pool, &self.settings.service) {
            return Err(Reason::Full);
        }
        let bounds = self.bounds();
        let has_no_slot = match route.class {
            Class::Stream => false,
            Class::Request => self.table.slots() >= self.limit.current(),
            Class::Exchange => expected_wait(&self.load(now)) > terms.patience,
        };
        let has_room = self.table.connections() < bounds.connections && !has_no_slot;
        if has_room && self.bears_cold(&bounds, now) {
            return Ok(());
        }
        if route.class == Class::Exchange {
            return Err(Reason::Full);
        }
        if self.waiters.len() == WAITERS {
            self.waiters.pop_front();
        }
        self.waiters.push_back((home, now));
        Err(Reason::Full)
    }

    /// Whether the upstream bears another new flow, if it is cold.
    fn bears_cold(&mut self, bounds: &Capacity, now: Instant) -> bool {
        if bounds.cold_rate == 0 || !self.upstream.is_cold(now) {
            return true;
        }
        self.cold.try_take(f64::from(bounds.cold_rate) / PER_MILLE_SECONDS, now)
    }

    /// Tells a home whose flow was declined that there is room now.
    fn tell_room(&mut self, now: Instant) {
        if self.table.slots() >= self.limit.current() {
            return;
        }
        while let Some((home, since)) = self.waiters.pop_front() {
            if now.duration_since(since) >= WAIT {
                continue;
            }
            if home == self.me {
                self.offer_waiting(self.me);
            } else {
                self.send(home, Body::Room(Room {}));
            }
            return;
        }
    }

    /// Passes an answer of the upstream on to the fabric.
    pub(super) fn answered(&mut self, bytes: &Bytes) {
        let now = clock::now();
        if !self.may_serve_own(now) {
            return self.metrics.count("dropped.inactive");
        }
        let Ok(packet) = self.border.parse(bytes) else {
            return self.metrics.count("dropped.malformed");
        };
        if packet.is_returned {
            return self.returned(&packet, bytes);
        }
        let flow = packet.outbound_flow();
        let busy = self.table.slots();
        if self.table.get(&flow).is_none() && !self.claim(&flow, &packet, now) {
            return;
        }
        let event = self.table.outbound(&flow, packet.segment.as_ref(), now).flatten();
        match event {
            Some(Event::Answered(age)) => self.note_answer(&flow, age, busy, now),
            Some(Event::Failed) => self.upstream_failed(&flow, now),
            Some(Event::Opened(time)) => self.metrics.observe("opening", time),
            None => {}
        }
        self.metrics.count("answered");
        self.send_to_caller(bytes, flow.caller);
        self.tell_room(now);
    }

    /// Learns from an answer that came `age` after it was asked for, with `busy` slots taken.
    fn note_answer(&mut self, flow: &Flow, age: Duration, busy: u32, now: Instant) {
        let since = now.checked_sub(age).unwrap_or(now);
        self.limit.record_answer(since, now, busy);
        self.metrics.observe("answer", age);
        let route = self.membership.view().route(flow.service, flow.protocol);
        let objective = route.map_or(Duration::ZERO, |route| route.objective);
        if !objective.is_zero() && age > objective {
            self.metrics.count("late");
            unusual!(self.events, "answer late"; "flow" => %flow,
                "took_ms" => age.as_millis() as u64, "objective_ms" => objective.as_millis() as u64,
                "slots" => busy, "limit" => self.limit.current());
        }
    }

    /// Takes on a flow that the upstream holds and this agent does not know, or ends it at the
    /// upstream; true if the packet is for the caller.
    fn claim(&mut self, flow: &Flow, packet: &Packet, now: Instant) -> bool {
        let reset = Reset::reply_to(packet).map(|reset| self.border.encode_upstream_reset(&reset));
        match reset {
            Some(Some(reset)) => {
                self.metrics.count("dropped.unknown_answer");
                if !self.is_fresh {
                    self.send_to_upstream(&reset);
                }
                false
            }
            // The upstream opens a flow that was given to another one meanwhile.
            Some(None) if packet.segment.is_some_and(|segment| segment.syn) => {
                self.metrics.count("dropped.unknown_answer");
                false
            }
            // An upstream that has said that it ended closes the last flows, which nobody keeps.
            Some(None) if self.upstream.is_gone() => true,
            Some(None) => {
                unusual!(self.events, "flow taken on from its upstream"; "flow" => %flow);
                self.metrics.count("claimed");
                self.table.insert(*flow, connection::State::adopted(0, now, Class::Exchange));
                self.note_opened(flow, 0, 0);
                true
            }
            // The upstream resets a flow that this agent does not know.
            None => B::RESOLVES_DUPLICATE_OPENS,
        }
    }

    /// Takes a caller's packet that the upstream gave back.
    ///
    /// A first packet has run nothing, so that its flow may be placed elsewhere. The upstream does
    /// not hold the flow of any other packet.
    fn returned(&mut self, packet: &Packet, bytes: &Bytes) {
        let flow = packet.inbound_flow();
        self.metrics.count("returned");
        if packet.segment.is_some_and(|segment| segment.is_opening()) {
            return self.place_elsewhere(flow, &self.border.decode_returned(bytes));
        }
        if let Some((home, _)) = self.searched.remove(&flow) {
            return self.tell_missed(flow, home, &self.border.decode_returned(bytes));
        }
        if self.table.remove(&flow).is_some() {
            unusual!(self.events, "upstream does not hold the flow"; "flow" => %flow);
            self.give_back(flow, packet, self.border.decode_returned(bytes));
        }
    }

    /// Gives the packet of a flow that the upstream does not hold to the flow's home: its caller may
    /// go on with another upstream.
    fn give_back(&mut self, flow: Flow, packet: &Packet, bytes: Bytes) {
        let forward = Forward { packet: bytes, ..Forward::default() };
        match self.home_of(&flow) {
            Some(home) if home != self.me => {
                let unknown = Unknown { flow: Some(flow.into()), ..Unknown::default() };
                self.send(home, Body::Unknown(unknown));
                self.send(home, Body::Forward(forward));
            }
            Some(home) => {
                self.directory.remove_owned(&flow, home, None);
                self.home(flow, packet, forward, self.settings.answers);
            }
            None => {}
        }
    }

    /// Gives a flow that the upstream has not taken back to its home.
    fn place_elsewhere(&mut self, flow: Flow, bytes: &Bytes) {
        unusual!(self.events, "upstream gave the flow back"; "flow" => %flow,
            "connections" => self.table.connections(), "slots" => self.table.slots());
        self.table.remove(&flow);
        let Some(home) = self.home_of(&flow) else { return };
        if home == self.me {
            return self.place_again(flow, self.me, bytes.clone());
        }
        let (reason, flow) = (Reason::Returned as i32, Some(flow.into()));
        self.send(
            home,
            Body::Declined(Declined { flow, reason, packet: bytes.clone(), load: None }),
        );
    }

    /// Resets the caller of a packet whose flow does not exist.
    pub(super) fn answer_by_reset(&mut self, packet: &Packet) {
        if let Some(reset) = Reset::reply_to(packet) {
            let bytes = self.border.encode_caller_reset(&reset);
            self.send_to_caller(&bytes, packet.source);
        }
    }

    /// Lets a flow go that another member owns, unless its caller goes on here.
    pub(super) fn let_go(&mut self, owner: &Owner, from: SocketAddr) {
        let Ok(flow) = Flow::try_from(owner.flow.as_ref()) else {
            return self.metrics.count("unexpected");
        };
        let is_confirmed = self.table.get(&flow).is_some_and(connection::State::is_confirmed);
        if B::RESOLVES_DUPLICATE_OPENS && is_confirmed {
            let flow = Some(flow.into());
            self.send_to(from, Body::Accepted(Accepted { flow, confirmed: true }));
        } else if B::RESOLVES_DUPLICATE_OPENS && owner.vm != self.me {
            unusual!(self.events, "flow has another owner"; "flow" => %flow,
                "owner" => &*self.name(owner.vm));
            self.metrics.count("contested");
            self.table.mark_contested(&flow);
        } else if owner.vm != self.me && self.table.get(&flow).is_some() {
            unusual!(self.events, "flow let go"; "flow" => %flow,
                "owner" => &*self.name(owner.vm));
            self.reset_upstream(&flow);
            self.table.remove(&flow);
        }
    }

    /// Gives all flows up, as the agent's failure domain was taken out, if their callers can be
    /// told; otherwise they are served until they end.
    pub(super) fn taken_out(&mut self) {
        let flows: Vec<Flow> = self.table.iter().map(|(flow, _)| *flow).collect();
        info!(self.events.logger(), "failure domain is out"; "flows" => flows.len());
        if !B::CAN_RESET_OPEN_FLOWS {
            return;
        }
        // An agent that learns of it late, after its lease, leaves its upstream alone; callers
        // are outside the domain, and those that only listen learn of the end in no other way.
        let may_send = self.membership.was_active();
        for flow in flows {
            if may_send {
                self.reset_upstream(&flow);
            }
            self.reset_caller(&flow);
            self.table.remove(&flow);
        }
        self.limit.reset_to_cold(clock::now());
    }

    /// Closes what is over, probes what is silent, and gives up what does not answer.
    pub(super) fn sweep_flows(&mut self, now: Instant) {
        for flow in self.table.expired_flows(now, LINGER, self.settings.datagram_idle) {
            self.forget(&flow);
        }
        for flow in self.unopened(now) {
            unusual!(self.events, "upstream does not take the flow"; "flow" => %flow);
            self.upstream_failed(&flow, now);
            self.reset_upstream(&flow);
            self.forget(&flow);
        }
        if B::RESOLVES_DUPLICATE_OPENS {
            for flow in self.table.unconfirmed_flows(now, UNCONFIRMED) {
                self.forget(&flow);
            }
            return self.sweep_idle(now);
        }
        for (flow, probes) in
            self.table.probe_candidates(now, self.settings.probe_after, PROBE_INTERVAL)
        {
            if probes >= PROBES {
                unusual!(self.events, "silent flow given up"; "flow" => %flow,
                    "probes" => probes);
                self.metrics.count("silent");
                self.give_up(&flow);
            } else {
                self.probe(&flow, now);
            }
        }
        self.verify_adopted(now);
    }

    /// Forgets flows that were silent for longer than is declared.
    fn sweep_idle(&mut self, now: Instant) {
        let Some(idle) = self.membership.view().idle_timeout() else { return };
        for flow in self.table.idle_flows(now, idle) {
            routine!(self.events, "idle flow forgotten"; "flow" => %flow,
                "idle_ms" => idle.as_millis() as u64);
            self.forget(&flow);
        }
    }

    /// Probes adopted flows, since the upstream may have finished some of them meanwhile.
    pub(super) fn verify_adopted(&mut self, now: Instant) {
        if !self.may_act(now) {
            return;
        }
        for flow in self.table.unverified_flows() {
            self.probe(&flow, now);
        }
    }

    fn probe(&mut self, flow: &Flow, now: Instant) {
        let Some(probe) = self.table.probe(flow, now) else {
            return;
        };
        if let Some(probe) = probe.upstream.and_then(|probe| self.border.encode_probe(&probe)) {
            self.send_to_upstream(&probe);
        }
        if let Some(probe) = probe.caller.and_then(|probe| self.border.encode_probe(&probe)) {
            self.send_to_caller(&probe, flow.caller);
        }
    }

    /// TCP flows whose upstream has not answered the first packet in time.
    ///
    /// Their callers have seen no answer, and will see none once the flow is forgotten, so that
    /// the next SYN may be placed elsewhere.
    fn unopened(&self, now: Instant) -> Vec<Flow> {
        let unopened = self.table.iter().filter(|(flow, connection)| {
            flow.protocol == Protocol::Tcp
                && !connection.is_open()
                && !connection.is_closed()
                && now.duration_since(connection.admitted_at) >= OPENING
        });
        unopened.map(|(flow, _)| *flow).collect()
    }

    /// Resets both ends of a flow and forgets it.
    fn give_up(&mut self, flow: &Flow) {
        self.reset_upstream(flow);
        self.reset_caller(flow);
        self.forget(flow);
    }

    pub(super) fn reset_caller(&mut self, flow: &Flow) {
        if let Some(reset) = self.table.resets(flow).caller {
            let bytes = self.border.encode_caller_reset(&reset);
            self.send_to_caller(&bytes, flow.caller);
        }
    }

    fn reset_upstream(&mut self, flow: &Flow) {
        let reset = self.table.resets(flow).upstream;
        if let Some(reset) = reset.and_then(|reset| self.border.encode_upstream_reset(&reset)) {
            self.send_to_upstream(&reset);
        }
    }

    /// Drops a flow, whose late packets then go to its home.
    pub(super) fn forget(&mut self, flow: &Flow) {
        if let Some(connection) = self.table.remove(flow) {
            self.note_ended(flow, connection.isn);
        }
    }
}
