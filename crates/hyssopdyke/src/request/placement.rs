//! The choice of an upstream for a new flow.
//!
//! Members are chosen in proportion to the throughput that they are known for, by stride
//! scheduling (Waldspurger and Weihl, 1995): each choice gives every candidate credit by its
//! weight and takes a whole unit from the chosen one. Over any span a member's share differs from
//! its due by a flow or two, where a random draw would differ by the square root of the flows.
//! Credits start at random, so that homes with the same weights do not choose alike.
//!
//! No report of momentary load is needed, which would be stale: a member that is full declines,
//! and the flow goes to another.

use std::collections::HashMap;

use rand::Rng;

use crate::vm;

/// A member that may take a flow.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Candidate {
    /// The member.
    pub vm: vm::Id,
    /// Learned throughput in flows per 1000 seconds; 0 for a member that was not heard yet.
    pub weight: u32,
}

/// Chooses members for one flow after another.
#[derive(Debug, Clone)]
pub struct Scheduler<R> {
    random: R,
    credits: HashMap<vm::Id, f64>,
}

impl<R: Rng> Scheduler<R> {
    /// Starts with credits from `random`.
    pub fn new(random: R) -> Self {
        Self { random, credits: HashMap::new() }
    }

    /// Chooses one of `candidates`, or `None` if there are none.
    ///
    /// A candidate without a weight is taken at the mean of those that have one.
    ///
    /// ```
    /// use hyssopdyke::request::{Candidate, Scheduler};
    /// use rand::SeedableRng;
    ///
    /// let mut draw = Scheduler::new(rand::rngs::SmallRng::seed_from_u64(1));
    /// let candidates = [Candidate { vm: 1, weight: 100 }, Candidate { vm: 2, weight: 300 }];
    /// let chosen = (0..40).filter(|_| draw.pick(&candidates) == Some(1)).count();
    /// assert!((9..=11).contains(&chosen));
    /// ```
    pub fn pick(&mut self, candidates: &[Candidate]) -> Option<vm::Id> {
        let mean = mean_weight(candidates);
        let weight = |candidate: &Candidate| match candidate.weight {
            0 => mean,
            known => f64::from(known),
        };
        let total: f64 = candidates.iter().map(weight).sum();
        let mut chosen: Option<(vm::Id, f64)> = None;
        for candidate in candidates {
            let random = &mut self.random;
            let credit = self.credits.entry(candidate.vm).or_insert_with(|| random.random());
            *credit += weight(candidate) / total;
            if chosen.is_none_or(|(_, most)| *credit > most) {
                chosen = Some((candidate.vm, *credit));
            }
        }
        let (vm, _) = chosen?;
        *self.credits.entry(vm).or_default() -= 1.0;
        Some(vm)
    }

    /// Forgets the credits of members that are gone.
    pub fn retain(&mut self, is_present: impl Fn(vm::Id) -> bool) {
        self.credits.retain(|vm, _| is_present(*vm));
    }
}

fn mean_weight(candidates: &[Candidate]) -> f64 {
    let known = candidates.iter().map(|candidate| candidate.weight).filter(|weight| *weight > 0);
    let (sum, count) = known.fold((0.0, 0.0), |(sum, n), w| (sum + f64::from(w), n + 1.0));
    if count > 0.0 { sum / count } else { 1.0 }
}
