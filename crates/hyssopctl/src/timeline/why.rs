//! Diagnosis of a failed flow: the related events, and the event that decided its outcome.

use std::collections::BTreeSet;
use std::fmt;

use serde_json::Value;

use super::event::Event;

/// Time before and after a flow's own events in which other events of its VMs are included, in
/// microseconds: the default length of a lease.
const MARGIN_US: u64 = 3_000_000;

/// Fields of an event that name another VM.
const VM_FIELDS: [&str; 5] = ["to", "by", "home", "owner", "member"];

/// Events that are unrelated to the outcome of a flow.
const IGNORED_EVENTS: [&str; 1] = ["revision in use"];

/// Cause of a flow's outcome.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Cause {
    /// No upstream had a free slot before the deadline.
    NoSlot,
    /// The process of the upstream ended.
    UpstreamEnded,
    /// The upstream reset the flow before it answered.
    UpstreamFailed,
    /// No member has the flow.
    UnknownFlow,
    /// The owner of the flow does not answer.
    OwnerMissing,
    /// The upstream answered later than the route's objective.
    LateAnswer,
    /// The caller retransmits, and no event gives a reason.
    Unanswered,
    /// There is no route, or the route has no member.
    NoRoute,
    /// No event shows a problem.
    Undetermined,
}

/// Events that decide the outcome of a flow, in order of precedence.
const DECIDING_EVENTS: [(&str, Cause); 12] = [
    ("flow refused", Cause::NoSlot),
    ("flow ended with its upstream", Cause::UpstreamEnded),
    ("flow failed at the upstream", Cause::UpstreamFailed),
    ("unknown flow reset", Cause::UnknownFlow),
    ("packet waits for its owner", Cause::OwnerMissing),
    ("searched flow has an absent owner", Cause::OwnerMissing),
    ("flow searched", Cause::OwnerMissing),
    ("packet has no route", Cause::NoRoute),
    ("packet has no member to go to", Cause::NoRoute),
    ("silent flow given up", Cause::UpstreamFailed),
    ("answer late", Cause::LateAnswer),
    ("caller repeats a packet", Cause::Unanswered),
];

/// Events related to one flow, and the cause of its outcome.
#[derive(Debug)]
pub(crate) struct Diagnosis {
    pub(crate) cause: Cause,
    /// Event that decided the outcome, if there is one.
    pub(crate) deciding_event: Option<Event>,
    pub(crate) events: Vec<Event>,
    /// Number of events that the VMs suppressed in this period because their event budgets were
    /// spent.
    pub(crate) suppressed: u64,
}

impl Diagnosis {
    /// Diagnoses the flows whose name contains `flow`. `events` must be sorted by time.
    pub(crate) fn new(events: &[Event], flow: &str) -> Self {
        let own: Vec<&Event> = events.iter().filter(|event| is_of_flow(event, flow)).collect();
        let vms: BTreeSet<&str> = own.iter().flat_map(|event| vms(event)).collect();
        let from = own.first().map_or(0, |event| event.wall_us.saturating_sub(MARGIN_US));
        let until = own.last().map_or(0, |event| event.wall_us.saturating_add(MARGIN_US));
        let is_context = |event: &Event| {
            (from..=until).contains(&event.wall_us)
                && vms.contains(&*event.vm)
                && !event.fields.contains_key("flow")
                && !IGNORED_EVENTS.contains(&&*event.event)
        };
        let related = events.iter().filter(|event| is_of_flow(event, flow) || is_context(event));
        let related: Vec<Event> = related.cloned().collect();
        let decided = DECIDING_EVENTS.iter().find_map(|(name, cause)| {
            let last = own.iter().rev().find(|event| &*event.event == *name)?;
            Some((*cause, (*last).clone()))
        });
        let suppressed = related.iter().filter(|event| &*event.event == "events left out");
        let suppressed = suppressed.filter_map(|event| event.fields.get("count")?.as_u64()).sum();
        let (cause, deciding_event) =
            decided.map_or((Cause::Undetermined, None), |(c, e)| (c, Some(e)));
        Self { cause, deciding_event, events: related, suppressed }
    }
}

impl fmt::Display for Cause {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.write_str(match self {
            Self::NoSlot => "refused on opening: no upstream had a free slot before the deadline",
            Self::UpstreamEnded => "reset after opening: the process of the upstream ended",
            Self::UpstreamFailed => "ended by the upstream before it answered",
            Self::UnknownFlow => "reset after opening: no member has the flow",
            Self::OwnerMissing => "no response: the agent that owns the flow does not answer",
            Self::LateAnswer => "late answer: the upstream took longer than the route's objective",
            Self::Unanswered => {
                "no response: packets to the owner or answers from the owner are lost"
            }
            Self::NoRoute => "dropped: there is no route, or the route has no member",
            Self::Undetermined => "undetermined: no event shows a problem",
        })
    }
}

fn is_of_flow(event: &Event, flow: &str) -> bool {
    event.fields.get("flow").and_then(Value::as_str).is_some_and(|name| name.contains(flow))
}

/// Returns the VM of an event and the VMs that its fields name.
fn vms(event: &Event) -> impl Iterator<Item = &str> {
    let others = VM_FIELDS.iter().filter_map(|key| event.fields.get(*key)?.as_str());
    std::iter::once(&*event.vm).chain(others)
}
