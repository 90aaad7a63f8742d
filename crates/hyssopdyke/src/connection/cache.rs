//! An entry's memory of who owns which flow.
//!
//! A wrong or lost line costs a detour over the flow's home and nothing else, so lines are found
//! by a 64-bit hash of the flow, and the oldest half is forgotten when the cache is full.

use std::collections::HashMap;

use crate::vm;

/// Bounded map from the hash of a flow to its owner.
#[derive(Debug, Default)]
pub struct Cache {
    generation_lines: usize,
    young: HashMap<u64, vm::Id>,
    old: HashMap<u64, vm::Id>,
}

impl Cache {
    /// Remembers at most `lines` flows.
    #[must_use]
    pub fn new(lines: usize) -> Self {
        Self { generation_lines: lines.div_ceil(2), ..Self::default() }
    }

    /// Owner of a flow; a hit keeps the line young.
    pub fn owner(&mut self, flow: u64) -> Option<vm::Id> {
        if let Some(owner) = self.young.get(&flow) {
            return Some(*owner);
        }
        let owner = self.old.remove(&flow)?;
        self.insert(flow, owner);
        Some(owner)
    }

    /// Remembers the owner of a flow.
    pub fn insert(&mut self, flow: u64, owner: vm::Id) {
        if self.young.len() >= self.generation_lines && !self.young.contains_key(&flow) {
            self.old = std::mem::take(&mut self.young);
        }
        self.young.insert(flow, owner);
    }

    /// Forgets a flow.
    pub fn remove(&mut self, flow: u64) {
        self.young.remove(&flow);
        self.old.remove(&flow);
    }

    /// Flows that are remembered now.
    #[must_use]
    pub fn len(&self) -> usize {
        self.young.len() + self.old.len()
    }

    /// Whether no flow is remembered.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }
}
