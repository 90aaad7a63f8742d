//! Tests of the command line: validation of settings, exit codes and signals.

#![allow(clippy::unwrap_used)]

mod support;

use std::path::{Path, PathBuf};
use std::process::{Command, Output};

use support::{Bench, TIMEOUT, wait_for};

fn run(arguments: &[&str]) -> Output {
    Command::new(env!("CARGO_BIN_EXE_hyssopdyked")).args(arguments).output().unwrap()
}

fn examples() -> PathBuf {
    Path::new(env!("CARGO_MANIFEST_DIR")).join("../../examples")
}

/// Returns the role and path of each example of settings.
fn example_settings() -> Vec<(&'static str, PathBuf)> {
    let mut files = Vec::new();
    for site in ["vatuwai", "sabar"] {
        for file in std::fs::read_dir(examples().join(site)).unwrap() {
            let path = file.unwrap().path();
            let name = path.file_name().unwrap().to_str().unwrap().to_owned();
            let role = ["agent", "entry", "control"].into_iter().find(|r| name.starts_with(r));
            files.extend(role.map(|role| (role, path)));
        }
    }
    files
}

#[test]
fn check_examples() {
    let files = example_settings();
    assert_eq!(files.len(), 8);
    for (role, path) in files {
        let output = run(&[role, "--config", path.to_str().unwrap(), "--check"]);
        let errors = String::from_utf8_lossy(&output.stderr);
        assert_eq!(output.status.code(), Some(0), "{}: {errors}", path.display());
        assert!(String::from_utf8_lossy(&output.stdout).contains(&format!("[{role}]")));
    }
}

#[test]
fn check_wrong_role() {
    let path = examples().join("sabar/entry.ini");
    let output = run(&["agent", "--config", path.to_str().unwrap(), "--check"]);
    assert_eq!(output.status.code(), Some(2));
    let errors = String::from_utf8_lossy(&output.stderr);
    assert!(errors.contains("[entry]: unknown section"), "{errors}");
    assert!(errors.contains("[agent] service: missing"), "{errors}");
}

#[test]
fn run_missing_file() {
    let output = run(&["entry", "--config", "no/such/file.ini"]);
    assert_eq!(output.status.code(), Some(2));
    assert!(String::from_utf8_lossy(&output.stderr).contains("no/such/file.ini"));
}

#[test]
fn run_unknown_argument() {
    assert_eq!(run(&["entry", "--colour"]).status.code(), Some(2));
}

#[test]
fn run_version() {
    let output = run(&["--version"]);
    assert_eq!(output.status.code(), Some(0));
    assert!(String::from_utf8_lossy(&output.stdout).contains(env!("CARGO_PKG_VERSION")));
}

#[test]
fn completion_bash() {
    let output = run(&["completion", "bash"]);
    assert_eq!(output.status.code(), Some(0));
    assert!(String::from_utf8_lossy(&output.stdout).contains("--check"));
}

#[test]
fn stop_second_signal() {
    let mut bench = Bench::start_single_service("stop_second_signal", 1);
    // Without control, the graceful stop of an entry takes some seconds.
    bench.cluster.process("control-1").unwrap().freeze().unwrap();
    bench.cluster.process("entry-1").unwrap().terminate().unwrap();
    wait_for("the stop begins", || bench.count_events("entry-1", "entry leaves") == 1);
    let entry = bench.cluster.process("entry-1").unwrap();
    entry.terminate().unwrap();
    assert_eq!(entry.wait(TIMEOUT).unwrap().unwrap().code(), Some(3));
    // A single signal is a graceful stop, even if control does not answer.
    let entry = bench.cluster.process("entry-2").unwrap();
    entry.terminate().unwrap();
    assert_eq!(entry.wait(TIMEOUT).unwrap().unwrap().code(), Some(0));
}
