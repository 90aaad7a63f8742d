//! Tests of flows: established flows survive planned changes and failures, and no upstream is
//! overloaded.

mod support;

use std::time::Duration;

use hyssopdyke_wire::resource::State;
use standin::{Behavior, Faults, Layout, ServiceLayout, Tally};
use support::{Bench, TIMEOUT, wait_for};

const SECOND: Duration = Duration::from_secs(1);

fn all_whole(count: usize) -> Tally {
    Tally { whole: count, ..Tally::default() }
}

#[test]
fn flows_entries_change() {
    let mut bench = Bench::start_single_service("flows_entries_change", 3);
    bench.start_streams(30, 6 * SECOND);
    bench.wait_established(30);
    bench.send_requests(20, Duration::from_millis(20));
    bench.cluster.process("entry-1").unwrap().kill().unwrap();
    bench.cluster.spray_only(&[1]);
    bench.send_requests(20, Duration::from_millis(20));
    bench.cluster.add_entry(2).unwrap();
    bench.cluster.spray_only(&[1, 2]);
    bench.cluster.process("entry-2").unwrap().terminate().unwrap();
    bench.cluster.spray_only(&[2]);
    bench.send_requests(20, Duration::from_millis(20));
    bench.cluster.restart("entry-1").unwrap();
    bench.cluster.spray_only(&[0, 2]);
    bench.send_requests(20, Duration::from_millis(20));
    assert_eq!(bench.wait_finished(), all_whole(110));
    bench.assert_invariants();
}

#[test]
fn flows_agent_restarts() {
    let mut bench = Bench::start_single_service("flows_agent_restarts", 3);
    bench.start_streams(30, 8 * SECOND);
    bench.wait_established(30);
    for name in ["dispatch-1", "dispatch-2", "dispatch-3"] {
        bench.send_requests(10, Duration::from_millis(20));
        let process = bench.cluster.process(name).unwrap();
        process.terminate().unwrap();
        let status = process.wait(TIMEOUT).unwrap().unwrap();
        assert_eq!(status.code(), Some(0), "{name}");
        bench.cluster.restart(name).unwrap();
        bench.cluster.wait_in_force(TIMEOUT).unwrap();
        let is_adopted = || bench.count_events(name, "flows taken over") == 2;
        wait_for("flows are adopted", is_adopted);
    }
    bench.send_requests(10, Duration::from_millis(20));
    let tally = bench.wait_finished();
    assert_eq!((tally.broken, tally.unanswered, tally.wrong), (0, 0, 0), "{tally:?}");
    assert_eq!(tally, all_whole(70));
    bench.assert_invariants();
}

#[test]
fn flows_all_agents_restart() {
    let mut bench = Bench::start_single_service("flows_all_agents_restart", 3);
    let names = ["dispatch-1", "dispatch-2", "dispatch-3"];
    bench.start_streams(30, 8 * SECOND);
    bench.wait_established(30);
    // Two of three agents stop at once, then the third and the first.
    for stopped in [&names[..2], &[names[2], names[0]]] {
        for name in stopped {
            bench.cluster.process(name).unwrap().terminate().unwrap();
        }
        for name in stopped {
            bench.cluster.process(name).unwrap().wait(TIMEOUT).unwrap();
            bench.cluster.restart(name).unwrap();
        }
        bench.cluster.wait_in_force(TIMEOUT).unwrap();
        std::thread::sleep(SECOND);
    }
    assert_eq!(bench.wait_finished(), all_whole(30));
    bench.assert_invariants();
}

#[test]
fn flows_missing_report() {
    let mut bench = Bench::start_single_service("flows_missing_report", 3);
    bench.start_streams_with(30, 8 * SECOND, Some(SECOND / 10));
    bench.wait_established(30);
    std::thread::sleep(SECOND);
    // A restarted home has no records of the frozen owner's flows. It must not treat their packets,
    // which restarted entries send to it, as packets of unknown flows.
    bench.cluster.process("dispatch-3").unwrap().freeze().unwrap();
    for name in ["dispatch-1", "entry-1", "entry-2"] {
        bench.cluster.process(name).unwrap().kill().unwrap();
        bench.cluster.restart(name).unwrap();
    }
    wait_for("the home has restarted", || bench.count_events("dispatch-1", "agent started") == 2);
    std::thread::sleep(SECOND);
    bench.cluster.process("dispatch-3").unwrap().thaw().unwrap();
    assert_eq!(bench.wait_finished(), all_whole(30));
    bench.assert_invariants();
}

