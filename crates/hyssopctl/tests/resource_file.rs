//! Tests of the parser of resource files.

#![allow(clippy::unwrap_used)]

use std::path::Path;

use hyssopctl::{ResourceFile, ResourceFileError};

fn faults(text: &str) -> Vec<String> {
    match ResourceFile::parse(Path::new("r.ini"), text) {
        Ok(_) => Vec::new(),
        Err(ResourceFileError::Faults { faults, .. }) => {
            faults.iter().map(ToString::to_string).collect()
        }
        Err(other) => panic!("{other}"),
    }
}

#[test]
fn open_examples() {
    let examples = Path::new(env!("CARGO_MANIFEST_DIR")).join("../../examples");
    for site in ["vatuwai", "sabar"] {
        let file = ResourceFile::open(&examples.join(site).join("resources.ini")).unwrap();
        assert_eq!(file.resources.len(), 5, "{site}");
    }
}

#[test]
fn parse_faults() {
    let service = "[service s]\nlisten = 10.0.0.1:80/tcp/stream\nconnections = 1\nslots = 1\n";
    let cases: [(String, &[&str]); 7] = [
        (format!("{service}cold_slots = 1\n"), &[]),
        (service.into(), &["[service s] cold_slots: missing"]),
        (
            format!("{service}cold_slots = many\n"),
            &["[service s] cold_slots: expected a whole number, found \"many\""],
        ),
        (format!("{service}cold_slots = 1\ncolour = red\n"), &["[service s] colour: unknown key"]),
        (format!("{service}cold_slots = 1\nslots = 2\n"), &["[service s] slots: duplicate key"]),
        (
            "[domain d]\nstate = away\n".into(),
            &["[domain d] state: expected in or out, found \"away\""],
        ),
        (
            "[router r]\n".into(),
            &["[router r]: unknown section: expected [service NAME] or [domain NAME]"],
        ),
    ];
    for (text, expected) in cases {
        assert_eq!(faults(&text), expected, "{text}");
    }
}

#[test]
fn parse_listener() {
    let invalid =
        ["10.0.0.1/tcp/stream", "10.0.0.1:80/tcp", "x:80/tcp/stream", "10.0.0.1:0/tcp/stream"];
    for listen in invalid {
        let text =
            format!("[service s]\nlisten = {listen}\nconnections = 1\nslots = 1\ncold_slots = 1\n");
        let expected = format!(
            "[service s] listen: expected address:port/protocol/class with tcp or udp, and \
             stream, request or exchange, found \"{listen}\""
        );
        assert_eq!(faults(&text), [expected]);
    }
}
