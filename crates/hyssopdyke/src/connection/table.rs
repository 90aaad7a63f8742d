//! The flows that one upstream serves.

use std::collections::HashMap;
use std::time::{Duration, Instant};

use super::{Event, Flow, Protocol, State};
use crate::request::{Probe, Reset, Segment};

/// Something for each end of a flow.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Ends<T> {
    /// For the upstream.
    pub upstream: Option<T>,
    /// For the caller.
    pub caller: Option<T>,
}

/// All flows of one upstream, with the counts that its limits are held against.
#[derive(Debug, Default)]
pub struct Table {
    flows: HashMap<Flow, State>,
    connections: u32,
    slots: u32,
}

impl Table {
    /// An empty table.
    #[must_use]
    pub fn new() -> Self {
        Self::default()
    }

    /// The state of a flow.
    #[must_use]
    pub fn get(&self, flow: &Flow) -> Option<&State> {
        self.flows.get(flow)
    }

    /// Flows that are not closed.
    #[must_use]
    pub const fn connections(&self) -> u32 {
        self.connections
    }

    /// Slots that are taken.
    #[must_use]
    pub const fn slots(&self) -> u32 {
        self.slots
    }

    /// Adds a flow, in place of a closed one of the same ends.
    pub fn insert(&mut self, flow: Flow, connection: State) {
        self.remove(&flow);
        self.count(&connection, true);
        self.flows.insert(flow, connection);
    }

    /// Forgets a flow.
    pub fn remove(&mut self, flow: &Flow) -> Option<State> {
        let connection = self.flows.remove(flow)?;
        self.count(&connection, false);
        Some(connection)
    }

    /// Notes a packet of the caller; false where the flow is not in the table.
    pub fn inbound(&mut self, flow: &Flow, segment: Option<&Segment>, now: Instant) -> bool {
        self.update(flow, |connection| connection.inbound(segment, now)).is_some()
    }

    /// Notes a packet of the upstream; `None` where the flow is not in the table.
    pub fn outbound(
        &mut self,
        flow: &Flow,
        segment: Option<&Segment>,
        now: Instant,
    ) -> Option<Option<Event>> {
        self.update(flow, |connection| connection.outbound(segment, now))
    }

    /// Notes that another upstream is taken for the owner of a flow: it stays until its caller
    /// shows with which it goes on, and takes no slot until then.
    pub fn mark_contested(&mut self, flow: &Flow) {
        self.update(flow, State::mark_contested);
    }

    /// Frees the slot of a flow whose caller has not gone on with it: it may have gone on with
    /// another upstream that has answered its first packet, too.
    pub fn release_unconfirmed(&mut self, flow: &Flow) {
        self.update(flow, State::release_unconfirmed);
    }

    /// Flows that were opened `after` ago and whose callers have not gone on with them.
    #[must_use]
    pub fn unconfirmed_flows(&self, now: Instant, after: Duration) -> Vec<Flow> {
        let is_due =
            |state: &State| !state.is_confirmed() && now.duration_since(state.admitted_at) >= after;
        let due = self.flows.iter().filter(|(flow, state)| {
            flow.protocol == Protocol::Tcp && state.is_open() && !state.is_closed() && is_due(state)
        });
        due.map(|(flow, _)| *flow).collect()
    }

    /// Closes a flow that one end has lost.
    pub fn close(&mut self, flow: &Flow, now: Instant) {
        self.update(flow, |connection| connection.close(now));
    }

    /// Flows that were closed or disowned `linger` ago, and UDP flows that were silent for `idle`.
    #[must_use]
    pub fn expired_flows(&self, now: Instant, linger: Duration, idle: Duration) -> Vec<Flow> {
        let is_expired = |flow: &Flow, connection: &State| match connection.ended() {
            Some(since) => now.duration_since(since) >= linger,
            None if flow.protocol == Protocol::Udp => {
                let heard = connection.caller_heard.max(connection.upstream_heard);
                now.duration_since(heard) >= idle
            }
            None => false,
        };
        let expired = self.flows.iter().filter(|(flow, state)| is_expired(flow, state));
        expired.map(|(flow, _)| *flow).collect()
    }

