//! Names and descriptions of all metrics.

use Kind::{Counter, Gauge, Histogram};

use super::Name;

/// Kind of a metric.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Kind {
    /// Number of events since the start of the process.
    Counter,
    /// Current value.
    Gauge,
    /// Histogram of durations, in seconds.
    Histogram,
}

/// Description of a metric.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Metric {
    pub(crate) name: Name,
    pub(crate) kind: Kind,
    /// Roles that publish it.
    pub(crate) roles: &'static str,
    /// Meaning of the value.
    pub(crate) meaning: &'static str,
    /// Condition that indicates a problem, or empty if the metric alone never does.
    pub(crate) problem: &'static str,
}

const fn metric(
    kind: Kind,
    name: Name,
    roles: &'static str,
    meaning: &'static str,
    problem: &'static str,
) -> Metric {
    Metric { name, kind, roles, meaning, problem }
}

/// All metrics, by role: entry, agent, control.
pub(crate) const METRICS: &[Metric] = &[
    metric(Counter, "forwarded", "entry", "packets forwarded to agents", ""),
    metric(
        Counter,
        "repeated",
        "entry",
        "packets that a caller retransmitted",
        "rises: packets or answers are lost",
    ),
    metric(
        Counter,
        "dropped.queue",
        "entry",
        "packets dropped because the queue for the link was full",
        "above zero: the link is too slow",
    ),
    metric(
        Counter,
        "dropped.no_member",
        "entry",
        "packets dropped because the route has no member",
        "above zero for long",
    ),
    metric(
        Counter,
        "dropped.unknown_service",
        "entry",
        "packets dropped because the address has no route",
        "rises: callers use a removed route",
    ),
    metric(Gauge, "waiting_bytes", "entry", "bytes queued for the link", "above zero for long"),
    metric(Gauge, "cached_flows", "entry", "flows in the owner cache", ""),
    metric(
        Gauge,
        "revision",
        "entry, agent",
        "revision in use",
        "stays below that of other daemons",
    ),
    metric(
        Counter,
        "dropped.inactive",
        "entry, agent",
        "packets dropped because the daemon has no valid lease",
        "above zero for long",
    ),
    metric(Counter, "dropped.malformed", "entry, agent", "packets that cannot be parsed", ""),
    metric(
        Counter,
        "dropped.send",
        "entry, agent",
        "datagrams that the kernel refused to send",
        "above zero",
    ),
    metric(
        Counter,
        "rejected",
        "entry, agent",
        "datagrams not sealed with the passphrase, or not from the upstream",
        "above zero",
    ),
    metric(Counter, "unexpected", "entry, agent", "invalid or unexpected messages", "above zero"),
    metric(Counter, "placed", "agent", "flows for which a home started to select an upstream", ""),
    metric(Counter, "admitted", "agent", "flows admitted to the upstream", ""),
    metric(Counter, "declined.full", "agent", "offers declined because no slot was free", ""),
    metric(
        Counter,
        "declined.draining",
        "agent",
        "offers declined because the upstream drains or is absent",
        "",
    ),
    metric(
        Counter,
        "declined.inactive",
        "agent",
        "offers declined because the lease or the route is missing",
        "",
    ),
    metric(
        Counter,
        "declined.not_home",
        "agent",
        "offers declined because the views of home and member differ",
        "",
    ),
    metric(
        Counter,
        "declined.returned",
        "agent",
        "first packets that an upstream returned",
        "rises",
    ),
    metric(
        Counter,
        "declined.unspecified",
        "agent",
        "offers declined for a reason unknown to this version",
        "",
    ),
    metric(
        Counter,
        "offers.unanswered",
        "agent",
        "offers that a member did not answer in time",
        "rises",
    ),
    metric(
        Counter,
        "refused",
        "agent",
        "flows refused because no upstream had a free slot before the deadline",
        "rises: add upstreams",
    ),
    metric(
        Counter,
        "refused.silent",
        "agent",
        "refused flows that were not reset because they may be open elsewhere",
        "",
    ),
    metric(
        Counter,
        "waited",
        "agent",
        "flows that waited at this home for a free slot",
        "rises: add upstreams, unless an outage has just ended",
    ),
    metric(Counter, "delivered", "agent", "packets delivered to the upstream", ""),
    metric(Counter, "answered", "agent", "packets forwarded from the upstream", ""),
    metric(
        Counter,
        "late",
        "agent",
        "answers that took longer than the route's objective",
        "rises",
    ),
    metric(Counter, "failed", "agent", "flows that the upstream reset before it answered", "rises"),
    metric(Counter, "returned", "agent", "packets that the upstream returned", ""),
    metric(Counter, "adopted", "agent", "flows taken over after a restart", ""),
    metric(Counter, "claimed", "agent", "flows adopted because of answers from the upstream", ""),
    metric(
        Counter,
        "contested",
        "agent",
        "flows offered to two upstreams",
        "rises: agents answer late",
    ),
    metric(
        Counter,
        "searched",
        "agent",
        "searches for the owner of a flow among all members",
        "rises without restarts",
    ),
    metric(
        Counter,
        "searched.absent",
        "agent",
        "searches for flows on record whose owner is not a member",
        "rises while no agent restarts",
    ),
    metric(
        Counter,
        "searched.away",
        "agent",
        "searches without a result because an agent is expected back",
        "rises while no agent restarts",
    ),
    metric(
        Counter,
        "reset.unknown",
        "agent",
        "callers reset because no member has their flow",
        "rises",
    ),
    metric(
        Counter,
        "reset.gone",
        "agent",
        "callers reset because the process of the upstream ended",
        "",
    ),
    metric(Counter, "silent", "agent", "flows dropped after unanswered probes", "rises"),
    metric(
        Counter,
        "reports.unreadable",
        "agent",
        "reports from the upstream that cannot be parsed",
        "above zero",
    ),
    metric(
        Counter,
        "reports.unproven",
        "agent",
        "reports that are not shown to be the upstream's, and were not acknowledged",
        "above zero",
    ),
    metric(
        Counter,
        "dropped.absent",
        "agent",
        "packets of flows whose owner does not answer",
        "above zero for long",
    ),
    metric(
        Counter,
        "dropped.epoch",
        "agent",
        "reports for another set of members than the current one",
        "",
    ),
    metric(Counter, "dropped.foreign", "agent", "packets for another service", "above zero"),
    metric(
        Counter,
        "dropped.held",
        "agent",
        "packets dropped because too many waited for reports",
        "",
    ),
    metric(Counter, "dropped.no_peer", "agent", "messages from processes that are not members", ""),
    metric(
        Counter,
        "dropped.searched",
        "agent",
        "packets of flows for which a search is in progress",
        "",
    ),
    metric(Counter, "dropped.unknown_answer", "agent", "answers for unknown flows", ""),
    metric(Gauge, "connections", "agent", "open flows", ""),
    metric(Gauge, "slots", "agent", "slots in use", ""),
    metric(
        Gauge,
        "limit",
        "agent",
        "current slot limit of the upstream",
        "far below the declared number of slots",
    ),
    metric(Gauge, "records", "agent", "records of flows owned by other agents", ""),
    metric(Histogram, "answer", "agent", "from a request to the first packet of its answer", ""),
    metric(
        Histogram,
        "opening",
        "agent",
        "from the first packet of a flow to the answer of the upstream",
        "",
    ),
    metric(Counter, "applied", "control", "commands applied", ""),
    metric(Counter, "elected", "control", "elections won", "rises"),
    metric(Counter, "deposed", "control", "leaderships lost", "rises"),
    metric(Counter, "disk_failed", "control", "disk failures", "above zero"),
    metric(
        Histogram,
        "sync",
        "control",
        "from a write to the log until it is synced to disk",
        "above 0.1 s",
    ),
];

/// Returns the table of all metrics in Markdown. `docs/METRICS.md` contains the same table.
pub(crate) fn table() -> String {
    let rows = METRICS.iter().map(|metric| {
        let form = match metric.kind {
            Counter => "count",
            Gauge => "level",
            Histogram => "time, s",
        };
        let Metric { name, roles, meaning, problem, .. } = metric;
        format!("| `{name}` | {form} | {roles} | {meaning} | {problem} |\n")
    });
    let head = "| name | form | roles | meaning | problem if |\n|---|---|---|---|---|\n";
    std::iter::once(head.to_owned()).chain(rows).collect()
}
