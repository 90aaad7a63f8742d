//! Flows that wait at their home for an upstream with room.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::{Duration, Instant};

use hyssopdyke::connection::{self, Class, Flow, Record};
use hyssopdyke::request::{Backlog, PacketCodec};
use hyssopdyke::version::Route;
use hyssopdyke::vm;
use hyssopdyke_wire::datagram::{Owner, datagram::Body};

use super::worker::Worker;
use crate::clock;
use crate::log::routine;

/// Age at which a flow of class exchange that waits for room is refused: shortly before its caller
/// stops waiting for the answer to its first packet.
const MAX_EXCHANGE_AGE: Duration = Duration::from_millis(1200);

/// Maximum time for which a flow waits for room before it is refused.
const MAX_ROOM_WAIT: Duration = Duration::from_millis(300);

/// Maximum number of flows that wait for room at the same time.
const MAX_WAITING_FLOWS: usize = 256;

impl<C: PacketCodec> Worker<C> {
    /// Lets a flow wait for room, or refuses it if waiting cannot help.
    pub(super) fn wait_or_refuse(&mut self, flow: Flow, route: &Route) {
        let now = clock::now();
        // The flow itself counts as waiting already. Counted only where it decides, since that takes
        // a pass over all records.
        let waiting = || self.directory.waiting_count().saturating_sub(1);
        let has_room = match route.class {
            // Later, every member asked has a longer queue than it can serve in time, and a flow
            // that waited would only take the place of another.
            Class::Exchange if !self.is_after_outage(now) => false,
            Class::Exchange => Backlog::has_room(waiting()) || self.displace_late(flow, now),
            Class::Stream | Class::Request => waiting() < MAX_WAITING_FLOWS,
        };
        let Some(offer) = self.directory.offer_mut(&flow) else { return };
        if !has_room || is_expired(offer, route, now) {
            return self.refuse_flow(flow);
        }
        let (has_waited, entry) = (std::mem::replace(&mut offer.has_waited, true), offer.entry);
        if !has_waited {
            self.notify_waiting(&flow, entry);
        }
    }

    /// Refuses the waiting flow that goes last, if its request is late already and that of `flow` is
    /// not. Returns whether `flow` may wait in its place.
    fn displace_late(&mut self, flow: Flow, now: Instant) -> bool {
        let is_on_time = |flow: &Flow, offer: &connection::Offer| {
            let route = self.membership.view().route(flow.service, flow.protocol);
            route.is_some_and(|route| offer.age(now) < route.objective)
        };
        let waiting = self.directory.iter().filter_map(|(other, record)| match record {
            Record::Offered(offer) if offer.candidate.is_none() && *other != flow => {
                Some((*other, offer))
            }
            _ => None,
        });
        let late = waiting.filter(|(other, offer)| !is_on_time(other, offer));
        let oldest = late.max_by_key(|(_, offer)| offer.age(now)).map(|(other, _)| other);
        let Some(Record::Offered(offer)) = self.directory.get(&flow) else { return false };
        let Some(oldest) = oldest.filter(|_| is_on_time(&flow, offer)) else { return false };
        self.refuse_flow(oldest);
        true
    }

    /// Notifies the entry that a flow waits here, so that it sends the copies of the flow's first
    /// packet here instead of to another member.
    fn notify_waiting(&mut self, flow: &Flow, entry: Option<SocketAddr>) {
        self.metrics.count("waited");
        routine!(self.events, "flow waits for room"; "flow" => %flow);
        if let Some(entry) = entry {
            let (flow, vm) = (Some((*flow).into()), self.own_id);
            self.send_to(entry, Body::Owner(Owner { flow, vm, waiting: true, ..Owner::default() }));
        }
    }

    /// Offers a waiting flow to a member that last reported room, or refuses the flow if it has
    /// waited too long.
    pub(super) fn retry_waiting(&mut self, flow: Flow, now: Instant) {
        let Some(pool) = self.pool.clone() else { return };
        let view = Arc::clone(self.membership.view());
        let Some(route) = view.route(flow.service, flow.protocol) else {
            return self.forget_unrouted(&flow);
        };
        let Some(offer) = self.directory.offer_mut(&flow) else { return };
        if is_expired(offer, route, now) {
            return self.refuse_flow(flow);
        }
        offer.sent_at = now;
        let mut candidates = self.peers.candidates(&pool, &offer.service, &[]);
        let with_room = self.peers.with_room(&candidates);
        if !with_room.is_empty() || route.class == Class::Exchange {
            candidates = with_room;
        }
        if let Some(vm) = self.scheduler.pick(&candidates) {
            self.offer_to(flow, vm);
        }
    }

    /// Handles a member's notice that it has room.
    pub(super) fn handle_room(&mut self, from: SocketAddr) {
        match self.peers.id(from) {
            Some(vm) => self.offer_waiting(vm),
            None => self.metrics.count("dropped.no_peer"),
        }
    }

    /// Offers the waiting flow that goes first to a member that has room.
    pub(super) fn offer_waiting(&mut self, vm: vm::Id) {
        let now = clock::now();
        let Some(pool) = self.pool.clone() else { return };
        let Some(member) = pool.member(vm) else { return };
        let view = Arc::clone(self.membership.view());
        let waiting = self.directory.iter().filter_map(|(flow, record)| {
            let Record::Offered(offer) = record else { return None };
            let route = view.route(flow.service, flow.protocol)?;
            let is_candidate = offer.candidate.is_none() && route.allows(&member.service);
            is_candidate.then(|| (Backlog::priority(offer.age(now), route.objective), *flow))
        });
        let first = waiting.max_by(|(a, _), (b, _)| a.cmp(b));
        if let Some((_, flow)) = first {
            self.offer_to(flow, vm);
        }
    }

    /// Offers a waiting flow to a single member.
    fn offer_to(&mut self, flow: Flow, vm: vm::Id) {
        let Some(offer) = self.directory.offer_mut(&flow) else { return };
        offer.declined.clear();
        offer.tries_left = 1;
        offer.sent_at = clock::now();
        offer.candidate = Some(vm);
        if vm != self.own_id {
            self.resend_offer(flow);
        } else if !self.offer_to_self(flow)
            && let Some(offer) = self.directory.offer_mut(&flow)
        {
            offer.candidate = None;
        }
    }
}

/// Returns whether a flow has waited so long for room that it is refused.
pub(super) fn is_expired(offer: &connection::Offer, route: &Route, now: Instant) -> bool {
    match route.class {
        Class::Exchange if route.timeout.is_zero() => offer.age(now) >= MAX_EXCHANGE_AGE,
        Class::Exchange => offer.age(now) >= MAX_EXCHANGE_AGE.min(route.timeout),
        Class::Stream | Class::Request => now.duration_since(offer.received_at) >= MAX_ROOM_WAIT,
    }
}
