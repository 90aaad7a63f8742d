//! Owner role of the agent: admits, serves and ends the flows of its upstream.

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
use super::worker::Worker;
use crate::clock;
use crate::log::{routine, unusual};
use crate::node::decode_address;

/// Time for which a closed flow stays in the table, so that its last packets reach the upstream.
const CLOSED_FLOW_RETENTION: Duration = Duration::from_secs(5);

/// Time within which an upstream must accept a TCP connection.
const OPEN_TIMEOUT: Duration = Duration::from_secs(1);

/// Period, in seconds, to which the declared flow rate of a cold upstream refers.
const COLD_RATE_PERIOD_SECONDS: f64 = 1000.0;

/// Time after which an unconfirmed flow is removed, because its caller has abandoned it. Longer
/// than the time for which callers retransmit first packets.
const UNCONFIRMED_FLOW_TIMEOUT: Duration = Duration::from_secs(3);

/// Time after which the home of a declined offer no longer waits for room.
const MAX_HOME_WAIT: Duration = Duration::from_secs(1);

/// Maximum number of declined offers whose homes wait for a free slot.
const MAX_WAITING_HOMES: usize = 256;

/// Interval between probes of a silent flow.
const PROBE_INTERVAL: Duration = Duration::from_secs(5);

/// Number of unanswered probes after which a silent flow is reset.
const MAX_UNANSWERED_PROBES: u32 = 3;

/// Conditions under which a flow is offered.
#[derive(Debug, Clone, Copy)]
pub(super) struct Terms {
    /// Home that offers the flow.
    pub(super) home: vm::Id,
    /// Time for which the flow's first request may wait for a slot.
    pub(super) max_wait: Duration,
    /// Whether the upstream takes the flow although it is ejected.
    pub(super) needs_ejected: bool,
}

impl<C: PacketCodec> Worker<C> {
    /// Returns whether a packet belongs to a flow that this agent owns.
    pub(super) fn is_owned(&self, flow: &Flow, packet: &Packet) -> bool {
        let Some(connection) = self.table.get(flow) else {
            return false;
        };
        if packet.segment.is_some_and(|segment| !connection.accepts(&segment)) {
            return false;
        }
        // The caller acknowledges an upstream, and this one has not answered.
        let is_acknowledging =
            packet.segment.is_some_and(|segment| !segment.syn && segment.acknowledgement.is_some());
        if C::RESOLVES_DUPLICATE_OPENS && is_acknowledging && !connection.is_open() {
            return false;
        }
        // A new connection between the endpoints of a closed one is placed again.
        let is_reopening = packet
            .segment
            .is_some_and(|segment| segment.is_opening() && segment.sequence != connection.isn);
        !(connection.is_closed() && is_reopening)
    }

    /// Delivers a caller's packet to the upstream. Returns whether it has confirmed the flow.
    pub(super) fn deliver(&mut self, flow: &Flow, packet: &Packet, bytes: &Bytes) -> bool {
        let before = self.table.get(flow).map(|state| (state.is_contested(), state.is_confirmed()));
        self.table.inbound(flow, packet.segment.as_ref(), clock::now());
        self.metrics.count("delivered");
        self.send_to_upstream(bytes);
        if let Some((was_contested, false)) = before
            && self.table.get(flow).is_some_and(connection::State::is_confirmed)
        {
            self.handle_confirmation(flow, was_contested);
            return true;
        }
        false
    }

    /// Reports a flow that its caller has just confirmed to the member that keeps its record; at once
    /// if that member has another owner on record.
    fn handle_confirmation(&mut self, flow: &Flow, was_contested: bool) {
        if C::RESOLVES_DUPLICATE_OPENS {
            self.queue_opened(flow, 0);
        }
        if was_contested {
            self.send_confirmation(flow);
        }
    }

    /// Notifies the holder of a flow's record that the caller has confirmed the flow with this
    /// agent.
    fn send_confirmation(&mut self, flow: &Flow) {
        if let Some(holder) = self.holder(flow) {
            let flow = Some((*flow).into());
            self.send(holder, Body::Accepted(Accepted { flow, confirmed: true }));
        }
    }

