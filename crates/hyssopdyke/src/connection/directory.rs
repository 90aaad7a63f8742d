//! A home's records of flows: the owner of each, or the member to which it is offered.
//!
//! The directory is a derived index. Every owner has the state of its own flows and reports them to
//! the flow's home, or to the second-ranked member if owner and home are the same VM, so that each
//! flow is recorded at its owner and at one more process. The rebuild from the owners' reports
//! follows Kuromatsu et al., "Evolving fault-tolerance in Hadoop with robust auto-recovering
//! `JobTracker`", which rebuilds a coordinator from the status of its workers.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::time::{Duration, Instant};

use bytes::Bytes;

use super::Flow;
use crate::vm;

/// Round of a placement, which determines the members to which a flow is offered.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Round {
    /// Members of the selected service that have a free slot.
    Selected,
    /// Members of the route's other services that have a free slot.
    Alternatives,
    /// All members at which the flow's request does not wait too long for a slot.
    Queued,
}

/// A new flow that no member has accepted yet.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Offer {
    /// Member to which the flow is currently offered; `None` while the flow waits for capacity.
    pub candidate: Option<vm::Id>,
    /// Entry that is notified of the flow's owner; `None` if no entry is to be notified.
    pub entry: Option<SocketAddr>,
    /// Service that was selected for the flow.
    pub service: Box<str>,
    /// Current round of the placement.
    pub round: Round,
    /// Members that declined since the last wait.
    pub declined: Vec<vm::Id>,
    /// Number of members to which the flow may still be offered before it waits.
    pub tries_left: usize,
    /// The packet that opened the flow.
    pub packet: Bytes,
    /// Arrival of that packet.
    pub received_at: Instant,
    /// Time before its arrival at which the caller sent the packet for the first time.
    pub age_at_arrival: Duration,
    /// Last time that the flow was offered to a member.
    pub sent_at: Instant,
    /// Retransmissions to the current candidate.
    pub retries: u32,
    /// Whether a member has not answered and may have delivered the packet.
    pub may_be_open: bool,
    /// Whether the flow has waited for room.
    pub has_waited: bool,
}

impl Offer {
    /// Creates the offer of a flow that arrived at `now` with `packet`, and may be offered to
    /// `tries` members of a service before it waits.
    #[must_use]
    pub const fn new(packet: Bytes, service: Box<str>, tries: usize, now: Instant) -> Self {
        let declined = Vec::new();
        let (candidate, entry) = (None, None);
        let round = Round::Selected;
        Self {
            candidate,
            entry,
            service,
            round,
            declined,
            tries_left: tries,
            packet,
            received_at: now,
            age_at_arrival: Duration::ZERO,
            sent_at: now,
            retries: 0,
            may_be_open: false,
            has_waited: false,
        }
    }

    /// Returns the time since the caller sent its first packet.
    #[must_use]
    pub fn age(&self, now: Instant) -> Duration {
        self.age_at_arrival + now.duration_since(self.received_at)
    }
}

/// Who keeps the record of a flow.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Custody {
    /// This process keeps the record.
    Kept,
    /// Another member keeps the record since the homes changed.
    Moved(Instant),
    /// Another member keeps the record; a member that was leaving has sent this copy.
    HandedOver(Instant),
}

/// A home's record of a flow.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Record {
    /// No member has accepted the flow yet.
    Offered(Offer),
    /// A member has accepted the flow.
    Owned {
        /// The member.
        owner: vm::Id,
        /// Initial sequence number of the caller; 0 for UDP.
        isn: u32,
        /// Whether the caller certainly uses this owner. Until then, several members may have
        /// accepted the flow, and none of them takes it over after a restart.
        is_confirmed: bool,
        /// Time since which the owner is not among the members.
        absent_since: Option<Instant>,
        /// Whether this process keeps the record or has a copy of it.
        custody: Custody,
    },
}

/// Records of the flows for which this process is the home, or the second-ranked member after an
/// owner that is the home.
#[derive(Debug, Default)]
pub struct Directory {
    records: HashMap<Flow, Record>,
}

impl Directory {
    /// Creates an empty directory.
    #[must_use]
    pub fn new() -> Self {
        Self::default()
    }

    /// Returns the record of a flow.
    #[must_use]
    pub fn get(&self, flow: &Flow) -> Option<&Record> {
        self.records.get(flow)
    }

    /// Returns the offer of a flow that no member has accepted yet.
    pub fn offer_mut(&mut self, flow: &Flow) -> Option<&mut Offer> {
        match self.records.get_mut(flow) {
            Some(Record::Offered(offer)) => Some(offer),
            _ => None,
        }
    }

    /// Records a flow that is being placed.
    pub fn insert_offer(&mut self, flow: Flow, offer: Offer) {
        self.records.insert(flow, Record::Offered(offer));
    }

    /// Records that `owner` has accepted a flow, which the caller has not confirmed yet.
    ///
    /// If another owner that is still a member is already recorded, or one that the caller has
    /// confirmed, returns that owner and keeps its record. The second owner then has the flow only
    /// until the caller confirms one of them.
    pub fn record_acceptance(&mut self, flow: Flow, owner: vm::Id, isn: u32) -> Option<vm::Id> {
        if let Some(Record::Owned {
            owner: first,
            isn: first_isn,
            is_confirmed,
            absent_since,
            ..
        }) = self.records.get(&flow)
        {
            let is_same_flow = *is_confirmed && *first_isn == isn;
            if *first == owner && is_same_flow {
                return None;
            }
            if *first != owner && (is_same_flow || absent_since.is_none()) {
                return Some(*first);
            }
        }
        self.insert_owned(flow, owner, isn, false);
        None
    }

