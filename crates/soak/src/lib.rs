//! A randomized soak test of the daemons as separate processes on loopback.
//!
//! A [`Soak`] runs episodes. In each, overlapping faults are injected from outside the processes
//! while callers use streams and requests and an operator writes; then all faults are undone and
//! the invariants are checked. The same seed draws the same faults at the same times, but the
//! scheduling of the processes varies between runs.

mod fault;
mod operator;
mod report;
mod soak;

pub use fault::{Fault, Kind};
pub use report::{Report, Violation};
pub use soak::{Error, Plan, Soak};