    /// Handles the offer of a home: admits or declines the flow.
    pub(super) fn handle_offer(&mut self, offer: &Offer, from: SocketAddr) {
        let Some(home) = self.peers.id(from) else {
            return self.metrics.count("dropped.no_peer");
        };
        let Some((packet, route)) = self.parse_routed(&offer.packet) else {
            return;
        };
        let flow = packet.inbound_flow();
        let terms = Terms {
            home,
            max_wait: Duration::from_millis(offer.patience_ms.into()),
            needs_ejected: offer.needs_ejected,
        };
        let answer = match self.admit(terms, flow, &packet, &route, &offer.packet) {
            Ok(()) => {
                let entry = decode_address(offer.entry_address, offer.entry_port);
                self.notify_entry(&flow, entry, false);
                Body::Accepted(Accepted { flow: Some(flow.into()), confirmed: false })
            }
            Err(reason) => {
                let (flow, reason) = (Some(flow.into()), reason as i32);
                let load = Some(self.current_load(clock::now()));
                Body::Declined(Declined { flow, reason, packet: Bytes::new(), load })
            }
        };
        self.send_to(from, answer);
    }

    /// Notifies an entry that this agent has accepted a flow, or that the caller has confirmed it.
    pub(super) fn notify_entry(&mut self, flow: &Flow, entry: Option<SocketAddr>, confirmed: bool) {
        if let Some(entry) = entry {
            let (flow, vm) = (Some((*flow).into()), self.own_id);
            self.send_to(entry, Body::Owner(Owner { flow, vm, waiting: false, confirmed }));
        }
    }

    /// Admits an offered flow and delivers its first packet, or returns the reason for declining
    /// it.
    ///
    /// No packet of a declined flow has been delivered, so the flow may be placed elsewhere.
    pub(super) fn admit(
        &mut self,
        terms: Terms,
        flow: Flow,
        packet: &Packet,
        route: &Route,
        bytes: &Bytes,
    ) -> Result<(), Reason> {
        let now = clock::now();
        // While the flows of the former process are unknown, the upstream's load is unknown too.
        let is_load_known = !self.is_recovering || C::RESOLVES_DUPLICATE_OPENS;
        if !self.may_act(now) || !is_load_known {
            return Err(Reason::Inactive);
        }
        if self.is_owned(&flow, packet) {
            self.deliver(&flow, packet, bytes);
            return Ok(());
        }
        self.end_flow(&flow);
        self.check_admission(terms, &flow, route)?;
        let isn = packet.segment.map_or(0, |segment| segment.sequence);
        self.returned_flows.remove(&flow);
        self.table.insert(flow, connection::State::new(isn, now, route.class));
        routine!(self.events, "flow admitted"; "flow" => %flow,
            "home" => &*self.vm_name(terms.home),
            "connections" => self.table.connections(), "slots" => self.table.slots(),
            "limit" => self.limit.current(),
            "patience_ms" => terms.max_wait.as_millis() as u64);
        self.metrics.count("admitted");
        self.queue_opened(&flow, terms.home);
        if self.holder(&flow).is_some_and(|holder| holder != terms.home) {
            // No other member has a record of the flow yet. It is reported now: if this agent fails
            // before its next tick, the home must not treat the flow as unknown.
            self.flush_pending_records();
            self.send_reports();
        }
        self.opening_flows.push_back((now, flow));
        self.deliver(&flow, packet, bytes);
        Ok(())
    }

    fn check_admission(&mut self, terms: Terms, flow: &Flow, route: &Route) -> Result<(), Reason> {
        let now = clock::now();
        let home = terms.home;
        let hash = self.hash(flow);
        let pool = self.pool.as_ref().ok_or(Reason::Inactive)?;
        if !C::RESOLVES_DUPLICATE_OPENS && pool.top_two(hash).0 != Some(home) {
            return Err(Reason::NotHome);
        }
        let is_drained = pool.member(self.own_id).is_none_or(|member| member.is_draining);
        if self.is_leaving || is_drained || !self.is_serving(now) {
            return Err(Reason::Draining);
        }
        if !route.allows(&self.settings.service) {
            return Err(Reason::Inactive);
        }
        // Homes of earlier versions do not say whether they need ejected upstreams.
        let needs_ejected =
            terms.needs_ejected || self.peers.needs_ejected(pool, &self.settings.service);
        if self.limit.is_ejected(now) && !needs_ejected {
            return Err(Reason::Full);
        }
        let capacity = self.capacity();
        let has_no_slot = match route.class {
            Class::Stream => false,
            Class::Request => self.table.slots() >= self.limit.current(),
            Class::Exchange => expected_wait(&self.current_load(now)) > terms.max_wait,
        };
        let has_room = self.table.connections() < capacity.connections && !has_no_slot;
        if has_room && self.try_take_warmup(&capacity, now) {
            return Ok(());
        }
        // The home of a flow of class exchange asks for a short queue last, and then waits, but only
        // after an outage.
        let may_wait = !terms.max_wait.is_zero() && self.is_after_outage(now);
        if route.class == Class::Exchange && !may_wait {
            return Err(Reason::Full);
        }
        if self.waiting_homes.len() == MAX_WAITING_HOMES {
            self.waiting_homes.pop_front();
        }
        self.waiting_homes.push_back((home, now));
        Err(Reason::Full)
    }

