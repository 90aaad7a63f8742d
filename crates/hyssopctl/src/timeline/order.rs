//! The order of events of VMs whose clocks differ.
//!
//! A revision is made by control before any daemon can act by it. A VM whose log shows a revision
//! earlier than control's logs do has a clock that is slow, and its events are moved on by the
//! least time that puts cause before effect.

use std::collections::HashMap;

use super::event::Event;

/// Event that control and daemons write as soon as they act by a revision.
const IN_USE: &str = "revision in use";

/// Sorts events by time, after the clocks of daemons were set by the revisions they show.
pub(crate) fn arrange(events: &mut [Event]) {
    let mut made: HashMap<u64, u64> = HashMap::new();
    for event in events.iter().filter(|event| is_cause(event)) {
        let first = made.entry(event.revision).or_insert(event.wall_us);
        *first = event.wall_us.min(*first);
    }
    let mut slow: HashMap<Box<str>, u64> = HashMap::new();
    for event in events.iter().filter(|event| &*event.process != "control") {
        let cause = made.get(&event.revision).copied().unwrap_or(0);
        let lag = cause.saturating_sub(event.wall_us);
        let known = slow.entry(event.vm.clone()).or_default();
        *known = lag.max(*known);
    }
    for event in events.iter_mut() {
        event.wall_us += slow.get(&event.vm).copied().unwrap_or(0);
    }
    events.sort_by(|a, b| {
        (a.wall_us, &a.vm, a.pid, a.mono_us).cmp(&(b.wall_us, &b.vm, b.pid, b.mono_us))
    });
}

/// Whether an event shows when control made a revision; later ones carry the same revision.
fn is_cause(event: &Event) -> bool {
    &*event.process == "control" && &*event.event == IN_USE
}
