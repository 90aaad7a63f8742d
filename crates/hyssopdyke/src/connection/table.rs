//! The flows that one upstream serves, as its agent sees them from both directions.

use std::collections::HashMap;
use std::time::{Duration, Instant};

use super::{Flow, Protocol};
use crate::request::{Probe, Reset, Segment};

/// One direction of a TCP connection.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
struct Half {
    /// Next sequence number of the sender.
    next: Option<u32>,
    /// Sequence number after the sender's FIN.
    fin: Option<u32>,
    /// Highest acknowledgement from the other end.
    acknowledged: Option<u32>,
}

impl Half {
    fn sent(&mut self, segment: &Segment) {
        let next = segment.next();
        if self.next.is_none_or(|known| is_after(next, known)) {
            self.next = Some(next);
        }
        if segment.fin {
            self.fin = Some(next);
        }
    }

    fn acknowledge(&mut self, number: u32) {
        if self.acknowledged.is_none_or(|known| is_after(number, known)) {
            self.acknowledged = Some(number);
        }
    }

    fn is_finished(&self) -> bool {
        match (self.fin, self.acknowledged) {
            (Some(fin), Some(acknowledged)) => !is_after(fin, acknowledged),
            _ => false,
        }
    }
}

/// Whether sequence number `a` follows `b`, modulo 2^32.
const fn is_after(a: u32, b: u32) -> bool {
    a.wrapping_sub(b).cast_signed() > 0
}

/// Something for each end of a flow.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Ends<T> {
    /// For the upstream.
    pub upstream: Option<T>,
    /// For the caller.
    pub caller: Option<T>,
}

/// What a packet changed.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Event {
    /// The upstream has taken the connection, after this time.
    Opened(Duration),
    /// The upstream has finished its answer, this time after it was asked.
    Answered(Duration),
    /// The upstream has reset the connection before it finished its answer.
    Failed,
}

/// State of one flow at its owner.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Connection {
    /// Initial sequence number of the caller; 0 for UDP.
    pub isn: u32,
    /// When the flow was admitted.
    pub since: Instant,
    caller: Half,
    upstream: Half,
    caller_heard: Instant,
    upstream_heard: Instant,
    probed: Option<Instant>,
    probes: u32,
    /// First bytes of the caller.
    asked: Option<Instant>,
    /// The upstream has not been heard since the flow was adopted.
    unverified: bool,
    opened: bool,
    slot: bool,
    closed: Option<Instant>,
}

impl Connection {
    /// A flow that is admitted now; `slot` tells whether it holds one of the upstream's slots.
    #[must_use]
    pub fn new(isn: u32, now: Instant, slot: bool) -> Self {
        Self {
            isn,
            since: now,
            caller: Half::default(),
            upstream: Half::default(),
            caller_heard: now,
            upstream_heard: now,
            probed: None,
            probes: 0,
            asked: None,
            unverified: false,
            opened: false,
            slot,
            closed: None,
        }
    }

    /// A flow that a former process of this agent admitted: it is open and its numbers unknown.
    #[must_use]
    pub fn adopted(isn: u32, now: Instant, slot: bool) -> Self {
        Self { opened: true, unverified: true, ..Self::new(isn, now, slot) }
    }

    /// Whether both ends have finished, or one has reset the connection.
    #[must_use]
    pub const fn is_closed(&self) -> bool {
        self.closed.is_some()
    }

    /// Whether the flow holds a slot.
    #[must_use]
    pub const fn has_slot(&self) -> bool {
        self.slot
    }

    /// Whether the upstream has answered.
    #[must_use]
    pub const fn is_open(&self) -> bool {
        self.opened
    }

    fn inbound(&mut self, segment: Option<&Segment>, now: Instant) {
        self.caller_heard = now;
        let Some(segment) = segment else { return };
        if segment.rst {
            self.reset_by_caller(segment, now);
            return;
        }
        if segment.length > 0 && self.asked.is_none() {
            self.asked = Some(now);
        }
        self.caller.sent(segment);
        if let Some(number) = segment.acknowledgement {
            self.upstream.acknowledge(number);
        }
        self.close_finished(now);
    }

    /// A reset counts only at the number that the upstream expects (RFC 5961 section 3.2), since
    /// the upstream ignores any other and keeps the connection.
    fn reset_by_caller(&mut self, segment: &Segment, now: Instant) {
        let expected = [self.caller.next, self.caller.acknowledged];
        if !self.opened || expected.contains(&Some(segment.sequence)) {
            self.close(now);
        }
    }

