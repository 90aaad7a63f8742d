//! Searches for flows that have no record at their home.
//!
//! The home queries all members. An agent that was restarted may have lost the state of flows that
//! its upstream still holds. It passes the caller's packet to its upstream, which answers if it
//! holds the flow and returns the packet otherwise.

use std::collections::{HashMap, HashSet};
use std::time::{Duration, Instant};

use super::Flow;
use crate::vm;

/// Time within which all members must answer a search: many times the round-trip time.
const SEARCH_TIMEOUT: Duration = Duration::from_millis(500);

/// Minimum time between two searches for the same flow, so that a caller's packets do not reach
/// many upstreams that do not serve it.
const MIN_INTERVAL: Duration = Duration::from_secs(1);

/// Maximum number of concurrent searches.
const MAX_SEARCHES: usize = 1024;

#[derive(Debug)]
struct Search {
    started: Instant,
    /// Members that have not answered.
    pending: HashSet<vm::Id>,
}

/// Searches that a home runs.
#[derive(Debug, Default)]
pub struct Searches {
    searches: HashMap<Flow, Search>,
}

impl Searches {
    /// Creates an empty set of searches.
    #[must_use]
    pub fn new() -> Self {
        Self::default()
    }

    /// Starts a search for a flow among some members. Returns false if the flow was searched
    /// recently or too many searches are running.
    pub fn start(&mut self, flow: Flow, members: &[vm::Id], now: Instant) -> bool {
        self.searches.retain(|_, search| now.duration_since(search.started) < MIN_INTERVAL);
        if self.searches.contains_key(&flow) || self.searches.len() >= MAX_SEARCHES {
            return false;
        }
        let pending = members.iter().copied().collect();
        self.searches.insert(flow, Search { started: now, pending });
        true
    }

    /// Records that a member does not hold a flow. Returns true if this was the last answer and no
    /// member holds the flow.
    pub fn record_miss(&mut self, flow: &Flow, member: vm::Id, now: Instant) -> bool {
        let Some(search) = self.searches.get_mut(flow) else { return false };
        let is_last = search.pending.remove(&member) && search.pending.is_empty();
        is_last && now.duration_since(search.started) < SEARCH_TIMEOUT
    }

    /// Ends all searches, since the members to query have changed.
    pub fn clear(&mut self) {
        self.searches.clear();
    }

    /// Ends the search for a flow that was found.
    pub fn finish(&mut self, flow: &Flow) {
        self.searches.remove(flow);
    }
}
