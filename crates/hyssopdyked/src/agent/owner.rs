//! The agent as the owner of its upstream's flows.

use std::net::SocketAddr;
use std::time::{Duration, Instant};

use bytes::Bytes;
use hyssopdyke::connection::{self, Event, Flow, Protocol};
use hyssopdyke::request::{Packet, Reset};
use hyssopdyke::vm;
use hyssopdyke_wire::datagram::{Accepted, Declined, Offer, Owner, Reason, Room, datagram::Body};
use slog::{debug, info, warn};

use super::home::WAIT;
use super::worker::Worker;

/// Time for which a closed flow is remembered, so that its last packets find the upstream.
const LINGER: Duration = Duration::from_secs(5);

/// Time in which an upstream must take a connection.
const OPENING: Duration = Duration::from_secs(1);

/// Declined flows that may wait for room at a time.
const WAITERS: usize = 256;

/// Time between two probes of a silent flow.
const PROBE_INTERVAL: Duration = Duration::from_secs(5);

/// Probes without an answer after which a flow is given up.
const PROBES: u32 = 3;

impl Worker {
    /// Whether a packet belongs to a flow that this agent owns.
    pub(super) fn is_own(&self, flow: &Flow, packet: &Packet) -> bool {
        let Some(connection) = self.table.get(flow) else {
            return false;
        };
        // A new connection between the ends of a closed one is placed anew.
        let reopens = packet
            .segment
            .is_some_and(|segment| segment.opens() && segment.sequence != connection.isn);
        !(connection.is_closed() && reopens)
    }

    /// Hands a caller's packet to the upstream.
    pub(super) fn deliver(&mut self, flow: &Flow, packet: &Packet, bytes: &Bytes) {
        self.table.inbound(flow, packet.segment.as_ref(), Instant::now());
        self.metrics.count("delivered");
        self.send_to_upstream(bytes);
    }

    /// Answers a home that offers a flow.
    pub(super) fn offered(&mut self, offer: &Offer, from: SocketAddr) {
        let Some(home) = self.peers.id(from) else {
            return self.metrics.count("dropped.no_peer");
        };
        let Some((packet, is_request)) = self.checked(&offer.packet) else {
            return;
        };
        let flow = packet.inbound();
        let answer = match self.admit(home, flow, &packet, is_request, &offer.packet) {
            Ok(()) => Body::Accepted(Accepted { flow: Some(flow.into()) }),
            Err(reason) => {
                Body::Declined(Declined { flow: Some(flow.into()), reason: reason as i32 })
            }
        };
        self.send_to(from, answer);
    }

    /// Takes a flow that `home` offers and delivers its first packet, or says why not.
    ///
    /// A declined flow has had no packet delivered, so it may be placed elsewhere.
    pub(super) fn admit(
        &mut self,
        home: vm::Id,
        flow: Flow,
        packet: &Packet,
        is_request: bool,
        bytes: &Bytes,
    ) -> Result<(), Reason> {
        let now = Instant::now();
        // Until the flows of a former process are known, the upstream's load is not.
        if !self.may_act(now) || self.is_fresh {
            return Err(Reason::Inactive);
        }
        if self.is_own(&flow, packet) {
            self.deliver(&flow, packet, bytes);
            return Ok(());
        }
        self.forget(&flow);
        self.check_room(home, &flow, is_request)?;
        let isn = packet.segment.map_or(0, |segment| segment.sequence);
        self.table.insert(flow, connection::State::new(isn, now, is_request));
        debug!(self.events.logger(), "flow admitted"; "flow" => %flow,
            "connections" => self.table.connections(), "slots" => self.table.slots());
        self.metrics.count("admitted");
        self.note_opened(&flow, home, isn);
        self.deliver(&flow, packet, bytes);
        Ok(())
    }

    fn check_room(&mut self, home: vm::Id, flow: &Flow, is_request: bool) -> Result<(), Reason> {
        let hash = self.hash(flow);
        let pool = self.pool.as_ref().ok_or(Reason::Inactive)?;
        if pool.top(hash).0 != Some(home) {
            return Err(Reason::NotHome);
        }
        if self.is_leaving || pool.member(self.me).is_none_or(|member| member.draining) {
            return Err(Reason::Draining);
        }
        let is_ejected = self.limit.is_ejected(Instant::now());
        if is_ejected && !self.peers.takes_ejected(pool) {
            return Err(Reason::Full);
        }
        let is_full = self.table.connections() >= pool.connections
            || (is_request && self.table.slots() >= self.limit.current());
        if !is_full {
            return Ok(());
        }
        if self.waiters.len() == WAITERS {
            self.waiters.pop_front();
        }
        self.waiters.push_back((home, Instant::now()));
        Err(Reason::Full)
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
        let now = Instant::now();
        if !self.may_act(now) {
            return self.metrics.count("dropped.inactive");
        }
        let Ok(packet) = Packet::parse(bytes) else {
            return self.metrics.count("dropped.malformed");
        };
        let flow = packet.outbound();
        let busy = self.table.slots();
        let Some(event) = self.table.outbound(&flow, packet.segment.as_ref(), now) else {
            return self.refuse_answer(&packet);
        };
        match event {
            Some(Event::Answered(age)) => {
                let since = now.checked_sub(age).unwrap_or(now);
                self.limit.answered(since, now, busy);
            }
            Some(Event::Failed) => self.upstream_failed(&flow, now),
            Some(Event::Opened(_)) | None => {}
        }
        self.metrics.count("answered");
        self.send_to_fabric(bytes);
        self.tell_room(now);
    }

