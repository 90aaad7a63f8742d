//! Why a flow failed: the chain of decisions that touched it, and what decided it.

use std::collections::BTreeSet;
use std::fmt;

use serde_json::Value;

use super::event::Event;

/// Time before and after a flow's own events in which what its VMs believed may matter, in
/// microseconds: a lease.
const MARGIN_US: u64 = 3_000_000;

/// Fields of an event that name another VM.
const OTHERS: [&str; 5] = ["to", "by", "home", "owner", "member"];

/// Events that say nothing of a flow's fate.
const NOISE: [&str; 1] = ["revision in use"];

/// What became of a flow.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Cause {
    /// No upstream had a slot in time.
    NoRoom,
    /// The upstream's process ended.
    UpstreamEnded,
    /// The upstream reset the flow before it had answered.
    UpstreamFailed,
    /// No member serves the flow.
    Unknown,
    /// The flow's owner is missing.
    OwnerMissing,
    /// The upstream took longer than the objective.
    Late,
    /// The caller repeats itself, and nobody says why.
    NotAnswered,
    /// No route, or no member behind it.
    NoRoute,
    /// Nothing that was written shows trouble.
    NotShown,
}

/// Events that decide, the most telling first.
const DECIDING: [(&str, Cause); 11] = [
    ("flow refused", Cause::NoRoom),
    ("flow ended with its upstream", Cause::UpstreamEnded),
    ("flow failed at the upstream", Cause::UpstreamFailed),
    ("unknown flow reset", Cause::Unknown),
    ("packet waits for its owner", Cause::OwnerMissing),
    ("flow searched", Cause::OwnerMissing),
    ("packet has no route", Cause::NoRoute),
    ("packet has no member to go to", Cause::NoRoute),
    ("silent flow given up", Cause::UpstreamFailed),
    ("answer late", Cause::Late),
    ("caller repeats a packet", Cause::NotAnswered),
];

/// The events that bear on one flow, and its cause.
#[derive(Debug)]
pub(crate) struct Chain {
    pub(crate) cause: Cause,
    /// Event that decided, if one did.
    pub(crate) decided: Option<Event>,
    pub(crate) events: Vec<Event>,
    /// Events that its VMs left out meanwhile, as their budgets were spent.
    pub(crate) left_out: u64,
}

impl Chain {
    /// Finds what bears on the flows whose name contains `flow` among events in order.
    pub(crate) fn find(events: &[Event], flow: &str) -> Self {
        let own: Vec<&Event> = events.iter().filter(|event| is_of(event, flow)).collect();
        let vms: BTreeSet<&str> = own.iter().flat_map(|event| vms(event)).collect();
        let from = own.first().map_or(0, |event| event.wall_us.saturating_sub(MARGIN_US));
        let until = own.last().map_or(0, |event| event.wall_us + MARGIN_US);
        let is_near = |event: &Event| {
            (from..=until).contains(&event.wall_us)
                && vms.contains(&*event.vm)
                && !event.rest.contains_key("flow")
                && !NOISE.contains(&&*event.event)
        };
        let bears = events.iter().filter(|event| is_of(event, flow) || is_near(event));
        let bears: Vec<Event> = bears.cloned().collect();
        let decided = DECIDING.iter().find_map(|(name, cause)| {
            let last = own.iter().rev().find(|event| &*event.event == *name)?;
            Some((*cause, (*last).clone()))
        });
        let left_out = bears.iter().filter(|event| &*event.event == "events left out");
        let left_out = left_out.filter_map(|event| event.rest.get("count")?.as_u64()).sum();
        let (cause, decided) = decided.map_or((Cause::NotShown, None), |(c, e)| (c, Some(e)));
        Self { cause, decided, events: bears, left_out }
    }
}

impl fmt::Display for Cause {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.write_str(match self {
            Self::NoRoom => "refused at its opening: no upstream had a slot in time",
            Self::UpstreamEnded => "reset after its opening: the upstream's process ended",
            Self::UpstreamFailed => "ended by its upstream before it had answered",
            Self::Unknown => "reset after its opening: no member serves it",
            Self::OwnerMissing => "silent: the agent that owns it does not answer",
            Self::Late => "answered late: the upstream took longer than the objective",
            Self::NotAnswered => {
                "silent: packets to its owner or the owner's answers are lost on their way"
            }
            Self::NoRoute => "dropped: there is no route, or no member behind it",
            Self::NotShown => "nothing that was written shows trouble",
        })
    }
}

fn is_of(event: &Event, flow: &str) -> bool {
    event.rest.get("flow").and_then(Value::as_str).is_some_and(|name| name.contains(flow))
}

/// The VM of an event, and those that it names.
fn vms(event: &Event) -> impl Iterator<Item = &str> {
    let others = OTHERS.iter().filter_map(|key| event.rest.get(*key)?.as_str());
    std::iter::once(&*event.vm).chain(others)
}
