use std::net::SocketAddr;
use std::path::PathBuf;
use std::time::Duration;

use proptest::prelude::*;
use proptest::test_runner::RngSeed;

use super::{Agent, Control, Entry, Error, Role, Settings};

const COMMON: &str = "[vm]\nname = a-1\ndomain = fj-west-a\naddress = 127.9.9.9\n\
                      [cluster]\npassphrase = sixteen letters!\ncontrol = 127.9.9.1:5560\n";

const AGENT: &str = "[agent]\nservice = dispatch\nupstream = 127.9.9.9:6000\n\
                     fabric = 127.9.9.250:7000\n";

/// Settings file that is removed on drop.
struct File(PathBuf);

impl File {
    fn new(name: &str, text: &str) -> Self {
        let path = std::env::temp_dir().join(format!("{}-{name}.ini", std::process::id()));
        std::fs::write(&path, text).unwrap();
        Self(path)
    }
}

impl Drop for File {
    fn drop(&mut self) {
        let _ = std::fs::remove_file(&self.0);
    }
}

/// Returns the printed faults of a file, without its path.
fn faults<R: Role>(name: &str, text: &str) -> Vec<String> {
    let file = File::new(name, text);
    match Settings::<R>::open(&file.0) {
        Ok(_) => Vec::new(),
        Err(error @ Error::Faults { .. }) => {
            let prefix = format!("{}: ", file.0.display());
            let shown = error.to_string();
            shown.lines().map(|line| line.strip_prefix(&prefix).unwrap().to_owned()).collect()
        }
        Err(other) => panic!("{other}"),
    }
}

#[test]
fn open_valid() {
    let file = File::new("valid", &format!("{COMMON}{AGENT}probe_after = 90s\n"));
    let settings = Settings::<Agent>::open(&file.0).unwrap();
    assert_eq!(&*settings.common.vm.name, "a-1");
    assert_eq!(settings.common.cluster.control, ["127.9.9.1:5560".parse::<SocketAddr>().unwrap()]);
    assert_eq!(settings.role.probe_after, Duration::from_secs(90));
    assert_eq!(settings.role.peer_port, 5556);
}

#[test]
fn open_faults() {
    let cases: [(&str, String, &[&str]); 10] = [
        (
            "missing",
            AGENT.into(),
            &[
                "[vm] name: missing",
                "[vm] domain: missing",
                "[vm] address: missing",
                "[cluster] passphrase: missing",
                "[cluster] control: missing",
            ],
        ),
        ("unknown-key", format!("{COMMON}{AGENT}colour = red\n"), &["[agent] colour: unknown key"]),
        (
            "unknown-section",
            format!("{COMMON}{AGENT}[extra]\na = 1\n"),
            &["[extra]: unknown section"],
        ),
        (
            "duplicate-key",
            format!("{COMMON}{AGENT}service = b\n"),
            &["[agent] service: duplicate key"],
        ),
        ("duplicate-section", format!("{COMMON}{AGENT}{AGENT}"), &["[agent]: duplicate section"]),
        (
            "range",
            format!("{COMMON}{AGENT}probe_after = 2h\n"),
            &["[agent] probe_after: 2h is not between 1s and 1h"],
        ),
        (
            "unit",
            format!("{COMMON}{AGENT}probe_after = 90\n"),
            &[
                "[agent] probe_after: expected a time with its unit, such as 500ms or 3s, found \"90\"",
            ],
        ),
        (
            "port",
            format!("{COMMON}{AGENT}peer_port = 70000\n"),
            &["[agent] peer_port: expected a whole number, found \"70000\""],
        ),
        (
            "conflict",
            format!("{COMMON}{AGENT}answer_port = 5556\n"),
            &["[agent] answer_port: 5556 is also used by peer_port"],
        ),
        (
            "own-port",
            format!("{COMMON}{AGENT}answer_port = 6000\n"),
            &["[agent] upstream: 127.9.9.9:6000 is also used by answer_port"],
        ),
    ];
    for (name, text, expected) in cases {
        assert_eq!(faults::<Agent>(name, &text), expected, "{name}");
    }
}

