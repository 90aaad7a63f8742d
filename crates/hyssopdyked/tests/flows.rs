//! Established flows survive planned changes, and no upstream gets more than it bears.

mod support;

use std::time::Duration;

use hyssopdyke_wire::resource::State;
use standin::{Behavior, Faults, Layout, ServiceLayout, Tally};
use support::{Bench, PATIENCE, wait};

const SECOND: Duration = Duration::from_secs(1);

fn whole(count: usize) -> Tally {
    Tally { whole: count, ..Tally::default() }
}

#[test]
fn flows_entrieschange() {
    let mut bench = Bench::single("flows_entrieschange", 3);
    bench.streams(30, 6 * SECOND);
    bench.wait_established(30);
    bench.requests(20, Duration::from_millis(20));
    bench.cluster.process("entry-1").unwrap().kill().unwrap();
    bench.cluster.spray_only(&[1]);
    bench.requests(20, Duration::from_millis(20));
    bench.cluster.add_entry(2).unwrap();
    bench.cluster.spray_only(&[1, 2]);
    bench.cluster.process("entry-2").unwrap().terminate().unwrap();
    bench.cluster.spray_only(&[2]);
    bench.requests(20, Duration::from_millis(20));
    bench.cluster.restart("entry-1").unwrap();
    bench.cluster.spray_only(&[0, 2]);
    bench.requests(20, Duration::from_millis(20));
    assert_eq!(bench.finish(), whole(110));
    bench.assert_sound();
}

#[test]
fn flows_agentrestarts() {
    let mut bench = Bench::single("flows_agentrestarts", 3);
    bench.streams(30, 8 * SECOND);
    bench.wait_established(30);
    for name in ["dispatch-1", "dispatch-2", "dispatch-3"] {
        bench.requests(10, Duration::from_millis(20));
        let process = bench.cluster.process(name).unwrap();
        process.terminate().unwrap();
        let status = process.wait(PATIENCE).unwrap().unwrap();
        assert_eq!(status.code(), Some(0), "{name}");
        bench.cluster.restart(name).unwrap();
        bench.cluster.wait_in_force(PATIENCE).unwrap();
        let taken = || bench.events(name, "flows taken over") == 2;
        wait("flows are taken over", taken);
    }
    bench.requests(10, Duration::from_millis(20));
    let tally = bench.finish();
    assert_eq!((tally.broken, tally.unanswered, tally.wrong), (0, 0, 0), "{tally:?}");
    assert_eq!(tally, whole(70));
    bench.assert_sound();
}

#[test]
fn flows_allagentsrestart() {
    let mut bench = Bench::single("flows_allagentsrestart", 3);
    let names = ["dispatch-1", "dispatch-2", "dispatch-3"];
    bench.streams(30, 8 * SECOND);
    bench.wait_established(30);
    // Two of three stop at once, then the third and the first.
    for stopped in [&names[..2], &[names[2], names[0]]] {
        for name in stopped {
            bench.cluster.process(name).unwrap().terminate().unwrap();
        }
        for name in stopped {
            bench.cluster.process(name).unwrap().wait(PATIENCE).unwrap();
            bench.cluster.restart(name).unwrap();
        }
        bench.cluster.wait_in_force(PATIENCE).unwrap();
        std::thread::sleep(SECOND);
    }
    assert_eq!(bench.finish(), whole(30));
    bench.assert_sound();
}

#[test]
fn flows_reportmissing() {
    let mut bench = Bench::single("flows_reportmissing", 3);
    bench.streams_with(30, 8 * SECOND, Some(SECOND / 10));
    bench.wait_established(30);
    std::thread::sleep(SECOND);
    // A home that has restarted does not know the flows of the frozen owner, and must not take
    // their packets for those of unknown flows. Entries that have restarted send it these.
    bench.cluster.process("dispatch-3").unwrap().freeze().unwrap();
    for name in ["dispatch-1", "entry-1", "entry-2"] {
        bench.cluster.process(name).unwrap().kill().unwrap();
        bench.cluster.restart(name).unwrap();
    }
    wait("the home is back", || bench.events("dispatch-1", "agent started") == 2);
    std::thread::sleep(SECOND);
    bench.cluster.process("dispatch-3").unwrap().thaw().unwrap();
    assert_eq!(bench.finish(), whole(30));
    bench.assert_sound();
}

