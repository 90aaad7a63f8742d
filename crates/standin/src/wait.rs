//! Waiting for what another process does.

use std::time::{Duration, Instant};

/// Pause between two looks.
const POLL_INTERVAL: Duration = Duration::from_millis(10);

/// Waits until something holds; false if that takes longer than `timeout`.
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
