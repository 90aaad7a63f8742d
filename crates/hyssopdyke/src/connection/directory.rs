//! A home's records of flows: where each was placed, or which member is asked to take it.
//!
//! The directory is a derived index. Every owner knows its own flows and reports them to the
//! flow's home, and to the second-ranked member where owner and home are the same VM, so that
//! each flow is known to its owner and to one more process. The rebuild from the owners' reports
//! follows Kuromatsu et al., "Evolving fault-tolerance in Hadoop with robust auto-recovering
//! `JobTracker`", which rebuilds a coordinator from its workers' status.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::time::{Duration, Instant};

use bytes::Bytes;

use super::Flow;
use crate::vm;

/// Which members are asked to take a flow.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Round {
    /// Those of the service that was drawn, if they have a free slot.
    Selected,
    /// Those of the route's other services, if they have a free slot.
    Alternatives,
    /// All, if the flow's request need not wait too long for a slot.
    Queued,
}

/// A new flow on its way to an upstream.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Offer {
    /// Member that is asked now; `None` while the flow waits for room.
    pub candidate: Option<vm::Id>,
    /// Entry that is told who owns the flow; `None` for none.
    pub entry: Option<SocketAddr>,
    /// Service that was drawn for the flow.
    pub service: Box<str>,
    /// Which members are asked.
    pub round: Round,
    /// Members that declined since the last wait.
    pub declined: Vec<vm::Id>,
    /// Members that may still be asked before the flow waits.
    pub tries_left: usize,
    /// The packet that opened the flow.
    pub packet: Bytes,
    /// Arrival of that packet.
    pub received_at: Instant,
    /// Last time that a member was asked.
    pub sent_at: Instant,
    /// Repetitions to the member that is asked now.
    pub retries: u32,
    /// A member has not answered: it may have delivered the packet.
    pub may_be_open: bool,
}

impl Offer {
    /// A flow that came at `now` with `packet`, and may be offered to `tries` members of a service.
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
            sent_at: now,
            retries: 0,
            may_be_open: false,
        }
    }
}

/// What the home knows of a flow.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Record {
    /// No member has taken the flow yet.
    Offered(Offer),
    /// A member has taken the flow.
    Owned {
        /// The member.
        owner: vm::Id,
        /// Initial sequence number of the caller; 0 for UDP.
        isn: u32,
        /// Since when the owner has been missing from the members.
        absent_since: Option<Instant>,
    },
}

/// Records of the flows whose home, or whose owner's second, is this process.
#[derive(Debug, Default)]
pub struct Directory {
    records: HashMap<Flow, Record>,
}

impl Directory {
    /// An empty directory.
    #[must_use]
    pub fn new() -> Self {
        Self::default()
    }

    /// The record of a flow.
    #[must_use]
    pub fn get(&self, flow: &Flow) -> Option<&Record> {
        self.records.get(flow)
    }

    /// The offer of a flow that no member has taken yet.
    pub fn offer_mut(&mut self, flow: &Flow) -> Option<&mut Offer> {
        match self.records.get_mut(flow) {
            Some(Record::Offered(offer)) => Some(offer),
            _ => None,
        }
    }

    /// Starts to place a flow.
    pub fn insert_offer(&mut self, flow: Flow, offer: Offer) {
        self.records.insert(flow, Record::Offered(offer));
    }

    /// Records that `owner` has taken a flow.
    ///
    /// Returns the owner on record where it is another one that is still a member: the first
    /// owner stays, and the second must let the flow go.
    pub fn record_owner(&mut self, flow: Flow, owner: vm::Id, isn: u32) -> Option<vm::Id> {
        if let Some(Record::Owned { owner: first, absent_since: None, .. }) =
            self.records.get(&flow)
            && *first != owner
        {
            return Some(*first);
        }
        self.records.insert(flow, Record::Owned { owner, isn, absent_since: None });
        None
    }

    /// Records that the caller of a flow goes on with `owner`, whoever is on record.
    pub fn confirm_owner(&mut self, flow: Flow, owner: vm::Id, isn: u32) {
        self.records.insert(flow, Record::Owned { owner, isn, absent_since: None });
    }

    /// Removes the record of a flow if `owner` holds it.
    ///
    /// With an initial sequence number, only the flow that began with it: its ends may be in use
    /// again by a later flow of the same owner.
    pub fn remove_owned(&mut self, flow: &Flow, owner: vm::Id, isn: Option<u32>) {
        if let Some(Record::Owned { owner: held, isn: begun, .. }) = self.records.get(flow)
            && *held == owner
            && isn.is_none_or(|isn| isn == *begun)
        {
            self.records.remove(flow);
        }
    }

    /// Removes the record of a flow.
    pub fn remove(&mut self, flow: &Flow) -> Option<Record> {
        self.records.remove(flow)
    }

    /// Marks the owners that `present` does not name as absent from `now` on.
    pub fn mark_absent(&mut self, now: Instant, present: impl Fn(vm::Id) -> bool) {
        for record in self.records.values_mut() {
            if let Record::Owned { owner, absent_since, .. } = record {
                *absent_since = if present(*owner) { None } else { absent_since.or(Some(now)) };
            }
        }
    }

    /// Removes the records of owners that have been absent for `limit`.
    pub fn expire_absent(&mut self, now: Instant, limit: Duration) {
        self.records.retain(|_, record| match record {
            Record::Owned { absent_since: Some(since), .. } => now.duration_since(*since) < limit,
            _ => true,
        });
    }

    /// Keeps only the records that `keep` approves.
    pub fn retain(&mut self, keep: impl Fn(&Flow, &Record) -> bool) {
        self.records.retain(|flow, record| keep(flow, record));
    }

    /// All records, in no order.
    pub fn iter(&self) -> impl Iterator<Item = (&Flow, &Record)> {
        self.records.iter()
    }

    /// Flows that no member has taken yet.
    #[must_use]
    pub fn offered_flows(&self) -> Vec<Flow> {
        let offered =
            self.records.iter().filter(|(_, record)| matches!(record, Record::Offered(_)));
        offered.map(|(flow, _)| *flow).collect()
    }

    /// Count of records.
    #[must_use]
    pub fn len(&self) -> usize {
        self.records.len()
    }

    /// Whether there is no record.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.records.is_empty()
    }
}
