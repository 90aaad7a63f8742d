//! Searches for flows that have no record at their home.
//!
//! The home first asks the members whether they have a record of the flow. An agent that was restarted
//! may have lost the state of flows that its upstream still holds. If no member has a record, the home
//! lets such agents pass the caller's packet to their upstreams, which answer if they hold the flow
//! and return the packet otherwise. This is the second step, because each packet that reaches an
//! upstream which does not hold its flow is one that its own upstream does not get.

use std::collections::{HashMap, HashSet};
use std::time::{Duration, Instant};

use bytes::Bytes;

use super::Flow;
use crate::vm;

/// Time within which all members must answer a step: many times the round-trip time.
const STEP_TIMEOUT: Duration = Duration::from_millis(500);

/// Time after which the second step starts although members have not answered the first one. A member
/// that has stopped on purpose is known to be away by then.
const FIRST_STEP_PATIENCE: Duration = Duration::from_millis(400);

/// Minimum time between two searches for the same flow, so that a caller's packets do not reach
/// many upstreams that do not serve it.
const MIN_INTERVAL: Duration = Duration::from_secs(1);

/// Maximum number of concurrent searches.
const MAX_SEARCHES: usize = 1024;

/// Answer of a member that does not own a searched flow.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Miss {
    /// Neither the member nor its upstream holds the flow.
    Certain,
    /// The member's upstream may hold the flow.
    Unsure,
}

/// Second step of a search.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Question {
    /// The flow.
    pub flow: Flow,
    /// The caller's packet.
    pub packet: Bytes,
    /// Members that ask their upstreams.
    pub members: Vec<vm::Id>,
}

/// What follows from a member's answer.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Step {
    /// Other members have yet to answer, or the answer was late.
    Wait,
    /// No member has a record, so that upstreams are asked.
    Ask(Question),
    /// No member holds the flow.
    NotFound,
}

#[derive(Debug)]
struct Search {
    started: Instant,
    /// The caller's packet.
    packet: Bytes,
    /// Start of the present step.
    step_started: Instant,
    is_second_step: bool,
    /// Members that have not answered the present step.
    pending: HashSet<vm::Id>,
    /// Members whose upstreams may hold the flow.
    unsure: Vec<vm::Id>,
    /// Whether a member has not answered the first step.
    is_incomplete: bool,
}

impl Search {
    /// Starts the second step, if some members are unsure.
    fn ask_upstreams(&mut self, flow: Flow, now: Instant) -> Option<Question> {
        if self.is_second_step || self.unsure.is_empty() {
            return None;
        }
        self.is_incomplete = !self.pending.is_empty();
        self.is_second_step = true;
        self.step_started = now;
        let members = std::mem::take(&mut self.unsure);
        self.pending = members.iter().copied().collect();
        Some(Question { flow, packet: self.packet.clone(), members })
    }
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

    /// Starts a search for the flow of a caller's packet among some members. Returns false if the
    /// flow was searched recently or too many searches are running.
    pub fn start(&mut self, flow: Flow, packet: Bytes, members: &[vm::Id], now: Instant) -> bool {
        self.searches.retain(|_, search| now.duration_since(search.started) < MIN_INTERVAL);
        if self.searches.contains_key(&flow) || self.searches.len() >= MAX_SEARCHES {
            return false;
        }
        let search = Search {
            started: now,
            packet,
            step_started: now,
            is_second_step: false,
            pending: members.iter().copied().collect(),
            unsure: Vec::new(),
            is_incomplete: false,
        };
        self.searches.insert(flow, search);
        true
    }

    /// Records that a member does not own a flow, and returns what follows.
    pub fn record_miss(&mut self, flow: &Flow, member: vm::Id, miss: Miss, now: Instant) -> Step {
        let Some(search) = self.searches.get_mut(flow) else { return Step::Wait };
        let is_late = now.duration_since(search.step_started) >= STEP_TIMEOUT;
        if !search.pending.remove(&member) || is_late {
            return Step::Wait;
        }
        if miss == Miss::Unsure && !search.is_second_step {
            search.unsure.push(member);
        }
        let is_patient = now.duration_since(search.step_started) < FIRST_STEP_PATIENCE;
        if !search.pending.is_empty() && (search.is_second_step || is_patient) {
            return Step::Wait;
        }
        match search.ask_upstreams(*flow, now) {
            Some(question) => Step::Ask(question),
            None if search.pending.is_empty() && !search.is_incomplete => Step::NotFound,
            None => Step::Wait,
        }
    }

    /// Starts the second steps of searches whose first step has taken too long.
    pub fn take_overdue(&mut self, now: Instant) -> Vec<Question> {
        let overdue = self
            .searches
            .iter_mut()
            .filter(|(_, search)| now.duration_since(search.step_started) >= FIRST_STEP_PATIENCE);
        overdue.filter_map(|(flow, search)| search.ask_upstreams(*flow, now)).collect()
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
