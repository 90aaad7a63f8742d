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
    /// Whether the caller has confirmed the owner.
    is_confirmed: bool,
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

    /// Returns the owner of a flow, and whether its caller has confirmed the owner. Moves its line to
    /// the young generation.
    pub fn owner(&mut self, flow: u64) -> Option<(vm::Id, bool)> {
        let line = self.line(flow)?;
        Some((line.owner, line.is_confirmed))
    }

    fn line(&mut self, flow: u64) -> Option<&mut Line> {
        if let Some(line) = self.old.remove(&flow) {
            self.add(flow, line);
        }
        self.young.get_mut(&flow)
    }

    /// Records the sequence number of a packet to the owner. Returns true if it equals that of the
    /// last packet: the caller has then received no answer to it and sends it again.
    pub fn record_sequence(&mut self, flow: u64, sequence: u32) -> bool {
        let line = self.young.get_mut(&flow);
        line.is_some_and(|line| std::mem::replace(&mut line.sequence, sequence) == sequence)
    }

    /// Caches a member that has accepted a flow, unless the caller has confirmed another one.
    pub fn insert(&mut self, flow: u64, owner: vm::Id) {
        if !self.line(flow).is_some_and(|line| line.is_confirmed) {
            self.add(flow, Line { owner, is_confirmed: false, sequence: 0 });
        }
    }

    /// Caches the owner of a flow that its caller has confirmed.
    pub fn confirm(&mut self, flow: u64, owner: vm::Id) {
        self.add(flow, Line { owner, is_confirmed: true, sequence: 0 });
    }

    /// Records that a caller opens a flow, so that any member may accept it.
    pub fn reopen(&mut self, flow: u64) {
        if let Some(line) = self.line(flow) {
            line.is_confirmed = false;
        }
    }

    fn add(&mut self, flow: u64, line: Line) {
        self.old.remove(&flow);
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
