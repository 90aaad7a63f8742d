//! Short soaks with fixed seeds.

#![allow(clippy::unwrap_used)]

use std::path::Path;
use std::time::Duration;

use soak::{Plan, Soak};

/// Seeds that have found a violation, each with its cause, and one that has not.
const SEEDS: &str = include_str!("seeds.txt");

/// Duration of the soak of each seed.
const SEED_DURATION: Duration = Duration::from_secs(12);

#[test]
fn soak_seeds() {
    let daemon = standin::build_daemon().unwrap();
    let seeds = SEEDS.lines().filter(|line| !line.starts_with('#'));
    for seed in seeds.map(|line| line.split_whitespace().next().unwrap().parse().unwrap()) {
        let folder = Path::new(env!("CARGO_TARGET_TMPDIR")).join(format!("soak-{seed}"));
        let _ = std::fs::remove_dir_all(&folder);
        let plan = Plan { seed, duration: SEED_DURATION, upstreams: 6, entries: 3 };
        let report = Soak::start(&daemon, &folder, plan).unwrap().run().unwrap();
        assert!(report.violations.is_empty(), "{report}  logs: {}", folder.display());
        std::fs::remove_dir_all(&folder).unwrap();
    }
}
