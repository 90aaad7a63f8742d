//! An entry's memory of who owns which flow.
//!
//! A wrong or lost line costs a detour over the flow's home and nothing else, so lines are found
//! by a 64-bit hash of the flow, and the oldest half is forgotten when the cache is full.

use std::collections::HashMap;

use crate::vm;

/// What is remembered of a flow.
#[derive(Debug, Clone, Copy)]
struct Line {
    owner: vm::Id,
    /// Number of the last packet that was sent to the owner; 0 before the first.
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
    /// Remembers at most `lines` flows.
    #[must_use]
    pub fn new(lines: usize) -> Self {
        Self { generation_lines: lines.div_ceil(2), ..Self::default() }
    }

    /// Owner of a flow; a hit keeps the line young.
    pub fn owner(&mut self, flow: u64) -> Option<vm::Id> {
        if let Some(line) = self.young.get(&flow) {
            return Some(line.owner);
        }
        let line = self.old.remove(&flow)?;
        self.add(flow, line);
        Some(line.owner)
    }

    /// Notes the number of a packet that goes to the owner; true if it is that of the last one, so
    /// that the caller has not heard of it.
    pub fn record_sequence(&mut self, flow: u64, sequence: u32) -> bool {
        let line = self.young.get_mut(&flow);
        line.is_some_and(|line| std::mem::replace(&mut line.sequence, sequence) == sequence)
    }

    /// Remembers the owner of a flow.
    pub fn insert(&mut self, flow: u64, owner: vm::Id) {
        self.add(flow, Line { owner, sequence: 0 });
    }

    fn add(&mut self, flow: u64, line: Line) {
        if self.young.len() >= self.generation_lines && !self.young.contains_key(&flow) {
            self.old = std::mem::take(&mut self.young);
        }
        self.young.insert(flow, line);
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
