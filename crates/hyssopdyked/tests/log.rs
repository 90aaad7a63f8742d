//! Events on standard output: bounded, and never in the way.

#![allow(clippy::unwrap_used)]

mod support;

use std::path::PathBuf;
use std::process::{Child, ChildStdout, Command, Stdio};
use std::time::{Duration, Instant};

use rustix::process::{Pid, Signal, kill_process};
use support::{Bench, PATIENCE, wait};

/// Reloads that fill a pipe with events many times over.
const RELOADS: usize = 2000;

/// An entry without control, whose events go to a pipe.
struct Piped {
    child: Child,
    settings: PathBuf,
}

impl Piped {
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

    fn output(&mut self) -> ChildStdout {
        self.child.stdout.take().unwrap()
    }

    fn signal(&self, signal: Signal) {
        let pid = Pid::from_raw(self.child.id().cast_signed()).unwrap();
        kill_process(pid, signal).unwrap();
    }

    /// Waits until the process takes signals.
    fn await_start(&self) {
        let status = format!("/proc/{}/status", self.child.id());
        wait("the process takes SIGHUP", || {
            let text = std::fs::read_to_string(&status).unwrap();
            let caught = text.lines().find_map(|line| line.strip_prefix("SigCgt:")).unwrap();
            u64::from_str_radix(caught.trim(), 16).unwrap() & 1 != 0
        });
    }

    /// Lets the process write many events.
    fn reload(&self) {
        for _ in 0..RELOADS {
            self.signal(Signal::HUP);
            std::thread::sleep(Duration::from_micros(200));
        }
    }

    fn end(&mut self) -> Option<i32> {
        self.signal(Signal::TERM);
        let start = Instant::now();
        while start.elapsed() < PATIENCE {
            if let Some(status) = self.child.try_wait().unwrap() {
                return status.code();
            }
            std::thread::sleep(Duration::from_millis(10));
        }
        None
    }
}

impl Drop for Piped {
    fn drop(&mut self) {
        // Both are gone already where the test has passed.
        let _ = self.child.kill();
        let _ = self.child.wait();
        let _ = std::fs::remove_file(&self.settings);
    }
}

#[test]
fn log_closedreader() {
    let mut piped = Piped::spawn("log_closedreader");
    piped.await_start();
    drop(piped.output());
    piped.reload();
    assert_eq!(piped.end(), Some(0), "the process ended with the reader of its events");
}

#[test]
fn log_stuckreader() {
    let mut piped = Piped::spawn("log_stuckreader");
    piped.await_start();
    let output = piped.output();
    piped.reload();
    assert_eq!(piped.end(), Some(0), "the stop waits for a reader that does not read");
    drop(output);
}

#[test]
fn log_flood() {
    // Whole seconds of one kind of event hold no more lines than its budget, and the rest is told.
    let mut bench = Bench::single("log_flood", 1);
    bench.requests(400, Duration::from_millis(1));
    bench.finish();
    wait("the rest is told", || bench.events("dispatch-1", "events left out") > 0);
    let admitted = bench.events("dispatch-1", "flow admitted");
    assert!(admitted < 400, "{admitted} of 400 flows were written");
    assert!(admitted > 0);
}
