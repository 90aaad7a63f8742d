//! The state of one flow, as its owner sees it from both directions.

use std::time::{Duration, Instant};

use super::half::Half;
use crate::request::Segment;

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

/// What a flow takes of its upstream.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Class {
    /// A connection.
    Stream,
    /// A connection, and a slot until the one request that it carries is answered.
    Request,
    /// A connection, and a slot while one of the requests that it carries is under way: from the
    /// caller's first bytes to the upstream's.
    Exchange,
}

/// How far the opening of a flow has come.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Handshake {
    /// The upstream was asked.
    Asked,
    /// The upstream has answered.
    Answered,
    /// The caller has acknowledged the upstream's first packet.
    Confirmed,
}

/// State of one flow at its owner.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct State {
    /// Initial sequence number of the caller; 0 for UDP.
    pub isn: u32,
    /// When the flow was admitted.
    pub admitted_at: Instant,
    pub(super) caller: Half,
    pub(super) upstream: Half,
    pub(super) caller_heard: Instant,
    pub(super) upstream_heard: Instant,
    pub(super) probed: Option<Instant>,
    pub(super) probes: u32,
    /// First bytes of the caller.
    asked: Option<Instant>,
    /// The upstream has not been heard since the flow was adopted.
    pub(super) unverified: bool,
    /// When the upstream reset the adopted flow. One that still waits for the caller's
    /// acknowledgement, which was lost with the former process, resets probes as well (RFC 9293
    /// section 3.10.7.4) and keeps the connection, so that the flow may go on.
    pub(super) disowned: Option<Instant>,
    handshake: Handshake,
    /// Another upstream was offered the flow, too, and is taken for its owner.
    contested: bool,
    class: Class,
    pub(super) slot: bool,
    pub(super) closed: Option<Instant>,
}

impl State {
    /// A flow that is admitted now; its first request is expected at once.
    #[must_use]
    pub fn new(isn: u32, now: Instant, class: Class) -> Self {
        Self {
            isn,
            admitted_at: now,
            caller: Half::default(),
            upstream: Half::default(),
            caller_heard: now,
            upstream_heard: now,
            probed: None,
            probes: 0,
            asked: None,
            unverified: false,
            disowned: None,
            handshake: Handshake::Asked,
            contested: false,
            class,
            slot: class != Class::Stream,
            closed: None,
        }
    }

    /// A flow that a former process of this agent admitted: it is open and its numbers unknown.
    #[must_use]
    pub fn adopted(isn: u32, now: Instant, class: Class) -> Self {
        let handshake = Handshake::Confirmed;
        // Whether a lone request still runs is unknown; its slot is taken until it has ended.
        let slot = class == Class::Request;
        Self { handshake, slot, unverified: true, ..Self::new(isn, now, class) }
    }

    /// Whether both ends have finished, or one has reset the connection.
    #[must_use]
    pub const fn is_closed(&self) -> bool {
        self.closed.is_some()
    }

    /// Since when the flow has been over, or seems to be.
    pub(super) fn ended(&self) -> Option<Instant> {
        self.closed.or(self.disowned)
    }

    /// Whether the flow holds a slot.
    #[must_use]
    pub const fn has_slot(&self) -> bool {
        self.slot
    }

    /// Whether a caller's packet may belong to the flow that this upstream has answered.
    ///
    /// A first packet that has reached several upstreams is answered by each, and the caller goes
    /// on with the one whose sequence number it acknowledges.
    #[must_use]
    pub fn accepts(&self, segment: &Segment) -> bool {
        match (self.is_confirmed(), self.upstream.next, segment.acknowledgement) {
            (false, Some(next), Some(number)) if !segment.syn => number == next,
            _ => true,
        }
    }

    /// Whether the caller has acknowledged the upstream's first packet.
    #[must_use]
    pub fn is_confirmed(&self) -> bool {
        self.handshake == Handshake::Confirmed
    }

