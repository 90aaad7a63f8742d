//! Order of events from VMs whose clocks differ.
//!
//! Control creates a revision before any daemon can use it. If the log of a VM shows a revision
//! earlier than the logs of control do, the VM's clock is slow. Its events are then shifted by the
//! least time that puts cause before effect.

use std::collections::HashMap;

use super::event::Event;

/// Event that control and daemons write as soon as they use a revision.
const REVISION_IN_USE: &str = "revision in use";

/// Corrects the times of VMs with slow clocks, then sorts the events by time.
pub(crate) fn sort(events: &mut [Event]) {
    let mut created: HashMap<u64, u64> = HashMap::new();
    for event in events.iter().filter(|event| is_revision_created(event)) {
        let first = created.entry(event.revision).or_insert(event.wall_us);
        *first = event.wall_us.min(*first);
    }
    let mut lags: HashMap<Box<str>, u64> = HashMap::new();
    for event in events.iter().filter(|event| &*event.process != "control") {
        let cause = created.get(&event.revision).copied().unwrap_or(0);
        let lag = cause.saturating_sub(event.wall_us);
        let max_lag = lags.entry(event.vm.clone()).or_default();
        *max_lag = lag.max(*max_lag);
    }
    for event in events.iter_mut() {
        event.wall_us += lags.get(&event.vm).copied().unwrap_or(0);
    }
    events.sort_by(|a, b| {
        (a.wall_us, &a.vm, a.pid, a.mono_us).cmp(&(b.wall_us, &b.vm, b.pid, b.mono_us))
    });
}

/// Returns whether an event shows when control created a revision. Other events of control
/// carry the revision as well, but may be later.
fn is_revision_created(event: &Event) -> bool {
    &*event.process == "control" && &*event.event == REVISION_IN_USE
}
