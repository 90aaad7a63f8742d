//! Home role of the agent: sends packets to the owners of their flows and places new flows.

use std::net::SocketAddr;
use std::time::{Duration, Instant};

use hyssopdyke::connection::{Flow, Miss, Record};
use hyssopdyke::request::{Packet, PacketCodec};
use hyssopdyke_wire::datagram::{Forward, Unknown, datagram::Body};

use super::RETURN_TIMEOUT;
use super::worker::Worker;
use crate::clock;
use crate::log::unusual;
use crate::node::decode_address;

/// Time for which a member keeps copies of records that others keep since a change of the homes, or
/// that a leaving member has sent, in case those are lost before they have reported.
const COPY_RETENTION: Duration = Duration::from_secs(10);

impl<C: PacketCodec> Worker<C> {
    /// Sends a packet to the owner of its flow, or finds an owner for a new flow.
    pub(super) fn handle_as_home(
        &mut self,
        flow: Flow,
        packet: &Packet,
        forward: Forward,
        from: SocketAddr,
    ) {
        let is_opening = packet.segment.is_none_or(|segment| segment.is_opening());
        match self.directory.get(&flow) {
            Some(Record::Owned { owner, isn, is_confirmed, absent_since, .. }) => {
                let (owner, isn, is_confirmed) = (*owner, *isn, *is_confirmed);
                let is_absent = absent_since.is_some();
                let may_place_again = is_opening && is_absent && !is_confirmed;
                if owner == self.own_id {
                    // The flow is closed here: otherwise this agent would already have delivered
                    // the packet as its owner.
                    self.directory.remove(&flow);
                    self.handle_unplaced(flow, packet, forward, from);
                } else if may_place_again {
                    // The caller still opens the flow, and the owner's answer may have been lost.
                    self.directory.remove(&flow);
                    self.handle_unplaced(flow, packet, forward, from);
                } else if is_absent {
                    self.metrics.count("dropped.absent");
                    unusual!(self.events, "packet waits for its owner"; "flow" => %flow,
                        "owner" => &*self.vm_name(owner));
                } else if packet.segment.is_some_and(|s| s.is_opening() && s.sequence != isn) {
                    let entry = decode_address(forward.entry_address, forward.entry_port);
                    self.offer_to_former_owner(flow, owner, forward.packet, entry);
                } else {
                    self.send_owner_hint(&forward, &flow, owner, is_confirmed);
                    self.send(owner, Body::Forward(Forward { hops: 0, ..forward }));
                }
            }
            Some(Record::Offered(offer)) => {
                // A retransmission of the first packet is dropped while the offer is unanswered.
                if let Some(candidate) =
                    offer.candidate.filter(|_| !is_opening || packet.segment.is_none())
                {
                    self.send(candidate, Body::Forward(Forward { hops: 0, ..forward }));
                }
            }
            None => self.handle_unplaced(flow, packet, forward, from),
        }
    }

    fn handle_unplaced(&mut self, flow: Flow, packet: &Packet, forward: Forward, from: SocketAddr) {
        let is_opening = packet.segment.is_none_or(|segment| segment.is_opening());
        let may_place = C::RESOLVES_DUPLICATE_OPENS && is_opening;
        if !may_place && !self.has_required_reports(clock::now()) {
            return self.hold_packet(forward, from);
        }
        if is_opening {
            let entry = decode_address(forward.entry_address, forward.entry_port);
            let held = Duration::from_millis(forward.held_ms.into());
            self.place(flow, forward.packet, entry, held);
        } else if !C::CAN_RESET_OPEN_FLOWS {
            self.start_search(flow, &forward);
        } else if self.awaits_return() {
            self.metrics.count("dropped.absent");
        } else {
            self.reset_unknown(&flow, packet);
        }
    }

    /// Removes the record of a flow after its recorded owner has reported that it does not own the
    /// flow, or records the answer to a search.
    pub(super) fn handle_unknown(&mut self, unknown: &Unknown, from: SocketAddr) {
        let (Ok(flow), Some(vm)) = (Flow::try_from(unknown.flow.as_ref()), self.peers.id(from))
        else {
            return self.metrics.count("unexpected");
        };
        if unknown.unsure {
            return self.handle_search_miss(&flow, vm, Miss::Unsure, &unknown.packet);
        }
        self.directory.remove_owned(&flow, vm, None);
        if unknown.searched {
            self.handle_search_miss(&flow, vm, Miss::Certain, &unknown.packet);
        }
    }

    /// Marks the records whose owners are not members as absent.
    pub(super) fn mark_absent(&mut self) {
        if let Some(pool) = self.pool.clone() {
            let is_present = |vm| pool.find(vm).is_some();
            self.directory.mark_absent(clock::now(), is_present);
        }
    }

    /// Removes the records of flows whose owners did not return in time, and old copies of records
    /// that other members keep.
    pub(super) fn sweep_records(&mut self, now: Instant) {
        self.directory.expire_absent(now, RETURN_TIMEOUT);
        self.directory.expire_copies(now, COPY_RETENTION);
    }
}