    /// Returns whether the upstream may take another new flow, and counts the flow against the
    /// warm-up rate of a cold upstream.
    fn try_take_warmup(&mut self, capacity: &Capacity, now: Instant) -> bool {
        if capacity.cold_rate == 0 || !self.upstream.is_cold(now) {
            return true;
        }
        self.warmup_limiter.try_take(f64::from(capacity.cold_rate) / COLD_RATE_PERIOD_SECONDS, now)
    }

    /// Notifies a home whose offer was declined that the upstream has room now.
    fn notify_room(&mut self, now: Instant) {
        if self.table.slots() >= self.limit.current() {
            return;
        }
        while let Some((home, since)) = self.waiting_homes.pop_front() {
            if now.duration_since(since) >= MAX_HOME_WAIT {
                continue;
            }
            if home == self.own_id {
                self.offer_waiting(self.own_id);
            } else {
                self.send(home, Body::Room(Room {}));
            }
            return;
        }
    }

    /// Forwards a packet of the upstream to the fabric.
    pub(super) fn handle_answer(&mut self, bytes: &Bytes) {
        let now = clock::now();
        if !self.may_serve_owned(now) {
            return self.metrics.count("dropped.inactive");
        }
        let Ok(packet) = self.codec.parse(bytes) else {
            return self.metrics.count("dropped.malformed");
        };
        if packet.is_returned {
            return self.handle_returned(&packet, bytes);
        }
        let flow = packet.outbound_flow();
        let busy_slots = self.table.slots();
        if self.table.get(&flow).is_none() && !self.claim(&flow, &packet, now) {
            return;
        }
        let event = self.table.outbound(&flow, packet.segment.as_ref(), now).flatten();
        match event {
            Some(Event::Answered(age)) => self.record_answer(&flow, age, busy_slots, now),
            Some(Event::Failed) => self.record_upstream_failure(&flow, now),
            Some(Event::Opened(time)) => self.metrics.observe("opening", time),
            None => {}
        }
        self.metrics.count("answered");
        self.send_to_caller(bytes, flow.caller);
        self.notify_room(now);
    }

    /// Adjusts the limit by an answer that came `age` after its request, while `busy_slots` slots
    /// were taken.
    fn record_answer(&mut self, flow: &Flow, age: Duration, busy_slots: u32, now: Instant) {
        let since = now.checked_sub(age).unwrap_or(now);
        self.limit.record_answer(since, now, busy_slots);
        self.metrics.observe("answer", age);
        let route = self.membership.view().route(flow.service, flow.protocol);
        let objective = route.map_or(Duration::ZERO, |route| route.objective);
        if !objective.is_zero() && age > objective {
            self.metrics.count("late");
            unusual!(self.events, "answer late"; "flow" => %flow,
                "took_ms" => age.as_millis() as u64, "objective_ms" => objective.as_millis() as u64,
                "slots" => busy_slots, "limit" => self.limit.current());
        }
    }

    /// Adopts a flow that the upstream holds but this agent has no entry for, or ends it at the
    /// upstream.
    ///
    /// Returns whether the packet is to be forwarded to the caller.
    fn claim(&mut self, flow: &Flow, packet: &Packet, now: Instant) -> bool {
        let reset = Reset::reply_to(packet).map(|reset| self.codec.encode_upstream_reset(&reset));
        match reset {
            Some(Some(reset)) => {
                self.metrics.count("dropped.unknown_answer");
                if !self.is_recovering {
                    self.send_to_upstream(&reset);
                }
                false
            }
            // The upstream opens a flow that has been placed at another upstream in the meantime.
            Some(None) if packet.segment.is_some_and(|segment| segment.syn) => {
                self.metrics.count("dropped.unknown_answer");
                false
            }
            // An upstream that has reported its end closes its last flows, which are in no table
            // any more.
            Some(None) if self.upstream.is_gone() => true,
            Some(None) => {
                unusual!(self.events, "flow claimed from its upstream"; "flow" => %flow);
                self.metrics.count("claimed");
                self.table.insert(*flow, connection::State::adopted(0, now, Class::Exchange));
                self.queue_opened(flow, 0);
                true
            }
            // The upstream resets a flow that this agent has no entry for.
            None => C::RESOLVES_DUPLICATE_OPENS,
        }
    }

