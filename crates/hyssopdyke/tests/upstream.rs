//! Tests of the status of an upstream, by its reports and by those of others.

use std::time::{Duration, Instant};

use hyssopdyke::process::{Change, Phase, Upstream, UpstreamReport};
use proptest::prelude::*;
use proptest::test_runner::RngSeed;

const SECOND: Duration = Duration::from_secs(1);
const MILLI: Duration = Duration::from_millis(1);

fn report(instance: &str, started_ms: u64, sequence: u64, phase: Phase) -> UpstreamReport {
    UpstreamReport {
        instance: instance.into(),
        started_ms,
        sequence,
        service: Some("dispatch".into()),
        slots: 5,
        warmup_left: Duration::ZERO,
        phase,
    }
}

/// Returns an upstream that has reported once a second up to `now`, with numbers up to `sequence`.
fn reporting(sequence: u64, now: Instant) -> Upstream {
    let mut upstream = Upstream::new(SECOND);
    for number in 1..=sequence {
        let at = now.checked_sub(SECOND * (sequence - number) as u32).unwrap_or(now);
        upstream.report(report("a", 10, number, Phase::Serving), at);
    }
    upstream
}

#[test]
fn upstream_drains() {
    let start = Instant::now();
    let mut upstream = Upstream::new(SECOND);
    assert!(!upstream.is_serving(start));
    // A restarted agent has adopted the flows of an upstream that is still running. The upstream's
    // first report must not end them.
    assert_eq!(upstream.report(report("a", 10, 1, Phase::Serving), start), Change::First);
    assert!(upstream.is_serving(start));
    assert_eq!(upstream.report(report("a", 10, 2, Phase::Draining), start), Change::Phase);
    assert!(!upstream.is_serving(start) && upstream.is_alive(start));
    // A delayed report must not end the draining.
    assert_eq!(upstream.report(report("a", 10, 1, Phase::Serving), start), Change::None);
    assert!(!upstream.is_serving(start));
    let end = start + 2 * SECOND;
    assert_eq!(upstream.report(UpstreamReport::gone("a".into()), end), Change::Phase);
    assert!(!upstream.is_alive(end) && !upstream.is_present(end, true));
    // Nor does a late report bring it back.
    assert_eq!(upstream.report(report("a", 10, 3, Phase::Serving), end), Change::None);
    assert!(upstream.is_gone());
}

#[test]
fn upstream_former_process() {
    // A report is delayed by a partition and received after its sender has crashed and another
    // process has replaced it.
    let start = Instant::now();
    let mut upstream = reporting(7, start);
    upstream.record_lost_flow(start + MILLI);
    let now = start + 2 * MILLI;
    assert_eq!(upstream.report(report("b", 20, 1, Phase::Serving), now), Change::Started);
    assert_eq!(upstream.report(report("a", 10, 8, Phase::Draining), now), Change::Unproven);
    assert_eq!(upstream.report(UpstreamReport::gone("a".into()), now), Change::None);
    assert!(upstream.is_serving(now));
    // A process with the same name may start again, with sequence numbers from the beginning.
    upstream.record_lost_flow(now + MILLI);
    let now = now + 2 * MILLI;
    assert_eq!(upstream.report(report("b", 30, 1, Phase::Serving), now), Change::Started);
}

#[test]
fn upstream_other_process_reports() {
    // One report that named another process, or another start of the same one, made an agent drop the
    // open flows of its upstream, which went on.
    let start = Instant::now();
    for (instance, started_ms, sequence) in
        [("a", u64::MAX, 8), ("a", 11, 1), ("a", 9, 1), ("b", 10, 8), ("b", 20, 1)]
    {
        let mut upstream = reporting(7, start);
        let mut now = start;
        for number in 8..40 {
            let other = report(instance, started_ms, sequence + number - 8, Phase::Serving);
            assert_eq!(upstream.report(other, now + SECOND / 2), Change::Unproven, "{instance}");
            now += SECOND;
            let own = report("a", 10, number, Phase::Serving);
            assert_eq!(upstream.report(own, now), Change::Capacity);
            assert!(upstream.is_serving(now) && upstream.succeeded_at().is_none());
        }
        // The upstream's end is not hidden by the other reports either.
        let draining = report("a", 10, 40, Phase::Draining);
        assert_eq!(upstream.report(draining, now), Change::Phase);
    }
}

