//! Tests of the process module: leases, limits, reports and queues.

use std::time::{Duration, Instant};

use hyssopdyke::process::{
    Barrier, EventLimiter, HoldQueue, Horizon, Lease, Limit, Outbox, Queued, Reachability, Shaper,
    Suspects, WarmupLimiter,
};
use hyssopdyke::request::{Candidate, Scheduler, Segment};
use rand::SeedableRng;
use rand::rngs::SmallRng;

const SECOND: Duration = Duration::from_secs(1);
const MILLI: Duration = Duration::from_millis(1);

#[test]
fn lease_starts_at_send_time() {
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
fn lease_grant_before_revision() {
    // A process that was frozen while its failure domain was taken out (revision 8) receives its
    // renewal before the page. It must not act on the view of revision 7.
    let start = Instant::now();
    let mut lease = Lease::new(3 * SECOND);
    lease.grant(start, 3 * SECOND, 8);
    lease.record_revision(7);
    assert!(!lease.is_valid(start), "a grant took effect with an older view");
    lease.record_revision(8);
    assert!(lease.is_valid(start));
}

#[test]
fn lease_revision_before_grant() {
    let start = Instant::now();
    let mut lease = Lease::new(3 * SECOND);
    lease.record_revision(9);
    lease.grant(start, 3 * SECOND, 8);
    lease.record_revision(9);
    assert!(lease.is_valid(start));
}

#[test]
fn lease_newer_grant_pending() {
    // A grant that is pending for its page does not replace one that is in effect.
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
fn lease_confirmed_by_peer() {
    let start = Instant::now();
    let mut lease = Lease::new(3 * SECOND);
    lease.record_ping(7, start);
    // The pong is received after a freeze. It proves nothing about the time since the ping.
    lease.record_pong(7);
    assert!(lease.is_valid(start + 2 * SECOND));
    assert!(!lease.is_valid(start + 10 * SECOND));
    lease.record_pong(8);
    assert!(!lease.is_valid(start + 10 * SECOND), "a pong without a ping extended the lease");
}

/// Answers `count` requests, each after `time`, at a full limit.
fn answer(limit: &mut Limit, now: &mut Instant, count: u32, time: Duration) {
    for _ in 0..count {
        let admitted = *now;
        *now += time;
        limit.record_answer(admitted, *now, limit.current());
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
    assert_eq!(limit.current(), 5, "the limit differs from its declared bound");
    limit.record_answer(now, now + 10 * MILLI, 1);
    assert_eq!(limit.current(), 5);
}

#[test]
fn limit_recovers() {
    // The limit grows from the cold to the declared bound within 30 s of full load, at 400 ms per
    // request.
    let start = Instant::now();
    let mut now = start;
    let mut limit = Limit::new(1, 5);
    while limit.current() < 5 {
        let running = limit.current();
        let admitted = now;
        now += 400 * MILLI;
        for _ in 0..running {
            limit.record_answer(admitted, now, running);
        }
        assert!(now.duration_since(start) < 30 * SECOND, "limit {}", limit.current());
    }
}

#[test]
fn limit_unused_load() {
    let mut now = Instant::now();
    let mut limit = Limit::new(2, 5);
    for _ in 0..50 {
        limit.record_answer(now, now + 10 * MILLI, 1);
        now += 10 * MILLI;
    }
    assert_eq!(limit.current(), 2, "the limit grew without load");
}

#[test]
fn limit_decreases_once_per_round() {
    let mut now = Instant::now();
    let mut limit = Limit::new(2, 40);
    answer(&mut limit, &mut now, 700, 10 * MILLI);
    let full = limit.current();
    assert_eq!(full, 40);
    let admitted = now;
    now += 100 * MILLI;
    for _ in 0..20 {
        limit.record_answer(admitted, now, full);
    }
    assert_eq!(limit.current(), full / 2, "one round of requests must decrease the limit once");
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
    assert!(limit.is_ejected(later + 3 * SECOND), "the second ejection is not longer");
}

#[test]
fn limit_answer_resets_failures() {
    let mut now = Instant::now();
    let mut limit = Limit::new(1, 5);
    for _ in 0..20 {
        limit.record_failure(now, now);
        answer(&mut limit, &mut now, 1, 10 * MILLI);
    }
    assert!(!limit.is_ejected(now));
}

#[test]
fn barrier_all_members() {
    let mut barrier = Barrier::new();
    assert!(barrier.is_complete(5, []));
    barrier.record_part(1, 5, 0, 2);
    assert!(!barrier.is_complete(5, [1]));
    barrier.record_part(1, 5, 0, 2);
    assert!(!barrier.is_complete(5, [1]), "a duplicate part was counted twice");
    barrier.record_part(1, 5, 1, 2);
    assert!(barrier.is_complete(5, [1]));
    assert!(!barrier.is_complete(5, [1, 2]));
    barrier.record_part(2, 5, 0, 1);
    assert!(barrier.is_complete(5, [1, 2]));
    assert!(!barrier.is_complete(6, [1, 2]), "reports of another epoch were counted");
    barrier.record_part(1, 6, 0, 1);
    assert!(!barrier.is_complete(5, [1, 2]));
    barrier.record_part(1, 5, 0, 1);
    assert!(!barrier.is_complete(5, [1, 2]), "a late report replaced that of a later epoch");
}

#[test]
fn outbox_until_acknowledged() {
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
    assert_eq!(outbox.len(), 3, "an acknowledgement of another member was accepted");
    outbox.acknowledge(1, 1);
    assert_eq!(due(&mut outbox, start + 50 * MILLI), [(3, 3)]);
    assert_eq!(due(&mut outbox, start + 100 * MILLI), [(2, 2)]);
    // Each further transmission comes later, so that silent receivers are not flooded.
    outbox.acknowledge(3, 3);
    assert_eq!(due(&mut outbox, start + 250 * MILLI), []);
    assert_eq!(due(&mut outbox, start + 300 * MILLI), [(2, 2)]);
    assert_eq!(due(&mut outbox, start + 600 * MILLI), []);
    assert_eq!(due(&mut outbox, start + 700 * MILLI), [(2, 2)]);
}

#[test]
fn pick_by_weight() {
    let mut scheduler = Scheduler::new(SmallRng::seed_from_u64(1));
    let candidate = |vm, weight| Candidate { vm, weight };
    assert_eq!(scheduler.pick(&[]), None);
    let candidates = [candidate(1, 1000), candidate(2, 3000), candidate(3, 0)];
    let mut counts = [0; 4];
    for _ in 0..60_000 {
        if let Some(vm) = scheduler.pick(&candidates) {
            counts[vm as usize] += 1;
        }
    }
    // The third candidate counts with the mean weight of the others, 2000.
    for (vm, expected) in [(1, 10_000_i32), (2, 30_000), (3, 20_000)] {
        let count: i32 = counts[vm];
        assert!((count - expected).abs() < 500, "{counts:?}");
    }
}

#[test]
fn warmup_any_second() {
    // In any second, a cold upstream receives at most its rate plus the burst.
    let start = Instant::now();
    let (rate, mut limiter) = (4.0, WarmupLimiter::new());
    let taken: Vec<u32> =
        (0..5000).filter(|ms| limiter.try_take(rate, start + *ms * MILLI)).collect();
    for window in 0..4000 {
        let inside = taken.iter().filter(|at| (window..window + 1000).contains(*at)).count();
        assert!(inside <= 6, "{inside} flows in the second from {window} ms");
    }
    assert!(taken.len() >= 20, "{} flows in five seconds", taken.len());
}

#[test]
fn suspects_cleared_by_reply() {
    let start = Instant::now();
    let address = ([10, 0, 0, 7], 5556).into();
    let mut suspects = Suspects::new();
    suspects.suspect(7, start);
    assert!(suspects.is_suspected(7, start) && !suspects.is_suspected(8, start));
    assert_eq!(suspects.suspected(start), [7]);
    // Only a reply to a probe counts, not a datagram that was in flight before.
    suspects.record_reply(address);
    assert!(suspects.is_suspected(7, start));
    suspects.record_probe(7, address);
    suspects.record_reply(address);
    assert!(!suspects.is_suspected(7, start));
    suspects.suspect(7, start);
    assert!(!suspects.is_suspected(7, start + 5 * SECOND));
}

#[test]
fn event_limiter_flood() {
    let start = Instant::now();
    let mut limiter = EventLimiter::new();
    let admitted = |limiter: &mut EventLimiter, kind, at| {
        (0..1000).filter(|_| limiter.try_admit(kind, 20, at)).count()
    };
    assert_eq!(admitted(&mut limiter, "flow placed", start), 20);
    // A flood of one kind does not use the limit of another kind.
    assert_eq!(admitted(&mut limiter, "flow refused", start + 500 * MILLI), 20);
    assert_eq!(admitted(&mut limiter, "flow placed", start + 999 * MILLI), 0);
    assert!(limiter.take_suppressed(start + 999 * MILLI).is_empty(), "the period is not over");
    assert_eq!(admitted(&mut limiter, "flow placed", start + SECOND), 20);
    let suppressed = limiter.take_suppressed(start + SECOND);
    assert_eq!(
        suppressed.into_iter().collect::<Vec<_>>(),
        [("flow placed", 1980), ("flow refused", 980)]
    );
}

/// Creates a packet of a flow, which is identified by its flow and number.
fn queued(flow: u64, number: u32, bytes: usize) -> Queued<(u64, u32)> {
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

/// Sends all queued packets and returns them with the times at which they were sent.
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
fn shaper_upload_windows() {
    // Three callers upload through an entry with a link of 3.3 Mbit/s, and each sends a window of
    // sixteen packets at once. A queue of 40 ms would drop two thirds of them.
    let start = Instant::now();
    let rate = 3.3 * 125_000.0;
    let mut shaper = Shaper::new(rate);
    for flow in 0..3 {
        for number in 0..16 {
            assert!(shaper.push(flow, queued(flow, number, 1232)).is_none());
        }
    }
    let sent = drain(&mut shaper, start);
    assert_eq!(sent.len(), 48);
    let mut bytes = 0.0;
    for (at, _) in &sent {
        bytes += 1232.0;
        // The link's own queue must not exceed a few packets.
        assert!(bytes - rate * at.as_secs_f64() < 6.0 * 1232.0, "{at:?}");
    }
    let (last, _) = sent[47];
    assert!(last < Duration::from_millis(200), "the last packet was sent after {last:?}");
}

#[test]
fn shaper_short_beside_long() {
    // Bookings and uploads share a link. A short request waits for at most one turn of each upload,
    // which is two packets, and not for their windows.
    let start = Instant::now();
    let mut shaper = Shaper::new(412_500.0);
    for flow in 0..4 {
        for number in 0..16 {
            assert!(shaper.push(flow, queued(flow, number, 1232)).is_none());
        }
    }
    while shaper.pop(start).is_some() {}
    shaper.push(9, queued(9, 0, 200));
    let sent = drain(&mut shaper, start);
    let place = sent.iter().position(|(_, (flow, _))| *flow == 9).unwrap();
    assert!(place <= 4 * 2, "sent after {place} packets of uploads");
    // The uploads share the link evenly.
    let first_half = sent.iter().take(32).filter(|(_, (flow, _))| *flow == 3).count();
    assert!((6..=10).contains(&first_half), "{first_half} of 32");
}

#[test]
fn shaper_retransmission() {
    let start = Instant::now();
    let mut shaper = Shaper::new(412_500.0);
    while shaper.try_pass(1232, start) {}
    shaper.push(1, queued(1, 5, 1232));
    shaper.push(1, queued(1, 6, 1232));
    shaper.push(1, Queued { packet: (1, 55), ..queued(1, 5, 1232) });
    let sent = drain(&mut shaper, start);
    let packets: Vec<_> = sent.into_iter().map(|(_, packet)| packet).collect();
    assert_eq!(packets, [(1, 55), (1, 6)], "a retransmission must replace the queued copy");
    assert_eq!(shaper.queued_bytes(), 0);
}

#[test]
fn shaper_queue_full() {
    // The shaper drops the oldest packets of the flow with the most queued bytes.
    let mut shaper = Shaper::new(412_500.0);
    shaper.push(2, queued(2, 0, 100));
    let dropped: Vec<_> =
        (0..2000).filter_map(|number| shaper.push(1, queued(1, number, 1200))).collect();
    assert!(!dropped.is_empty());
    assert!(dropped.iter().zip(0..).all(|(dropped, number)| dropped.packet == (1, number)));
    assert!(shaper.queued_bytes() <= 1 << 20);
}

#[test]
fn reachability_lost_and_restored() {
    let start = Instant::now();
    let mut reachability = Reachability::new(start);
    let mut isolated = None;
    for step in 1..20 {
        let now = start + 50 * MILLI * step;
        reachability.take_probe(now);
        isolated = isolated.or(reachability.is_isolated(now).then_some(now - start));
    }
    // Below a second, so that the fabric routes callers to other entries before they time out.
    let isolated = isolated.unwrap();
    assert!(isolated >= 600 * MILLI && isolated <= 800 * MILLI, "{isolated:?}");
    reachability.record_received(start + SECOND);
    assert!(!reachability.is_isolated(start + SECOND));
}

#[test]
fn reachability_own_pause() {
    // A process that was frozen has sent no probes in the meantime, so that its silence does not
    // count as isolation.
    let start = Instant::now();
    let mut reachability = Reachability::new(start);
    assert!(reachability.take_probe(start + 10 * SECOND));
    assert!(!reachability.is_isolated(start + 10 * SECOND));
    assert!(!reachability.is_isolated(start + 11 * SECOND));
    assert!(
        !reachability.take_probe(start + 10 * SECOND + 50 * MILLI),
        "a probe was sent before the interval had passed"
    );
}

#[test]
fn lease_renewed_within() {
    let start = Instant::now();
    let mut lease = Lease::new(3 * SECOND);
    assert!(!lease.is_renewed_within(2 * SECOND, start));
    lease.grant(start, 3 * SECOND, 5);
    assert!(!lease.is_renewed_within(2 * SECOND, start), "a pending grant was counted");
    lease.record_revision(5);
    assert!(lease.is_renewed_within(2 * SECOND, start + SECOND));
    assert!(!lease.is_renewed_within(2 * SECOND, start + 2 * SECOND));
    assert!(lease.is_valid(start + 2 * SECOND));
}

/// A daemon that could not apply the revisions of its grants was kept alive by its peers.
#[test]
fn lease_overdue() {
    let start = Instant::now();
    let mut lease = Lease::new(3 * SECOND);
    lease.grant(start, 3 * SECOND, 5);
    lease.record_revision(5);
    let ping = |lease: &mut Lease, second: u32| {
        lease.record_ping(second.into(), start + second * SECOND);
        lease.record_pong(second.into());
        lease.is_valid(start + second * SECOND)
    };
    // Control is gone after one grant that no daemon could use.
    lease.grant(start + 10 * SECOND, 3 * SECOND, 6);
    assert!((10..20).all(|second| ping(&mut lease, second)));
    for second in 20..100 {
        lease.grant(start + second * SECOND, 3 * SECOND, 6);
        assert!(!ping(&mut lease, second), "at {second} s");
    }
    lease.record_revision(6);
    assert!(lease.is_valid(start + 101 * SECOND));
}

#[test]
fn hold_queue_expired_and_full() {
    let start = Instant::now();
    let mut queue = HoldQueue::new(2, 100 * MILLI);
    assert_eq!(queue.push(1, start), None);
    assert_eq!(queue.push(2, start + 60 * MILLI), None);
    assert_eq!(queue.push(3, start + 70 * MILLI), Some(1), "the oldest makes room");
    assert_eq!(queue.take(start + 165 * MILLI), [(3, 95 * MILLI)], "the second has expired");
    assert!(queue.is_empty());
}

#[test]
fn horizon_passes_old_revisions() {
    let start = Instant::now();
    let mut horizon = Horizon::new(10 * SECOND);
    assert_eq!(horizon.passed(start), None, "nothing was observed");
    for (second, revision) in [(0, 4), (1, 4), (6, 9), (7, 7), (30, 12)] {
        horizon.observe(revision, start + second * SECOND);
        let expected = match second {
            0..10 => None,
            _ => Some(9),
        };
        assert_eq!(horizon.passed(start + second * SECOND), expected, "at {second} s");
    }
    assert_eq!(horizon.passed(start + 39 * SECOND), Some(9));
    horizon.observe(12, start + 40 * SECOND);
    assert_eq!(horizon.passed(start + 40 * SECOND), Some(12));
}
