//! The state of one flow at its owner, derived from the packets of both directions.

use std::time::{Duration, Instant};

use super::half::Half;
use crate::request::Segment;

/// Event that a packet of the upstream causes.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Event {
    /// The upstream has accepted the connection; contains the time since the flow was admitted.
    Opened(Duration),
    /// The upstream has answered; contains the time since the request.
    Answered(Duration),
    /// The upstream has reset the connection before it finished its answer.
    Failed,
}

/// Class of a flow, which determines the capacity that the flow uses at its upstream.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Class {
    /// A connection.
    Stream,
    /// A connection, and a slot until its only request is answered.
    Request,
    /// A connection, and a slot while one of its requests is in progress: from the caller's first
    /// bytes to the upstream's first bytes.
    Exchange,
}

/// Progress of a flow's handshake.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Handshake {
    /// The caller's first packet went to the upstream.
    Requested,
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
    /// Last packet of the caller.
    pub(super) caller_seen: Instant,
    /// Last packet of the upstream.
    pub(super) upstream_seen: Instant,
    /// Last probe of the ends.
    pub(super) probed: Option<Instant>,
    /// Probes sent, counted by [`Self::unanswered_probes`].
    pub(super) probes: u32,
    /// First bytes of the request that is not answered yet.
    requested: Option<Instant>,
    /// Whether the upstream has sent nothing since the flow was adopted.
    pub(super) is_unverified: bool,
    /// When the upstream reset the adopted flow. An upstream that still waits for the caller's
    /// acknowledgement, which was lost with the former process, also answers probes with a reset
    /// (RFC 9293 section 3.10.7.4) but keeps the connection, so that the flow may continue.
    pub(super) upstream_reset: Option<Instant>,
    handshake: Handshake,
    /// Whether another upstream was also offered the flow and is recorded as its owner.
    has_other_owner: bool,
    class: Class,
    pub(super) has_slot: bool,
    pub(super) closed: Option<Instant>,
}

impl State {
    /// Creates the state of a flow that is admitted at `now` and expected to send its first request
    /// at once.
    #[must_use]
    pub fn new(isn: u32, now: Instant, class: Class) -> Self {
        Self {
            isn,
            admitted_at: now,
            caller: Half::default(),
            upstream: Half::default(),
            caller_seen: now,
            upstream_seen: now,
            probed: None,
            probes: 0,
            requested: None,
            is_unverified: false,
            upstream_reset: None,
            handshake: Handshake::Requested,
            has_other_owner: false,
            class,
            has_slot: class != Class::Stream,
            closed: None,
        }
    }

    /// Creates the state of a flow that a former process of this agent admitted. The flow is open,
    /// and its sequence numbers are unknown.
    #[must_use]
    pub fn adopted(isn: u32, now: Instant, class: Class) -> Self {
        let handshake = Handshake::Confirmed;
        // It is unknown whether a single request is still running; its slot is taken until it ends.
        let has_slot = class == Class::Request;
        Self { handshake, has_slot, is_unverified: true, ..Self::new(isn, now, class) }
    }

    /// Returns whether both ends have finished, or one has reset the connection.
    #[must_use]
    pub const fn is_closed(&self) -> bool {
        self.closed.is_some()
    }

    /// Returns when the flow was closed, or was reset by its upstream after its adoption.
    pub(super) fn ended(&self) -> Option<Instant> {
        self.closed.or(self.upstream_reset)
    }

    /// Returns whether the flow holds a slot.
    #[must_use]
    pub const fn has_slot(&self) -> bool {
        self.has_slot
    }

    /// Returns whether a caller's packet may belong to the flow that this upstream has answered.
    ///
    /// A first packet that reached several upstreams is answered by each of them, and the caller
    /// continues with the upstream whose sequence number it acknowledges.
    #[must_use]
    pub fn accepts(&self, segment: &Segment) -> bool {
        match (self.is_confirmed(), self.upstream.next, segment.acknowledgement) {
            (false, Some(next), Some(number)) if !segment.syn => number == next,
            _ => true,
        }
    }

    /// Returns whether the caller has acknowledged the upstream's first packet.
    #[must_use]
    pub fn is_confirmed(&self) -> bool {
        self.handshake == Handshake::Confirmed
    }

