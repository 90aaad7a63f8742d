use std::path::Path;

use super::{Replay, open};

#[test]
fn open_all_traces() {
    let folder = Path::new(env!("CARGO_MANIFEST_DIR")).join("../../traces");
    let mut count = 0;
    for file in std::fs::read_dir(folder).unwrap() {
        let trace = open(&file.unwrap().path()).unwrap();
        let names: Vec<_> = trace.services.iter().map(|service| &service.name).collect();
        assert!(!names.is_empty() && !trace.load.is_empty());
        count += 1;
    }
    assert!(count >= 6, "{count} traces");
}

/// Replays a trace that is short enough for every test run. Its time limits are generous timeouts.
#[test]
fn run_short() {
    let folder = Path::new(env!("CARGO_MANIFEST_DIR")).join("../../traces");
    let trace = open(&folder.join("short.json")).unwrap();
    let faults = Replay::start(&trace).unwrap().run().unwrap();
    assert_eq!(faults, Vec::<String>::new());
}
