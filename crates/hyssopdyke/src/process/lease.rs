//! Whether this process may act.
//!
//! Control grants a lease and each renewal extends it from the instant at which the renewal was
//! *sent*, so that the process's own end of the lease is never later than control's. A process
//! that control cannot reach may go on while it exchanges messages with peers outside its failure
//! domain: one of them would tell it of a newer revision. A process that is cut off from all of
//! these cannot know whether its domain was taken out, and stops when the lease ends.
//!
//! Peers are asked with a number that they return. The answer counts from the instant of the
//! question: messages that waited in a socket while the process was frozen prove nothing.

use std::collections::HashMap;
use std::time::{Duration, Instant};

/// Questions that may be unanswered at a time.
const OPEN_QUESTIONS: usize = 64;

/// Proofs that this process is still part of the system.
#[derive(Debug)]
pub struct Lease {
    length: Duration,
    granted: Option<Instant>,
    /// Grants by the revision that control held, until this process has caught up with it.
    pending: Vec<(u64, Instant)>,
    vouched: Option<Instant>,
    questions: HashMap<u64, Instant>,
}

impl Lease {
    /// No lease yet; one that is granted lasts for `length`.
    #[must_use]
    pub fn new(length: Duration) -> Self {
        Self {
            length,
            granted: None,
            pending: Vec::new(),
            vouched: None,
            questions: HashMap::new(),
        }
    }

    /// Notes that control, which held `revision`, granted the renewal that was sent at `sent`.
    ///
    /// The grant counts once the process has [caught up](Self::record_revision) with that revision: one
    /// that was frozen may hold a view from before its failure domain was taken out.
    pub fn grant(&mut self, sent: Instant, length: Duration, revision: u64) {
        self.length = length;
        self.pending.push((revision, sent));
    }

    /// Notes the revision that the process acts by.
    pub fn record_revision(&mut self, revision: u64) {
        for (_, sent) in self.pending.extract_if(.., |(needed, _)| *needed <= revision) {
            self.granted = self.granted.max(Some(sent));
        }
    }

    /// Notes that a peer was asked.
    pub fn record_ping(&mut self, nonce: u64, now: Instant) {
        let length = self.length;
        self.questions.retain(|_, asked| now.duration_since(*asked) < length);
        if self.questions.len() < OPEN_QUESTIONS {
            self.questions.insert(nonce, now);
        }
    }

    /// Notes the answer of a peer outside the failure domain that holds no newer revision.
    pub fn record_pong(&mut self, nonce: u64) {
        if let Some(asked) = self.questions.remove(&nonce) {
            self.vouched = self.vouched.max(Some(asked));
        }
    }

    /// Whether control's grant lasts at `now`.
    #[must_use]
    pub fn is_granted(&self, now: Instant) -> bool {
        self.lasts(self.granted, now)
    }

    /// Whether control has granted a renewal that was sent within `time`.
    #[must_use]
    pub fn is_renewed_within(&self, time: Duration, now: Instant) -> bool {
        self.granted.is_some_and(|sent| now.saturating_duration_since(sent) < time)
    }

    /// Whether the process may act at `now`.
    #[must_use]
    pub fn is_valid(&self, now: Instant) -> bool {
        self.is_granted(now) || self.lasts(self.vouched, now)
    }

    fn lasts(&self, from: Option<Instant>, now: Instant) -> bool {
        from.is_some_and(|from| now.saturating_duration_since(from) < self.length)
    }
}
