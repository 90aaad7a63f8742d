//! Leases, limits, the barrier and the outbox.

use std::time::{Duration, Instant};

use hyssopdyke::process::{
    Barrier, Change, EventLimiter, Lease, Limit, Outbox, Phase, Queued, Reachability, Shaper,
    Suspects, Upstream, UpstreamReport, WarmupLimiter,
};
use hyssopdyke::request::{Candidate, Scheduler, Segment};
use rand::SeedableRng;
use rand::rngs::SmallRng;

const SECOND: Duration = Duration::from_secs(1);
const MILLI: Duration = Duration::from_millis(1);

#[test]
fn lease_countsfromsending() {
    let start = Instant::now();
    let mut lease = Lease::new(3 * SECOND);
    assert!(!lease.is_valid(start));
    lease.grant(start, 3 * SECOND, 0);
    lease.grant(start, 3 * SECOND, 0);
    lease.record_revision(0);
    assert!(lease.is_valid(start + 2999 * MILLI));
    assert!(!lease.is_valid(start + 3 * SECOND));
}

#[test]
fn lease_grantbeforepage() {
    // A process that was frozen while its failure domain was taken out (revision 8) gets its
    // renewal before the page: it must not act by the view of revision 7.
    let start = Instant::now();
    let mut lease = Lease::new(3 * SECOND);
    lease.grant(start, 3 * SECOND, 8);
    lease.record_revision(7);
    assert!(!lease.is_valid(start), "a grant counts for an older view");
    lease.record_revision(8);
    assert!(lease.is_valid(start));
}

#[test]
fn lease_pagebeforegrant() {
    let start = Instant::now();
    let mut lease = Lease::new(3 * SECOND);
    lease.record_revision(9);
    lease.grant(start, 3 * SECOND, 8);
    lease.record_revision(9);
    assert!(lease.is_valid(start));
}

#[test]
fn lease_newergrantpending() {
    // A grant that waits for its page does not take the place of one that counts already.
    let start = Instant::now();
    let mut lease = Lease::new(3 * SECOND);
    lease.grant(start, 3 * SECOND, 7);
    lease.record_revision(7);
    lease.grant(start + SECOND, 3 * SECOND, 8);
    lease.record_revision(7);
    assert!(lease.is_valid(start + 2 * SECOND));
    assert!(!lease.is_valid(start + 3 * SECOND));
}

#[test]
fn lease_vouched() {
    let start = Instant::now();
    let mut lease = Lease::new(3 * SECOND);
    lease.record_ping(7, start);
    // The answer comes after a freeze: it proves nothing about the time since the question.
    lease.record_pong(7);
    assert!(lease.is_valid(start + 2 * SECOND));
    assert!(!lease.is_valid(start + 10 * SECOND));
    lease.record_pong(8);
    assert!(!lease.is_valid(start + 10 * SECOND), "an answer without a question counts");
}

/// Answers `count` requests of a duration at a full limit.
fn answer(limit: &mut Limit, now: &mut Instant, count: u32, time: Duration) {
    for _ in 0..count {
        let since = *now;
        *now += time;
        limit.record_answer(since, *now, limit.current());
    }
}

#[test]
fn limit_grows() {
    let mut now = Instant::now();
    let mut limit = Limit::new(2, 5);
    assert_eq!(limit.current(), 2);
    answer(&mut limit, &mut now, 16, 10 * MILLI);
    assert_eq!(limit.current(), 2, "the first answer only sets the usual time");
    answer(&mut limit, &mut now, 40, 10 * MILLI);
    assert_eq!(limit.current(), 5, "the limit never passes what is declared");
    limit.record_answer(now, now + 10 * MILLI, 1);
    assert_eq!(limit.current(), 5);
}

