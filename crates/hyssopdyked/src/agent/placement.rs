//! Placement of new flows by their home: selects the members to offer a flow to and handles their
//! answers.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use hyssopdyke::connection::{self, Class, Flow, Protocol, Record, Round};
use hyssopdyke::request::{Candidate, PacketCodec};
use hyssopdyke::version::Route;
use hyssopdyke::vm;
use hyssopdyke_wire::datagram::{self, Accepted, Declined, Owner, Reason, datagram::Body};

use super::owner::Terms;
use super::waiting::is_expired;
use super::worker::Worker;
use crate::clock;
use crate::log::{routine, unusual};
use crate::node::encode_address;

/// Number of members that are offered a flow in turn before it waits for room.
const FIRST_ROUND_OFFERS: usize = 4;

/// Number of members that are offered a flow in each further round.
const LATER_ROUND_OFFERS: usize = 2;

/// Share of the latency objective for which a request may wait for a slot. The rest is for
/// processing and network transit. A request that would wait longer is refused, so that it takes no
/// time from requests that can be answered within the objective.
const MAX_WAIT_SHARE: f64 = 0.5;

/// Time for which a request that is late already may wait at an upstream. It waits at its home
/// instead, so that it does not delay requests that can be on time.
const LATE_MAX_WAIT: Duration = Duration::from_millis(1);

/// Number of retries of an offer, whose answer may have been lost, before another member is asked.
/// Applies only where several members may be asked.
const MAX_OFFER_RETRIES: u32 = 1;

/// Interval between offers of the same flow.
const OFFER_RETRY_INTERVAL: Duration = Duration::from_millis(50);

impl<C: PacketCodec> Worker<C> {
    /// Starts the placement of a new flow, whose packet was `held` on its way.
    pub(super) fn place(
        &mut self,
        flow: Flow,
        packet: Bytes,
        entry: Option<SocketAddr>,
        held: Duration,
    ) {
        let view = Arc::clone(self.membership.view());
        let Some(route) = view.route(flow.service, flow.protocol) else { return };
        let Some(selected) = route.draw_service(rand::random()).map(Box::<str>::from) else {
            return;
        };
        let copies = self.codec.parse(&packet).map_or(0, |packet| packet.earlier_copies);
        let age_at_arrival = self.codec.copy_age(copies) + held;
        let offer = connection::Offer::new(packet, selected, FIRST_ROUND_OFFERS, clock::now());
        let offer = connection::Offer { entry, age_at_arrival, ..offer };
        let is_expired = is_expired(&offer, route, clock::now());
        self.directory.insert_offer(flow, offer);
        if is_expired {
            // The caller no longer waits for the answer to this packet.
            return self.refuse_flow(flow);
        }
        self.metrics.count("placed");
        self.offer_to_next(flow);
    }

    /// Places a flow that an upstream returned at another upstream.
    pub(super) fn place_returned(&mut self, flow: Flow, former: vm::Id, packet: Bytes) {
        self.directory.remove_owned(&flow, former, None);
        if self.directory.get(&flow).is_none() {
            self.place(flow, packet, None, Duration::ZERO);
        }
        if let Some(offer) = self.directory.offer_mut(&flow)
            && !offer.declined.contains(&former)
        {
            offer.declined.push(former);
        }
    }

    /// Offers a new flow between the endpoints of a former one to the former owner first, which can
    /// determine whether the former flow has ended.
    pub(super) fn offer_to_former_owner(
        &mut self,
        flow: Flow,
        owner: vm::Id,
        packet: Bytes,
        entry: Option<SocketAddr>,
    ) {
        let view = Arc::clone(self.membership.view());
        let Some(route) = view.route(flow.service, flow.protocol) else { return };
        let Some(service) = route.draw_service(rand::random()).map(Into::into) else { return };
        let offer = connection::Offer::new(packet, service, FIRST_ROUND_OFFERS, clock::now());
        self.directory
            .insert_offer(flow, connection::Offer { candidate: Some(owner), entry, ..offer });
        self.send_offer(flow, route);
    }