#[test]
fn upstream_successor_by_lost_flow() {
    // The upstream crashes and starts again at once. Its first report comes before or after the first
    // packet of a flow that it no longer holds.
    let start = Instant::now();
    let mut upstream = reporting(7, start);
    let successor = || report("b", 20, 1, Phase::Serving);
    assert_eq!(upstream.report(successor(), start + 300 * MILLI), Change::Unproven);
    assert_eq!(upstream.record_lost_flow(start + 400 * MILLI), Change::Started);
    assert_eq!(upstream.succeeded_at(), Some(start + 300 * MILLI));
    let mut upstream = reporting(7, start);
    assert_eq!(upstream.record_lost_flow(start + 200 * MILLI), Change::None);
    assert_eq!(upstream.report(successor(), start + 300 * MILLI), Change::Started);
    // A flow that was lost before the upstream's last report shows nothing.
    let mut upstream = reporting(7, start);
    upstream.record_lost_flow(start + 200 * MILLI);
    upstream.report(report("a", 10, 8, Phase::Serving), start + 250 * MILLI);
    assert_eq!(upstream.report(successor(), start + 300 * MILLI), Change::Unproven);
}

#[test]
fn upstream_successor_by_silence() {
    let start = Instant::now();
    let mut upstream = reporting(7, start);
    for number in 1..4 {
        let at = start + SECOND * (number - 1) + 500 * MILLI;
        let successor = report("b", 20, number.into(), Phase::Serving);
        assert_eq!(upstream.report(successor, at), Change::Unproven);
    }
    let successor = report("b", 20, 4, Phase::Draining);
    assert_eq!(upstream.report(successor, start + 3500 * MILLI), Change::Started);
    assert_eq!(upstream.succeeded_at(), Some(start + 500 * MILLI));
    assert!(upstream.is_alive(start + 3500 * MILLI) && !upstream.is_serving(start + 3500 * MILLI));
}

#[test]
fn upstream_successor_numbers_too_high() {
    // The first report to a restarted agent was written by others. The upstream's own reports do not
    // start anew, so that it has been there all the while and holds its flows.
    let start = Instant::now();
    let mut upstream = Upstream::new(SECOND);
    assert_eq!(upstream.report(report("x", 90, 1, Phase::Serving), start), Change::First);
    for number in 0..3 {
        let own = report("a", 10, 30 + number, Phase::Serving);
        let at = start + SECOND * number as u32 + SECOND / 2;
        assert_eq!(upstream.report(own, at), Change::Unproven);
    }
    let own = report("a", 10, 33, Phase::Serving);
    assert_eq!(upstream.report(own, start + 3500 * MILLI), Change::Corrected);
    assert!(upstream.succeeded_at().is_none() && upstream.is_serving(start + 3500 * MILLI));
}

#[test]
fn upstream_sequence_poisoned() {
    // One report with a number that is far too high made all later reports of the upstream late.
    let start = Instant::now();
    for high in [40, 1 << 40, u64::MAX] {
        let mut upstream = reporting(7, start);
        let mut now = start;
        for number in 8..20 {
            let other = report("a", 10, high, Phase::Serving);
            assert_eq!(upstream.report(other, now + 500 * MILLI), Change::Unproven);
            now += SECOND;
            let own = report("a", 10, number, Phase::Serving);
            assert_eq!(upstream.report(own, now), Change::Capacity);
        }
        let draining = report("a", 10, 20, Phase::Draining);
        assert_eq!(upstream.report(draining, now + SECOND), Change::Phase);
    }
}