#[test]
fn flows_agents_killed() {
    let mut bench = Bench::start_single_service("flows_agents_killed", 3);
    bench.start_streams(30, 8 * SECOND);
    bench.wait_established(30);
    // The reports to the record holders follow the admission by one tick.
    std::thread::sleep(SECOND);
    for name in ["dispatch-2", "dispatch-1"] {
        bench.cluster.process(name).unwrap().kill().unwrap();
        bench.cluster.restart(name).unwrap();
        let is_adopted = || bench.count_events(name, "flows taken over") == 2;
        wait_for("flows are adopted", is_adopted);
    }
    let tally = bench.wait_finished();
    assert_eq!(tally, all_whole(30));
    bench.assert_invariants();
}

#[test]
fn flows_upstream_drains() {
    let mut bench = Bench::start_single_service("flows_upstream_drains", 3);
    bench.start_streams(30, 4 * SECOND);
    bench.wait_established(30);
    bench.send_requests(20, Duration::from_millis(10));
    bench.set_state("dispatch-1", State::Draining);
    let before = bench.request_count("dispatch-1");
    bench.send_requests(60, Duration::from_millis(10));
    assert_eq!(bench.wait_finished(), all_whole(110));
    assert_eq!(bench.request_count("dispatch-1"), before, "new requests to a draining upstream");
    // A restarted agent still drains.
    bench.cluster.process("dispatch-1").unwrap().kill().unwrap();
    bench.cluster.restart("dispatch-1").unwrap();
    wait_for("flows are adopted", || bench.count_events("dispatch-1", "flows taken over") == 2);
    bench.send_requests(30, Duration::from_millis(10));
    bench.wait_finished();
    assert_eq!(bench.request_count("dispatch-1"), before, "new requests after a restart");
    bench.set_state("dispatch-1", State::Active);
    bench.send_requests(60, Duration::from_millis(10));
    assert_eq!(bench.wait_finished(), all_whole(200));
    assert!(bench.request_count("dispatch-1") > before, "no requests after draining ended");
    bench.assert_invariants();
}

#[test]
fn flows_duplicates_and_loss() {
    let services = vec![ServiceLayout::new("dispatch", 3)];
    let layout = Layout { services, ..Layout::default() };
    let mut bench = Bench::start("flows_duplicates_and_loss", layout);
    bench.cluster.fabric().set_faults(Faults { loss: 0.02, duplicates: 0.9 });
    bench.start_streams(10, 3 * SECOND);
    bench.send_requests(150, Duration::from_millis(10));
    let tally = bench.wait_finished();
    assert_eq!((tally.broken, tally.wrong), (0, 0), "{:?}", bench.callers.outcomes());
    assert_eq!(tally.whole + tally.refused, 160, "{tally:?}");
    bench.assert_invariants();
}

#[test]
fn flows_ports_reused() {
    // The addresses and ports of a flow that has just ended are reused while duplicates of its
    // packets may still arrive. The new flow may go to another upstream.
    let mut bench = Bench::start_single_service("flows_ports_reused", 3);
    bench.cluster.fabric().set_faults(Faults { loss: 0.0, duplicates: 0.3 });
    bench.callers.limit_ports(4);
    for count in 1..=60 {
        bench.send_requests(1, Duration::ZERO);
        wait_for("the request ends", || bench.callers.outcomes().len() >= count);
    }
    let tally = bench.wait_finished();
    assert_eq!((tally.whole, tally.wrong, tally.broken), (60, 0, 0), "{tally:?}");
    bench.assert_invariants();
}

#[test]
fn flows_members_change_with_duplicates() {
    let mut bench = Bench::start_single_service("flows_members_change_with_duplicates", 4);
    bench.cluster.fabric().set_faults(Faults { loss: 0.0, duplicates: 0.5 });
    for round in 0..3 {
        bench.send_requests(25, Duration::from_millis(8));
        let name = format!("dispatch-{}", 1 + round % 2);
        bench.cluster.process(&name).unwrap().terminate().unwrap();
        bench.send_requests(25, Duration::from_millis(8));
        bench.cluster.process(&name).unwrap().wait(TIMEOUT).unwrap();
        bench.cluster.restart(&name).unwrap();
        bench.send_requests(25, Duration::from_millis(8));
    }
    let tally = bench.wait_finished();
    assert_eq!((tally.broken, tally.wrong, tally.unanswered), (0, 0, 0), "{tally:?}");
    bench.assert_invariants();
}

