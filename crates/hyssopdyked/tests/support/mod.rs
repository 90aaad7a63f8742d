//! A system of processes with callers, for fault tests.

#![allow(dead_code, unreachable_pub, clippy::unwrap_used)]

use std::collections::BTreeMap;
use std::path::Path;
use std::time::Duration;

use hyssopctl::{Client, Precondition};
use hyssopdyke_wire::resource::{Kind as ResourceKind, State, resource::Body};
use standin::{Callers, Cluster, Kind, Layout, Outcome, ServiceLayout, Spec, Tally};

/// Patience with anything that must happen some time; no measure of how soon.
pub const PATIENCE: Duration = Duration::from_mins(1);

/// Time between two lines of a stream.
const INTERVAL: Duration = Duration::from_millis(50);

/// A system and its callers.
pub struct Bench {
    pub cluster: Cluster,
    pub callers: Callers,
    next: u64,
}

impl Bench {
    /// Starts a system whose files are kept under the test's name.
    pub fn start(name: &str, layout: Layout) -> Self {
        let run = format!("{name}-{}", std::process::id());
        let folder = Path::new(env!("CARGO_TARGET_TMPDIR")).join(run);
        let _ = std::fs::remove_dir_all(&folder);
        let layout = Layout { log_level: "debug".into(), ..layout };
        let binary = Path::new(env!("CARGO_BIN_EXE_hyssopdyked"));
        let cluster = Cluster::start(binary, &folder, layout).unwrap();
        let callers = cluster.callers(1).unwrap();
        Self { cluster, callers, next: 1 }
    }

    /// One service of some upstreams.
    pub fn single(name: &str, upstreams: usize) -> Self {
        let services = vec![ServiceLayout::new("dispatch", upstreams)];
        Self::start(name, Layout { services, ..Layout::default() })
    }

    /// Starts streams of a length.
    pub fn streams(&mut self, count: u64, length: Duration) {
        self.streams_with(count, length, None);
    }

    /// Starts streams whose callers send probes.
    pub fn streams_with(&mut self, count: u64, length: Duration, keep_alive: Option<Duration>) {
        for _ in 0..count {
            let service = self.cluster.stream_address(0);
            let kind = Kind::Stream { interval: INTERVAL, length, keep_alive };
            self.spec(service, kind, length + PATIENCE);
        }
    }

    /// Starts requests, with a pause between two.
    pub fn requests(&mut self, count: u64, pause: Duration) {
        for _ in 0..count {
            let service = self.cluster.request_address(0);
            self.spec(service, Kind::Request { bytes: 2000 }, PATIENCE);
            std::thread::sleep(pause);
        }
    }

    pub fn spec(&mut self, service: (std::net::Ipv4Addr, u16), kind: Kind, deadline: Duration) {
        let id = self.next;
        self.next += 1;
        self.callers.start(Spec { id, service, kind, deadline });
    }

    /// Waits until this many flows are established.
    pub fn wait_established(&self, count: usize) {
        wait("flows are established", || {
            let ended = self.callers.outcomes();
            assert!(ended.len() + count < self.next as usize, "ended early: {ended:?}");
            self.callers.established().len() >= count
        });
    }

    /// Waits for the end of all flows.
    pub fn finish(&self) -> Tally {
        assert!(self.callers.wait_finished(PATIENCE * 2), "flows without an outcome");
        self.callers.tally()
    }

    /// Asserts what must hold after any run: no foreign packet, no second run of a request, and
    /// no run of a request that was refused.
    pub fn assert_sound(&self) {
        let outcomes = self.callers.outcomes();
        let mut runs: BTreeMap<u64, u32> = BTreeMap::new();
        for (name, stats) in self.cluster.upstream_stats() {
            assert_eq!(stats.foreign_packets, 0, "foreign packets at {name}");
            for (id, count) in stats.runs {
                *runs.entry(id).or_default() += count;
            }
        }
        for (id, count) in &runs {
            assert!(*count <= 1, "request {id} ran {count} times");
        }
        for (id, outcome) in outcomes {
            assert_ne!(outcome, Outcome::Wrong, "request {id}");
            let is_untrue = outcome == Outcome::Refused && runs.contains_key(&id);
            assert!(!is_untrue, "request {id} was refused and ran");
        }
    }

    /// Sets the state of an upstream, and waits until that is in force.
    pub fn set_state(&self, name: &str, state: State) {
        let client = self.cluster.client();
        let mut resource = client.get(ResourceKind::Upstream, name).unwrap();
        if let Some(Body::Upstream(upstream)) = &mut resource.body {
            upstream.state = state as i32;
        }
        let key = Client::idempotency_key();
        let none = Precondition::None;
        let written = client.put(ResourceKind::Upstream, &resource, none, &key).unwrap();
        client.wait(written.revision, PATIENCE).unwrap();
    }

    /// Packets that each upstream of a failure domain has taken.
    pub fn packets_in(&self, domain: &str) -> u64 {
        let all_stats = self.cluster.upstream_stats();
        let inside =
            all_stats.iter().filter(|(name, _)| self.cluster.domain(name).unwrap() == domain);
        inside.map(|(_, stats)| stats.packets).sum()
    }

    /// Requests that each upstream has begun.
    pub fn runs(&self, name: &str) -> usize {
        self.cluster.upstream(name).unwrap().stats().runs.len()
    }

    /// Events of a VM's process with this message.
    pub fn events(&self, vm: &str, event: &str) -> usize {
        let log = std::fs::read_to_string(self.cluster.folder().join(format!("{vm}.log")));
        let quoted = format!("\"event\":\"{event}\"");
        log.unwrap_or_default().lines().filter(|line| line.contains(&quoted)).count()
    }
}

impl Drop for Bench {
    fn drop(&mut self) {
        // The files of a failed test are kept for reading.
        if !std::thread::panicking() {
            let _ = std::fs::remove_dir_all(self.cluster.folder());
        }
    }
}

/// Waits until something holds.
pub fn wait(what: &str, holds: impl Fn() -> bool) {
    assert!(standin::wait_until(PATIENCE, holds), "never: {what}");
}
