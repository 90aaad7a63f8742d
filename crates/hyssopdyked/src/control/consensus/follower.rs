//! What the leader knows of another VM.

use std::net::SocketAddr;
use std::time::{Duration, Instant};

/// Progress of one VM.
pub(super) struct Follower {
    pub(super) address: SocketAddr,
    /// Identity that the VM last said it has.
    pub(super) identity: Option<u64>,
    /// Index of the entry that is sent next.
    pub(super) next: u64,
    /// Last entry that the VM is known to have synced.
    pub(super) matched: u64,
    /// Last round of messages that the VM has answered.
    pub(super) round: u64,
    /// When the VM was last heard, or became known.
    pub(super) heard: Instant,
    /// When a snapshot was last sent.
    pub(super) installed: Option<Instant>,
}

impl Follower {
    /// A VM that was not heard yet, to a leader whose last entry is `last`.
    pub(super) fn new(address: SocketAddr, last: u64) -> Self {
        Self {
            address,
            identity: None,
            next: last + 1,
            matched: 0,
            round: 0,
            heard: Instant::now(),
            installed: None,
        }
    }

    /// Whether the VM was not heard for `time`.
    pub(super) fn is_silent(&self, time: Duration) -> bool {
        self.heard.elapsed() >= time
    }
}
