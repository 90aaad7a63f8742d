//! Simulated surroundings of hyssopdyke, for its tests and development tools.
//!
//! A [`Fabric`] sprays packets over the entries, [`Callers`] and [`Upstream`]s use TCP through a
//! user-space stack, and a [`Cluster`] runs the daemons as separate processes, each with its own
//! loopback address.

mod caller;
mod cluster;
mod daemon;
mod fabric;
mod process;
mod relay;
mod stack;
mod subnet;
mod unserved;
mod upstream;
mod usage;
mod wait;

pub use caller::{Callers, Kind, Outcome, Spec, Tally};
pub use cluster::{Cluster, Error, Layout, ServiceLayout};
pub use daemon::build_daemon;
pub use fabric::{Fabric, Faults};
pub use process::Process;
pub use relay::{Impairment, Relay};
pub use subnet::Subnet;
pub use unserved::unserved_service;
pub use upstream::{Behavior, Stats, Upstream};
pub use usage::Usage;
pub use wait::wait_until;
