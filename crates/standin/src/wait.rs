//! Waiting for a condition that another process brings about.

use std::time::{Duration, Instant};

/// Pause between two checks of the condition.
const POLL_INTERVAL: Duration = Duration::from_millis(10);

/// Waits until `condition` returns true. Returns false if that takes longer than `timeout`.
#[must_use]
pub fn wait_until(timeout: Duration, condition: impl Fn() -> bool) -> bool {
    let start = Instant::now();
    while !condition() {
        if start.elapsed() > timeout {
            return false;
        }
        std::thread::sleep(POLL_INTERVAL);
    }
    true
}