    /// Whether another upstream is taken for the owner, and the caller has not shown yet with
    /// which it goes on.
    #[must_use]
    pub fn is_contested(&self) -> bool {
        self.contested && !self.is_confirmed()
    }

    /// Whether the upstream has answered.
    #[must_use]
    pub fn is_open(&self) -> bool {
        self.handshake != Handshake::Asked
    }

    pub(super) fn inbound(&mut self, segment: Option<&Segment>, now: Instant) {
        self.caller_heard = now;
        let Some(segment) = segment else { return };
        if segment.rst {
            self.reset_by_caller(segment, now);
            return;
        }
        if segment.length > 0 && self.asked.is_none() {
            self.asked = Some(now);
            self.slot |= self.class == Class::Exchange && !self.is_closed();
        }
        self.caller.sent(segment);
        if let Some(number) = segment.acknowledgement {
            if self.is_open() && !segment.syn {
                self.handshake = Handshake::Confirmed;
            }
            self.upstream.acknowledge(number);
        }
        self.close_finished(now);
    }

    /// A reset counts only at the number that the upstream expects (RFC 5961 section 3.2), since
    /// the upstream ignores any other and keeps the connection.
    fn reset_by_caller(&mut self, segment: &Segment, now: Instant) {
        let expected = [self.caller.next, self.caller.acknowledged];
        if !self.is_open() || expected.contains(&Some(segment.sequence)) {
            self.close(now);
        }
    }

    pub(super) fn outbound(&mut self, segment: Option<&Segment>, now: Instant) -> Option<Event> {
        self.upstream_heard = now;
        let was_unverified = std::mem::replace(&mut self.unverified, false);
        let age = now.duration_since(self.admitted_at);
        let Some(segment) = segment else {
            self.open();
            return self.release_slot().then_some(Event::Answered(age));
        };
        if segment.rst {
            if was_unverified {
                // The flow has most likely ended before it was adopted.
                self.slot = false;
                self.disowned = Some(now);
                return None;
            }
            let unfinished = self.upstream.fin.is_none() && self.caller.fin.is_none();
            let is_known = !self.is_closed() && self.disowned.is_none();
            self.close(now);
            return (is_known && (unfinished || self.slot)).then_some(Event::Failed);
        }
        self.disowned = None;
        self.upstream.sent(segment);
        if let Some(number) = segment.acknowledgement {
            self.caller.acknowledge(number);
        }
        let is_answer = match self.class {
            Class::Exchange => segment.fin || (segment.length > 0 && self.asked.is_some()),
            Class::Request | Class::Stream => segment.fin,
        };
        let event = if is_answer && self.release_slot() {
            // The handshake is no part of the upstream's work.
            let asked = self.asked.take().unwrap_or(self.admitted_at);
            Some(Event::Answered(now.duration_since(asked)))
        } else if segment.syn && !self.is_open() {
            self.open();
            Some(Event::Opened(age))
        } else {
            None
        };
        self.close_finished(now);
        event
    }

    fn open(&mut self) {
        if !self.is_open() {
            self.handshake = Handshake::Answered;
        }
    }

    pub(super) fn mark_contested(&mut self) {
        self.contested = true;
        self.release_unconfirmed();
    }

    pub(super) fn release_unconfirmed(&mut self) {
        self.slot &= self.is_confirmed();
    }

    fn release_slot(&mut self) -> bool {
        std::mem::replace(&mut self.slot, false)
    }

    fn close_finished(&mut self, now: Instant) {
        if self.caller.is_finished() && self.upstream.is_finished() {
            self.close(now);
        }
    }

    pub(super) fn close(&mut self, now: Instant) {
        self.slot = false;
        self.closed = self.closed.or(Some(now));
    }

    /// Probes since both ends were last heard.
    pub(super) fn unanswered_probes(&self) -> u32 {
        let heard = self.caller_heard.min(self.upstream_heard);
        match self.probed {
            Some(probed) if probed > heard => self.probes,
            _ => 0,
        }
    }
}
