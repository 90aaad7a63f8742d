//! Waiting for what another process does.

use std::time::{Duration, Instant};

/// Pause between two looks.
const LOOK: Duration = Duration::from_millis(10);

/// Waits until something holds; false if that takes longer than `patience`.
#[must_use]
pub fn wait_until(patience: Duration, holds: impl Fn() -> bool) -> bool {
    let start = Instant::now();
    while !holds() {
        if start.elapsed() > patience {
            return false;
        }
        std::thread::sleep(LOOK);
    }
    true
}
