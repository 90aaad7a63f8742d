//! Order of events from VMs whose clocks differ.
//!
//! The clock of a VM may also jump while a process runs. Times within one process therefore come from
//! its first event and the steady clock.
//!
//! Control creates a revision before any daemon can use it. If the log of a VM shows a revision
//! earlier than the logs of control do, the VM's clock is slow. Its events are then shifted by the
//! least time that puts cause before effect.

use std::collections::HashMap;

use super::event::Event;

/// Event that control and daemons write as soon as they use a revision.
const REVISION_IN_USE: &str = "revision in use";

/// Corrects the times of clocks that jump or are slow, then sorts the events by time.
pub(crate) fn sort(events: &mut [Event]) {
    follow_steady_clocks(events);
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
        let lag = lags.get(&event.vm).copied().unwrap_or(0);
        event.wall_us = event.wall_us.saturating_add(lag);
    }
    events.sort_by(|a, b| {
        (a.wall_us, &a.vm, a.pid, a.mono_us).cmp(&(b.wall_us, &b.vm, b.pid, b.mono_us))
    });
}

/// First event of a process, and the steady time of its last one.
#[allow(clippy::struct_field_names, reason = "all are in microseconds")]
struct Run {
    wall_us: u64,
    first_us: u64,
    last_us: u64,
}

/// Sets the time of each event to that of its process's first event and the steady time since.
fn follow_steady_clocks(events: &mut [Event]) {
    let mut runs: HashMap<(Box<str>, Box<str>, u32), Run> = HashMap::new();
    for event in events {
        let process = (event.vm.clone(), event.process.clone(), event.pid);
        let (wall_us, at) = (event.wall_us, event.mono_us);
        let run = runs.entry(process).or_insert(Run { wall_us, first_us: at, last_us: at });
        if at < run.last_us {
            // Another process with the same identity.
            *run = Run { wall_us, first_us: at, last_us: at };
        }
        run.last_us = at;
        event.wall_us = run.wall_us.saturating_add(at - run.first_us);
    }
}

/// Returns whether an event shows when control created a revision. Other events of control
/// carry the revision as well, but may be later.
fn is_revision_created(event: &Event) -> bool {
    &*event.process == "control" && &*event.event == REVISION_IN_USE
}
