//! The table of the flows that one upstream serves.

use std::collections::HashMap;
use std::time::{Duration, Instant};

use super::{Event, Flow, Protocol, State};
use crate::request::{Probe, Reset, Segment};

/// An optional value for each end of a flow.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Ends<T> {
    /// Value for the upstream.
    pub upstream: Option<T>,
    /// Value for the caller.
    pub caller: Option<T>,
}

/// All flows of one upstream, with the counts of connections and slots in use.
#[derive(Debug, Default)]
pub struct Table {
    flows: HashMap<Flow, State>,
    connections: u32,
    slots: u32,
}

impl Table {
    /// Creates an empty table.
    #[must_use]
    pub fn new() -> Self {
        Self::default()
    }

    /// Returns the state of a flow.
    #[must_use]
    pub fn get(&self, flow: &Flow) -> Option<&State> {
        self.flows.get(flow)
    }

    /// Returns the number of flows that are not closed.
    #[must_use]
    pub const fn connections(&self) -> u32 {
        self.connections
    }

    /// Returns the number of slots in use.
    #[must_use]
    pub const fn slots(&self) -> u32 {
        self.slots
    }

    /// Adds a flow, replacing a former one with the same addresses and ports.
    pub fn insert(&mut self, flow: Flow, connection: State) {
        self.remove(&flow);
        self.count(&connection, true);
        self.flows.insert(flow, connection);
    }

    /// Removes a flow.
    pub fn remove(&mut self, flow: &Flow) -> Option<State> {
        let connection = self.flows.remove(flow)?;
        self.count(&connection, false);
        Some(connection)
    }

    /// Records a packet of the caller. Returns false if the flow is not in the table.
    pub fn inbound(&mut self, flow: &Flow, segment: Option<&Segment>, now: Instant) -> bool {
        self.update(flow, |connection| connection.inbound(segment, now)).is_some()
    }

    /// Records a packet of the upstream and returns the event that it causes. The outer `Option` is
    /// `None` if the flow is not in the table.
    pub fn outbound(
        &mut self,
        flow: &Flow,
        segment: Option<&Segment>,
        now: Instant,
    ) -> Option<Option<Event>> {
        self.update(flow, |connection| connection.outbound(segment, now))
    }

    /// Marks a flow for which another upstream is recorded as the owner. The flow stays in the
    /// table until its caller acknowledges one of the upstreams, and uses no slot until then.
    pub fn mark_contested(&mut self, flow: &Flow) {
        self.update(flow, State::mark_contested);
    }

    /// Releases the slot of a flow that its caller has not confirmed. The caller may continue with
    /// another upstream that also answered its first packet.
    pub fn release_unconfirmed(&mut self, flow: &Flow) {
        self.update(flow, State::release_unconfirmed);
    }

    /// Returns the open TCP flows that were admitted at least `min_age` ago and that their callers
    /// have not confirmed.
    #[must_use]
    pub fn unconfirmed_flows(&self, now: Instant, min_age: Duration) -> Vec<Flow> {
        let is_due = |state: &State| {
            !state.is_confirmed() && now.duration_since(state.admitted_at) >= min_age
        };
        let due = self.flows.iter().filter(|(flow, state)| {
            flow.protocol == Protocol::Tcp && state.is_open() && !state.is_closed() && is_due(state)
        });
        due.map(|(flow, _)| *flow).collect()
    }

    /// Closes a flow that one of its ends no longer holds.
    pub fn close(&mut self, flow: &Flow, now: Instant) {
        self.update(flow, |connection| connection.close(now));
    }

    /// Returns the flows that were closed, or reset by their upstream after adoption, at least
    /// `linger` ago, and the UDP flows without packets for `idle`.
    #[must_use]
    pub fn expired_flows(&self, now: Instant, linger: Duration, idle: Duration) -> Vec<Flow> {
        let is_expired = |flow: &Flow, connection: &State| match connection.ended() {
            Some(since) => now.duration_since(since) >= linger,
            None if flow.protocol == Protocol::Udp => {
                let seen = connection.caller_seen.max(connection.upstream_seen);
                now.duration_since(seen) >= idle
            }
            None => false,
        };
        let expired = self.flows.iter().filter(|(flow, state)| is_expired(flow, state));
        expired.map(|(flow, _)| *flow).collect()
    }

    /// Returns the flows without packets from either end for `idle`.
    #[must_use]
    pub fn idle_flows(&self, now: Instant, idle: Duration) -> Vec<Flow> {
        let is_idle = |connection: &State| {
            let seen = connection.caller_seen.max(connection.upstream_seen);
            now.duration_since(seen) >= idle
        };
        let idle = self.flows.iter().filter(|(_, connection)| is_idle(connection));
        idle.map(|(flow, _)| *flow).collect()
    }

