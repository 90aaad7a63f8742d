//! The choice of an upstream for a new flow.
//!
//! Members are drawn with a chance in proportion to the throughput that they are known for. The
//! draw needs no reports of momentary load, which would be stale: a member that is full declines,
//! and the flow is drawn again among the rest.

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

/// Draws members for one flow after another.
#[derive(Debug, Clone)]
pub struct Draw<R> {
    random: R,
}

impl<R: Rng> Draw<R> {
    /// Draws with `random`.
    pub const fn new(random: R) -> Self {
        Self { random }
    }

    /// Draws one of `candidates`, or `None` if there are none.
    ///
    /// A candidate without a weight is taken at the mean of those that have one.
    pub fn pick(&mut self, candidates: &[Candidate]) -> Option<vm::Id> {
        let mean = mean_weight(candidates);
        let weight = |candidate: &Candidate| match candidate.weight {
            0 => mean,
            known => u64::from(known),
        };
        let total: u64 = candidates.iter().map(weight).sum();
        if total == 0 {
            return None;
        }
        let mut point = self.random.random_range(0..total);
        for candidate in candidates {
            let weight = weight(candidate);
            if point < weight {
                return Some(candidate.vm);
            }
            point -= weight;
        }
        None
    }
}

fn mean_weight(candidates: &[Candidate]) -> u64 {
    let known = candidates.iter().map(|candidate| u64::from(candidate.weight));
    let (sum, count) =
        known.filter(|weight| *weight > 0).fold((0, 0), |(sum, n), weight| (sum + weight, n + 1));
    sum.checked_div(count).unwrap_or(1).max(1)
}
