//! Faults that a soak injects.

use std::time::Duration;

use rand::Rng;
use rand::rngs::SmallRng;
use rand::seq::IndexedRandom;

use crate::Plan;

/// Kind of a fault.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub enum Kind {
    /// Kills a process, and restarts it at the end of the fault.
    Kill,
    /// Requests a graceful stop of a process, and restarts it at the end of the fault.
    Terminate,
    /// Suspends a process.
    Freeze,
    /// Kills a control VM, and appends a torn record to its log before the restart.
    Tear,
    /// Kills a control VM, and deletes its data before the restart.
    Wipe,
    /// Blocks all traffic to and from the ports of a control VM.
    Cut,
    /// Blocks traffic to the ports of a control VM, but not the replies.
    CutInward,
    /// Blocks the replies from the ports of a control VM, but not traffic to them.
    CutOutward,
    /// Delays all traffic to and from the ports of a control VM.
    Delay,
    /// Resets the connections to a control VM.
    Reset,
    /// Discards all bytes of the current connections to a control VM, while new connections work.
    Strand,
    /// Makes the fabric drop some packets and duplicate others.
    Loss,
    /// Takes a failure domain out of service.
    DomainOut,
    /// Drains an upstream.
    Drain,
    /// Makes an upstream cold without a report to its agent.
    Cool,
}

/// All kinds of faults.
pub(crate) const ALL_KINDS: [Kind; 15] = [
    Kind::Kill,
    Kind::Terminate,
    Kind::Freeze,
    Kind::Tear,
    Kind::Wipe,
    Kind::Cut,
    Kind::CutInward,
    Kind::CutOutward,
    Kind::Delay,
    Kind::Reset,
    Kind::Strand,
    Kind::Loss,
    Kind::DomainOut,
    Kind::Drain,
    Kind::Cool,
];

/// Upper bound of a fault's start within its episode, in ms.
const MAX_START_MS: u64 = 1500;

/// Bounds of a fault's duration in ms. The upper bound exceeds a lease.
const DURATION_RANGE_MS: (u64, u64) = (100, 4000);

/// One fault of an episode.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Fault {
    /// Kind of the fault.
    pub kind: Kind,
    /// VM or failure domain that the fault affects; empty for the fabric.
    pub target: Box<str>,
    /// Start, relative to the start of the episode.
    pub start: Duration,
    /// Time after which the fault is undone.
    pub duration: Duration,
}

impl Fault {
    /// Draws one to four faults for an episode, on different targets. Draws that exclude each other
    /// are skipped.
    pub(crate) fn draw(plan: &Plan, rng: &mut SmallRng) -> Vec<Self> {
        let mut faults: Vec<Self> = Vec::new();
        for _ in 0..rng.random_range(1..=4) {
            let Some(kind) = ALL_KINDS.choose(rng).copied() else { continue };
            let Some(target) = kind.choose_target(plan, rng) else { continue };
            let start = Duration::from_millis(rng.random_range(0..MAX_START_MS));
            let duration =
                Duration::from_millis(rng.random_range(DURATION_RANGE_MS.0..DURATION_RANGE_MS.1));
            let fault = Self { kind, target, start, duration };
            if !faults.iter().any(|other| other.excludes(&fault)) {
                faults.push(fault);
            }
        }
        faults
    }

    /// Returns whether another fault must not occur in the same episode.
    fn excludes(&self, other: &Self) -> bool {
        // The system tolerates a lost disk only if all other control VMs keep theirs and are
        // reachable.
        let loses_disk = |fault: &Self| matches!(fault.kind, Kind::Wipe);
        let is_at_control = |fault: &Self| fault.target.starts_with("control");
        self.target == other.target
            || (loses_disk(self) && is_at_control(other))
            || (loses_disk(other) && is_at_control(self))
    }

    /// Returns whether the fault stops the process on the target for some time.
    pub(crate) const fn stops_process(&self) -> bool {
        matches!(self.kind, Kind::Kill | Kind::Terminate | Kind::Freeze | Kind::Tear | Kind::Wipe)
    }
}

impl Kind {
    /// Chooses a VM or failure domain that this kind can affect.
    fn choose_target(self, plan: &Plan, rng: &mut SmallRng) -> Option<Box<str>> {
        let control = Plan::control_names();
        let upstreams = plan.upstream_names();
        let any_vm = || control.iter().chain(&upstreams).cloned().chain(plan.entry_names());
        let candidates: Vec<Box<str>> = match self {
            Self::Kill | Self::Terminate | Self::Freeze => any_vm().collect(),
            Self::Tear
            | Self::Wipe
            | Self::Cut
            | Self::CutInward
            | Self::CutOutward
            | Self::Delay
            | Self::Reset
            | Self::Strand => control,
            Self::Loss => vec!["".into()],
            Self::DomainOut => Plan::domains().to_vec(),
            Self::Drain | Self::Cool => upstreams,
        };
        candidates.choose(rng).cloned()
    }
}
