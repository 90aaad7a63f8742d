//! The agent as the home of a share of its service's flows.

use std::net::SocketAddr;
use std::time::{Duration, Instant};

use hyssopdyke::connection::{Flow, Record};
use hyssopdyke::request::{Packet, PacketCodec};
use hyssopdyke_wire::datagram::{Forward, Unknown, datagram::Body};

use super::worker::Worker;
use crate::clock;
use crate::log::unusual;
use crate::node::decode_address;

/// Time for which the flows of a member that is gone are kept for its return.
const ABSENCE: Duration = Duration::from_secs(30);

impl<B: PacketCodec> Worker<B> {
    /// Sends a packet to the owner of its flow, or finds an owner for a new flow.
    pub(super) fn home(&mut self, flow: Flow, packet: &Packet, forward: Forward, from: SocketAddr) {
        let opens = packet.segment.is_none_or(|segment| segment.is_opening());
        match self.directory.get(&flow) {
            Some(Record::Owned { owner, isn, absent_since }) => {
                let (owner, isn, is_absent) = (*owner, *isn, absent_since.is_some());
                if owner == self.me {
                    // The flow is closed, or else the owner's part had taken the packet.
                    self.directory.remove(&flow);
                    self.unplaced(flow, packet, forward, from);
                } else if is_absent {
                    self.metrics.count("dropped.absent");
                    unusual!(self.events, "packet waits for its owner"; "flow" => %flow,
                        "owner" => &*self.name(owner));
                } else if packet.segment.is_some_and(|s| s.is_opening() && s.sequence != isn) {
                    let entry = decode_address(forward.entry_address, forward.entry_port);
                    self.reoffer(flow, owner, forward.packet, entry);
                } else {
                    self.hint(&forward, &flow, owner);
                    self.send(owner, Body::Forward(Forward { hops: 0, ..forward }));
                }
            }
            Some(Record::Offered(offer)) => {
                // A copy of the first packet waits for the answer to the offer.
                if let Some(asked) = offer.candidate.filter(|_| !opens || packet.segment.is_none())
                {
                    self.send(asked, Body::Forward(Forward { hops: 0, ..forward }));
                }
            }
            None => self.unplaced(flow, packet, forward, from),
        }
    }

    fn unplaced(&mut self, flow: Flow, packet: &Packet, forward: Forward, from: SocketAddr) {
        let opens = packet.segment.is_none_or(|segment| segment.is_opening());
        let may_place = B::RESOLVES_DUPLICATE_OPENS && opens;
        if !may_place && !self.is_sure(clock::now()) {
            return self.hold(forward, from);
        }
        if opens {
            let entry = decode_address(forward.entry_address, forward.entry_port);
            self.place(flow, forward.packet, entry);
        } else if !B::CAN_RESET_OPEN_FLOWS {
            self.search(flow, &forward);
        } else {
            self.reset_unknown(&flow, packet);
        }
    }

    /// Forgets the owner of a flow that says it does not own it.
    pub(super) fn disowned(&mut self, unknown: &Unknown, from: SocketAddr) {
        let (Ok(flow), Some(vm)) = (Flow::try_from(unknown.flow.as_ref()), self.peers.id(from))
        else {
            return self.metrics.count("unexpected");
        };
        if unknown.searched {
            return self.missed(&flow, vm, &unknown.packet);
        }
        self.directory.remove_owned(&flow, vm, None);
    }

    /// Marks the owners that are not members as absent.
    pub(super) fn mark_absent(&mut self) {
        if let Some(pool) = self.pool.clone() {
            let is_present = |vm| pool.find(vm).is_some();
            self.directory.mark_absent(clock::now(), is_present);
        }
    }

    /// Gives up the flows of members that did not return.
    pub(super) fn sweep_records(&mut self, now: Instant) {
        self.directory.expire_absent(now, ABSENCE);
    }
}
