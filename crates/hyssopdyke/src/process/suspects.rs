//! Members that do not answer, which are spared for a while.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::time::{Duration, Instant};

use crate::vm;

/// Time for which a member that has not answered is spared, unless it is heard before: many times
/// the interval at which it is asked.
const SUSPICION: Duration = Duration::from_secs(5);

/// Members that are asked at a time whether they answer again.
const QUESTIONS: usize = 16;

/// Members that have not answered, with the end of their suspicion.
#[derive(Debug, Default)]
pub struct Suspects {
    until: HashMap<vm::Id, Instant>,
    /// Members that were asked, by the address that their answer comes from.
    asked: HashMap<SocketAddr, vm::Id>,
}

impl Suspects {
    /// No suspects.
    #[must_use]
    pub fn new() -> Self {
        Self::default()
    }

    /// Notes that a member has not answered.
    pub fn suspect(&mut self, vm: vm::Id, now: Instant) {
        self.until.insert(vm, now + SUSPICION);
    }

    /// Notes that a suspect is asked at an address.
    pub fn record_probe(&mut self, vm: vm::Id, address: SocketAddr) {
        self.asked.insert(address, vm);
    }

    /// Notes that something has come from an address.
    pub fn record_reply(&mut self, from: SocketAddr) {
        if let Some(vm) = self.asked.remove(&from) {
            self.until.remove(&vm);
        }
    }

    /// Whether a member is spared at `now`.
    #[must_use]
    pub fn is_suspected(&self, vm: vm::Id, now: Instant) -> bool {
        self.until.get(&vm).is_some_and(|until| now < *until)
    }

    /// Members that are to be asked whether they answer again; forgets those that are not spared
    /// any more.
    pub fn suspected(&mut self, now: Instant) -> Vec<vm::Id> {
        self.until.retain(|_, until| now < *until);
        let until = &self.until;
        self.asked.retain(|_, vm| until.contains_key(vm));
        self.until.keys().take(QUESTIONS).copied().collect()
    }
}
