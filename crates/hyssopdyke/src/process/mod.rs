//! What a daemon keeps from its start to its stop.

mod barrier;
mod bucket;
mod budget;
mod cold;
mod contact;
mod disk;
mod journal;
mod lease;
mod limit;
mod outbox;
mod shaper;
mod suspects;
mod upstream;

pub use barrier::Barrier;
pub use budget::{EventKind, EventLimiter};
pub use cold::WarmupLimiter;
pub use contact::Reachability;
pub use disk::{DataDir, Disk};
pub use journal::{Error as JournalError, Journal};
pub use lease::Lease;
pub use limit::Limit;
pub use outbox::Outbox;
pub use shaper::{Queued, Shaper};
pub use suspects::Suspects;
pub use upstream::{Change, Phase, Upstream, UpstreamReport};
