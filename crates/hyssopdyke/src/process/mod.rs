//! State that a daemon keeps from start to stop.

mod barrier;
mod bucket;
mod disk;
mod event_limiter;
mod hold_queue;
mod horizon;
mod journal;
mod lease;
mod limit;
mod outbox;
mod reachability;
mod report_plan;
mod shaper;
mod suspects;
mod upstream;
mod warmup;

pub use barrier::Barrier;
pub use disk::{DataDir, Disk};
pub use event_limiter::{EventKind, EventLimiter};
pub use hold_queue::HoldQueue;
pub use horizon::Horizon;
pub use journal::{Error as JournalError, Journal};
pub use lease::Lease;
pub use limit::Limit;
pub use outbox::Outbox;
pub use reachability::Reachability;
pub use report_plan::{Due, ReportPlan};
pub use shaper::{Queued, Shaper};
pub use suspects::Suspects;
pub use upstream::{Change, Phase, Upstream, UpstreamReport};
pub use warmup::WarmupLimiter;
