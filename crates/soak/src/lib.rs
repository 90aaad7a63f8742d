//! A randomized soak of the real programs as separate processes on loopback.
//!
//! A [`Soak`] runs episodes: some faults that overlap, from outside the processes, while callers use
//! streams and requests and an operator writes; then all is healed and the promises are checked.
//! The same seed draws the same faults at the same times; what the processes do in between is up to
//! the machine.

mod fault;
mod operator;
mod report;
mod soak;

pub use fault::{Fault, Kind};
pub use report::{Report, Violation};
pub use soak::{Error, Plan, Soak};
