//! Searches for flows that their home does not know.
//!
//! The report of a new flow may still be on its way, and an agent that was restarted may have lost
//! flows that its upstream holds. So all members are asked, and a caller is reset only once each of
//! them has answered that it does not serve the flow.

use std::net::SocketAddr;

use super::upstream::ANSWERING;
use super::worker::Worker;
use crate::clock;
use crate::log::unusual;
use bytes::Bytes;
use hyssopdyke::connection::Flow;
use hyssopdyke::request::{Packet, PacketCodec};
use hyssopdyke::vm;
use hyssopdyke_wire::datagram::{Forward, Unknown, datagram::Body};

impl<B: PacketCodec> Worker<B> {
    /// Asks all members for a flow that this home does not know.
    pub(super) fn search(&mut self, flow: Flow, forward: &Forward) {
        let now = clock::now();
        let Some(pool) = self.pool.clone() else { return };
        let members: Vec<vm::Id> = self.peers.heard_members(&pool, self.me, now).collect();
        if !self.searches.start(flow, &members, now) {
            return self.metrics.count("dropped.searched");
        }
        self.metrics.count("searched");
        unusual!(self.events, "flow searched"; "flow" => %flow, "members" => members.len());
        for member in members {
            if member == self.me {
                self.ask_upstream(flow, &forward.packet, self.me);
            } else {
                let packet = forward.packet.clone();
                let question = Forward { packet, search: true, ..Forward::default() };
                self.send(member, Body::Forward(question));
            }
        }
    }

    /// Asks the upstream whether it holds a flow that nobody knows, where it may.
    pub(super) fn search_upstream(&mut self, flow: Flow, bytes: &Bytes, from: SocketAddr) {
        match self.peers.id(from) {
            Some(home) => self.ask_upstream(flow, bytes, home),
            None => self.metrics.count("dropped.no_peer"),
        }
    }

    /// Hands the upstream a packet that it gives back if it does not hold the flow.
    fn ask_upstream(&mut self, flow: Flow, bytes: &Bytes, home: vm::Id) {
        let now = clock::now();
        if !self.is_incomplete(now) || !self.upstream.is_alive(now) {
            return self.tell_missed(flow, home, bytes);
        }
        self.searched.retain(|_, (_, since)| now.duration_since(*since) < ANSWERING);
        self.searched.insert(flow, (home, now));
        self.send_to_upstream(bytes);
    }

    /// Tells the home of a searched flow that this agent serves it.
    pub(super) fn found(&mut self, flow: &Flow) {
        let isn = self.table.get(flow).map_or(0, |state| state.isn);
        self.note_opened(flow, 0, isn);
        self.flush_increments();
        self.send_reports();
    }

    /// Tells the home of a searched flow that the upstream does not hold it.
    pub(super) fn tell_missed(&mut self, flow: Flow, home: vm::Id, bytes: &Bytes) {
        if home == self.me {
            return self.missed(&flow, self.me, bytes);
        }
        let (flow, packet) = (Some(flow.into()), bytes.clone());
        self.send(home, Body::Unknown(Unknown { flow, searched: true, packet }));
    }

    /// Notes that a member does not hold a flow that is searched; the caller is reset once none
    /// does.
    pub(super) fn missed(&mut self, flow: &Flow, member: vm::Id, packet: &Bytes) {
        // Whoever is ahead may know members that were not asked.
        if !self.searches.record_miss(flow, member, clock::now()) || self.membership.is_behind() {
            return;
        }
        let Ok(packet) = self.border.parse(packet) else {
            return self.metrics.count("dropped.malformed");
        };
        if self.directory.get(flow).is_none() && !self.is_own(flow, &packet) {
            self.reset_unknown(flow, &packet);
        }
    }

    pub(super) fn reset_unknown(&mut self, flow: &Flow, packet: &Packet) {
        unusual!(self.events, "unknown flow reset"; "flow" => %flow,
            "records" => self.directory.len());
        self.metrics.count("reset.unknown");
        self.answer_by_reset(packet);
    }
}
