//! Tests of the served metrics and their documentation.

#![allow(clippy::unwrap_used)]

mod support;

use std::path::Path;
use std::process::Command;
use std::time::Duration;

use support::{Bench, wait_for};

/// Returns the metrics of a VM's process as text.
fn fetch_metrics(bench: &Bench, vm: &str) -> String {
    let address = bench.cluster.metrics_address(vm).unwrap();
    let mut response = ureq::get(format!("http://{address}/metrics")).call().unwrap();
    response.body_mut().read_to_string().unwrap()
}

/// Returns the value of the first line with a prefix, or 0 if there is none.
fn value(text: &str, prefix: &str) -> f64 {
    let line = text.lines().find(|line| line.starts_with(prefix));
    line.and_then(|line| line.rsplit(' ').next()).map_or(0.0, |value| value.parse().unwrap())
}

#[test]
fn metrics_served() {
    let mut bench = Bench::start_single_service("metrics_served", 1);
    bench.send_requests(20, Duration::from_millis(10));
    bench.wait_finished();
    bench.assert_invariants();
    // Counters are published once a second.
    wait_for("the agent's counters are published", || {
        let text = fetch_metrics(&bench, "dispatch-1");
        value(&text, "hyssopdyke_events_total{event=\"admitted\"") >= 20.0
    });
    let text = fetch_metrics(&bench, "dispatch-1");
    let answers = "hyssopdyke_seconds_count{role=\"agent\",time=\"answer\"}";
    assert!(value(&text, answers) >= 20.0, "{text}");
    wait_for("the entry's counters are published", || {
        let text = fetch_metrics(&bench, "entry-1") + &fetch_metrics(&bench, "entry-2");
        value(&text, "hyssopdyke_events_total{event=\"forwarded\"") > 0.0
    });
    let syncs = "hyssopdyke_seconds_count{role=\"control\",time=\"sync\"}";
    assert!(value(&fetch_metrics(&bench, "control-1"), syncs) > 0.0);
}

#[test]
fn metrics_documented() {
    // The page must contain the printed table verbatim.
    let output = Command::new(env!("CARGO_BIN_EXE_hyssopdyked")).arg("metrics").output().unwrap();
    let table = String::from_utf8(output.stdout).unwrap();
    let page = Path::new(env!("CARGO_MANIFEST_DIR")).join("../../docs/METRICS.md");
    let page = std::fs::read_to_string(page).unwrap();
    assert!(page.contains(&table), "docs/METRICS.md lacks the output of 'hyssopdyked metrics'");
}
