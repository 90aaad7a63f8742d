//! Tests of the event log on standard output: it is rate-limited and never blocks a process.

#![allow(clippy::unwrap_used)]

mod support;

use std::path::PathBuf;
use std::process::{Child, ChildStdout, Command, Stdio};
use std::time::{Duration, Instant};

use rustix::process::{Pid, Signal, kill_process};
use support::{Bench, TIMEOUT, wait_for};

/// Number of reloads. Their events exceed the capacity of a pipe many times.
const RELOADS: usize = 2000;

/// Entry without control whose events are written to a pipe.
struct PipedEntry {
    child: Child,
    settings: PathBuf,
}

impl PipedEntry {
    fn spawn(name: &str) -> Self {
        let file = format!("hyssopdyke-{name}-{}.ini", std::process::id());
        let settings = std::env::temp_dir().join(file);
        let text = "[vm]\nname = entry-1\ndomain = d\naddress = 127.0.0.1\n\
            [cluster]\npassphrase = for tests only, long\ncontrol = 127.0.0.1:1\n\
            [log]\nform = json\n\
            [entry]\nfabric = 127.0.0.1:0\npeer_port = 0\n";
        std::fs::write(&settings, text).unwrap();
        let child = Command::new(env!("CARGO_BIN_EXE_hyssopdyked"))
            .args(["entry", "--config"])
            .arg(&settings)
            .stdout(Stdio::piped())
            .stderr(Stdio::null())
            .spawn()
            .unwrap();
        Self { child, settings }
    }

    fn take_output(&mut self) -> ChildStdout {
        self.child.stdout.take().unwrap()
    }

    fn signal(&self, signal: Signal) {
        let pid = Pid::from_raw(self.child.id().cast_signed()).unwrap();
        kill_process(pid, signal).unwrap();
    }

    /// Waits until the process handles SIGHUP.
    fn wait_started(&self) {
        let status = format!("/proc/{}/status", self.child.id());
        wait_for("the process handles SIGHUP", || {
            let text = std::fs::read_to_string(&status).unwrap();
            let caught = text.lines().find_map(|line| line.strip_prefix("SigCgt:")).unwrap();
            u64::from_str_radix(caught.trim(), 16).unwrap() & 1 != 0
        });
    }

    /// Makes the process write many events.
    fn reload(&self) {
        for _ in 0..RELOADS {
            self.signal(Signal::HUP);
            std::thread::sleep(Duration::from_micros(200));
        }
    }

    /// Requests a graceful stop and returns the exit code, or `None` after `TIMEOUT`.
    fn stop(&mut self) -> Option<i32> {
        self.signal(Signal::TERM);
        let start = Instant::now();
        while start.elapsed() < TIMEOUT {
            if let Some(status) = self.child.try_wait().unwrap() {
                return status.code();
            }
            std::thread::sleep(Duration::from_millis(10));
        }
        None
    }
}

impl Drop for PipedEntry {
    fn drop(&mut self) {
        // The process has already ended if the test has passed.
        let _ = self.child.kill();
        let _ = self.child.wait();
        let _ = std::fs::remove_file(&self.settings);
    }
}

#[test]
fn log_closed_reader() {
    let mut entry = PipedEntry::spawn("log_closed_reader");
    entry.wait_started();
    drop(entry.take_output());
    entry.reload();
    assert_eq!(
        entry.stop(),
        Some(0),
        "the process ended when the reader of its events closed the pipe"
    );
}

#[test]
fn log_blocked_reader() {
    let mut entry = PipedEntry::spawn("log_blocked_reader");
    entry.wait_started();
    let output = entry.take_output();
    entry.reload();
    assert_eq!(entry.stop(), Some(0), "the stop waits for a blocked reader");
    drop(output);
}

#[test]
fn log_flood() {
    // The number of events of one kind per second is limited, and the number of suppressed events
    // is logged.
    let mut bench = Bench::start_single_service("log_flood", 1);
    bench.send_requests(400, Duration::from_millis(1));
    bench.wait_finished();
    wait_for("the suppressed events are logged", || {
        bench.count_events("dispatch-1", "events left out") > 0
    });
    let admitted = bench.count_events("dispatch-1", "flow admitted");
    assert!(admitted < 400, "{admitted} of 400 flows were written");
    assert!(admitted > 0);
}
