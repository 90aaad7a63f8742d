//! Results of a soak.

use std::collections::BTreeMap;
use std::fmt;
use std::time::Duration;

use standin::Tally;

use crate::fault::ALL_KINDS;
use crate::{Fault, Kind};

/// A violated invariant.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Violation {
    /// Number of the episode, from 1.
    pub episode: u32,
    /// Description of the violation.
    pub description: Box<str>,
    /// Faults that were drawn for the episode.
    pub faults: Vec<Fault>,
}

/// Results of a soak.
#[derive(Debug, Clone, Default)]
pub struct Report {
    /// Seed of the soak.
    pub seed: u64,
    /// Duration of the soak.
    pub elapsed: Duration,
    /// Number of episodes.
    pub episodes: u32,
    /// Number of faults by kind.
    pub faults: BTreeMap<Kind, u32>,
    /// Number of processes of the system.
    pub processes: usize,
    /// Number of acknowledged writes.
    pub writes: u32,
    /// Outcomes of the callers' flows.
    pub flows: Tally,
    /// Number of streams that ended early in episodes whose faults permit it.
    pub allowed_stream_losses: usize,
    /// Violated invariants.
    pub violations: Vec<Violation>,
}

impl Report {
    /// Returns the kinds of faults that never occurred.
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
            "seed {}: {} episodes, {total} faults in {:.1} min ({:.0} per minute), {} processes, {} \
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
                "  VIOLATION in episode {}: {}",
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
