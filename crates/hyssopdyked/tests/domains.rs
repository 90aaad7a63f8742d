//! Tests of failure domains: taken out and back in, also with frozen processes.

mod support;

use std::time::Duration;

use standin::{Layout, ServiceLayout};
use support::{Bench, TIMEOUT, wait_for};

const OUT_DOMAIN: &str = "fj-west-b";

fn start_bench(name: &str) -> Bench {
    let services = vec![ServiceLayout::new("dispatch", 6)];
    Bench::start(name, Layout { services, entries: 3, ..Layout::default() })
}

#[test]
fn domain_out_and_back() {
    let mut bench = start_bench("domain_out_and_back");
    bench.start_streams(30, Duration::from_secs(8));
    bench.wait_established(30);
    bench.send_requests(30, Duration::from_millis(10));
    let inside: usize = ["dispatch-2", "dispatch-5"]
        .iter()
        .map(|name| bench.cluster.upstream(name).unwrap().stats().connections)
        .sum();
    let revision = bench.cluster.set_domain(OUT_DOMAIN, true).unwrap();
    bench.cluster.client().wait(revision, TIMEOUT).unwrap();
    let before = bench.packets_in_domain(OUT_DOMAIN);
    bench.send_requests(100, Duration::from_millis(10));
    assert_eq!(bench.packets_in_domain(OUT_DOMAIN), before, "packets for a domain that is out");
    let revision = bench.cluster.set_domain(OUT_DOMAIN, false).unwrap();
    bench.cluster.client().wait(revision, TIMEOUT).unwrap();
    bench.send_requests(200, Duration::from_millis(10));
    let tally = bench.wait_finished();
    assert!(bench.packets_in_domain(OUT_DOMAIN) > before, "no packets for a domain that is back");
    // Only flows of upstreams in the domain are dropped, and their callers are reset.
    assert!(tally.broken <= inside && tally.broken > 0, "{tally:?} with {inside} inside");
    assert_eq!((tally.unanswered, tally.unconnected, tally.wrong), (0, 0, 0), "{tally:?}");
    bench.assert_invariants();
}

#[test]
fn domain_out_while_frozen() {
    let mut bench = start_bench("domain_out_while_frozen");
    bench.start_streams(30, Duration::from_secs(12));
    bench.wait_established(30);
    bench.cluster.process("dispatch-2").unwrap().freeze().unwrap();
    let revision = bench.cluster.set_domain(OUT_DOMAIN, true).unwrap();
    // The frozen agent cannot acknowledge the revision, so the revision is in force once the
    // agent's lease has ended.
    bench.cluster.client().wait(revision, TIMEOUT).unwrap();
    let before = bench.packets_in_domain(OUT_DOMAIN);
    bench.send_requests(20, Duration::from_millis(10));
    bench.cluster.process("dispatch-2").unwrap().thaw().unwrap();
    bench.send_requests(100, Duration::from_millis(20));
    wait_for("the agent is back", || {
        let status = bench.cluster.client().status().unwrap();
        status.daemons.iter().any(|daemon| daemon.name == "dispatch-2")
    });
    assert_eq!(bench.packets_in_domain(OUT_DOMAIN), before, "packets for a domain that is out");
    let tally = bench.wait_finished();
    assert_eq!((tally.unanswered, tally.wrong), (0, 0), "{tally:?}");
    bench.assert_invariants();
}

#[test]
fn agent_frozen() {
    let mut bench = start_bench("agent_frozen");
    bench.start_streams(20, Duration::from_secs(10));
    bench.wait_established(20);
    bench.cluster.process("dispatch-1").unwrap().freeze().unwrap();
    wait_for("the lease ends", || bench.count_events("control-1", "lease ended") == 1);
    bench.send_requests(100, Duration::from_millis(10));
    bench.cluster.process("dispatch-1").unwrap().thaw().unwrap();
    bench.cluster.wait_in_force(TIMEOUT).unwrap();
    bench.send_requests(50, Duration::from_millis(10));
    let tally = bench.wait_finished();
    // The flows of the frozen agent continue when it is back within the retention time of their
    // records.
    assert_eq!((tally.broken, tally.unanswered, tally.wrong), (0, 0, 0), "{tally:?}");
    bench.assert_invariants();
}

#[test]
fn domain_partitioned() {
    // A domain that receives messages neither from control nor from peers in other domains may have
    // been taken out, so it stops serving. `traffic_without_control` is the opposite case, in which
    // peers in other domains answer.
    let domains = ["fj-west-a", "fj-west-b"].map(Into::into).into();
    let services = vec![ServiceLayout::new("dispatch", 1)];
    let layout = Layout { domains, services, ..Layout::default() };
    let mut bench = Bench::start("domain_partitioned", layout);
    bench.send_requests(10, Duration::from_millis(10));
    bench.wait_finished();
    for name in ["control-1", "entry-2"] {
        bench.cluster.process(name).unwrap().freeze().unwrap();
    }
    bench.cluster.spray_only(&[0]);
    // Twice the length of a lease.
    std::thread::sleep(Duration::from_secs(6));
    let before = bench.packets_in_domain("fj-west-a");
    bench.send_requests(10, Duration::from_millis(100));
    assert_eq!(bench.packets_in_domain("fj-west-a"), before, "packets in a domain that is cut off");
    for name in ["control-1", "entry-2"] {
        bench.cluster.process(name).unwrap().thaw().unwrap();
    }
    let tally = bench.wait_finished();
    assert_eq!((tally.whole, tally.broken), (20, 0), "{tally:?}");
    bench.assert_invariants();
}
