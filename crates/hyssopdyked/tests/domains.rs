//! Failure domains are taken out and come back, also while processes are frozen.

mod support;

use std::time::Duration;

use standin::{Layout, ServiceLayout};
use support::{Bench, PATIENCE, wait};

const OUT: &str = "fj-west-b";

fn bench(name: &str) -> Bench {
    let services = vec![ServiceLayout::new("dispatch", 6)];
    Bench::start(name, Layout { services, entries: 3, ..Layout::default() })
}

#[test]
fn domain_outandback() {
    let mut bench = bench("domain_outandback");
    bench.streams(30, Duration::from_secs(8));
    bench.wait_established(30);
    bench.requests(30, Duration::from_millis(10));
    let inside: usize = ["dispatch-2", "dispatch-5"]
        .iter()
        .map(|name| bench.cluster.upstream(name).unwrap().stats().connections)
        .sum();
    let revision = bench.cluster.set_domain(OUT, true).unwrap();
    bench.cluster.client().wait(revision, PATIENCE).unwrap();
    let before = bench.packets_in(OUT);
    bench.requests(100, Duration::from_millis(10));
    assert_eq!(bench.packets_in(OUT), before, "packets for a domain that is out");
    let revision = bench.cluster.set_domain(OUT, false).unwrap();
    bench.cluster.client().wait(revision, PATIENCE).unwrap();
    bench.requests(200, Duration::from_millis(10));
    let tally = bench.finish();
    assert!(bench.packets_in(OUT) > before, "no packets for a domain that is back");
    // Only flows that ended in the domain are given up, and their callers are told.
    assert!(tally.broken <= inside && tally.broken > 0, "{tally:?} with {inside} inside");
    assert_eq!((tally.unanswered, tally.unconnected, tally.wrong), (0, 0, 0), "{tally:?}");
    bench.assert_sound();
}

#[test]
fn domain_outwhilefrozen() {
    let mut bench = bench("domain_outwhilefrozen");
    bench.streams(30, Duration::from_secs(12));
    bench.wait_established(30);
    bench.cluster.process("dispatch-2").unwrap().freeze().unwrap();
    let revision = bench.cluster.set_domain(OUT, true).unwrap();
    // The frozen agent cannot acknowledge: the revision is in force once its lease has ended.
    bench.cluster.client().wait(revision, PATIENCE).unwrap();
    let before = bench.packets_in(OUT);
    bench.requests(20, Duration::from_millis(10));
    bench.cluster.process("dispatch-2").unwrap().thaw().unwrap();
    bench.requests(100, Duration::from_millis(20));
    wait("the agent is back", || {
        let status = bench.cluster.client().status().unwrap();
        status.daemons.iter().any(|daemon| daemon.name == "dispatch-2")
    });
    assert_eq!(bench.packets_in(OUT), before, "packets for a domain that is out");
    let tally = bench.finish();
    assert_eq!((tally.unanswered, tally.wrong), (0, 0), "{tally:?}");
    bench.assert_sound();
}

#[test]
fn agent_frozen() {
    let mut bench = bench("agent_frozen");
    bench.streams(20, Duration::from_secs(10));
    bench.wait_established(20);
    bench.cluster.process("dispatch-1").unwrap().freeze().unwrap();
    wait("the lease ends", || bench.events("control-1", "lease ended") == 1);
    bench.requests(100, Duration::from_millis(10));
    bench.cluster.process("dispatch-1").unwrap().thaw().unwrap();
    bench.cluster.wait_in_force(PATIENCE).unwrap();
    bench.requests(50, Duration::from_millis(10));
    let tally = bench.finish();
    // The frozen agent's flows go on when it is back, within the time for which they are kept.
    assert_eq!((tally.broken, tally.unanswered, tally.wrong), (0, 0, 0), "{tally:?}");
    bench.assert_sound();
}

#[test]
fn partition_cutoff() {
    // A domain that hears neither control nor any peer outside may have been taken out, and falls
    // silent; `traffic_nocontrol` is the other side, where peers outside are heard.
    let domains = ["fj-west-a", "fj-west-b"].map(Into::into).into();
    let services = vec![ServiceLayout::new("dispatch", 1)];
    let layout = Layout { domains, services, ..Layout::default() };
    let mut bench = Bench::start("partition_cutoff", layout);
    bench.requests(10, Duration::from_millis(10));
    bench.finish();
    for name in ["control-1", "entry-2"] {
        bench.cluster.process(name).unwrap().freeze().unwrap();
    }
    bench.cluster.spray_only(&[0]);
    // Twice the length of a lease.
    std::thread::sleep(Duration::from_secs(6));
    let before = bench.packets_in("fj-west-a");
    bench.requests(10, Duration::from_millis(100));
    assert_eq!(bench.packets_in("fj-west-a"), before, "packets in a domain that is cut off");
    for name in ["control-1", "entry-2"] {
        bench.cluster.process(name).unwrap().thaw().unwrap();
    }
    let tally = bench.finish();
    assert_eq!((tally.whole, tally.broken), (20, 0), "{tally:?}");
    bench.assert_sound();
}