    /// Offers a flow to the next candidate. If none is left, lets the flow wait or refuses it.
    fn offer_to_next(&mut self, flow: Flow) {
        let view = Arc::clone(self.membership.view());
        let Some(route) = view.route(flow.service, flow.protocol) else {
            return self.forget_unrouted(&flow);
        };
        loop {
            let Some(chosen) = self.next_member(flow, route) else {
                return self.wait_or_refuse(flow, route);
            };
            let Some(offer) = self.directory.offer_mut(&flow) else { return };
            offer.candidate = Some(chosen);
            offer.retries = 0;
            offer.sent_at = clock::now();
            if chosen != self.own_id {
                return self.send_offer(flow, route);
            }
            if self.offer_to_self(flow) {
                return;
            }
        }
    }

    /// Removes the record of a flow that is being placed, and whose route was removed meanwhile.
    pub(super) fn forget_unrouted(&mut self, flow: &Flow) {
        unusual!(self.events, "flow has no route any more"; "flow" => %flow);
        self.directory.remove(flow);
    }

    /// Selects the next member to offer a flow to, and starts the next round when a round has no
    /// candidates left.
    fn next_member(&mut self, flow: Flow, route: &Route) -> Option<vm::Id> {
        loop {
            let pool = self.pool.clone()?;
            let offer = self.directory.offer_mut(&flow)?;
            offer.candidate = None;
            let services: Vec<&str> = match offer.round {
                Round::Selected => vec![&offer.service],
                Round::Alternatives => {
                    let others = route.shares.iter().map(|share| &*share.service);
                    others.filter(|service| **service != *offer.service).collect()
                }
                Round::Queued => route.shares.iter().map(|share| &*share.service).collect(),
            };
            let candidates: Vec<Candidate> = services
                .into_iter()
                .flat_map(|service| self.peers.candidates(&pool, service, &offer.declined))
                .collect();
            let chosen = match offer.round {
                Round::Queued => self.peers.shortest_wait(&candidates),
                Round::Selected | Round::Alternatives => self.scheduler.pick(&candidates),
            };
            if let Some(vm) = chosen.filter(|_| offer.tries_left > 0) {
                offer.tries_left -= 1;
                return Some(vm);
            }
            offer.round = match (route.class, offer.round) {
                (Class::Exchange, Round::Selected) => Round::Alternatives,
                (Class::Exchange, Round::Alternatives) => {
                    // Members without a free slot may have a short queue.
                    offer.declined.clear();
                    Round::Queued
                }
                _ => return None,
            };
            offer.tries_left = LATER_ROUND_OFFERS;
        }
    }

    /// Sends an offer to its current candidate.
    fn send_offer(&mut self, flow: Flow, route: &Route) {
        let may_wait = self.is_after_outage(clock::now());
        let Some(offer) = self.directory.offer_mut(&flow) else { return };
        let Some(to) = offer.candidate else { return };
        let (entry_address, entry_port) = offer.entry.map_or((0, 0), encode_address);
        let offer = datagram::Offer {
            packet: offer.packet.clone(),
            entry_address,
            entry_port,
            patience_ms: max_wait(offer, route, may_wait).as_millis() as u32,
            needs_ejected: self.needs_ejected(to),
        };
        self.send(to, Body::Offer(offer));
    }

    /// Returns whether ejected upstreams of a member's service must take flows.
    fn needs_ejected(&self, vm: vm::Id) -> bool {
        let Some(pool) = &self.pool else { return false };
        let member = pool.member(vm);
        member.is_some_and(|member| self.peers.needs_ejected(pool, &member.service))
    }

