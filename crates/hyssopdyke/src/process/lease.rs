//! The lease under which a process may act.
//!
//! Control grants a lease. Each renewal extends it from the instant at which the renewal was
//! *sent*, so that the lease never ends later at the process than at control. A process that
//! control cannot reach may continue while it exchanges messages with peers outside its failure
//! domain, since one of them would report a newer revision. A process that is isolated from all of
//! these cannot detect that its domain was taken out, and stops when the lease ends.
//!
//! Pings to peers carry a nonce that the pong returns. A pong counts from the instant at which the
//! ping was sent: messages that waited in a socket while the process was frozen prove nothing.

use std::collections::HashMap;
use std::time::{Duration, Instant};

/// Maximum number of grants that wait for their revision.
const MAX_PENDING_GRANTS: usize = 8;

/// Maximum number of unanswered pings that are tracked.
const MAX_OPEN_PINGS: usize = 64;

/// Lease of a process, extended by control or by answers of peers.
#[derive(Debug)]
pub struct Lease {
    length: Duration,
    granted: Option<Instant>,
    /// Grants that take effect once this process applies the revision that control held.
    pending: Vec<(u64, Instant)>,
    /// When the latest ping was sent that a peer outside the failure domain has answered.
    peer_confirmed: Option<Instant>,
    /// Send times of unanswered pings, by nonce.
    open_pings: HashMap<u64, Instant>,
}

impl Lease {
    /// Creates a lease that is not granted yet. Once granted, it lasts for `length`.
    #[must_use]
    pub fn new(length: Duration) -> Self {
        Self {
            length,
            granted: None,
            pending: Vec::new(),
            peer_confirmed: None,
            open_pings: HashMap::new(),
        }
    }

    /// Records that control granted the renewal sent at `sent`, while control held `revision`.
    ///
    /// The grant takes effect once the process has [applied](Self::record_revision) that revision:
    /// after a pause, its view may predate the removal of its failure domain.
    pub fn grant(&mut self, sent: Instant, length: Duration, revision: u64) {
        self.length = length;
        // The first one tells since when this process is behind.
        if self.pending.len() == MAX_PENDING_GRANTS {
            self.pending.remove(1);
        }
        self.pending.push((revision, sent));
    }

    /// Records the revision that the process has applied.
    pub fn record_revision(&mut self, revision: u64) {
        for (_, sent) in self.pending.extract_if(.., |(needed, _)| *needed <= revision) {
            self.granted = self.granted.max(Some(sent));
        }
    }

    /// Records a ping that was sent to a peer.
    pub fn record_ping(&mut self, nonce: u64, now: Instant) {
        let length = self.length;
        self.open_pings.retain(|_, sent| now.duration_since(*sent) < length);
        if self.open_pings.len() < MAX_OPEN_PINGS {
            self.open_pings.insert(nonce, now);
        }
    }

    /// Records the pong of a peer outside the failure domain that holds no newer revision.
    pub fn record_pong(&mut self, nonce: u64) {
        if let Some(sent) = self.open_pings.remove(&nonce) {
            self.peer_confirmed = self.peer_confirmed.max(Some(sent));
        }
    }

    /// Returns whether control's grant is in effect at `now`.
    #[must_use]
    pub fn is_granted(&self, now: Instant) -> bool {
        self.is_within_length(self.granted, now)
    }

    /// Returns whether control has granted a renewal that was sent within the last `time`.
    #[must_use]
    pub fn is_renewed_within(&self, time: Duration, now: Instant) -> bool {
        self.granted.is_some_and(|sent| now.saturating_duration_since(sent) < time)
    }

    /// Returns the time for which a grant or the answer of a peer lasts.
    #[must_use]
    pub const fn length(&self) -> Duration {
        self.length
    }

    /// Returns whether the process may act at `now`.
    #[must_use]
    pub fn is_valid(&self, now: Instant) -> bool {
        self.is_granted(now)
            || !self.is_overdue() && self.is_within_length(self.peer_confirmed, now)
    }

    /// Returns whether control has granted renewals for a whole lease at revisions that this
    /// process has not applied. Its peers may be as far behind.
    fn is_overdue(&self) -> bool {
        let ends = self.pending.first().zip(self.pending.last());
        ends.is_some_and(|((_, first), (_, last))| {
            last.saturating_duration_since(*first) >= self.length
        })
    }

    fn is_within_length(&self, from: Option<Instant>, now: Instant) -> bool {
        from.is_some_and(|from| now.saturating_duration_since(from) < self.length)
    }
}
