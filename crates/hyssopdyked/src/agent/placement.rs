//! The home's part in placing a new flow: which member is asked, and what follows its answer.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::{Duration, Instant};

use bytes::Bytes;
use hyssopdyke::connection::{self, Class, Flow, Protocol, Record, Round};
use hyssopdyke::request::{Candidate, PacketCodec};
use hyssopdyke::version::Route;
use hyssopdyke::vm;
use hyssopdyke_wire::datagram::{self, Accepted, Declined, Owner, Reason, datagram::Body};

use super::owner::Terms;
use super::worker::Worker;
use crate::clock;
use crate::log::{routine, unusual};
use crate::node::encode_address;

/// Members that are asked one after another before a flow waits for room.
const TRIES: usize = 4;

/// Members that are asked in each further round.
const MORE_TRIES: usize = 2;

/// Share of the time in which an answer is on time that a request may wait for a slot: the rest is
/// for its work and for the ways. Whoever would wait longer is refused, and takes no time from
/// those who are served on time.
const PATIENCE_SHARE: f64 = 0.5;

/// Repetitions of an offer before another member is asked, where several may be: the answer may
/// have been lost.
const REPEATS: u32 = 1;

/// Time between two offers of the same flow.
const OFFER_INTERVAL: Duration = Duration::from_millis(50);

/// Time for which a flow waits for room before it is refused.
pub(super) const WAIT: Duration = Duration::from_millis(300);

/// Flows that may wait for room at a time.
const WAITING_FLOWS: usize = 256;

impl<B: PacketCodec> Worker<B> {
    /// Starts to place a new flow.
    pub(super) fn place(&mut self, flow: Flow, packet: Bytes, entry: Option<SocketAddr>) {
        let view = Arc::clone(self.membership.view());
        let Some(route) = view.route(flow.service, flow.protocol) else { return };
        let Some(drawn) = route.draw_service(rand::random()).map(Box::<str>::from) else { return };
        let offer = connection::Offer::new(packet, drawn, TRIES, clock::now());
        self.directory.insert_offer(flow, connection::Offer { entry, ..offer });
        self.metrics.count("placed");
        self.ask_next(flow);
    }

    /// Places a flow that an upstream gave back at another one.
    pub(super) fn place_again(&mut self, flow: Flow, former: vm::Id, packet: Bytes) {
        self.directory.remove_owned(&flow, former, None);
        if self.directory.get(&flow).is_none() {
            self.place(flow, packet, None);
        }
        if let Some(offer) = self.directory.offer_mut(&flow)
            && !offer.declined.contains(&former)
        {
            offer.declined.push(former);
        }
    }

    /// Offers a new flow between the ends of a former one to the former owner first, which knows
    /// whether the former one is over.
    pub(super) fn reoffer(
        &mut self,
        flow: Flow,
        owner: vm::Id,
        packet: Bytes,
        entry: Option<SocketAddr>,
    ) {
        let view = Arc::clone(self.membership.view());
        let Some(route) = view.route(flow.service, flow.protocol) else { return };
        let Some(service) = route.draw_service(rand::random()).map(Into::into) else { return };
        let offer = connection::Offer::new(packet, service, TRIES, clock::now());
        self.directory
            .insert_offer(flow, connection::Offer { candidate: Some(owner), entry, ..offer });
        self.offer_to_asked(flow, route);
    }

    /// Offers a flow to the next member, until one takes it or none is left.
    fn ask_next(&mut self, flow: Flow) {
        let view = Arc::clone(self.membership.view());
        let Some(route) = view.route(flow.service, flow.protocol) else { return };
        loop {
            let Some(chosen) = self.next_member(flow, route) else {
                return self.wait_or_refuse(flow, route.class);
            };
            let Some(offer) = self.directory.offer_mut(&flow) else { return };
            offer.candidate = Some(chosen);
            offer.retries = 0;
            offer.sent_at = clock::now();
            if chosen != self.me {
                return self.offer_to_asked(flow, route);
            }
            if self.admit_own(flow) {
                return;
            }
        }
    }