    /// Records that `owner` has a flow that its caller has confirmed.
    ///
    /// If another such owner that is still a member is already recorded, returns that owner and
    /// keeps its record. The second owner must then give up the flow.
    pub fn record_owner(&mut self, flow: Flow, owner: vm::Id, isn: u32) -> Option<vm::Id> {
        if let Some(Record::Owned { owner: first, is_confirmed: true, absent_since: None, .. }) =
            self.records.get(&flow)
            && *first != owner
        {
            return Some(*first);
        }
        self.confirm_owner(flow, owner, isn);
        None
    }

    /// Records that the caller of a flow continues with `owner`, replacing any other record.
    pub fn confirm_owner(&mut self, flow: Flow, owner: vm::Id, isn: u32) {
        self.insert_owned(flow, owner, isn, true);
    }

    fn insert_owned(&mut self, flow: Flow, owner: vm::Id, isn: u32, is_confirmed: bool) {
        let (absent_since, custody) = (None, Custody::Kept);
        let record = Record::Owned { owner, isn, is_confirmed, absent_since, custody };
        self.records.insert(flow, record);
    }

    /// Removes the record of a flow if it is owned by `owner`.
    ///
    /// If `isn` is given, the recorded initial sequence number must be equal to it, since a later
    /// flow of the same owner may reuse the addresses and ports.
    pub fn remove_owned(&mut self, flow: &Flow, owner: vm::Id, isn: Option<u32>) {
        if let Some(Record::Owned { owner: recorded, isn: recorded_isn, .. }) =
            self.records.get(flow)
            && *recorded == owner
            && isn.is_none_or(|isn| isn == *recorded_isn)
        {
            self.records.remove(flow);
        }
    }

    /// Removes the record of a flow.
    pub fn remove(&mut self, flow: &Flow) -> Option<Record> {
        self.records.remove(flow)
    }

    /// Marks the owners for which `is_present` returns false as absent from `now` on.
    pub fn mark_absent(&mut self, now: Instant, is_present: impl Fn(vm::Id) -> bool) {
        for record in self.records.values_mut() {
            if let Record::Owned { owner, absent_since, .. } = record {
                *absent_since = if is_present(*owner) { None } else { absent_since.or(Some(now)) };
            }
        }
    }

    /// Removes the records of owners that have been absent for `timeout`.
    pub fn expire_absent(&mut self, now: Instant, timeout: Duration) {
        self.records.retain(|_, record| match record {
            Record::Owned { absent_since: Some(since), .. } => now.duration_since(*since) < timeout,
            _ => true,
        });
    }

    /// Marks the records as moved for which `is_keeper` returns false: it returns whether this
    /// process keeps the record of a flow with a given owner.
    pub fn mark_moved(&mut self, now: Instant, is_keeper: impl Fn(&Flow, vm::Id) -> bool) {
        for (flow, record) in &mut self.records {
            if let Record::Owned { owner, custody, .. } = record {
                *custody = match *custody {
                    _ if is_keeper(flow, *owner) => Custody::Kept,
                    Custody::Kept => Custody::Moved(now),
                    copy => copy,
                };
            }
        }
    }

    /// Marks the record of a flow as a copy that a leaving member has handed over.
    pub fn mark_handed_over(&mut self, flow: &Flow, now: Instant) {
        if let Some(Record::Owned { custody, .. }) = self.records.get_mut(flow) {
            *custody = Custody::HandedOver(now);
        }
    }

    /// Removes the copies that are at least `timeout` old.
    pub fn expire_copies(&mut self, now: Instant, timeout: Duration) {
        self.records.retain(|_, record| match record {
            Record::Owned {
                custody: Custody::Moved(since) | Custody::HandedOver(since), ..
            } => now.duration_since(*since) < timeout,
            _ => true,
        });
    }

    /// Retains only the records for which `keep` returns true.
    pub fn retain(&mut self, keep: impl Fn(&Flow, &Record) -> bool) {
        self.records.retain(|flow, record| keep(flow, record));
    }

    /// Returns all records, in arbitrary order.
    pub fn iter(&self) -> impl Iterator<Item = (&Flow, &Record)> {
        self.records.iter()
    }

    /// Returns the flows that no member has accepted yet.
    #[must_use]
    pub fn offered_flows(&self) -> Vec<Flow> {
        let offered =
            self.records.iter().filter(|(_, record)| matches!(record, Record::Offered(_)));
        offered.map(|(flow, _)| *flow).collect()
    }

    /// Returns the number of flows that wait for room.
    #[must_use]
    pub fn waiting_count(&self) -> usize {
        let is_waiting = |record: &&Record| matches!(record, Record::Offered(offer) if offer.candidate.is_none());
        self.records.values().filter(is_waiting).count()
    }

    /// Returns the number of records.
    #[must_use]
    pub fn len(&self) -> usize {
        self.records.len()
    }

    /// Returns whether there are no records.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.records.is_empty()
    }
}
