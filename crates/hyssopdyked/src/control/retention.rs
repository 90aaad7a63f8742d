//! Ends what routes keep of their former services once the flows there have ended.

use std::time::Duration;

use hyssopdyke::process::Horizon;
use hyssopdyke_wire::ledger::{Forget, command};
use slog::info;
use tokio::time::interval;

use super::handle::Handle;
use crate::agent::MAX_FLOW_AGE;
use crate::clock;
use crate::log::Events;

/// Interval between checks for former services whose flows have ended.
const CHECK_INTERVAL: Duration = Duration::from_secs(1);

/// Time within which no agent places new flows by an earlier revision any more: longer than a lease
/// lasts without control.
const ADMISSION_LAG: Duration = Duration::from_secs(15);

/// Time for which a route keeps a former service.
const FORMER_RETENTION: Duration = MAX_FLOW_AGE.saturating_add(ADMISSION_LAG);

/// Lets routes forget their former services in time, while this VM leads. A restart of all control
/// VMs starts the time anew.
pub(super) async fn expire(handle: Handle, events: Events) {
    let mut horizon = Horizon::new(FORMER_RETENTION);
    let mut ticks = interval(CHECK_INTERVAL);
    loop {
        ticks.tick().await;
        let now = clock::now();
        let due = {
            let registry = handle.registry().await;
            horizon.observe(registry.store().revision(), now);
            horizon.passed(now).filter(|upto| registry.has_former_services(*upto))
        };
        let Some(upto) = due.filter(|_| handle.leadership.borrow().since.is_some()) else {
            continue;
        };
        info!(events.logger(), "former services end"; "upto" => upto,
            "after_s" => FORMER_RETENTION.as_secs());
        // Without a majority, the next check retries.
        let _ = handle.propose(command::Body::Forget(Forget { upto })).await;
    }
}
