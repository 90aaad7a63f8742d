//! Counters and times as they are served.

#![allow(clippy::unwrap_used)]

mod support;

use std::path::Path;
use std::process::Command;
use std::time::Duration;

use support::{Bench, wait};

/// The metrics of a VM's process as text.
fn metrics(bench: &Bench, vm: &str) -> String {
    let address = bench.cluster.metrics_address(vm).unwrap();
    let mut response = ureq::get(format!("http://{address}/metrics")).call().unwrap();
    response.body_mut().read_to_string().unwrap()
}

/// Value of the line that begins so; 0 where there is none.
fn value(text: &str, start: &str) -> f64 {
    let line = text.lines().find(|line| line.starts_with(start));
    line.and_then(|line| line.rsplit(' ').next()).map_or(0.0, |value| value.parse().unwrap())
}

#[test]
fn metrics_served() {
    let mut bench = Bench::single("metrics_served", 1);
    bench.requests(20, Duration::from_millis(10));
    bench.finish();
    bench.assert_sound();
    // Counters are published once a second.
    wait("the agent's counters are published", || {
        let text = metrics(&bench, "dispatch-1");
        value(&text, "hyssopdyke_events_total{event=\"admitted\"") >= 20.0
    });
    let text = metrics(&bench, "dispatch-1");
    let answers = "hyssopdyke_seconds_count{role=\"agent\",time=\"answer\"}";
    assert!(value(&text, answers) >= 20.0, "{text}");
    wait("the entry's counters are published", || {
        let text = metrics(&bench, "entry-1") + &metrics(&bench, "entry-2");
        value(&text, "hyssopdyke_events_total{event=\"forwarded\"") > 0.0
    });
    let syncs = "hyssopdyke_seconds_count{role=\"control\",time=\"sync\"}";
    assert!(value(&metrics(&bench, "control-1"), syncs) > 0.0);
}

#[test]
fn metrics_documented() {
    // The page has the table of the program, word for word.
    let output = Command::new(env!("CARGO_BIN_EXE_hyssopdyked")).arg("metrics").output().unwrap();
    let table = String::from_utf8(output.stdout).unwrap();
    let page = Path::new(env!("CARGO_MANIFEST_DIR")).join("../../docs/METRICS.md");
    let page = std::fs::read_to_string(page).unwrap();
    assert!(page.contains(&table), "docs/METRICS.md lacks the output of 'hyssopdyked metrics'");
}