#[test]
fn upstream_first_sequence_poisoned() {
    // The first report to a restarted agent had a number that is far too high.
    let start = Instant::now();
    let mut upstream = Upstream::new(SECOND);
    upstream.report(report("a", 10, u64::MAX, Phase::Serving), start);
    let mut now = start;
    for number in 30..40 {
        now += SECOND;
        upstream.report(report("a", 10, number, Phase::Serving), now);
        upstream.report(report("a", 10, u64::MAX, Phase::Serving), now + MILLI);
        assert!(upstream.is_serving(now), "down at report {number}");
    }
    assert_eq!(upstream.last_report().map(|last| last.sequence), Some(39));
}

#[test]
fn upstream_reports_skipped() {
    // Reports were lost, more than fit into the time since. The process goes on from there.
    let start = Instant::now();
    let mut upstream = reporting(7, start);
    for (number, change) in [(500, Change::Unproven), (501, Change::Capacity)] {
        let own = report("a", 10, number, Phase::Serving);
        assert_eq!(upstream.report(own, start + SECOND * (number as u32 - 499)), change);
    }
    // After a pause of the agent, the numbers fit into the time.
    let own = report("a", 10, 520, Phase::Serving);
    assert_eq!(upstream.report(own, start + 10 * SECOND), Change::Capacity);
}

#[test]
fn upstream_drains_after_poisoned_sequence() {
    // The upstream's draining was acknowledged and ignored, since its number seemed late.
    let start = Instant::now();
    let mut upstream = reporting(7, start);
    upstream.report(report("a", 10, 8, Phase::Serving), start + MILLI);
    let draining = report("a", 10, 8, Phase::Draining);
    assert_eq!(upstream.report(draining, start + 2 * MILLI), Change::Phase);
    assert!(!upstream.is_serving(start + 2 * MILLI));
}

#[test]
fn upstream_drains_beside_other_reports() {
    // Reports under the upstream's own name said that it serves, while it drained.
    let start = Instant::now();
    let mut upstream = reporting(7, start);
    let mut now = start;
    for number in 8..30 {
        now += SECOND;
        upstream.report(report("a", 10, number, Phase::Draining), now);
        upstream.report(report("a", 10, 1000 * number, Phase::Serving), now + SECOND / 2);
        assert!(!upstream.is_serving(now + SECOND / 2), "report {number}");
    }
    // One report under its name that says that it drains does not put it out of service for good.
    let mut upstream = reporting(7, start);
    upstream.report(report("a", 10, 8, Phase::Draining), start);
    for number in 9..11 {
        now = start + SECOND * (number as u32 - 8);
        upstream.report(report("a", 10, number, Phase::Serving), now);
    }
    assert!(upstream.is_serving(now));
}

#[test]
fn upstream_end_without_draining() {
    // A final report of a former process with the same name came late, and ended the flows of the
    // present one.
    let start = Instant::now();
    let mut upstream = reporting(7, start);
    let gone = || UpstreamReport::gone("a".into());
    assert_eq!(upstream.report(gone(), start), Change::Phase);
    assert!(!upstream.is_serving(start) && !upstream.is_gone());
    for (number, change) in [(8, Change::Capacity), (9, Change::Phase)] {
        let own = report("a", 10, number, Phase::Serving);
        assert_eq!(upstream.report(own, start + SECOND * (number as u32 - 7)), change);
    }
    assert!(upstream.is_serving(start + 2 * SECOND));
    assert_eq!(upstream.check_end(start + 5 * SECOND), Change::None);
    // It is believed once no further report has come, or the upstream has lost a flow.
    assert_eq!(upstream.report(gone(), start + 2 * SECOND), Change::Phase);
    assert_eq!(upstream.check_end(start + 3 * SECOND), Change::None);
    assert_eq!(upstream.check_end(start + 4 * SECOND), Change::Phase);
    assert!(upstream.is_gone());
    let mut upstream = reporting(7, start);
    upstream.report(gone(), start);
    assert_eq!(upstream.record_lost_flow(start + MILLI), Change::Phase);
    assert!(upstream.is_gone());
}

