//! What a soak does to the system.

use std::time::Duration;

use rand::Rng;
use rand::rngs::SmallRng;
use rand::seq::IndexedRandom;

use crate::Plan;

/// A kind of fault.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub enum Kind {
    /// A process is killed, and started anew when it is healed.
    Kill,
    /// A process is asked to stop, and started anew when it is healed.
    Terminate,
    /// A process stands still.
    Freeze,
    /// A control VM is killed, and the end of its log is torn.
    Tear,
    /// A control VM is killed, and its disk is emptied.
    Wipe,
    /// Nothing passes to or from a control VM.
    Cut,
    /// Nothing passes to a control VM; what it sends does.
    CutInward,
    /// Nothing passes from a control VM; what it is sent does.
    CutOutward,
    /// All that passes to and from a control VM is late.
    Delay,
    /// The connections of a control VM are reset.
    Reset,
    /// The connections of a control VM fall silent for good, while new ones work.
    Strand,
    /// The fabric loses packets, and carries some twice.
    Loss,
    /// A failure domain is out.
    DomainOut,
    /// An upstream is drained.
    Drain,
    /// An upstream turns cold, and nobody is told.
    Cool,
}

/// All kinds.
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

/// Latest start of a fault in its episode, in ms.
const MAX_START_MS: u64 = 1500;

/// Shortest and longest time of a fault, in ms: up to beyond a lease.
const DURATION_RANGE_MS: (u64, u64) = (100, 4000);

/// One fault of an episode.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Fault {
    /// What is done.
    pub kind: Kind,
    /// VM or failure domain; empty for the fabric.
    pub target: Box<str>,
    /// Start, from that of the episode.
    pub start: Duration,
    /// Time after which it is healed.
    pub duration: Duration,
}

impl Fault {
    /// Draws the faults of an episode: one to four, on different VMs.
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

    /// Whether another fault may not come in the same episode.
    fn excludes(&self, other: &Self) -> bool {
        // A lost disk is borne if all other control VMs keep theirs and are heard.
        let loses_disk = |fault: &Self| matches!(fault.kind, Kind::Wipe);
        let is_at_control = |fault: &Self| fault.target.starts_with("control");
        self.target == other.target
            || (loses_disk(self) && is_at_control(other))
            || (loses_disk(other) && is_at_control(self))
    }

    /// Whether the process on the VM does not serve for some time.
    pub(crate) const fn stops_process(&self) -> bool {
        matches!(self.kind, Kind::Kill | Kind::Terminate | Kind::Freeze | Kind::Tear | Kind::Wipe)
    }
}

impl Kind {
    /// A VM or failure domain that the kind may strike.
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