    /// Handles a caller's packet that the upstream returned.
    ///
    /// A returned first packet has not been processed, so its flow may be placed elsewhere. Any
    /// other returned packet shows that the upstream does not hold the flow.
    fn handle_returned(&mut self, packet: &Packet, bytes: &Bytes) {
        let flow = packet.inbound_flow();
        self.metrics.count("returned");
        if packet.segment.is_some_and(|segment| segment.is_opening()) {
            return self.return_opening(flow, &self.codec.decode_returned(bytes));
        }
        self.record_returned(flow);
        if let Some((home, _)) = self.upstream_searches.remove(&flow) {
            return self.report_missed(flow, home, &self.codec.decode_returned(bytes));
        }
        if let Some(state) = self.table.remove(&flow) {
            unusual!(self.events, "upstream does not hold the flow"; "flow" => %flow);
            self.disown(&flow, state.isn);
            self.return_to_home(flow, packet, self.codec.decode_returned(bytes));
            if state.is_confirmed() && !state.is_unverified() && !state.is_closed() {
                let now = clock::now();
                let change = self.upstream.record_lost_flow(now);
                self.handle_upstream_change(change, now);
            }
        }
    }

    /// Withdraws the record of a flow that the upstream does not hold from all homes, where copies of
    /// it may be, so that neither this process nor the next one takes the flow over again.
    fn disown(&mut self, flow: &Flow, isn: u32) {
        if self.is_recovering {
            self.disowned.insert(*flow);
        }
        self.queue_ended_everywhere(flow, isn);
    }

    /// Sends the packet of a flow that the upstream does not hold to the flow's home, since the
    /// caller may be using another upstream.
    fn return_to_home(&mut self, flow: Flow, packet: &Packet, bytes: Bytes) {
        let forward = Forward { packet: bytes, ..Forward::default() };
        match self.home_of(&flow) {
            Some(home) if home != self.own_id => {
                let unknown = Unknown { flow: Some(flow.into()), ..Unknown::default() };
                self.send(home, Body::Unknown(unknown));
                self.send(home, Body::Forward(forward));
            }
            Some(home) => {
                self.directory.remove_owned(&flow, home, None);
                self.handle_as_home(flow, packet, forward, self.settings.answers);
            }
            None => {}
        }
    }

    /// Returns a flow that the upstream did not accept to its home.
    fn return_opening(&mut self, flow: Flow, bytes: &Bytes) {
        unusual!(self.events, "upstream returned the flow"; "flow" => %flow,
            "connections" => self.table.connections(), "slots" => self.table.slots());
        self.table.remove(&flow);
        let Some(home) = self.home_of(&flow) else { return };
        if home == self.own_id {
            return self.place_returned(flow, self.own_id, bytes.clone());
        }
        let (reason, flow) = (Reason::Returned as i32, Some(flow.into()));
        self.send(
            home,
            Body::Declined(Declined { flow, reason, packet: bytes.clone(), load: None }),
        );
    }

    /// Sends a reset to the caller of a packet whose flow does not exist.
    pub(super) fn send_reset(&mut self, packet: &Packet) {
        if let Some(reset) = Reset::reply_to(packet) {
            let bytes = self.codec.encode_caller_reset(&reset);
            self.send_to_caller(&bytes, packet.source);
        }
    }

    /// Handles a notice of a flow's owner: contests or drops the flow if another member owns it,
    /// unless the caller has confirmed it here.
    pub(super) fn handle_owner(&mut self, owner: &Owner, from: SocketAddr) {
        let Ok(flow) = Flow::try_from(owner.flow.as_ref()) else {
            return self.metrics.count("unexpected");
        };
        let is_confirmed = self.table.get(&flow).is_some_and(connection::State::is_confirmed);
        if C::RESOLVES_DUPLICATE_OPENS && is_confirmed {
            let flow = Some(flow.into());
            self.send_to(from, Body::Accepted(Accepted { flow, confirmed: true }));
        } else if C::RESOLVES_DUPLICATE_OPENS && owner.vm != self.own_id {
            unusual!(self.events, "flow has another owner"; "flow" => %flow,
                "owner" => &*self.vm_name(owner.vm));
            self.metrics.count("contested");
            self.table.mark_contested(&flow);
        } else if owner.vm != self.own_id && self.table.get(&flow).is_some() {
            unusual!(self.events, "flow released to another owner"; "flow" => %flow,
                "owner" => &*self.vm_name(owner.vm));
            self.reset_upstream(&flow);
            self.table.remove(&flow);
        }
    }