    /// The member that is asked next to take a flow.
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
                Round::Queued => self.peers.least_wait(&candidates),
                Round::Selected | Round::Alternatives => self.draw.pick(&candidates),
            };
            if let Some(vm) = chosen.filter(|_| offer.tries_left > 0) {
                offer.tries_left -= 1;
                return Some(vm);
            }
            offer.round = match (route.class, offer.round) {
                (Class::Exchange, Round::Selected) => Round::Alternatives,
                (Class::Exchange, Round::Alternatives) => {
                    // Members without a free slot may have few who wait.
                    offer.declined.clear();
                    Round::Queued
                }
                _ => return None,
            };
            offer.tries_left = MORE_TRIES;
        }
    }

    /// Sends an offer to the member that is asked now.
    fn offer_to_asked(&mut self, flow: Flow, route: &Route) {
        let Some(offer) = self.directory.offer_mut(&flow) else { return };
        let Some(to) = offer.candidate else { return };
        let (entry_address, entry_port) = offer.entry.map_or((0, 0), encode_address);
        let patience_ms = patience(offer, route).as_millis() as u32;
        let packet = offer.packet.clone();
        self.send(
            to,
            Body::Offer(datagram::Offer { packet, entry_address, entry_port, patience_ms }),
        );
    }

    /// Offers a flow to this agent's own upstream; true if it needs no other member.
    fn admit_own(&mut self, flow: Flow) -> bool {
        let Some(offer) = self.directory.offer_mut(&flow) else { return true };
        let (bytes, entry) = (offer.packet.clone(), offer.entry);
        let offer = offer.clone();
        let Some((packet, route)) = self.checked(&bytes) else {
            self.directory.remove(&flow);
            return true;
        };
        let terms = Terms { home: self.me, patience: patience(&offer, &route) };
        let is_admitted = self.admit(terms, flow, &packet, &route, &bytes).is_ok();
        if is_admitted {
            self.tell_entry(&flow, entry);
            self.directory.remove(&flow);
        } else if let Some(offer) = self.directory.offer_mut(&flow) {
            offer.declined.push(self.me);
        }
        is_admitted
    }

    /// Lets a flow wait for room, or refuses it where that is of no use.
    fn wait_or_refuse(&mut self, flow: Flow, class: Class) {
        let now = clock::now();
        let Some(offer) = self.directory.offer_mut(&flow) else { return };
        // Of an exchange it is known that every member has more waiting than it can serve in time.
        let waits = class != Class::Exchange && now.duration_since(offer.received_at) < WAIT;
        if waits && self.directory.offered_flows().len() <= WAITING_FLOWS {
            return;
        }
        self.refuse(flow);
    }

    /// Refuses a flow of which no packet was delivered.
    fn refuse(&mut self, flow: Flow) {
        let Some(Record::Offered(offer)) = self.directory.remove(&flow) else { return };
        self.metrics.count("refused");
        let Ok(packet) = self.border.parse(&offer.packet) else { return };
        // The flow may be open at a member whose answer was lost, or that another home has asked.
        let may_be_open = offer.may_be_open || packet.earlier_copies > 0;
        unusual!(self.events, "flow refused"; "flow" => %flow, "service" => &*offer.service,
            "declined" => offer.declined.len(), "copies" => packet.earlier_copies,
            "told" => !may_be_open,
            "after_us" => clock::now().duration_since(offer.received_at).as_micros() as u64);
        if may_be_open {
            return self.metrics.count("refused.silent");
        }
        self.answer_by_reset(&packet);
    }

    /// Notes that a member has taken a flow.
    pub(super) fn accepted(&mut self, accepted: &Accepted, from: SocketAddr) {
        let flow = Flow::try_from(accepted.flow.as_ref());
        let (Ok(flow), Some(owner)) = (flow, self.peers.id(from)) else {
            return self.metrics.count("unexpected");
        };
        let isn = match self.directory.get(&flow) {
            Some(Record::Offered(offer)) => self.first_sequence(&offer.packet),
            Some(Record::Owned { isn, .. }) => *isn,
            // The flow has ended, or this agent is no longer its home.
            None => return,
        };
        if accepted.confirmed {
            return self.directory.confirm_owner(flow, owner, isn);
        }
        self.owned(flow, owner, isn);
    }

    /// Records the owner of a flow, and tells a second owner to let it go.
    pub(super) fn owned(&mut self, flow: Flow, owner: vm::Id, isn: u32) {
        self.searches.finish(&flow);
        if let Some(first) = self.directory.record_owner(flow, owner, isn) {
            self.send(owner, Body::Owner(Owner { flow: Some(flow.into()), vm: first }));
        }
    }

    /// Offers a declined flow to the next member.
    pub(super) fn declined(&mut self, declined: &Declined, from: SocketAddr) {
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
        routine!(self.events, "flow declined"; "flow" => %flow, "by" => &*self.name(vm),
            "reason" => declined.reason().as_str_name(),
            "queue" => declined.load.map(|load| load.queue),
            "room" => declined.load.map(|load| load.room));
        if let Some(load) = declined.load {
            self.peers.note(vm, load);
        }
        if declined.reason() == Reason::Returned {
            return self.place_again(flow, vm, declined.packet.clone());
        }
        let Some(offer) = self.directory.offer_mut(&flow).filter(|o| o.candidate == Some(vm))
        else {
            return;
        };
        // One of the two views is old; the offer is repeated once they agree.
        if declined.reason() == Reason::NotHome {
            return;
        }
        offer.declined.push(vm);
        self.ask_next(flow);
    }

    /// Repeats offers that were not answered, and offers again what waits for room.
    pub(super) fn retry_offers(&mut self) {
        let now = clock::now();
        for flow in self.directory.offered_flows() {
            let Some(offer) = self.directory.offer_mut(&flow) else { continue };
            if now.duration_since(offer.sent_at) < OFFER_INTERVAL {
                continue;
            }
            match offer.candidate {
                Some(vm) => self.repeat_offer(flow, vm),
                None => self.offer_again(flow, now),
            }
        }
    }

    /// Sends an offer again to the member that has not answered it.
    ///
    /// A member that is gone may have delivered a datagram, which must not run twice: such a flow
    /// stays with it. A TCP connection needs an answer that the member can no longer pass on, so
    /// the flow goes to another member.
    fn repeat_offer(&mut self, flow: Flow, vm: vm::Id) {
        let is_present = self.pool.as_ref().is_some_and(|pool| pool.member(vm).is_some());
        let Some(offer) = self.directory.offer_mut(&flow) else { return };
        offer.sent_at = clock::now();
        if B::RESOLVES_DUPLICATE_OPENS && offer.retries < REPEATS {
            offer.retries += 1;
            self.send_again(flow);
        } else if B::RESOLVES_DUPLICATE_OPENS {
            offer.may_be_open = true;
            offer.declined.push(vm);
            self.peers.suspect(vm);
            self.metrics.count("offers.unanswered");
            unusual!(self.events, "offer not answered"; "flow" => %flow, "by" => &*self.name(vm));
            self.ask_next(flow);
        } else if is_present {
            self.send_again(flow);
        } else if flow.protocol == Protocol::Tcp {
            offer.declined.push(vm);
            self.ask_next(flow);
        } else {
            unusual!(self.events, "datagram flow lost its upstream"; "flow" => %flow);
            self.directory.remove(&flow);
            self.directory.record_owner(flow, vm, 0);
            self.mark_absent();
        }
    }

    /// Offers a waiting flow to a member that last reported room, or refuses it.
    fn offer_again(&mut self, flow: Flow, now: Instant) {
        let Some(pool) = self.pool.clone() else { return };
        let Some(offer) = self.directory.offer_mut(&flow) else { return };
        if now.duration_since(offer.received_at) >= WAIT {
            return self.refuse(flow);
        }
        offer.sent_at = now;
        let all = self.peers.candidates(&pool, &offer.service, &[]);
        let with_room = self.peers.with_room(&all);
        if let Some(vm) = self.draw.pick(if with_room.is_empty() { &all } else { &with_room }) {
            self.offer_to(flow, vm);
        }
    }

    /// Sends an offer to the member that is asked now, by the route that the flow has now.
    fn send_again(&mut self, flow: Flow) {
        let view = Arc::clone(self.membership.view());
        if let Some(route) = view.route(flow.service, flow.protocol) {
            self.offer_to_asked(flow, route);
        }
    }

    /// Takes a member's message that it has room.
    pub(super) fn room(&mut self, from: SocketAddr) {
        match self.peers.id(from) {
            Some(vm) => self.offer_waiting(vm),
            None => self.metrics.count("dropped.no_peer"),
        }
    }

    /// Offers the flow that has waited longest to a member that has room.
    pub(super) fn offer_waiting(&mut self, vm: vm::Id) {
        let waiting = self.directory.iter().filter_map(|(flow, record)| match record {
            Record::Offered(offer) if offer.candidate.is_none() => Some((offer.received_at, *flow)),
            _ => None,
        });
        let oldest = waiting.min_by_key(|(since, _)| *since);
        if let Some((_, flow)) = oldest {
            self.offer_to(flow, vm);
        }
    }

    /// Offers a waiting flow to one member only.
    fn offer_to(&mut self, flow: Flow, vm: vm::Id) {
        let Some(offer) = self.directory.offer_mut(&flow) else { return };
        offer.declined.clear();
        offer.tries_left = 1;
        offer.sent_at = clock::now();
        offer.candidate = Some(vm);
        if vm != self.me {
            self.send_again(flow);
        } else if !self.admit_own(flow)
            && let Some(offer) = self.directory.offer_mut(&flow)
        {
            offer.candidate = None;
        }
    }

    /// Sequence number of a flow's first packet; 0 for a datagram.
    fn first_sequence(&self, packet: &Bytes) -> u32 {
        let packet = self.border.parse(packet).ok();
        packet.and_then(|packet| packet.segment).map_or(0, |segment| segment.sequence)
    }
}

/// Time that the first request of an offered flow may wait for a slot.
fn patience(offer: &connection::Offer, route: &Route) -> Duration {
    match offer.round {
        Round::Selected | Round::Alternatives => Duration::ZERO,
        Round::Queued => route.objective.mul_f64(PATIENCE_SHARE),
    }
}