#[test]
fn flows_agentskilled() {
    let mut bench = Bench::single("flows_agentskilled", 3);
    bench.streams(30, 8 * SECOND);
    bench.wait_established(30);
    // The holders' reports follow the admission by a tick.
    std::thread::sleep(SECOND);
    for name in ["dispatch-2", "dispatch-1"] {
        bench.cluster.process(name).unwrap().kill().unwrap();
        bench.cluster.restart(name).unwrap();
        let taken = || bench.events(name, "flows taken over") == 2;
        wait("flows are taken over", taken);
    }
    let tally = bench.finish();
    assert_eq!(tally, whole(30));
    bench.assert_sound();
}

#[test]
fn flows_upstreamdrains() {
    let mut bench = Bench::single("flows_upstreamdrains", 3);
    bench.streams(30, 4 * SECOND);
    bench.wait_established(30);
    bench.requests(20, Duration::from_millis(10));
    bench.set_state("dispatch-1", State::Draining);
    let before = bench.runs("dispatch-1");
    bench.requests(60, Duration::from_millis(10));
    assert_eq!(bench.finish(), whole(110));
    assert_eq!(bench.runs("dispatch-1"), before, "new work for a draining upstream");
    // An agent that restarts still drains.
    bench.cluster.process("dispatch-1").unwrap().kill().unwrap();
    bench.cluster.restart("dispatch-1").unwrap();
    wait("flows are taken over", || bench.events("dispatch-1", "flows taken over") == 2);
    bench.requests(30, Duration::from_millis(10));
    bench.finish();
    assert_eq!(bench.runs("dispatch-1"), before, "new work after a restart");
    bench.set_state("dispatch-1", State::Active);
    bench.requests(60, Duration::from_millis(10));
    assert_eq!(bench.finish(), whole(200));
    assert!(bench.runs("dispatch-1") > before, "no work after draining ended");
    bench.assert_sound();
}

#[test]
fn flows_copiesandloss() {
    let services = vec![ServiceLayout::new("dispatch", 3)];
    let layout = Layout { services, ..Layout::default() };
    let mut bench = Bench::start("flows_copiesandloss", layout);
    bench.cluster.fabric().set_faults(Faults { loss: 0.02, duplicates: 0.9 });
    bench.streams(10, 3 * SECOND);
    bench.requests(150, Duration::from_millis(10));
    let tally = bench.finish();
    assert_eq!((tally.broken, tally.wrong), (0, 0), "{:?}", bench.callers.outcomes());
    assert_eq!(tally.whole + tally.refused, 160, "{tally:?}");
    bench.assert_sound();
}

#[test]
fn flows_portsusedagain() {
    // The ends of a flow that has just ended are used again, while copies of its packets may
    // still come, and the new flow may go to another upstream.
    let mut bench = Bench::single("flows_portsusedagain", 3);
    bench.cluster.fabric().set_faults(Faults { loss: 0.0, duplicates: 0.3 });
    bench.callers.limit_ports(4);
    for count in 1..=60 {
        bench.requests(1, Duration::ZERO);
        wait("the request ends", || bench.callers.outcomes().len() >= count);
    }
    let tally = bench.finish();
    assert_eq!((tally.whole, tally.wrong, tally.broken), (60, 0, 0), "{tally:?}");
    bench.assert_sound();
}

#[test]
fn flows_memberschangewithcopies() {
    let mut bench = Bench::single("flows_memberschangewithcopies", 4);
    bench.cluster.fabric().set_faults(Faults { loss: 0.0, duplicates: 0.5 });
    for round in 0..3 {
        bench.requests(25, Duration::from_millis(8));
        let name = format!("dispatch-{}", 1 + round % 2);
        bench.cluster.process(&name).unwrap().terminate().unwrap();
        bench.requests(25, Duration::from_millis(8));
        bench.cluster.process(&name).unwrap().wait(PATIENCE).unwrap();
        bench.cluster.restart(&name).unwrap();
        bench.requests(25, Duration::from_millis(8));
    }
    let tally = bench.finish();
    assert_eq!((tally.broken, tally.wrong, tally.unanswered), (0, 0, 0), "{tally:?}");
    bench.assert_sound();
}