    /// Offers a flow to this agent's own upstream. Returns true if no other member needs to be
    /// asked.
    pub(super) fn offer_to_self(&mut self, flow: Flow) -> bool {
        let Some(offer) = self.directory.offer_mut(&flow) else { return true };
        let (bytes, entry) = (offer.packet.clone(), offer.entry);
        let offer = offer.clone();
        let Some((packet, route)) = self.parse_routed(&bytes) else {
            self.directory.remove(&flow);
            return true;
        };
        let terms = Terms {
            home: self.own_id,
            max_wait: max_wait(&offer, &route, self.is_after_outage(clock::now())),
            needs_ejected: self.needs_ejected(self.own_id),
        };
        let is_admitted = self.admit(terms, flow, &packet, &route, &bytes).is_ok();
        if is_admitted {
            self.notify_entry(&flow, entry, false);
            self.directory.remove(&flow);
        } else if let Some(offer) = self.directory.offer_mut(&flow) {
            offer.declined.push(self.own_id);
        }
        is_admitted
    }

    /// Refuses a flow of which no packet was delivered.
    pub(super) fn refuse_flow(&mut self, flow: Flow) {
        let Some(Record::Offered(offer)) = self.directory.remove(&flow) else { return };
        self.metrics.count("refused");
        let Ok(packet) = self.codec.parse(&offer.packet) else { return };
        // The flow may be open at a member whose answer was lost, or at a member that another home
        // asked for a copy of the packet.
        let first_copy_age = self.codec.copy_age(1);
        let may_have_copy = !first_copy_age.is_zero() && offer.age(clock::now()) >= first_copy_age;
        let may_be_open = offer.may_be_open || packet.earlier_copies > 0 || may_have_copy;
        unusual!(self.events, "flow refused"; "flow" => %flow, "service" => &*offer.service,
            "declined" => offer.declined.len(), "copies" => packet.earlier_copies,
            "told" => !may_be_open,
            "after_us" => clock::now().duration_since(offer.received_at).as_micros() as u64);
        if may_be_open {
            return self.metrics.count("refused.silent");
        }
        self.send_reset(&packet);
    }

    /// Records that a member has accepted a flow.
    pub(super) fn handle_accepted(&mut self, accepted: &Accepted, from: SocketAddr) {
        let flow = Flow::try_from(accepted.flow.as_ref());
        let (Ok(flow), Some(owner)) = (flow, self.peers.id(from)) else {
            return self.metrics.count("unexpected");
        };
        let isn = match self.directory.get(&flow) {
            Some(Record::Offered(offer)) => self.initial_sequence(&offer.packet),
            Some(Record::Owned { isn, .. }) => *isn,
            // The flow has ended, or this agent is no longer its home.
            None => return,
        };
        if accepted.confirmed {
            return self.directory.confirm_owner(flow, owner, isn);
        }
        self.record_owner(flow, owner, isn, !C::RESOLVES_DUPLICATE_OPENS);
    }

    /// Records the owner of a flow. If the flow already has an owner, notifies the second one of
    /// the first.
    pub(super) fn record_owner(&mut self, flow: Flow, owner: vm::Id, isn: u32, is_confirmed: bool) {
        self.searches.finish(&flow);
        let first = if is_confirmed {
            self.directory.record_owner(flow, owner, isn)
        } else {
            self.directory.record_acceptance(flow, owner, isn)
        };
        if let Some(first) = first {
            self.send(
                owner,
                Body::Owner(Owner { flow: Some(flow.into()), vm: first, ..Owner::default() }),
            );
        }
    }

