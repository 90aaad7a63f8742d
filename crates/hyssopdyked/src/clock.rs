//! The clock that leases are measured by.
//!
//! The steady clock of the standard library stands still while a VM is suspended, so that a lease
//! would seem to last after it has ended everywhere else. These instants go on meanwhile. They are
//! compared with each other only, and never with those of timers.

use std::sync::OnceLock;
use std::time::{Duration, Instant};

use rustix::time::{ClockId, clock_gettime};

/// An instant, and the time since the VM's start at it.
static ORIGIN: OnceLock<(Instant, Duration)> = OnceLock::new();

/// The instant of now, the time of suspensions included.
pub(crate) fn now() -> Instant {
    let since_start = since_start();
    let (instant, origin) = ORIGIN.get_or_init(|| (Instant::now(), since_start));
    *instant + since_start.saturating_sub(*origin)
}

/// Time since the VM's start, that of its suspensions included.
fn since_start() -> Duration {
    let time = clock_gettime(ClockId::Boottime);
    Duration::new(time.tv_sec as u64, time.tv_nsec as u32)
}