#[test]
fn upstream_end_right_after_draining() {
    // Others reported under the upstream's name that it drains, and at once its end.
    let start = Instant::now();
    let mut upstream = reporting(7, start);
    upstream.report(report("a", 10, 8, Phase::Draining), start + MILLI);
    upstream.report(UpstreamReport::gone("a".into()), start + 2 * MILLI);
    assert!(!upstream.is_gone());
    for number in 8..12 {
        let now = start + SECOND * (number as u32 - 7);
        upstream.report(report("a", 10, number, Phase::Serving), now);
        assert_eq!(upstream.check_end(now), Change::None);
    }
    assert!(upstream.is_serving(start + 4 * SECOND));
}

#[test]
fn upstream_end_of_others() {
    // The first report to a restarted agent, and a final one under the same name, were written by
    // others. The upstream's flows were dropped, although it reported all the while.
    let start = Instant::now();
    let mut upstream = Upstream::new(SECOND);
    upstream.report(report("a", 11, 1, Phase::Serving), start);
    upstream.report(UpstreamReport::gone("a".into()), start);
    for number in 0..3 {
        let own = report("a", 10, 30 + number, Phase::Serving);
        upstream.report(own, start + 500 * MILLI * (number as u32 + 1));
    }
    assert_eq!(upstream.check_end(start + 1900 * MILLI), Change::None);
    assert_eq!(upstream.check_end(start + 2 * SECOND), Change::Corrected);
    assert!(upstream.is_serving(start + 2 * SECOND) && upstream.succeeded_at().is_none());
}

#[test]
fn upstream_rival_cold() {
    // A process that may be the upstream's present one is not given more than it can bear.
    let start = Instant::now();
    let mut upstream = reporting(7, start);
    let rival = report("b", 20, 1, Phase::Serving);
    upstream.report(UpstreamReport { warmup_left: 2 * SECOND, ..rival }, start);
    assert!(upstream.is_cold(start + SECOND));
    upstream.report(report("a", 10, 8, Phase::Serving), start + SECOND);
    assert!(!upstream.is_cold(start + SECOND), "the upstream's own report says otherwise");
}

#[test]
fn upstream_start_unclear() {
    // The time of day stepped back between the starts of an upstream and of a restarted agent, which
    // took the upstream for a new one and its flows for unknown.
    let start = Instant::now();
    let reported = start + SECOND;
    let warmup = 2 * SECOND;
    let may_predate = |started_ms, sequence, warmup_left| {
        let mut upstream = Upstream::new(SECOND);
        let report =
            UpstreamReport { warmup_left, ..report("a", started_ms, sequence, Phase::Serving) };
        upstream.report(report, reported);
        upstream.may_predate(start, warmup)
    };
    for started_ms in [0, 8_000, 9_990, 12_000, u64::MAX] {
        assert!(may_predate(started_ms, 2, Duration::ZERO), "the time of day was trusted");
        // The first report of all: no other process has served the upstream.
        assert!(!may_predate(started_ms, 1, Duration::ZERO));
        // After a loss of power, both start together, and the upstream's first call finds no agent.
        assert!(!may_predate(started_ms, 2, SECOND * 3 / 2));
        assert!(may_predate(started_ms, 2, SECOND / 10), "cold for longer than the agent runs");
        assert!(may_predate(started_ms, 50, SECOND * 3 / 2), "old, and cold for another reason");
    }
    assert!(Upstream::new(SECOND).may_predate(start, warmup));
    let mut upstream = Upstream::new(SECOND);
    upstream.report(report("a", 8_000, 7, Phase::Serving), reported);
    upstream.record_lost_flow(reported + MILLI);
    let successor = report("b", 12_000, 3, Phase::Serving);
    assert_eq!(upstream.report(successor, reported + SECOND), Change::Started);
    assert!(!upstream.may_predate(start, warmup), "the former one has reported to this process");
}

#[test]
fn upstream_cold_until_report() {
    // An upstream that became cold while its failure domain was out got its full share as soon as the
    // domain was back, until its next report.
    let start = Instant::now();
    let mut upstream = Upstream::new(SECOND);
    upstream.report(report("a", 10, 1, Phase::Serving), start);
    assert!(!upstream.is_cold(start));
    upstream.forget_warmth();
    assert!(upstream.is_cold(start));
    upstream.report(report("a", 10, 1, Phase::Serving), start);
    assert!(upstream.is_cold(start), "a late report says nothing of the present");
    upstream.report(report("a", 10, 2, Phase::Serving), start);
    assert!(!upstream.is_cold(start));
}