    /// Handles a declined offer, and offers the flow to the next member.
    pub(super) fn handle_declined(&mut self, declined: &Declined, from: SocketAddr) {
        let (Ok(flow), Some(vm)) = (Flow::try_from(declined.flow.as_ref()), self.peers.id(from))
        else {
            return self.metrics.count("unexpected");
        };
        self.metrics.count(match declined.reason() {
            Reason::Full => "declined.full",
            Reason::Draining => "declined.draining",
            Reason::NotHome => "declined.not_home",
            Reason::Inactive => "declined.inactive",
            Reason::Returned => "declined.returned",
            Reason::Unspecified => "declined.unspecified",
        });
        routine!(self.events, "flow declined"; "flow" => %flow, "by" => &*self.vm_name(vm),
            "reason" => declined.reason().as_str_name(),
            "queue" => declined.load.map(|load| load.queue),
            "room" => declined.load.map(|load| load.room));
        if let Some(load) = declined.load {
            self.peers.record_load(vm, load);
        }
        if declined.reason() == Reason::Returned {
            return self.place_returned(flow, vm, declined.packet.clone());
        }
        let Some(offer) = self.directory.offer_mut(&flow).filter(|o| o.candidate == Some(vm))
        else {
            return;
        };
        // One of the two agents has an outdated view. The offer is retried until the views agree.
        if declined.reason() == Reason::NotHome {
            return;
        }
        offer.declined.push(vm);
        self.offer_to_next(flow);
    }

    /// Retries unanswered offers, and offers the flows that wait for room again.
    pub(super) fn retry_offers(&mut self) {
        let now = clock::now();
        for flow in self.directory.offered_flows() {
            let Some(offer) = self.directory.offer_mut(&flow) else { continue };
            if now.duration_since(offer.sent_at) < OFFER_RETRY_INTERVAL {
                continue;
            }
            match offer.candidate {
                Some(vm) => self.retry_offer(flow, vm),
                None => self.retry_waiting(flow, now),
            }
        }
    }

    /// Retries an offer that the member has not answered.
    ///
    /// A member that is gone may have delivered a datagram, which must not be processed twice, so a
    /// datagram flow stays with that member. A TCP connection needs an answer that the member can
    /// no longer forward, so the flow goes to another member.
    fn retry_offer(&mut self, flow: Flow, vm: vm::Id) {
        let is_present = self.pool.as_ref().is_some_and(|pool| pool.member(vm).is_some());
        let Some(offer) = self.directory.offer_mut(&flow) else { return };
        offer.sent_at = clock::now();
        if C::RESOLVES_DUPLICATE_OPENS && offer.retries < MAX_OFFER_RETRIES {
            offer.retries += 1;
            self.resend_offer(flow);
        } else if C::RESOLVES_DUPLICATE_OPENS {
            offer.may_be_open = true;
            offer.declined.push(vm);
            self.peers.suspect(vm);
            self.metrics.count("offers.unanswered");
            unusual!(self.events, "offer not answered"; "flow" => %flow,
                "by" => &*self.vm_name(vm));
            self.offer_to_next(flow);
        } else if is_present {
            self.resend_offer(flow);
        } else if flow.protocol == Protocol::Tcp {
            offer.declined.push(vm);
            self.offer_to_next(flow);
        } else {
            unusual!(self.events, "datagram flow lost its upstream"; "flow" => %flow);
            self.directory.remove(&flow);
            self.directory.record_owner(flow, vm, 0);
            self.mark_absent();
        }
    }

    /// Sends an offer to its current candidate again, under the current route of the flow.
    pub(super) fn resend_offer(&mut self, flow: Flow) {
        let view = Arc::clone(self.membership.view());
        if let Some(route) = view.route(flow.service, flow.protocol) {
            self.send_offer(flow, route);
        }
    }

    /// Returns the sequence number of a flow's first packet; 0 for a datagram.
    fn initial_sequence(&self, packet: &Bytes) -> u32 {
        let packet = self.codec.parse(packet).ok();
        packet.and_then(|packet| packet.segment).map_or(0, |segment| segment.sequence)
    }
}

/// Returns the time for which the first request of an offered flow may wait for a slot.
fn max_wait(offer: &connection::Offer, route: &Route, may_wait_at_home: bool) -> Duration {
    let is_late = offer.age(clock::now()) >= route.objective;
    match offer.round {
        Round::Selected | Round::Alternatives => Duration::ZERO,
        Round::Queued if is_late && may_wait_at_home => LATE_MAX_WAIT,
        Round::Queued => route.objective.mul_f64(MAX_WAIT_SHARE),
    }
}
