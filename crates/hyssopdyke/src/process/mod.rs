//! What a daemon keeps from its start to its stop.

mod barrier;
mod cold;
mod disk;
mod journal;
mod lease;
mod limit;
mod outbox;
mod suspects;
mod upstream;

pub use barrier::Barrier;
pub use cold::Cold;
pub use disk::{Disk, Folder};
pub use journal::{Error as JournalError, Journal};
pub use lease::Lease;
pub use limit::Limit;
pub use outbox::Outbox;
pub use suspects::Suspects;
pub use upstream::{Change, Phase, Upstream, UpstreamReport};