    /// Resets a flow that the upstream holds and that nobody else knows of any more.
    fn refuse_answer(&mut self, packet: &Packet) {
        self.metrics.count("dropped.unknown_answer");
        if let Some(reset) = Reset::answer(packet).filter(|_| !self.is_fresh) {
            self.send_to_upstream(&reset.encode());
        }
    }

    fn upstream_failed(&mut self, flow: &Flow, now: Instant) {
        let since = self.table.get(flow).map_or(now, |connection| connection.since);
        let was_ejected = self.limit.is_ejected(now);
        self.limit.failed(since, now);
        self.metrics.count("failed");
        debug!(self.events.logger(), "flow failed at the upstream"; "flow" => %flow,
            "limit" => self.limit.current());
        if !was_ejected && self.limit.is_ejected(now) {
            warn!(self.events.logger(), "upstream ejected"; "limit" => self.limit.current());
            // The other members must not wait for the next exchange to spare the upstream.
            self.exchange_loads(now);
        }
    }

    /// Lets a flow go that another member owns.
    pub(super) fn let_go(&mut self, owner: &Owner) {
        let Ok(flow) = Flow::try_from(owner.flow.as_ref()) else {
            return self.metrics.count("unexpected");
        };
        if owner.vm != self.me && self.table.get(&flow).is_some() {
            warn!(self.events.logger(), "flow has another owner"; "flow" => %flow);
            self.reset_upstream(&flow);
            self.table.remove(&flow);
        }
    }

    /// Gives all flows up, as the agent's failure domain was taken out.
    pub(super) fn give_up_all(&mut self) {
        let flows: Vec<Flow> = self.table.iter().map(|(flow, _)| *flow).collect();
        info!(self.events.logger(), "failure domain is out"; "flows" => flows.len());
        // An agent that learns of it late, after its lease, leaves its upstream alone; callers
        // are outside the domain, and those that only listen learn of the end in no other way.
        let may_send = self.membership.may_act(Instant::now());
        for flow in flows {
            if may_send {
                self.reset_upstream(&flow);
            }
            self.reset_caller(&flow);
            self.table.remove(&flow);
        }
        self.limit.cool(Instant::now());
    }

    /// Closes what is over, probes what is silent, and gives up what does not answer.
    pub(super) fn sweep_flows(&mut self, now: Instant) {
        for flow in self.table.expired(now, LINGER, self.settings.datagram_idle) {
            self.forget(&flow);
        }
        for flow in self.unopened(now) {
            debug!(self.events.logger(), "upstream does not take the flow"; "flow" => %flow);
            self.upstream_failed(&flow, now);
            self.reset_upstream(&flow);
            self.forget(&flow);
        }
        for (flow, probes) in self.table.silent(now, self.settings.probe_after, PROBE_INTERVAL) {
            if probes >= PROBES {
                info!(self.events.logger(), "silent flow given up"; "flow" => %flow);
                self.metrics.count("silent");
                self.give_up(&flow);
            } else {
                self.probe(&flow, now);
            }
        }
        self.verify_adopted(now);
    }

    /// Probes adopted flows, since the upstream may have finished some of them meanwhile.
    pub(super) fn verify_adopted(&mut self, now: Instant) {
        if !self.may_act(now) {
            return;
        }
        for flow in self.table.unverified() {
            self.probe(&flow, now);
        }
    }

    fn probe(&mut self, flow: &Flow, now: Instant) {
        let Some(probe) = self.table.probe(flow, now) else {
            return;
        };
        if let Some(upstream) = probe.upstream {
            self.send_to_upstream(&upstream.encode());
        }
        if let Some(caller) = probe.caller {
            self.send_to_fabric(&caller.encode());
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
                && now.duration_since(connection.since) >= OPENING
        });
        unopened.map(|(flow, _)| *flow).collect()
    }

    /// Resets both ends of a flow and forgets it.
    fn give_up(&mut self, flow: &Flow) {
        self.reset_upstream(flow);
        self.reset_caller(flow);
        self.forget(flow);
    }

    fn reset_caller(&mut self, flow: &Flow) {
        if let Some(reset) = self.table.resets(flow).caller {
            self.send_to_fabric(&reset.encode());
        }
    }

    fn reset_upstream(&mut self, flow: &Flow) {
        if let Some(reset) = self.table.resets(flow).upstream {
            self.send_to_upstream(&reset.encode());
        }
    }

    /// Drops a flow, whose late packets then go to its home.
    pub(super) fn forget(&mut self, flow: &Flow) {
        if let Some(connection) = self.table.remove(flow) {
            self.note_ended(flow, connection.isn);
        }
    }
}
