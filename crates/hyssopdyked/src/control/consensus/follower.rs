//! The leader's view of another VM.

use std::net::SocketAddr;
use std::time::{Duration, Instant};

/// Replication state of one VM.
pub(super) struct Follower {
    pub(super) address: SocketAddr,
    /// Identity of the data folder in the VM's last answer.
    pub(super) identity: Option<u64>,
    /// Index of the next entry to send.
    pub(super) next_index: u64,
    /// Index of the last entry that the VM has confirmed as synced.
    pub(super) match_index: u64,
    /// Last round of messages that the VM has answered.
    pub(super) acknowledged_round: u64,
    /// Time of the VM's last answer, or when the leader added the VM.
    pub(super) last_contact: Instant,
    /// Time at which the last snapshot was sent, if the VM has not answered since.
    pub(super) snapshot_sent_at: Option<Instant>,
}

impl Follower {
    /// Creates the state of a VM that has not answered yet; `last` is the leader's last entry.
    pub(super) fn new(address: SocketAddr, last: u64) -> Self {
        Self {
            address,
            identity: None,
            next_index: last + 1,
            match_index: 0,
            acknowledged_round: 0,
            last_contact: Instant::now(),
            snapshot_sent_at: None,
        }
    }

    /// Returns whether the VM has not answered for `time`.
    pub(super) fn is_unresponsive(&self, time: Duration) -> bool {
        self.last_contact.elapsed() >= time
    }
}
