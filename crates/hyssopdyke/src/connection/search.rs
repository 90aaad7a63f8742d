//! Searches for flows that their home does not know.
//!
//! All members are asked. An agent that was restarted may have lost flows that its upstream still
//! holds: it hands the caller's packet to its upstream, which answers if it holds the flow and
//! gives the packet back otherwise.

use std::collections::{HashMap, HashSet};
use std::time::{Duration, Instant};

use super::Flow;
use crate::vm;

/// Time after which a search without all answers is over: many times a way and back.
const PATIENCE: Duration = Duration::from_millis(500);

/// Least time between two searches for the same flow. A caller's packets must not reach many
/// upstreams that do not serve it.
const INTERVAL: Duration = Duration::from_secs(1);

/// Flows that may be searched at a time.
const MOST: usize = 1024;

#[derive(Debug)]
struct Search {
    since: Instant,
    /// Members that have not answered.
    open: HashSet<vm::Id>,
}

/// Flows that are searched, at their home.
#[derive(Debug, Default)]
pub struct Searches {
    searches: HashMap<Flow, Search>,
}

impl Searches {
    /// No searches.
    #[must_use]
    pub fn new() -> Self {
        Self::default()
    }

    /// Starts a search among some members; false where one has been made lately.
    pub fn start(&mut self, flow: Flow, members: &[vm::Id], now: Instant) -> bool {
        self.searches.retain(|_, search| now.duration_since(search.since) < INTERVAL);
        if self.searches.contains_key(&flow) || self.searches.len() >= MOST {
            return false;
        }
        let open = members.iter().copied().collect();
        self.searches.insert(flow, Search { since: now, open });
        true
    }

    /// Notes that a member does not hold a flow; true if no member does.
    pub fn record_miss(&mut self, flow: &Flow, member: vm::Id, now: Instant) -> bool {
        let Some(search) = self.searches.get_mut(flow) else { return false };
        let is_last = search.open.remove(&member) && search.open.is_empty();
        is_last && now.duration_since(search.since) < PATIENCE
    }

    /// Ends all searches, since other members must be asked.
    pub fn clear(&mut self) {
        self.searches.clear();
    }

    /// Ends the search for a flow that was found.
    pub fn finish(&mut self, flow: &Flow) {
        self.searches.remove(flow);
    }
}
