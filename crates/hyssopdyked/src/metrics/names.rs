//! The names of all metrics, with what they tell.

use Form::{Count, Level, Time};

use super::Name;

/// How a metric is published.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Form {
    /// A count of events since the start.
    Count,
    /// A level of now.
    Level,
    /// A histogram of times in seconds.
    Time,
}

/// One metric.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Metric {
    pub(crate) name: Name,
    pub(crate) form: Form,
    /// Roles that publish it.
    pub(crate) roles: &'static str,
    /// What it tells.
    pub(crate) meaning: &'static str,
    /// When it shows trouble; empty where it does not by itself.
    pub(crate) trouble: &'static str,
}

const fn metric(
    form: Form,
    name: Name,
    roles: &'static str,
    meaning: &'static str,
    trouble: &'static str,
) -> Metric {
    Metric { name, form, roles, meaning, trouble }
}

/// All metrics, those of entries first.
pub(crate) const METRICS: &[Metric] = &[
    metric(Count, "forwarded", "entry", "packets sent on to agents", ""),
    metric(
        Count,
        "repeated",
        "entry",
        "packets that a caller sent again",
        "rises: packets or answers are lost",
    ),
    metric(
        Count,
        "dropped.queue",
        "entry",
        "packets shed as too many waited for the link",
        "above zero: the link is too slow",
    ),
    metric(
        Count,
        "dropped.no_member",
        "entry",
        "packets of a route without members",
        "above zero for long",
    ),
    metric(
        Count,
        "dropped.unknown_service",
        "entry",
        "packets to an address without a route",
        "rises: callers use a removed route",
    ),
    metric(Level, "waiting_bytes", "entry", "bytes that wait for the link", "above zero for long"),
    metric(Level, "cached_flows", "entry", "flows whose owner is remembered", ""),
    metric(
        Level,
        "revision",
        "entry, agent",
        "revision that the daemon acts by",
        "stays behind the others'",
    ),
    metric(
        Count,
        "dropped.inactive",
        "entry, agent",
        "packets that came without a lease",
        "above zero for long",
    ),
    metric(Count, "dropped.malformed", "entry, agent", "packets that cannot be read", ""),
    metric(
        Count,
        "dropped.send",
        "entry, agent",
        "datagrams that the kernel did not take",
        "above zero",
    ),
    metric(
        Count,
        "rejected",
        "entry, agent",
        "datagrams of nobody who has the passphrase, or not of the upstream",
        "above zero",
    ),
    metric(Count, "unexpected", "entry, agent", "messages that make no sense", "above zero"),
    metric(Count, "placed", "agent", "flows for which a home began to look for an upstream", ""),
    metric(Count, "admitted", "agent", "flows that the upstream was asked to take", ""),
    metric(Count, "declined.full", "agent", "offers declined for want of a slot", ""),
    metric(
        Count,
        "declined.draining",
        "agent",
        "offers declined as the upstream leaves or is away",
        "",
    ),
    metric(
        Count,
        "declined.inactive",
        "agent",
        "offers declined for want of a lease or a route",
        "",
    ),
    metric(Count, "declined.not_home", "agent", "offers declined as the views differ", ""),
    metric(
        Count,
        "declined.returned",
        "agent",
        "first packets that an upstream gave back",
        "rises",
    ),
    metric(
        Count,
        "declined.unspecified",
        "agent",
        "offers declined by another program version",
        "",
    ),
    metric(
        Count,
        "offers.unanswered",
        "agent",
        "offers that a member did not answer in time",
        "rises",
    ),
    metric(
        Count,
        "refused",
        "agent",
        "flows refused as no upstream had a slot in time",
        "rises: add upstreams",
    ),
    metric(
        Count,
        "refused.silent",
        "agent",
        "of these, such that may be open elsewhere and are not reset",
        "",
    ),
    metric(Count, "delivered", "agent", "packets handed to the upstream", ""),
    metric(Count, "answered", "agent", "packets of the upstream passed on", ""),
    metric(Count, "late", "agent", "answers that took longer than the route's objective", "rises"),
    metric(
        Count,
        "failed",
        "agent",
        "flows that the upstream reset before it had answered",
        "rises",
    ),
    metric(Count, "returned", "agent", "packets that the upstream gave back", ""),
    metric(Count, "adopted", "agent", "flows taken over after a restart", ""),
    metric(Count, "claimed", "agent", "flows taken on from the upstream's answers", ""),
    metric(
        Count,
        "contested",
        "agent",
        "flows that two upstreams were offered",
        "rises: agents are late",
    ),
    metric(
        Count,
        "searched",
        "agent",
        "searches for a flow among all members",
        "rises without restarts",
    ),
    metric(
        Count,
        "reset.unknown",
        "agent",
        "callers reset as no member serves their flow",
        "rises",
    ),
    metric(Count, "reset.gone", "agent", "callers reset as the upstream's process ended", ""),
    metric(Count, "silent", "agent", "flows given up after unanswered probes", "rises"),
    metric(
        Count,
        "reports.unreadable",
        "agent",
        "reports of the upstream that cannot be read",
        "above zero",
    ),
    metric(
        Count,
        "dropped.absent",
        "agent",
        "packets of flows whose owner is missing",
        "above zero for long",
    ),
    metric(Count, "dropped.epoch", "agent", "reports for other members than those of now", ""),
    metric(Count, "dropped.foreign", "agent", "packets of another service", "above zero"),
    metric(
        Count,
        "dropped.held",
        "agent",
        "packets that waited for reports, and were too many",
        "",
    ),
    metric(Count, "dropped.no_peer", "agent", "messages of processes that are no members", ""),
    metric(Count, "dropped.searched", "agent", "packets of flows that are searched already", ""),
    metric(Count, "dropped.unknown_answer", "agent", "answers of flows that are not known", ""),
    metric(Level, "connections", "agent", "open flows", ""),
    metric(Level, "slots", "agent", "slots that are taken", ""),
    metric(
        Level,
        "limit",
        "agent",
        "slots that the upstream is given",
        "far below what is declared",
    ),
    metric(Level, "records", "agent", "records of others' flows", ""),
    metric(Time, "answer", "agent", "from a request to the first of its answer", ""),
    metric(Time, "opening", "agent", "from a first packet to the upstream's answer", ""),
    metric(Count, "applied", "control", "commands applied", ""),
    metric(Count, "elected", "control", "elections won", "rises"),
    metric(Count, "deposed", "control", "leaderships lost", "rises"),
    metric(Count, "disk_failed", "control", "failures of the disk", "above zero"),
    metric(
        Time,
        "sync",
        "control",
        "from a write of the log to its end on the disk",
        "above 0.1 s",
    ),
];

/// The table of all metrics, as `docs/METRICS.md` has it.
pub(crate) fn table() -> String {
    let rows = METRICS.iter().map(|metric| {
        let form = match metric.form {
            Count => "count",
            Level => "level",
            Time => "time, s",
        };
        let Metric { name, roles, meaning, trouble, .. } = metric;
        format!("| `{name}` | {form} | {roles} | {meaning} | {trouble} |\n")
    });
    let head = "| name | form | roles | tells | trouble when |\n|---|---|---|---|---|\n";
    std::iter::once(head.to_owned()).chain(rows).collect()
}