#[test]
fn open_role_faults() {
    let entry = format!("{COMMON}[entry]\nfabric_port = 5556\ncached_flows = 5\n");
    assert_eq!(
        faults::<Entry>("entry", &entry),
        [
            "[entry] cached_flows: 5 is not between 1000 and 10000000",
            "[entry] peer_port: 5556 is also used by fabric_port",
        ]
    );
    let control = format!("{COMMON}[control]\ndata = d\napi_port = 5560\nvoters = x\n");
    assert_eq!(
        faults::<Control>("control", &control),
        ["[control] voters: expected a list of name@address:port, found \"x\"",]
    );
}

#[test]
fn open_syntax_error() {
    let file = File::new("syntax", "[vm\n");
    assert!(matches!(Settings::<Entry>::open(&file.0), Err(Error::Syntax { line: 1 | 2, .. })));
}

#[test]
fn display_hides_passphrase() {
    let file = File::new("display", &format!("{COMMON}{AGENT}"));
    let shown = Settings::<Agent>::open(&file.0).unwrap().to_string();
    assert!(!shown.contains("sixteen letters!"));
    assert!(shown.contains("passphrase = (hidden)"));
}

#[test]
fn open_peers_without_place() {
    for peer in ["127.9.9.1:0", "0.0.0.0:5560", "[::]:5560"] {
        let text = format!("{COMMON}{AGENT}").replace("127.9.9.1:5560", peer);
        let expected = format!(
            "[cluster] control: expected the address and the port of a process, found {peer:?}"
        );
        assert_eq!(faults::<Agent>("peers", &text), [expected]);
    }
}

/// Any text of a settings file: lines of known sections and keys, with any values.
fn any_settings() -> impl Strategy<Value = String> {
    let key = prop_oneof![
        "(name|domain|address|passphrase|control|session_port|form|metrics)",
        "(service|upstream|fabric|answers|reports|readiness|heartbeat|peer_port|packets)",
        "(api|data|seeds|tolerance|replica_port|grace|cached_flows|link_mbit)",
        "[a-z_]{1,9}",
    ];
    let value = prop_oneof![
        "(127.0.0.1:[0-9]{1,6},?){0,4}",
        "[0-9]{1,25}(ms|s|h|)",
        "-?[0-9.e]{1,8}",
        ".{0,20}",
    ];
    let line = prop_oneof![
        "\\[(vm|cluster|log|agent|entry|control|[a-z]{1,5})\\]",
        (key, value).prop_map(|(key, value)| format!("{key} = {value}")),
        ".{0,30}",
    ];
    prop::collection::vec(line, 0..24).prop_map(|lines| lines.join("\n"))
}

proptest! {
    #![proptest_config(ProptestConfig {
        cases: 500,
        rng_seed: RngSeed::Fixed(29),
        failure_persistence: None,
        ..ProptestConfig::default()
    })]

    /// Any file is settings, or an error that names the file.
    #[test]
    fn open_any_text(text in any_settings(), is_after_valid in any::<bool>()) {
        let start = if is_after_valid { format!("{COMMON}{AGENT}") } else { String::new() };
        let file = File::new("any", &format!("{start}{text}"));
        let path = file.0.display().to_string();
        let errors = [
            Settings::<Agent>::open(&file.0).err(),
            Settings::<Entry>::open(&file.0).err(),
            Settings::<Control>::open(&file.0).err(),
        ];
        for error in errors.into_iter().flatten() {
            prop_assert!(error.to_string().contains(&path), "{error}");
        }
        if let Ok(settings) = Settings::<Control>::open(&file.0) {
            let peers = settings.common.cluster.control.iter().chain(&settings.role.seeds);
            prop_assert!(peers.clone().all(|peer| peer.port() > 0 && !peer.ip().is_unspecified()));
        }
    }
}