/// Returns a layout whose upstreams crash under more than two concurrent requests while cold.
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
    bench.send_requests(400, Duration::from_millis(1));
    let tally = bench.wait_finished();
    assert_eq!((tally.broken, tally.wrong, tally.unanswered), (0, 0, 0), "{tally:?}");
    assert!(tally.refused > 0, "no overload: {tally:?}");
    for (name, stats) in bench.cluster.upstream_stats() {
        assert!(stats.max_running <= 5, "{name} ran {}", stats.max_running);
        assert_eq!(stats.crashes, 0, "{name}");
    }
    bench.assert_invariants();
}

#[test]
fn limits_cold_start() {
    let mut bench = Bench::start("limits_cold_start", cold_layout(6));
    bench.send_requests(300, Duration::from_millis(2));
    bench.wait_finished();
    for (name, stats) in bench.cluster.upstream_stats() {
        assert_eq!(stats.crashes, 0, "{name} crashed");
        assert!(stats.max_running > 2, "{name} never ran more than {}", stats.max_running);
    }
    bench.assert_invariants();
}

#[test]
fn ejection_failing_upstream() {
    let mut layout = cold_layout(0);
    layout.services[0].upstreams[0].resets_requests = true;
    let mut bench = Bench::start("ejection_failing_upstream", layout);
    bench.send_requests(200, Duration::from_millis(15));
    let tally = bench.wait_finished();
    wait_for("the upstream is ejected", || {
        bench.count_events("dispatch-1", "upstream ejected") > 0
    });
    // Five failures eject the upstream for 2 s, so that it is ejected twice in the 3 s of the run.
    // Each time two more requests may be in flight.
    assert!(tally.broken <= 14, "{tally:?}");
    for name in ["dispatch-2", "dispatch-3"] {
        assert_eq!(bench.count_events(name, "upstream ejected"), 0);
    }
    bench.assert_invariants();
}

#[test]
fn probe_lost_path() {
    let mut layout = cold_layout(0);
    layout.agent_settings = "probe_after = 1s".into();
    let mut bench = Bench::start("probe_lost_path", layout);
    // Both callers only receive. The path of one stream is lost.
    bench.start_streams(2, 40 * SECOND);
    bench.wait_established(2);
    let lost = bench.callers.established().into_values().min().unwrap();
    bench.cluster.fabric().drop_port(lost);
    let dropped_flows = || {
        ["dispatch-1", "dispatch-2", "dispatch-3"]
            .iter()
            .map(|name| bench.count_events(name, "silent flow given up"))
            .sum::<usize>()
    };
    wait_for("the lost flow is dropped", || dropped_flows() == 1);
    wait_for("the upstream has one connection left", || {
        let all_stats = bench.cluster.upstream_stats();
        all_stats.values().map(|stats| stats.connections).sum::<usize>() == 1
    });
    assert_eq!(bench.callers.outcomes().len(), 0, "the live stream has ended");
}

#[test]
fn flows_owner_killed_after_opening() {
    // An owner that is also the home of its flows is killed as soon as they are open. The record
    // holder must have their records by then.
    let mut bench = Bench::start_single_service("flows_owner_killed_after_opening", 3);
    let mut established = 0;
    for round in 0..4 {
        for name in ["dispatch-1", "dispatch-2", "dispatch-3"] {
            bench.start_streams(10, 20 * SECOND);
            established += 10;
            bench.wait_established(established);
            bench.cluster.process(name).unwrap().kill().unwrap();
            bench.cluster.restart(name).unwrap();
            bench.cluster.wait_in_force(TIMEOUT).unwrap();
            let is_adopted = || bench.count_events(name, "flows taken over") > round + 1;
            wait_for("flows are adopted", is_adopted);
        }
    }
    let tally = bench.wait_finished();
    assert_eq!((tally.broken, tally.unanswered, tally.wrong), (0, 0, 0), "{tally:?}");
    bench.assert_invariants();
}
