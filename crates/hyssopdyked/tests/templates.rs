//! Tests of the templates that render the platform's settings as settings of the daemons.

#![allow(clippy::unwrap_used)]

use std::collections::BTreeMap;
use std::path::{Path, PathBuf};
use std::process::Command;

/// Returns the template fields that the platform fills in, with test values.
fn template_fields() -> BTreeMap<&'static str, &'static str> {
    [
        ("node_name", "vm-1"),
        ("zone", "zone-1"),
        ("ip", "127.3.2.1"),
        ("seeds", "127.3.2.1:8166,127.3.2.2:8166"),
        ("internal_port_range.0", "7720"),
        ("internal_port_range.1", "7735"),
        ("listen.datagram_addr", "127.3.2.1:8172"),
        ("listen.readiness_addr", "127.3.2.1:8167"),
        ("listen.outbound", "127.3.2.1:8162"),
        ("listen.control", "127.3.2.1:8166"),
        ("app", "127.3.2.1:8165"),
        ("service", "dispatch"),
        ("heartbeat_ms", "770"),
        ("data_dir", "data"),
        ("bounds.grace_s", "6"),
        ("fault_tolerance.machines", "1"),
        ("limits.link_mbps", "3.3"),
    ]
    .into()
}

fn template_dir() -> PathBuf {
    Path::new(env!("CARGO_MANIFEST_DIR")).join("../../platform/templates")
}

/// Renders a template. `is_first` includes the section for the first start of a system.
fn render(role: &str, is_first: bool) -> String {
    let mut text = std::fs::read_to_string(template_dir().join(format!("{role}.ini"))).unwrap();
    if let (Some(start), Some(end)) = (text.find("{{#bootstrap}}"), text.find("{{/bootstrap}}")) {
        let inside = text[start + "{{#bootstrap}}".len()..end].to_owned();
        let after = text[end + "{{/bootstrap}}".len()..].to_owned();
        text = format!("{}{}{after}", &text[..start], if is_first { &inside } else { "" });
    }
    // A section of a present value is rendered once.
    text = text.replace("{{#limits.link_mbps}}\n", "").replace("{{/limits.link_mbps}}\n", "");
    for (name, value) in template_fields() {
        text = text.replace(&format!("{{{{{name}}}}}"), value);
    }
    assert!(!text.contains("{{"), "unfilled template field:\n{text}");
    text
}

/// Returns the effective settings that `--check` prints for a rendered template.
fn check(role: &str, is_first: bool) -> String {
    let folder = Path::new(env!("CARGO_TARGET_TMPDIR"));
    let path = folder.join(format!("template-{role}-{is_first}-{}.ini", std::process::id()));
    std::fs::write(&path, render(role, is_first)).unwrap();
    let output = Command::new(env!("CARGO_BIN_EXE_hyssopdyked"))
        .args([role, "--check", "--config"])
        .arg(&path)
        .output()
        .unwrap();
    std::fs::remove_file(&path).unwrap();
    assert!(output.status.success(), "{role}: {}", String::from_utf8_lossy(&output.stderr));
    String::from_utf8(output.stdout).unwrap()
}

#[test]
fn check_entry() {
    let settings = check("entry", false);
    for line in [
        "packets = platform",
        "fabric = 127.3.2.1:8172",
        "control = 127.3.2.1:7720, 127.3.2.2:7720",
        "link_mbit = 3.3",
    ] {
        assert!(settings.contains(line), "{line} is not in\n{settings}");
    }
}

#[test]
fn check_agent() {
    let settings = check("agent", false);
    for line in ["answers = 127.3.2.1:8162", "reports = 127.3.2.1:8166", "heartbeat = 770ms"] {
        assert!(settings.contains(line), "{line} is not in\n{settings}");
    }
}

#[test]
fn check_control_first_start() {
    assert!(check("control", true).contains("form = true"));
    let later = check("control", false);
    assert!(later.contains("form = false"), "a later start would form a new system:\n{later}");
    assert!(later.contains("api = 127.3.2.1:8166") && later.contains("tolerance = 1"));
}