#[test]
fn limit_recovers() {
    // From the cold bound to all that is declared within 30 s of full load, at 400 ms a request.
    let start = Instant::now();
    let mut now = start;
    let mut limit = Limit::new(1, 5);
    while limit.current() < 5 {
        let busy = limit.current();
        let since = now;
        now += 400 * MILLI;
        for _ in 0..busy {
            limit.record_answer(since, now, busy);
        }
        assert!(now.duration_since(start) < 30 * SECOND, "limit {}", limit.current());
    }
}

#[test]
fn limit_unusedgrowsnot() {
    let mut now = Instant::now();
    let mut limit = Limit::new(2, 5);
    for _ in 0..50 {
        limit.record_answer(now, now + 10 * MILLI, 1);
        now += 10 * MILLI;
    }
    assert_eq!(limit.current(), 2, "a load that was never tried counts as borne");
}

#[test]
fn limit_fallsonceperround() {
    let mut now = Instant::now();
    let mut limit = Limit::new(2, 40);
    answer(&mut limit, &mut now, 700, 10 * MILLI);
    let full = limit.current();
    assert_eq!(full, 40);
    let since = now;
    now += 100 * MILLI;
    for _ in 0..20 {
        limit.record_answer(since, now, full);
    }
    assert_eq!(limit.current(), full / 2, "requests of one round count once");
}

#[test]
fn limit_ejects() {
    let now = Instant::now();
    let mut limit = Limit::new(1, 5);
    for _ in 0..4 {
        limit.record_failure(now, now);
    }
    assert!(!limit.is_ejected(now));
    limit.record_failure(now, now);
    assert!(limit.is_ejected(now + SECOND));
    assert!(!limit.is_ejected(now + 2 * SECOND));
    assert_eq!(limit.current(), 1);
    let later = now + 3 * SECOND;
    for _ in 0..5 {
        limit.record_failure(later, later);
    }
    assert!(limit.is_ejected(later + 3 * SECOND), "the second ejection is longer");
}

#[test]
fn limit_goodanswerresetsfailures() {
    let mut now = Instant::now();
    let mut limit = Limit::new(1, 5);
    for _ in 0..20 {
        limit.record_failure(now, now);
        answer(&mut limit, &mut now, 1, 10 * MILLI);
    }
    assert!(!limit.is_ejected(now));
}

#[test]
fn barrier_everymember() {
    let mut barrier = Barrier::new();
    assert!(barrier.is_complete(5, []));
    barrier.record_part(1, 5, 0, 2);
    assert!(!barrier.is_complete(5, [1]));
    barrier.record_part(1, 5, 0, 2);
    assert!(!barrier.is_complete(5, [1]), "one part twice is not both");
    barrier.record_part(1, 5, 1, 2);
    assert!(barrier.is_complete(5, [1]));
    assert!(!barrier.is_complete(5, [1, 2]));
    barrier.record_part(2, 5, 0, 1);
    assert!(barrier.is_complete(5, [1, 2]));
    assert!(!barrier.is_complete(6, [1, 2]), "reports of another epoch count");
    barrier.record_part(1, 6, 0, 1);
    assert!(!barrier.is_complete(5, [1, 2]));
    barrier.record_part(1, 5, 0, 1);
    assert!(!barrier.is_complete(5, [1, 2]), "a late report took a later one's place");
}

#[test]
fn outbox_untilacknowledged() {
    let start = Instant::now();
    let mut outbox = Outbox::new(100 * MILLI, 2);
    for to in [1, 2, 3] {
        outbox.push(to, |sequence| sequence);
    }
    let due = |outbox: &mut Outbox<u64>, now| {
        let mut sent = Vec::new();
        outbox.send_due(now, |to, sequence| sent.push((to, *sequence)));
        sent
    };
    assert_eq!(due(&mut outbox, start), [(1, 1), (2, 2)]);
    assert_eq!(due(&mut outbox, start + 50 * MILLI), []);
    outbox.acknowledge(2, 1);
    assert_eq!(outbox.len(), 3, "another's acknowledgement counts");
    outbox.acknowledge(1, 1);
    assert_eq!(due(&mut outbox, start + 50 * MILLI), [(3, 3)]);
    assert_eq!(due(&mut outbox, start + 100 * MILLI), [(2, 2)]);
}

