//! Clock for leases, which includes the time of suspensions.
//!
//! The monotonic clock of the standard library stops while a VM is suspended, so that a lease would
//! appear valid on that VM after it has expired everywhere else. The instants of this module must
//! only be compared with each other, never with those of timers.

use std::sync::OnceLock;
use std::time::{Duration, Instant};

use rustix::time::{ClockId, clock_gettime};

/// Reference instant, and the time since the VM's boot at that instant.
static ORIGIN: OnceLock<(Instant, Duration)> = OnceLock::new();

/// Returns the current instant, including the time of suspensions.
pub(crate) fn now() -> Instant {
    let since_boot = since_boot();
    let (instant, origin) = ORIGIN.get_or_init(|| (Instant::now(), since_boot));
    *instant + since_boot.saturating_sub(*origin)
}

/// Returns the time since the VM's boot, including the time of suspensions.
fn since_boot() -> Duration {
    let time = clock_gettime(ClockId::Boottime);
    Duration::new(time.tv_sec as u64, time.tv_nsec as u32)
}
