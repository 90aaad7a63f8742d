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
pub use budget::{Budget, EventKind};
pub use cold::Cold;
pub use contact::Contact;
pub use disk::{Disk, Folder};
pub use journal::{Error as JournalError, Journal};
pub use lease::Lease;
pub use limit::Limit;
pub use outbox::Outbox;
pub use shaper::{Shaper, Waiting};
pub use suspects::Suspects;
pub use upstream::{Change, Phase, Upstream, UpstreamReport};