#[test]
fn pick_byweight() {
    let mut draw = Scheduler::new(SmallRng::seed_from_u64(1));
    let candidate = |vm, weight| Candidate { vm, weight };
    assert_eq!(draw.pick(&[]), None);
    let candidates = [candidate(1, 1000), candidate(2, 3000), candidate(3, 0)];
    let mut counts = [0; 4];
    for _ in 0..60_000 {
        if let Some(vm) = draw.pick(&candidates) {
            counts[vm as usize] += 1;
        }
    }
    // The third is taken at the mean of the others, 2000.
    for (vm, expected) in [(1, 10_000_i32), (2, 30_000), (3, 20_000)] {
        let count: i32 = counts[vm];
        assert!((count - expected).abs() < 500, "{counts:?}");
    }
}

fn report(instance: &str, started_ms: u64, number: u64, phase: Phase) -> UpstreamReport {
    UpstreamReport {
        instance: instance.into(),
        started_ms,
        sequence: number,
        service: Some("dispatch".into()),
        slots: 5,
        warmup_left: Duration::ZERO,
        phase,
    }
}

#[test]
fn upstream_drains() {
    let start = Instant::now();
    let mut upstream = Upstream::new(SECOND);
    assert!(!upstream.is_serving(start));
    // An agent that was restarted has taken over the flows of an upstream that goes on: its first
    // report must not end them.
    assert_eq!(upstream.report(report("a", 10, 1, Phase::Serving), start), Change::First);
    assert!(upstream.is_serving(start));
    assert_eq!(upstream.report(report("a", 10, 2, Phase::Draining), start), Change::Phase);
    assert!(!upstream.is_serving(start) && upstream.is_alive(start));
    // A delayed report must not open it again.
    assert_eq!(upstream.report(report("a", 10, 1, Phase::Serving), start), Change::None);
    assert!(!upstream.is_serving(start));
    assert_eq!(upstream.report(UpstreamReport::gone("a".into()), start), Change::Phase);
    assert!(!upstream.is_alive(start) && !upstream.is_present(start, true));
}

#[test]
fn upstream_formerboot() {
    // A report that a partition held up comes after its sender has crashed and another process
    // has taken its place.
    let start = Instant::now();
    let mut upstream = Upstream::new(SECOND);
    upstream.report(report("a", 10, 7, Phase::Serving), start);
    assert_eq!(upstream.report(report("b", 20, 1, Phase::Serving), start), Change::Restarted);
    assert_eq!(upstream.report(report("a", 10, 8, Phase::Draining), start), Change::None);
    assert_eq!(upstream.report(UpstreamReport::gone("a".into()), start), Change::None);
    assert!(upstream.is_serving(start));
    // The same name may start again, with its numbers from the beginning.
    assert_eq!(upstream.report(report("b", 30, 1, Phase::Serving), start), Change::Restarted);
}