    /// Handles the removal of the agent's failure domain from service.
    ///
    /// Resets all flows if the packet codec can reset open flows. Otherwise they are served until
    /// they end.
    pub(super) fn handle_domain_out(&mut self) {
        let flows: Vec<Flow> = self.table.iter().map(|(flow, _)| *flow).collect();
        info!(self.events.logger(), "failure domain is out"; "flows" => flows.len());
        if !C::CAN_RESET_OPEN_FLOWS {
            return;
        }
        // An agent that applies the change late, after the end of its lease, sends nothing to its
        // upstream. It still resets the callers: they are outside the domain, and a caller that
        // only receives would not notice the end of its flow otherwise.
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

    /// Removes expired flows, probes silent flows, and resets those that do not answer.
    pub(super) fn sweep_flows(&mut self, now: Instant) {
        for flow in
            self.table.expired_flows(now, CLOSED_FLOW_RETENTION, self.settings.datagram_idle)
        {
            self.end_flow(&flow);
        }
        for flow in self.unopened_flows(now) {
            unusual!(self.events, "upstream did not accept the flow in time"; "flow" => %flow);
            self.record_upstream_failure(&flow, now);
            self.reset_upstream(&flow);
            self.end_flow(&flow);
        }
        if C::RESOLVES_DUPLICATE_OPENS {
            for flow in self.table.unconfirmed_flows(now, UNCONFIRMED_FLOW_TIMEOUT) {
                self.end_flow(&flow);
            }
            return self.sweep_idle(now);
        }
        for (flow, probes) in
            self.table.probe_candidates(now, self.settings.probe_after, PROBE_INTERVAL)
        {
            if probes >= MAX_UNANSWERED_PROBES {
                unusual!(self.events, "silent flow given up"; "flow" => %flow,
                    "probes" => probes);
                self.metrics.count("silent");
                self.reset_both_ends(&flow);
            } else {
                self.probe(&flow, now);
            }
        }
        self.verify_adopted(now);
    }

    /// Removes flows that were silent for longer than the declared idle timeout.
    fn sweep_idle(&mut self, now: Instant) {
        let Some(idle) = self.membership.view().idle_timeout() else { return };
        for flow in self.table.idle_flows(now, idle) {
            routine!(self.events, "idle flow removed"; "flow" => %flow,
                "idle_ms" => idle.as_millis() as u64);
            self.end_flow(&flow);
        }
    }

    /// Probes adopted flows, since the upstream may have ended some of them in the meantime.
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
        if let Some(probe) = probe.upstream.and_then(|probe| self.codec.encode_probe(&probe)) {
            self.send_to_upstream(&probe);
        }
        if let Some(probe) = probe.caller.and_then(|probe| self.codec.encode_probe(&probe)) {
            self.send_to_caller(&probe, flow.caller);
        }
    }

    /// Returns the TCP flows whose first packet the upstream has not answered in time.
    ///
    /// Their callers have seen no answer, and will see none once the flow is removed, so their next
    /// SYN may be placed elsewhere.
    fn unopened_flows(&self, now: Instant) -> Vec<Flow> {
        let unopened = self.table.iter().filter(|(flow, connection)| {
            flow.protocol == Protocol::Tcp
                && !connection.is_open()
                && !connection.is_closed()
                && now.duration_since(connection.admitted_at) >= OPEN_TIMEOUT
        });
        unopened.map(|(flow, _)| *flow).collect()
    }

    /// Resets both ends of a flow and removes it.
    fn reset_both_ends(&mut self, flow: &Flow) {
        self.reset_upstream(flow);
        self.reset_caller(flow);
        self.end_flow(flow);
    }

    pub(super) fn reset_caller(&mut self, flow: &Flow) {
        if let Some(reset) = self.table.resets(flow).caller {
            let bytes = self.codec.encode_caller_reset(&reset);
            self.send_to_caller(&bytes, flow.caller);
        }
    }

    fn reset_upstream(&mut self, flow: &Flow) {
        let reset = self.table.resets(flow).upstream;
        if let Some(reset) = reset.and_then(|reset| self.codec.encode_upstream_reset(&reset)) {
            self.send_to_upstream(&reset);
        }
    }

    /// Removes a flow and queues its end for a report. Late packets then go to the flow's home.
    pub(super) fn end_flow(&mut self, flow: &Flow) {
        if let Some(connection) = self.table.remove(flow) {
            self.queue_ended(flow, connection.isn);
        }
    }
}
