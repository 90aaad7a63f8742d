//! Searches for flows that have no record at their home.
//!
//! The report of a new flow that another home has placed may still be in flight, and a restarted
//! agent may have lost flows that its upstream holds. The home therefore asks the other homes and
//! such agents. If none of them has a record, such agents ask their upstreams. The home resets the
//! caller only once each of them has answered that it does not serve the flow.

use std::net::SocketAddr;
use std::time::Instant;

use super::report::wire_record;
use super::upstream::UPSTREAM_ANSWER_TIMEOUT;
use super::worker::Worker;
use crate::clock;
use crate::log::unusual;
use bytes::Bytes;
use hyssopdyke::connection::{Flow, Miss, Question, Record, Step};
use hyssopdyke::request::{Packet, PacketCodec};
use hyssopdyke::vm;
use hyssopdyke_wire::datagram::{Forward, Unknown, datagram::Body};

/// Maximum number of flows that the upstream was found not to hold and that are remembered.
const MAX_RETURNED_FLOWS: usize = 4096;

impl<C: PacketCodec> Worker<C> {
    /// Asks the reachable members that may know of a flow without a record at this home: the other
    /// homes, one of which may have placed it, and members whose upstream may hold flows that they
    /// have no entry for.
    pub(super) fn start_search(&mut self, flow: Flow, forward: &Forward) {
        let now = clock::now();
        let Some(pool) = self.pool.clone() else { return };
        let reachable = self.peers.reachable_members(&pool, self.own_id, now);
        let members: Vec<vm::Id> =
            reachable.filter(|vm| pool.is_home(*vm) || !self.peers.knows_flows(*vm)).collect();
        let packet = &forward.packet;
        if !self.searches.start(flow, packet.clone(), &members, now) {
            return self.metrics.count("dropped.searched");
        }
        self.metrics.count("searched");
        unusual!(self.events, "flow searched"; "flow" => %flow, "members" => members.len());
        for member in members {
            if member == self.own_id {
                let miss = self.own_miss(&flow, now);
                self.handle_search_miss(&flow, member, miss, packet);
            } else {
                let packet = packet.clone();
                let request = Forward { packet, search: true, hops: 1, ..Forward::default() };
                self.send(member, Body::Forward(request));
            }
        }
    }

    /// Asks upstreams for flows whose searches have had no complete answer in time.
    pub(super) fn continue_searches(&mut self, now: Instant) {
        for question in self.searches.take_overdue(now) {
            self.ask_upstreams(question);
        }
    }

    /// Lets members ask their upstreams for a flow that no member has on record.
    fn ask_upstreams(&mut self, question: Question) {
        if self.awaits_return() {
            return self.metrics.count("searched.away");
        }
        let Question { flow, packet, members } = question;
        for member in members {
            if member == self.own_id {
                self.query_upstream(flow, &packet, self.own_id);
            } else {
                let packet = packet.clone();
                let request = Forward {
                    packet,
                    search: true,
                    ask_upstream: true,
                    hops: 1,
                    ..Forward::default()
                };
                self.send(member, Body::Forward(request));
            }
        }
    }

    /// Returns whether the upstream may hold a flow that this agent does not own.
    pub(super) fn own_miss(&self, flow: &Flow, now: Instant) -> Miss {
        let may_hold = self.may_have_unknown_flows(now)
            && !self.has_no_upstream(now)
            && !self.returned_flows.contains_key(flow);
        if may_hold { Miss::Unsure } else { Miss::Certain }
    }

    /// Returns whether an agent of the group is expected back, whose upstream may hold any flow
    /// without a record.
    pub(super) fn awaits_return(&self) -> bool {
        self.pool.as_ref().is_some_and(|pool| !pool.away.is_empty())
    }

    /// Handles the search of a home: asks the owner, if this agent has placed the flow in place of
    /// that home, and the upstream, if it may hold the flow and no member has a record.
    ///
    /// An owner reports the flow to its home itself. For a flow whose owner may be back soon, the home
    /// gets the record. There is no answer for a flow that is being placed.
    pub(super) fn handle_search(&mut self, flow: Flow, search: Forward, from: SocketAddr) {
        match self.directory.get(&flow) {
            // Two outdated records may name each other's agents, so a search is passed on once.
            Some(Record::Owned { owner, absent_since: None, .. })
                if *owner != self.own_id && search.hops > 0 =>
            {
                let owner = *owner;
                return self.send(owner, Body::Forward(Forward { hops: 0, ..search }));
            }
            Some(Record::Owned { owner, isn, is_confirmed, absent_since: Some(since), .. }) => {
                let (owner, absent) = (*owner, clock::now().duration_since(*since));
                let record = wire_record(&flow, *isn, owner, *is_confirmed);
                self.metrics.count("searched.absent");
                unusual!(self.events, "searched flow has an absent owner"; "flow" => %flow,
                    "owner" => &*self.vm_name(owner), "absent_ms" => absent.as_millis() as u64);
                if let Some(home) = self.peers.id(from) {
                    self.pending_records.entry(home).or_default().opened.push(record);
                }
                return;
            }
            Some(Record::Offered(_)) => return,
            _ if self.awaits_return() => return self.metrics.count("searched.away"),
            _ => {}
        }
        let Some(home) = self.peers.id(from) else { return self.metrics.count("dropped.no_peer") };
        // A search that was passed on comes from a member that has this agent on record.
        if search.ask_upstream || search.hops == 0 {
            return self.query_upstream(flow, &search.packet, home);
        }
        match self.own_miss(&flow, clock::now()) {
            Miss::Certain => self.report_missed(flow, home, &search.packet),
            Miss::Unsure => {
                let (flow, packet) = (Some(flow.into()), search.packet);
                let unsure = Unknown { flow, packet, unsure: true, ..Unknown::default() };
                self.send(home, Body::Unknown(unsure));
            }
        }
    }