#[test]
fn upstream_clocksetback() {
    // The clock that tells starts was set back: the new process seems older than the former one,
    // and is believed once that one has fallen silent.
    let start = Instant::now();
    let mut upstream = Upstream::new(SECOND);
    upstream.report(report("a", 1000, 7, Phase::Serving), start);
    assert_eq!(upstream.report(report("b", 500, 1, Phase::Serving), start), Change::None);
    let later = start + 4 * SECOND;
    assert_eq!(upstream.report(report("b", 500, 4, Phase::Serving), later), Change::Restarted);
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

#[test]
fn cold_anysecond() {
    // In any second a cold upstream gets no more than its rate and the burst.
    let start = Instant::now();
    let (rate, mut cold) = (4.0, WarmupLimiter::new());
    let taken: Vec<u32> = (0..5000).filter(|ms| cold.try_take(rate, start + *ms * MILLI)).collect();
    for window in 0..4000 {
        let inside = taken.iter().filter(|at| (window..window + 1000).contains(*at)).count();
        assert!(inside <= 6, "{inside} flows in the second from {window} ms");
    }
    assert!(taken.len() >= 20, "{} flows in five seconds", taken.len());
}

#[test]
fn suspects_clearedbyanswer() {
    let start = Instant::now();
    let address = ([10, 0, 0, 7], 5556).into();
    let mut suspects = Suspects::new();
    suspects.suspect(7, start);
    assert!(suspects.is_suspected(7, start) && !suspects.is_suspected(8, start));
    assert_eq!(suspects.suspected(start), [7]);
    // Only an answer to a question counts, not what was on its way before.
    suspects.record_reply(address);
    assert!(suspects.is_suspected(7, start));
    suspects.record_probe(7, address);
    suspects.record_reply(address);
    assert!(!suspects.is_suspected(7, start));
    suspects.suspect(7, start);
    assert!(!suspects.is_suspected(7, start + 5 * SECOND));
}

#[test]
fn budget_flood() {
    let start = Instant::now();
    let mut budget = EventLimiter::new();
    let admitted = |budget: &mut EventLimiter, kind, at| {
        (0..1000).filter(|_| budget.try_admit(kind, 20, at)).count()
    };
    assert_eq!(admitted(&mut budget, "flow placed", start), 20);
    // A flood of one kind takes nothing from the others.
    assert_eq!(admitted(&mut budget, "flow refused", start + 500 * MILLI), 20);
    assert_eq!(admitted(&mut budget, "flow placed", start + 999 * MILLI), 0);
    assert!(budget.take_suppressed(start + 999 * MILLI).is_empty(), "the period is not over");
    assert_eq!(admitted(&mut budget, "flow placed", start + SECOND), 20);
    let left_out = budget.take_suppressed(start + SECOND);
    assert_eq!(
        left_out.into_iter().collect::<Vec<_>>(),
        [("flow placed", 1980), ("flow refused", 980)]
    );
}

/// A packet of a flow, named by its flow and number.
fn waiting(flow: u64, number: u32, bytes: usize) -> Queued<(u64, u32)> {
    let segment = Segment {
        sequence: number,
        acknowledgement: Some(1),
        syn: false,
        fin: false,
        rst: false,
        length: bytes as u32,
    };
    Queued { segment: Some(segment), bytes, packet: (flow, number) }
}

/// Sends what a link with a short queue takes, and says how long that took.
fn drain(shaper: &mut Shaper<(u64, u32)>, start: Instant) -> Vec<(Duration, (u64, u32))> {
    let (mut now, mut sent) = (start, Vec::new());
    loop {
        while let Some(packet) = shaper.pop(now) {
            sent.push((now - start, packet));
        }
        let Some(delay) = shaper.delay(now) else { return sent };
        now += delay;
    }
}

#[test]
fn shaper_uploadwindows() {
    // Load: three uploads whose callers send windows of sixteen packets at once, through an entry
    // with a link of 3.3 Mbit/s. A queue of 40 ms would drop two thirds of them.
    let start = Instant::now();
    let rate = 3.3 * 125_000.0;
    let mut shaper = Shaper::new(rate);
    for flow in 0..3 {
        for number in 0..16 {
            assert!(shaper.push(flow, waiting(flow, number, 1232)).is_none());
        }
    }
    let sent = drain(&mut shaper, start);
    assert_eq!(sent.len(), 48);
    let mut bytes = 0.0;
    for (at, _) in &sent {
        bytes += 1232.0;
        // What stands in the link's own queue beyond what it has sent: some packets at most.
        assert!(bytes - rate * at.as_secs_f64() < 6.0 * 1232.0, "{at:?}");
    }
    let (last, _) = sent[47];
    assert!(last < Duration::from_millis(200), "{last:?}: slower than the link");
}

#[test]
fn shaper_shortbesidelong() {
    // Load: bookings beside uploads. A short request waits for one turn of each upload at most,
    // which is two packets, and not for their windows.
    let start = Instant::now();
    let mut shaper = Shaper::new(412_500.0);
    for flow in 0..4 {
        for number in 0..16 {
            assert!(shaper.push(flow, waiting(flow, number, 1232)).is_none());
        }
    }
    while shaper.pop(start).is_some() {}
    shaper.push(9, waiting(9, 0, 200));
    let sent = drain(&mut shaper, start);
    let place = sent.iter().position(|(_, (flow, _))| *flow == 9).unwrap();
    assert!(place <= 4 * 2, "after {place} packets of uploads");
    // And the uploads share the link.
    let first_half = sent.iter().take(32).filter(|(_, (flow, _))| *flow == 3).count();
    assert!((6..=10).contains(&first_half), "{first_half} of 32");
}

#[test]
fn shaper_repetition() {
    let start = Instant::now();
    let mut shaper = Shaper::new(412_500.0);
    while shaper.try_pass(1232, start) {}
    shaper.push(1, waiting(1, 5, 1232));
    shaper.push(1, waiting(1, 6, 1232));
    shaper.push(1, Queued { packet: (1, 55), ..waiting(1, 5, 1232) });
    let sent = drain(&mut shaper, start);
    let packets: Vec<_> = sent.into_iter().map(|(_, packet)| packet).collect();
    assert_eq!(packets, [(1, 55), (1, 6)], "a repetition takes the place of what waits");
    assert_eq!(shaper.queued_bytes(), 0);
}

#[test]
fn shaper_toomuch() {
    // What is dropped is the oldest of the flow of which most waits.
    let mut shaper = Shaper::new(412_500.0);
    shaper.push(2, waiting(2, 0, 100));
    let dropped: Vec<_> =
        (0..2000).filter_map(|number| shaper.push(1, waiting(1, number, 1200))).collect();
    assert!(!dropped.is_empty());
    assert!(dropped.iter().zip(0..).all(|(gone, number)| gone.packet == (1, number)));
    assert!(shaper.queued_bytes() <= 1 << 20);
}

#[test]
fn contact_lostandback() {
    let start = Instant::now();
    let mut contact = Reachability::new(start);
    let mut lost = None;
    for step in 1..20 {
        let now = start + 50 * MILLI * step;
        contact.take_probe(now);
        lost = lost.or(contact.is_isolated(now).then_some(now - start));
    }
    // Below a second, so that the fabric sends callers elsewhere before they give up.
    let lost = lost.unwrap();
    assert!(lost >= 600 * MILLI && lost <= 800 * MILLI, "{lost:?}");
    contact.record_received(start + SECOND);
    assert!(!contact.is_isolated(start + SECOND));
}

#[test]
fn contact_pauseofown() {
    // A process that was frozen has asked nobody meanwhile.
    let start = Instant::now();
    let mut contact = Reachability::new(start);
    assert!(contact.take_probe(start + 10 * SECOND));
    assert!(!contact.is_isolated(start + 10 * SECOND));
    assert!(!contact.is_isolated(start + 11 * SECOND));
    assert!(!contact.take_probe(start + 10 * SECOND + 50 * MILLI), "questions in quick succession");
}

#[test]
fn lease_renewedwithin() {
    let start = Instant::now();
    let mut lease = Lease::new(3 * SECOND);
    assert!(!lease.is_renewed_within(2 * SECOND, start));
    lease.grant(start, 3 * SECOND, 5);
    assert!(!lease.is_renewed_within(2 * SECOND, start), "a grant that does not count yet");
    lease.record_revision(5);
    assert!(lease.is_renewed_within(2 * SECOND, start + SECOND));
    assert!(!lease.is_renewed_within(2 * SECOND, start + 2 * SECOND));
    assert!(lease.is_valid(start + 2 * SECOND));
}