    /// Returns the adopted TCP flows whose upstream has not sent a packet yet.
    #[must_use]
    pub fn unverified_flows(&self) -> Vec<Flow> {
        let unverified = self.flows.iter().filter(|(flow, connection)| {
            connection.is_unverified && !connection.is_closed() && flow.protocol == Protocol::Tcp
        });
        unverified.map(|(flow, _)| *flow).collect()
    }

    /// Returns the TCP flows that are not closed, have an end that has sent nothing for `silence`,
    /// and were not probed within the last `interval`, each with its number of unanswered probes.
    #[must_use]
    pub fn probe_candidates(
        &self,
        now: Instant,
        silence: Duration,
        interval: Duration,
    ) -> Vec<(Flow, u32)> {
        let is_due = |flow: &Flow, connection: &State| {
            let seen = connection.caller_seen.min(connection.upstream_seen);
            flow.protocol == Protocol::Tcp
                && !connection.is_closed()
                && now.duration_since(seen) >= silence
                && connection.probed.is_none_or(|last| now.duration_since(last) >= interval)
        };
        let due = self.flows.iter().filter(|(flow, connection)| is_due(flow, connection));
        due.map(|(flow, connection)| (*flow, connection.unanswered_probes())).collect()
    }

    /// Returns probes for the ends of a silent flow, and records them as sent.
    ///
    /// The upstream can be probed even if no packet was seen since the flow was adopted, because a
    /// sequence number that was acknowledged long ago is answered as well.
    pub fn probe(&mut self, flow: &Flow, now: Instant) -> Option<Ends<Probe>> {
        let connection = self.flows.get_mut(flow)?;
        connection.probes = connection.unanswered_probes() + 1;
        connection.probed = Some(now);
        let (caller, upstream) = (connection.caller.next, connection.upstream.next);
        let to_upstream = Probe {
            source: flow.caller,
            destination: flow.service,
            sequence: caller.unwrap_or(connection.isn.wrapping_add(1)),
            acknowledgement: upstream.unwrap_or(0),
        };
        let to_caller = caller.zip(upstream).map(|(caller, upstream)| Probe {
            source: flow.service,
            destination: flow.caller,
            sequence: upstream,
            acknowledgement: caller,
        });
        Some(Ends { upstream: Some(to_upstream), caller: to_caller })
    }

    /// Returns resets for the ends of a flow that is dropped, if their sequence numbers are known.
    #[must_use]
    pub fn resets(&self, flow: &Flow) -> Ends<Reset> {
        let Some(connection) = self.flows.get(flow) else {
            return Ends { upstream: None, caller: None };
        };
        // A receiver ignores a reset below the sequence number that it expects. It answers a reset
        // above that number but within its window, and the home then resets it. The next number of
        // the sender is never too low, whereas an acknowledgement may still be in flight.
        let to_upstream = connection.caller.next.or(connection.caller.acknowledged);
        let to_caller = connection.upstream.next.or(connection.upstream.acknowledged);
        let reset = |from, to, sequence| Reset::abort(from, to, sequence);
        Ends {
            upstream: to_upstream.map(|next| reset(flow.caller, flow.service, next)),
            caller: to_caller.map(|next| reset(flow.service, flow.caller, next)),
        }
    }

    /// Returns all flows, in arbitrary order.
    pub fn iter(&self) -> impl Iterator<Item = (&Flow, &State)> {
        self.flows.iter()
    }

    /// Returns the number of flows, including closed ones.
    #[must_use]
    pub fn len(&self) -> usize {
        self.flows.len()
    }

    /// Returns whether there are no flows.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.flows.is_empty()
    }

    /// Changes the state of a flow and updates the counts.
    fn update<T>(&mut self, flow: &Flow, change: impl FnOnce(&mut State) -> T) -> Option<T> {
        let connection = self.flows.get_mut(flow)?;
        let before = (connection.is_closed(), connection.has_slot);
        let result = change(connection);
        self.connections -= u32::from(!before.0 && connection.is_closed());
        self.slots -= u32::from(before.1 && !connection.has_slot);
        self.slots += u32::from(!before.1 && connection.has_slot);
        Some(result)
    }

    fn count(&mut self, connection: &State, is_added: bool) {
        let (connections, slots) =
            (u32::from(!connection.is_closed()), u32::from(connection.has_slot()));
        if is_added {
            self.connections += connections;
            self.slots += slots;
        } else {
            self.connections -= connections;
            self.slots -= slots;
        }
    }
}