    /// Flows of which neither end was heard for `idle`.
    #[must_use]
    pub fn idle_flows(&self, now: Instant, idle: Duration) -> Vec<Flow> {
        let is_idle = |connection: &State| {
            let heard = connection.caller_heard.max(connection.upstream_heard);
            now.duration_since(heard) >= idle
        };
        let idle = self.flows.iter().filter(|(_, connection)| is_idle(connection));
        idle.map(|(flow, _)| *flow).collect()
    }

    /// Adopted TCP flows whose upstream has not shown yet that it holds them.
    #[must_use]
    pub fn unverified_flows(&self) -> Vec<Flow> {
        let unverified = self.flows.iter().filter(|(flow, connection)| {
            connection.unverified && !connection.is_closed() && flow.protocol == Protocol::Tcp
        });
        unverified.map(|(flow, _)| *flow).collect()
    }

    /// Open TCP flows of which one end was silent for `silence` and that were not probed within
    /// `interval`, with the probes sent so far.
    #[must_use]
    pub fn probe_candidates(
        &self,
        now: Instant,
        silence: Duration,
        interval: Duration,
    ) -> Vec<(Flow, u32)> {
        let is_due = |flow: &Flow, connection: &State| {
            let heard = connection.caller_heard.min(connection.upstream_heard);
            flow.protocol == Protocol::Tcp
                && !connection.is_closed()
                && now.duration_since(heard) >= silence
                && connection.probed.is_none_or(|last| now.duration_since(last) >= interval)
        };
        let due = self.flows.iter().filter(|(flow, connection)| is_due(flow, connection));
        due.map(|(flow, connection)| (*flow, connection.unanswered_probes())).collect()
    }

    /// Probes for the ends of a silent flow.
    ///
    /// The upstream's is possible also where no packet was seen since the flow was adopted: a
    /// sequence number that was acknowledged long ago is answered all the same.
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

    /// Resets for the ends of a flow that is given up, as far as their numbers are known.
    #[must_use]
    pub fn resets(&self, flow: &Flow) -> Ends<Reset> {
        let Some(connection) = self.flows.get(flow) else {
            return Ends { upstream: None, caller: None };
        };
        // A receiver ignores a reset below the number that it expects, and answers one above it
        // within its window, whereupon its home resets it. What was sent is never below; an
        // acknowledgement may be on its way still.
        let to_upstream = connection.caller.next.or(connection.caller.acknowledged);
        let to_caller = connection.upstream.next.or(connection.upstream.acknowledged);
        let reset = |from, to, sequence| Reset::abort(from, to, sequence);
        Ends {
            upstream: to_upstream.map(|next| reset(flow.caller, flow.service, next)),
            caller: to_caller.map(|next| reset(flow.service, flow.caller, next)),
        }
    }

    /// All flows, in no order.
    pub fn iter(&self) -> impl Iterator<Item = (&Flow, &State)> {
        self.flows.iter()
    }

    /// Count of flows, the closed ones included.
    #[must_use]
    pub fn len(&self) -> usize {
        self.flows.len()
    }

    /// Whether there is no flow.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.flows.is_empty()
    }

    fn update<T>(&mut self, flow: &Flow, change: impl FnOnce(&mut State) -> T) -> Option<T> {
        let connection = self.flows.get_mut(flow)?;
        let before = (connection.is_closed(), connection.slot);
        let result = change(connection);
        self.connections -= u32::from(!before.0 && connection.is_closed());
        self.slots -= u32::from(before.1 && !connection.slot);
        self.slots += u32::from(!before.1 && connection.slot);
        Some(result)
    }

    fn count(&mut self, connection: &State, added: bool) {
        let (connections, slots) =
            (u32::from(!connection.is_closed()), u32::from(connection.has_slot()));
        if added {
            self.connections += connections;
            self.slots += slots;
        } else {
            self.connections -= connections;
            self.slots -= slots;
        }
    }
}
