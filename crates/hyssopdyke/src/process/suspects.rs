//! Members that did not answer, which are not used for a while.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::time::{Duration, Instant};

use crate::vm;

/// Time for which a member stays suspected unless it answers a probe: many times the interval
/// between probes.
const SUSPICION_TIMEOUT: Duration = Duration::from_secs(5);

/// Maximum number of suspected members that are probed at once.
const MAX_PROBES: usize = 16;

/// Members that have not answered, with the end of their suspicion.
#[derive(Debug, Default)]
pub struct Suspects {
    until: HashMap<vm::Id, Instant>,
    /// Members that were probed, by the source address of their reply.
    probed: HashMap<SocketAddr, vm::Id>,
}

impl Suspects {
    /// Creates an empty set.
    #[must_use]
    pub fn new() -> Self {
        Self::default()
    }

    /// Marks a member that has not answered as suspected.
    pub fn suspect(&mut self, vm: vm::Id, now: Instant) {
        self.until.insert(vm, now + SUSPICION_TIMEOUT);
    }

    /// Records a probe to a suspected member at an address.
    pub fn record_probe(&mut self, vm: vm::Id, address: SocketAddr) {
        self.probed.insert(address, vm);
    }

    /// Records a datagram from an address, which ends the suspicion of the member probed there.
    pub fn record_reply(&mut self, from: SocketAddr) {
        if let Some(vm) = self.probed.remove(&from) {
            self.until.remove(&vm);
        }
    }

    /// Returns whether a member is suspected at `now`.
    #[must_use]
    pub fn is_suspected(&self, vm: vm::Id, now: Instant) -> bool {
        self.until.get(&vm).is_some_and(|until| now < *until)
    }

    /// Returns the suspected members to probe, and removes those whose suspicion has ended.
    pub fn suspected(&mut self, now: Instant) -> Vec<vm::Id> {
        self.until.retain(|_, until| now < *until);
        let until = &self.until;
        self.probed.retain(|_, vm| until.contains_key(vm));
        self.until.keys().take(MAX_PROBES).copied().collect()
    }
}
