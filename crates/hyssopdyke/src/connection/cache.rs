//! An entry's cache of the owners of flows.
//!
//! A wrong or missing line only costs a detour through the flow's home. So the cache uses a 64-bit
//! hash of the flow as key, and evicts the oldest half when it is full.

use std::collections::HashMap;

use crate::vm;

/// Cached data of a flow.
#[derive(Debug, Clone, Copy)]
struct Line {
    owner: vm::Id,
    /// Sequence number of the last packet that was sent to the owner; 0 before the first.
    sequence: u32,
}

/// Bounded map from the hash of a flow to its owner.
#[derive(Debug, Default)]
pub struct Cache {
    generation_lines: usize,
    young: HashMap<u64, Line>,
    old: HashMap<u64, Line>,
}

impl Cache {
    /// Creates a cache of at most `lines` flows.
    #[must_use]
    pub fn new(lines: usize) -> Self {
        Self { generation_lines: lines.div_ceil(2), ..Self::default() }
    }

    /// Returns the owner of a flow, and moves its line to the young generation.
    pub fn owner(&mut self, flow: u64) -> Option<vm::Id> {
        if let Some(line) = self.young.get(&flow) {
            return Some(line.owner);
        }
        let line = self.old.remove(&flow)?;
        self.add(flow, line);
        Some(line.owner)
    }

    /// Records the sequence number of a packet to the owner. Returns true if it equals that of the
    /// last packet: the caller has then received no answer to it and sends it again.
    pub fn record_sequence(&mut self, flow: u64, sequence: u32) -> bool {
        let line = self.young.get_mut(&flow);
        line.is_some_and(|line| std::mem::replace(&mut line.sequence, sequence) == sequence)
    }

    /// Caches the owner of a flow.
    pub fn insert(&mut self, flow: u64, owner: vm::Id) {
        self.add(flow, Line { owner, sequence: 0 });
    }

    fn add(&mut self, flow: u64, line: Line) {
        if self.young.len() >= self.generation_lines && !self.young.contains_key(&flow) {
            self.old = std::mem::take(&mut self.young);
        }
        self.young.insert(flow, line);
    }

    /// Removes a flow.
    pub fn remove(&mut self, flow: u64) {
        self.young.remove(&flow);
        self.old.remove(&flow);
    }

    /// Returns the number of cached flows.
    #[must_use]
    pub fn len(&self) -> usize {
        self.young.len() + self.old.len()
    }

    /// Returns whether no flow is cached.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }
}