    /// Answers a search while this agent is no member, because it has no upstream. The home waits for
    /// the answer as long as the former process is on record as a member.
    pub(super) fn answer_without_upstream(&mut self, bytes: &Bytes, from: SocketAddr) {
        let Ok(packet) = self.codec.parse(bytes) else {
            return self.metrics.count("dropped.malformed");
        };
        let (flow, packet) = (Some(packet.inbound_flow().into()), bytes.clone());
        self.send_to(
            from,
            Body::Unknown(Unknown { flow, searched: true, packet, ..Unknown::default() }),
        );
    }

    /// Sends the upstream a packet, which it returns if it does not hold the flow. An upstream that has
    /// not reported to this process yet may hold it as well.
    pub(super) fn query_upstream(&mut self, flow: Flow, bytes: &Bytes, home: vm::Id) {
        let now = clock::now();
        if self.own_miss(&flow, now) == Miss::Certain {
            return self.report_missed(flow, home, bytes);
        }
        // The answer to the first packet comes at once.
        let is_asked =
            |(_, since): &(vm::Id, Instant)| now.duration_since(*since) < UPSTREAM_ANSWER_TIMEOUT;
        if self.upstream_searches.get(&flow).is_some_and(is_asked) {
            return self.metrics.count("dropped.searched");
        }
        self.upstream_searches
            .retain(|_, (_, since)| now.duration_since(*since) < UPSTREAM_ANSWER_TIMEOUT);
        unusual!(self.events, "upstream asked for a flow"; "flow" => %flow,
            "home" => &*self.vm_name(home));
        self.upstream_searches.insert(flow, (home, now));
        self.send_to_upstream(bytes);
    }

    /// Reports to the home of a searched flow that this agent serves it.
    pub(super) fn report_found(&mut self, flow: &Flow) {
        self.queue_opened(flow, 0);
        self.flush_pending_records();
        self.send_reports();
    }

    /// Remembers that the upstream does not hold a flow, so that it gets no further packet of it.
    pub(super) fn record_returned(&mut self, flow: Flow) {
        if self.returned_flows.len() < MAX_RETURNED_FLOWS {
            self.returned_flows.insert(flow, clock::now());
        }
    }

    /// Reports to the home of a searched flow that the upstream does not hold it.
    pub(super) fn report_missed(&mut self, flow: Flow, home: vm::Id, bytes: &Bytes) {
        if home == self.own_id {
            return self.handle_search_miss(&flow, self.own_id, Miss::Certain, bytes);
        }
        let (flow, packet) = (Some(flow.into()), bytes.clone());
        let missed = Unknown { flow, searched: true, packet, ..Unknown::default() };
        self.send(home, Body::Unknown(missed));
    }

    /// Records that a member does not own a searched flow. Lets upstreams be asked if no member has a
    /// record of it, and resets the caller once no member holds it.
    pub(super) fn handle_search_miss(
        &mut self,
        flow: &Flow,
        member: vm::Id,
        miss: Miss,
        packet: &Bytes,
    ) {
        let now = clock::now();
        match self.searches.record_miss(flow, member, miss, now) {
            Step::Wait => {}
            Step::Ask(question) => self.ask_upstreams(question),
            // A peer with a newer revision may have members that were not asked.
            Step::NotFound if self.membership.is_behind(now) => {}
            Step::NotFound if self.awaits_return() => self.metrics.count("searched.away"),
            Step::NotFound => {
                let Ok(packet) = self.codec.parse(packet) else {
                    return self.metrics.count("dropped.malformed");
                };
                if self.directory.get(flow).is_none() && !self.is_owned(flow, &packet) {
                    self.reset_unknown(flow, &packet);
                }
            }
        }
    }

    pub(super) fn reset_unknown(&mut self, flow: &Flow, packet: &Packet) {
        unusual!(self.events, "unknown flow reset"; "flow" => %flow,
            "records" => self.directory.len());
        self.metrics.count("reset.unknown");
        self.send_reset(packet);
    }
}
