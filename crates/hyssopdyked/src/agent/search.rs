//! Searches for flows that no agent knows.

use std::net::SocketAddr;
use std::time::{Duration, Instant};

use bytes::Bytes;
use hyssopdyke::connection::Flow;
use hyssopdyke::request::{Border, Packet};
use hyssopdyke::vm;
use hyssopdyke_wire::datagram::{Forward, Unknown, datagram::Body};
use slog::debug;

use super::upstream::ANSWERING;
use super::worker::Worker;
use crate::clock;

/// Time in which the report of a new flow has come: a tick, and a repetition if one is lost.
const REPORTED: Duration = Duration::from_millis(150);

/// Packets that may wait for the report of their flow.
const DOUBTFUL_PACKETS: usize = 512;

impl<B: Border> Worker<B> {
    /// Looks for a flow that no agent knows at the upstreams that may hold it nevertheless; its
    /// caller is reset where there is none.
    pub(super) fn search(&mut self, flow: Flow, forward: Forward, from: SocketAddr) {
        let now = clock::now();
        let Some(pool) = self.pool.clone() else { return };
        let members = self.peers.incomplete(&pool, self.me, now);
        if members.is_empty() {
            return self.doubt(forward, from);
        }
        if !self.searches.start(flow, &members, now) {
            return self.metrics.count("dropped.searched");
        }
        self.metrics.count("searched");
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
    pub(super) fn ask_upstream(&mut self, flow: Flow, bytes: &Bytes, home: vm::Id) {
        let now = clock::now();
        if !self.is_incomplete(now) || !self.upstream.is_alive(now) {
            return self.tell_missed(flow, home, bytes);
        }
        self.searched.retain(|_, (_, since)| now.duration_since(*since) < ANSWERING);
        self.searched.insert(flow, (home, now));
        self.send_to_upstream(bytes);
    }

    /// Tells the home of a searched flow that the upstream does not hold it.
    pub(super) fn tell_missed(&mut self, flow: Flow, home: vm::Id, bytes: &Bytes) {
        if home == self.me {
            let own = self.settings.answers;
            return self.missed(&flow, self.me, bytes, own);
        }
        let (flow, packet) = (Some(flow.into()), bytes.clone());
        self.send(home, Body::Unknown(Unknown { flow, searched: true, packet }));
    }

    /// Notes that a member does not hold a flow that is searched.
    pub(super) fn missed(&mut self, flow: &Flow, member: vm::Id, packet: &Bytes, from: SocketAddr) {
        if self.searches.miss(flow, member, clock::now()) {
            let forward = Forward { packet: packet.clone(), ..Forward::default() };
            self.doubt(forward, from);
        }
    }

    /// Keeps a packet until the report of its flow, which may just have been opened, has come.
    pub(super) fn doubt(&mut self, forward: Forward, from: SocketAddr) {
        if self.doubtful.len() < DOUBTFUL_PACKETS {
            self.doubtful.push_back((clock::now(), forward, from));
        } else {
            self.metrics.count("dropped.doubtful");
        }
    }

    /// Resets the callers of flows that nobody has reported meanwhile.
    pub(super) fn resolve_doubtful(&mut self, now: Instant) {
        while let Some((since, forward, from)) = self.doubtful.pop_front() {
            if now.duration_since(since) < REPORTED {
                return self.doubtful.push_front((since, forward, from));
            }
            let Ok(packet) = self.border.parse(&forward.packet) else { continue };
            let flow = packet.inbound();
            if self.directory.get(&flow).is_some() || self.is_own(&flow, &packet) {
                self.forwarded(forward, from);
            } else {
                self.reset_unknown(&flow, &packet);
            }
        }
    }

    pub(super) fn reset_unknown(&mut self, flow: &Flow, packet: &Packet) {
        debug!(self.events.logger(), "unknown flow reset"; "flow" => %flow);
        self.metrics.count("reset.unknown");
        self.answer_by_reset(packet);
    }
}