    /// Returns whether the flow was adopted, and the upstream has sent nothing since.
    #[must_use]
    pub const fn is_unverified(&self) -> bool {
        self.is_unverified
    }

    /// Returns when the upstream last sent a packet; for a flow without one, when it was admitted.
    #[must_use]
    pub const fn upstream_seen(&self) -> Instant {
        self.upstream_seen
    }

    /// Returns whether another upstream is recorded as the owner, and the caller has not
    /// acknowledged this upstream's first packet.
    #[must_use]
    pub fn is_contested(&self) -> bool {
        self.has_other_owner && !self.is_confirmed()
    }

    /// Returns whether the upstream has answered.
    #[must_use]
    pub fn is_open(&self) -> bool {
        self.handshake != Handshake::Requested
    }

    pub(super) fn inbound(&mut self, segment: Option<&Segment>, now: Instant) {
        self.caller_seen = now;
        let Some(segment) = segment else { return };
        if segment.rst {
            self.reset_by_caller(segment, now);
            return;
        }
        if segment.length > 0 && self.requested.is_none() {
            self.requested = Some(now);
            self.has_slot |= self.class == Class::Exchange && !self.is_closed();
        }
        self.caller.record_sent(segment);
        if let Some(number) = segment.acknowledgement {
            if self.is_open() && !segment.syn {
                self.handshake = Handshake::Confirmed;
            }
            self.upstream.record_acknowledged(number);
        }
        self.close_finished(now);
    }

    /// Closes the flow if the reset has the sequence number that the upstream expects (RFC 5961
    /// section 3.2). The upstream ignores any other reset and keeps the connection.
    fn reset_by_caller(&mut self, segment: &Segment, now: Instant) {
        let expected = [self.caller.next, self.caller.acknowledged];
        if !self.is_open() || expected.contains(&Some(segment.sequence)) {
            self.close(now);
        }
    }

    pub(super) fn outbound(&mut self, segment: Option<&Segment>, now: Instant) -> Option<Event> {
        self.upstream_seen = now;
        let was_unverified = std::mem::replace(&mut self.is_unverified, false);
        let age = now.duration_since(self.admitted_at);
        let Some(segment) = segment else {
            self.open();
            return self.release_slot().then_some(Event::Answered(age));
        };
        if segment.rst {
            if was_unverified {
                // The flow has most likely ended before it was adopted.
                self.has_slot = false;
                self.upstream_reset = Some(now);
                return None;
            }
            let is_unfinished = self.upstream.fin.is_none() && self.caller.fin.is_none();
            let was_active = !self.is_closed() && self.upstream_reset.is_none();
            self.close(now);
            return (was_active && (is_unfinished || self.has_slot)).then_some(Event::Failed);
        }
        self.upstream_reset = None;
        self.upstream.record_sent(segment);
        if let Some(number) = segment.acknowledgement {
            self.caller.record_acknowledged(number);
        }
        let is_answer = match self.class {
            Class::Exchange => segment.fin || (segment.length > 0 && self.requested.is_some()),
            Class::Request | Class::Stream => segment.fin,
        };
        let event = if is_answer && self.release_slot() {
            // The time of the handshake is not part of the answer time.
            let requested = self.requested.take().unwrap_or(self.admitted_at);
            Some(Event::Answered(now.duration_since(requested)))
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
        self.has_other_owner = true;
        self.release_unconfirmed();
    }

    pub(super) fn release_unconfirmed(&mut self) {
        self.has_slot &= self.is_confirmed();
    }

    /// Releases the slot. Returns whether the flow held one.
    fn release_slot(&mut self) -> bool {
        std::mem::replace(&mut self.has_slot, false)
    }

    /// Closes the flow once both ends have finished.
    fn close_finished(&mut self, now: Instant) {
        if self.caller.is_finished() && self.upstream.is_finished() {
            self.close(now);
        }
    }

    pub(super) fn close(&mut self, now: Instant) {
        self.has_slot = false;
        self.closed = self.closed.or(Some(now));
    }

    /// Returns the number of probes sent since both ends last sent a packet.
    pub(super) fn unanswered_probes(&self) -> u32 {
        let seen = self.caller_seen.min(self.upstream_seen);
        match self.probed {
            Some(probed) if probed > seen => self.probes,
            _ => 0,
        }
    }
}