#[test]
fn upstream_clock_set_back() {
    // The upstream's clock was set back, so that the new process seems older than the former one.
    // Its reports are accepted once the reports of the former process have stopped.
    let start = Instant::now();
    let mut upstream = Upstream::new(SECOND);
    upstream.report(report("a", 1000, 7, Phase::Serving), start);
    assert_eq!(upstream.report(report("b", 500, 1, Phase::Serving), start), Change::Unproven);
    let later = start + 4 * SECOND;
    assert_eq!(upstream.report(report("b", 500, 4, Phase::Serving), later), Change::Started);
    assert!(upstream.is_serving(later));
}

#[test]
fn upstream_silent() {
    let start = Instant::now();
    let mut upstream = Upstream::new(SECOND);
    assert!(upstream.is_present(start, true) && !upstream.is_present(start, false));
    upstream.report(report("a", 10, 1, Phase::Serving), start);
    assert!(upstream.is_serving(start + 2 * SECOND));
    assert!(!upstream.is_serving(start + 3 * SECOND));
    assert!(upstream.is_present(start + 11 * SECOND, false));
    assert!(!upstream.is_present(start + 12 * SECOND, false));
}

/// Any report of others: any process, or the upstream's own name with other values.
fn any_report() -> impl Strategy<Value = UpstreamReport> {
    let number = || prop_oneof![Just(0), Just(u64::MAX), 0..50_u64, any::<u64>()];
    let phase = prop_oneof![Just(Phase::Serving), Just(Phase::Draining), Just(Phase::Gone)];
    let warmup = prop_oneof![Just(0), 0..100_000_u64, Just(u64::MAX)];
    (prop_oneof!["a", "b", "[a-z]{1,8}"], number(), number(), phase, warmup).prop_map(
        |(instance, started_ms, sequence, phase, warmup)| UpstreamReport {
            warmup_left: Duration::from_millis(warmup),
            ..report(&instance, started_ms, sequence, phase)
        },
    )
}

proptest! {
    #![proptest_config(ProptestConfig {
        cases: 2000,
        rng_seed: RngSeed::Fixed(29),
        failure_persistence: None,
        ..ProptestConfig::default()
    })]

    /// While the upstream reports once per interval, no reports of others take its flows, whatever
    /// they say, unless they are its own final reports after it was said to drain.
    #[test]
    fn upstream_any_other_reports(others in prop::collection::vec((any_report(), 0..1000_u32), 0..40)) {
        let start = Instant::now();
        let mut upstream = reporting(7, start);
        let mut now = start;
        for (index, (other, after)) in others.into_iter().enumerate() {
            let own_draining = other.instance == "a".into() && other.phase != Phase::Serving;
            if !own_draining {
                let change = upstream.report(other, now + MILLI * after);
                prop_assert!(!matches!(change, Change::Started | Change::Corrected), "{change:?}");
            }
            now += SECOND;
            upstream.report(report("a", 10, 8 + index as u64, Phase::Serving), now);
            prop_assert!(!upstream.is_gone() && upstream.succeeded_at().is_none());
            prop_assert_eq!(upstream.last_report().map(|last| &*last.instance), Some("a"));
        }
    }

    /// No sequence of reports ends a process by a panic or an overflow.
    #[test]
    fn upstream_any_reports(reports in prop::collection::vec((any_report(), any::<u32>()), 0..60)) {
        let mut now = Instant::now();
        let process = now;
        let mut upstream = Upstream::new(SECOND);
        for (report, after) in reports {
            now += MILLI * (after % 10_000);
            upstream.report(report, now);
            if after % 7 == 0 {
                upstream.record_lost_flow(now);
            }
            upstream.check_end(now);
            let _ = (upstream.is_serving(now), upstream.is_cold(now));
            let _ = upstream.may_predate(process, MILLI * after);
        }
    }
}
