//! The choice of an upstream for a new flow.
//!
//! Members are chosen in proportion to their learned throughput by stride scheduling (Waldspurger
//! and Weihl, 1995): each choice adds credit to every candidate according to its weight, and
//! subtracts one unit from the chosen candidate. Over any period, the number of flows of a member
//! differs from its fair share by one or two, whereas that of a random choice would differ by the
//! square root of the number of flows. The initial credits are random, so that homes with the same
//! weights do not choose the same members.
//!
//! The choice does not use reports of the current load, which would be stale: a member that is full
//! declines, and the flow is offered to another member.

use std::collections::HashMap;

use rand::Rng;

use crate::vm;

/// A member that may receive a flow.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Candidate {
    /// The member.
    pub vm: vm::Id,
    /// Learned throughput in flows per 1000 seconds; 0 for a member that has not reported it yet.
    pub weight: u32,
}

/// Stride scheduler that chooses a member for each new flow.
#[derive(Debug, Clone)]
pub struct Scheduler<R> {
    random: R,
    credits: HashMap<vm::Id, f64>,
}

impl<R: Rng> Scheduler<R> {
    /// Creates a scheduler that takes initial credits from `random`.
    pub fn new(random: R) -> Self {
        Self { random, credits: HashMap::new() }
    }

    /// Chooses one of `candidates`, or returns `None` if there are none.
    ///
    /// A candidate without a weight counts with the mean weight of the others.
    ///
    /// ```
    /// use hyssopdyke::request::{Candidate, Scheduler};
    /// use rand::SeedableRng;
    ///
    /// let mut scheduler = Scheduler::new(rand::rngs::SmallRng::seed_from_u64(1));
    /// let candidates = [Candidate { vm: 1, weight: 100 }, Candidate { vm: 2, weight: 300 }];
    /// let chosen = (0..40).filter(|_| scheduler.pick(&candidates) == Some(1)).count();
    /// assert!((9..=11).contains(&chosen));
    /// ```
    pub fn pick(&mut self, candidates: &[Candidate]) -> Option<vm::Id> {
        let mean = mean_weight(candidates);
        let weight = |candidate: &Candidate| match candidate.weight {
            0 => mean,
            weight => f64::from(weight),
        };
        let total: f64 = candidates.iter().map(weight).sum();
        let mut chosen: Option<(vm::Id, f64)> = None;
        for candidate in candidates {
            let random = &mut self.random;
            let credit = self.credits.entry(candidate.vm).or_insert_with(|| random.random());
            *credit += weight(candidate) / total;
            if chosen.is_none_or(|(_, highest)| *credit > highest) {
                chosen = Some((candidate.vm, *credit));
            }
        }
        let (vm, _) = chosen?;
        *self.credits.entry(vm).or_default() -= 1.0;
        Some(vm)
    }

    /// Retains only the credits of members for which `is_present` returns true.
    pub fn retain(&mut self, is_present: impl Fn(vm::Id) -> bool) {
        self.credits.retain(|vm, _| is_present(*vm));
    }
}

fn mean_weight(candidates: &[Candidate]) -> f64 {
    let weights = candidates.iter().map(|candidate| candidate.weight).filter(|weight| *weight > 0);
    let (sum, count) = weights.fold((0.0, 0.0), |(sum, n), w| (sum + f64::from(w), n + 1.0));
    if count > 0.0 { sum / count } else { 1.0 }
}
