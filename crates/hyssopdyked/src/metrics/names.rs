//! The names of all metrics, with what they tell.

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

const fn count(
    name: Name,
    roles: &'static str,
    meaning: &'static str,
    trouble: &'static str,
) -> Metric {
    Metric { name, form: Form::Count, roles, meaning, trouble }
}

const fn level(
    name: Name,
    roles: &'static str,
    meaning: &'static str,
    trouble: &'static str,
) -> Metric {
    Metric { name, form: Form::Level, roles, meaning, trouble }
}

const fn time(
    name: Name,
    roles: &'static str,
    meaning: &'static str,
    trouble: &'static str,
) -> Metric {
    Metric { name, form: Form::Time, roles, meaning, trouble }
}

/// All metrics, those of entries first.
pub(crate) const METRICS: &[Metric] = &[
    count("forwarded", "entry", "packets sent on to agents", ""),
    count(
        "repeated",
        "entry",
        "packets that a caller sent again",
        "rises: packets or answers are lost",
    ),
    count(
        "dropped.queue",
        "entry",
        "packets shed as too many waited for the link",
        "above zero: the link is too slow",
    ),
    count(
        "dropped.no_member",
        "entry",
        "packets of a route without members",
        "above zero for long",
    ),
    count(
        "dropped.unknown_service",
        "entry",
        "packets to an address without a route",
        "rises: callers use a removed route",
    ),
    level("waiting_bytes", "entry", "bytes that wait for the link", "above zero for long"),
    level("cached_flows", "entry", "flows whose owner is remembered", ""),
    level(
        "revision",
        "entry, agent",
        "revision that the daemon acts by",
        "stays behind the others'",
    ),
    count(
        "dropped.inactive",
        "entry, agent",
        "packets that came without a lease",
        "above zero for long",
    ),
    count("dropped.malformed", "entry, agent", "packets that cannot be read", ""),
    count("dropped.send", "entry, agent", "datagrams that the kernel did not take", "above zero"),
    count(
        "rejected",
        "entry, agent",
        "datagrams of nobody who has the passphrase, or not of the upstream",
        "above zero",
    ),
    count("unexpected", "entry, agent", "messages that make no sense", "above zero"),
    count("placed", "agent", "flows for which a home began to look for an upstream", ""),
    count("admitted", "agent", "flows that the upstream was asked to take", ""),
    count("declined.full", "agent", "offers declined for want of a slot", ""),
    count("declined.draining", "agent", "offers declined as the upstream leaves or is away", ""),
    count("declined.inactive", "agent", "offers declined for want of a lease or a route", ""),
    count("declined.not_home", "agent", "offers declined as the views differ", ""),
    count("declined.returned", "agent", "first packets that an upstream gave back", "rises"),
    count("declined.unspecified", "agent", "offers declined by another program version", ""),
    count("offers.unanswered", "agent", "offers that a member did not answer in time", "rises"),
    count(
        "refused",
        "agent",
        "flows refused as no upstream had a slot in time",
        "rises: add upstreams",
    ),
    count(
        "refused.silent",
        "agent",
        "of these, such that may be open elsewhere and are not reset",
        "",
    ),
    count("delivered", "agent", "packets handed to the upstream", ""),
    count("answered", "agent", "packets of the upstream passed on", ""),
    count("late", "agent", "answers that took longer than the route's objective", "rises"),
    count("failed", "agent", "flows that the upstream reset before it had answered", "rises"),
    count("returned", "agent", "packets that the upstream gave back", ""),
    count("adopted", "agent", "flows taken over after a restart", ""),
    count("claimed", "agent", "flows taken on from the upstream's answers", ""),
    count("contested", "agent", "flows that two upstreams were offered", "rises: agents are late"),
    count("searched", "agent", "searches for a flow among all members", "rises without restarts"),
    count("reset.unknown", "agent", "callers reset as no member serves their flow", "rises"),
    count("reset.gone", "agent", "callers reset as the upstream's process ended", ""),
    count("silent", "agent", "flows given up after unanswered probes", "rises"),
    count(
        "reports.unreadable",
        "agent",
        "reports of the upstream that cannot be read",
        "above zero",
    ),
    count(
        "dropped.absent",
        "agent",
        "packets of flows whose owner is missing",
        "above zero for long",
    ),
    count("dropped.epoch", "agent", "reports for other members than those of now", ""),
    count("dropped.foreign", "agent", "packets of another service", "above zero"),
    count("dropped.held", "agent", "packets that waited for reports, and were too many", ""),
    count("dropped.no_peer", "agent", "messages of processes that are no members", ""),
    count("dropped.searched", "agent", "packets of flows that are searched already", ""),
    count("dropped.unknown_answer", "agent", "answers of flows that are not known", ""),
    level("connections", "agent", "open flows", ""),
    level("slots", "agent", "slots that are taken", ""),
    level("limit", "agent", "slots that the upstream is given", "far below what is declared"),
    level("records", "agent", "records of others' flows", ""),
    time("answer", "agent", "from a request to the first of its answer", ""),
    time("opening", "agent", "from a first packet to the upstream's answer", ""),
    count("applied", "control", "commands applied", ""),
    count("elected", "control", "elections won", "rises"),
    count("deposed", "control", "leaderships lost", "rises"),
    count("disk_failed", "control", "failures of the disk", "above zero"),
    time("sync", "control", "from a write of the log to its end on the disk", "above 0.1 s"),
];

/// The table of all metrics, as `docs/METRICS.md` has it.
pub(crate) fn table() -> String {
    let rows = METRICS.iter().map(|metric| {
        let form = match metric.form {
            Form::Count => "count",
            Form::Level => "level",
            Form::Time => "time, s",
        };
        let Metric { name, roles, meaning, trouble, .. } = metric;
        format!("| `{name}` | {form} | {roles} | {meaning} | {trouble} |\n")
    });
    let head = "| name | form | roles | tells | trouble when |\n|---|---|---|---|---|\n";
    std::iter::once(head.to_owned()).chain(rows).collect()
}
