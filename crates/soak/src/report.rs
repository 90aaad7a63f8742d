//! What a soak did and found.

use std::collections::BTreeMap;
use std::fmt;
use std::time::Duration;

use standin::Tally;

use crate::fault::ALL_KINDS;
use crate::{Fault, Kind};

/// A promise that was broken.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Violation {
    /// Number of the episode, from 1.
    pub episode: u32,
    /// What was seen.
    pub description: Box<str>,
    /// Faults of the episode.
    pub faults: Vec<Fault>,
}

/// The outcome of a soak.
#[derive(Debug, Clone, Default)]
pub struct Report {
    /// Seed of the soak.
    pub seed: u64,
    /// Time that it took.
    pub elapsed: Duration,
    /// Episodes that were played.
    pub episodes: u32,
    /// Faults by kind.
    pub faults: BTreeMap<Kind, u32>,
    /// Processes that ran.
    pub processes: usize,
    /// Writes that were acknowledged.
    pub writes: u32,
    /// How callers' flows ended.
    pub flows: Tally,
    /// Streams that ended early where the faults of the episode allow it.
    pub allowed_stream_losses: usize,
    /// Promises that were broken.
    pub violations: Vec<Violation>,
}

impl Report {
    /// Kinds that never came.
    #[must_use]
    pub fn missing(&self) -> Vec<Kind> {
        ALL_KINDS.into_iter().filter(|kind| !self.faults.contains_key(kind)).collect()
    }
}

impl fmt::Display for Report {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        let total: u32 = self.faults.values().sum();
        let minutes = self.elapsed.as_secs_f64() / 60.0;
        writeln!(
            formatter,
            "seed {}: {} episodes, {total} faults in {:.1} min ({:.0} a minute), {} processes, {} \
             writes, {:?}, {} streams given up as allowed",
            self.seed,
            self.episodes,
            minutes,
            f64::from(total) / minutes.max(f64::EPSILON),
            self.processes,
            self.writes,
            self.flows,
            self.allowed_stream_losses,
        )?;
        writeln!(formatter, "  faults: {:?}; never: {:?}", self.faults, self.missing())?;
        for violation in &self.violations {
            writeln!(
                formatter,
                "  BROKEN in episode {}: {}",
                violation.episode, violation.description
            )?;
            for fault in &violation.faults {
                writeln!(
                    formatter,
                    "    {:?} on {:?} at {:?} for {:?}",
                    fault.kind, fault.target, fault.start, fault.duration
                )?;
            }
        }
        Ok(())
    }
}