    fn outbound(&mut self, segment: Option<&Segment>, now: Instant) -> Option<Event> {
        self.upstream_heard = now;
        let was_unverified = std::mem::replace(&mut self.unverified, false);
        let age = now.duration_since(self.since);
        let Some(segment) = segment else {
            self.opened = true;
            return self.release_slot().then_some(Event::Answered(age));
        };
        if segment.rst {
            let unfinished = self.upstream.fin.is_none() && self.caller.fin.is_none();
            // An adopted flow that the upstream does not hold has ended before it was adopted.
            let failed = !self.is_closed() && !was_unverified && (unfinished || self.slot);
            self.close(now);
            return failed.then_some(Event::Failed);
        }
        self.upstream.sent(segment);
        if let Some(number) = segment.acknowledgement {
            self.caller.acknowledge(number);
        }
        let event = if segment.fin && self.release_slot() {
            // The handshake is no part of the upstream's work.
            let asked = self.asked.unwrap_or(self.since);
            Some(Event::Answered(now.duration_since(asked)))
        } else if segment.syn && !std::mem::replace(&mut self.opened, true) {
            Some(Event::Opened(age))
        } else {
            None
        };
        self.close_finished(now);
        event
    }

    fn release_slot(&mut self) -> bool {
        std::mem::replace(&mut self.slot, false)
    }

    fn close_finished(&mut self, now: Instant) {
        if self.caller.is_finished() && self.upstream.is_finished() {
            self.close(now);
        }
    }

    fn close(&mut self, now: Instant) {
        self.slot = false;
        self.closed = self.closed.or(Some(now));
    }
}

/// All flows of one upstream, with the counts that its limits are held against.
#[derive(Debug, Default)]
pub struct Table {
    flows: HashMap<Flow, Connection>,
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
    pub fn get(&self, flow: &Flow) -> Option<&Connection> {
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
    pub fn insert(&mut self, flow: Flow, connection: Connection) {
        self.remove(&flow);
        self.count(&connection, true);
        self.flows.insert(flow, connection);
    }

    /// Forgets a flow.
    pub fn remove(&mut self, flow: &Flow) -> Option<Connection> {
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

    /// Closes a flow that one end has lost.
    pub fn close(&mut self, flow: &Flow, now: Instant) {
        self.update(flow, |connection| connection.close(now));
    }

    /// Flows that were closed `linger` ago, and UDP flows that were silent for `idle`.
    #[must_use]
    pub fn expired(&self, now: Instant, linger: Duration, idle: Duration) -> Vec<Flow> {
        let is_expired = |flow: &Flow, connection: &Connection| match connection.closed {
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

    /// Adopted TCP flows whose upstream has not shown yet that it holds them.
    #[must_use]
    pub fn unverified(&self) -> Vec<Flow> {
        let unverified = self.flows.iter().filter(|(flow, connection)| {
            connection.unverified && !connection.is_closed() && flow.protocol == Protocol::Tcp
        });
        unverified.map(|(flow, _)| *flow).collect()
    }

    /// Open TCP flows of which one end was silent for `silence` and that were not probed within
    /// `interval`, with the probes sent so far.
    #[must_use]
    pub fn silent(&self, now: Instant, silence: Duration, interval: Duration) -> Vec<(Flow, u32)> {
        let is_due = |flow: &Flow, connection: &Connection| {
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
        // The other end's acknowledgement is the number that it expects next.
        let to_upstream = connection.caller.acknowledged.or(connection.caller.next);
        let to_caller = connection.upstream.acknowledged.or(connection.upstream.next);
        let reset = |from, to, sequence| Reset::abort(from, to, sequence);
        Ends {
            upstream: to_upstream.map(|next| reset(flow.caller, flow.service, next)),
            caller: to_caller.map(|next| reset(flow.service, flow.caller, next)),
        }
    }

    /// All flows, in no order.
    pub fn iter(&self) -> impl Iterator<Item = (&Flow, &Connection)> {
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

    fn update<T>(&mut self, flow: &Flow, change: impl FnOnce(&mut Connection) -> T) -> Option<T> {
        let connection = self.flows.get_mut(flow)?;
        let before = (connection.is_closed(), connection.slot);
        let result = change(connection);
        self.connections -= u32::from(!before.0 && connection.is_closed());
        self.slots -= u32::from(before.1 && !connection.slot);
        Some(result)
    }

    fn count(&mut self, connection: &Connection, added: bool) {
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

impl Connection {
    /// Probes since both ends were last heard.
    fn unanswered_probes(&self) -> u32 {
        let heard = self.caller_heard.min(self.upstream_heard);
        match self.probed {
            Some(probed) if probed > heard => self.probes,
            _ => 0,
        }
    }
}
