use std::path::Path;

use super::open;

#[test]
fn open_alltraces() {
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