/// A layout whose upstreams bear two requests while they are cold, and fall over under more.
fn cold_layout(warming_requests: u32) -> Layout {
    let behavior = Behavior {
        service_time: Duration::from_millis(40),
        slots: 5,
        cold_slots: 2,
        warming_requests,
        ..Behavior::default()
    };
    let service = ServiceLayout {
        slots: 5,
        cold_slots: 2,
        upstreams: vec![behavior; 3],
        ..ServiceLayout::new("dispatch", 3)
    };
    Layout { services: vec![service], ..Layout::default() }
}

#[test]
fn limits_overload() {
    let mut bench = Bench::start("limits_overload", cold_layout(0));
    bench.requests(400, Duration::from_millis(1));
    let tally = bench.finish();
    assert_eq!((tally.broken, tally.wrong, tally.unanswered), (0, 0, 0), "{tally:?}");
    assert!(tally.refused > 0, "no overload: {tally:?}");
    for (name, stats) in bench.cluster.upstream_stats() {
        assert!(stats.max_running <= 5, "{name} ran {}", stats.max_running);
        assert_eq!(stats.crashes, 0, "{name}");
    }
    bench.assert_sound();
}

#[test]
fn limits_coldstart() {
    let mut bench = Bench::start("limits_coldstart", cold_layout(6));
    bench.requests(300, Duration::from_millis(2));
    bench.finish();
    for (name, stats) in bench.cluster.upstream_stats() {
        assert_eq!(stats.crashes, 0, "{name} fell over");
        assert!(stats.max_running > 2, "{name} never ran more than {}", stats.max_running);
    }
    bench.assert_sound();
}

#[test]
fn ejection_failingupstream() {
    let mut layout = cold_layout(0);
    layout.services[0].upstreams[0].resets_requests = true;
    let mut bench = Bench::start("ejection_failingupstream", layout);
    bench.requests(200, Duration::from_millis(15));
    let tally = bench.finish();
    wait("the upstream is ejected", || bench.events("dispatch-1", "upstream ejected") > 0);
    // Five failures eject it for 2 s, so that it is ejected twice in the 3 s of the run. Two more
    // requests may be under way each time.
    assert!(tally.broken <= 14, "{tally:?}");
    for name in ["dispatch-2", "dispatch-3"] {
        assert_eq!(bench.events(name, "upstream ejected"), 0);
    }
    bench.assert_sound();
}

#[test]
fn silence_lostpath() {
    let mut layout = cold_layout(0);
    layout.agent_settings = "probe_after = 1s".into();
    let mut bench = Bench::start("silence_lostpath", layout);
    // A stream whose caller only listens, and one whose path is lost.
    bench.streams(2, 40 * SECOND);
    bench.wait_established(2);
    let lost = bench.callers.established().into_values().min().unwrap();
    bench.cluster.fabric().drop_port(lost);
    let given_up = || {
        ["dispatch-1", "dispatch-2", "dispatch-3"]
            .iter()
            .map(|name| bench.events(name, "silent flow given up"))
            .sum::<usize>()
    };
    wait("the lost flow is given up", || given_up() == 1);
    wait("the upstream is relieved", || {
        let all_stats = bench.cluster.upstream_stats();
        all_stats.values().map(|stats| stats.connections).sum::<usize>() == 1
    });
    assert_eq!(bench.callers.outcomes().len(), 0, "the live stream has ended");
}

#[test]
fn flows_killedafteropening() {
    // An owner that is its flows' home, too, is killed as soon as they are open: the member that
    // keeps their record must know them by then.
    let mut bench = Bench::single("flows_killedafteropening", 3);
    let mut established = 0;
    for round in 0..4 {
        for name in ["dispatch-1", "dispatch-2", "dispatch-3"] {
            bench.streams(10, 20 * SECOND);
            established += 10;
            bench.wait_established(established);
            bench.cluster.process(name).unwrap().kill().unwrap();
            bench.cluster.restart(name).unwrap();
            bench.cluster.wait_in_force(PATIENCE).unwrap();
            let taken = || bench.events(name, "flows taken over") > round + 1;
            wait("flows are taken over", taken);
        }
    }
    let tally = bench.finish();
    assert_eq!((tally.broken, tally.unanswered, tally.wrong), (0, 0, 0), "{tally:?}");
    bench.assert_sound();
}
