//! Test bench for fault tests: a system of real processes with callers.

#![allow(dead_code, unreachable_pub, clippy::unwrap_used)]

use std::collections::BTreeMap;
use std::path::Path;
use std::time::Duration;

use hyssopctl::{Client, Precondition};
use hyssopdyke_wire::resource::{Kind as ResourceKind, State, resource::Body};
use standin::{Callers, Cluster, Kind, Layout, Outcome, ServiceLayout, Spec, Tally};

/// Timeout for events that must happen eventually. Tests do not measure how soon they happen.
pub const TIMEOUT: Duration = Duration::from_mins(1);

/// Interval between two lines of a stream.
const LINE_INTERVAL: Duration = Duration::from_millis(50);

/// System under test and its callers.
pub struct Bench {
    pub cluster: Cluster,
    pub callers: Callers,
    next_id: u64,
}

impl Bench {
    /// Starts a system. `name` is part of the name of its folder.
    pub fn start(name: &str, layout: Layout) -> Self {
        let run = format!("{name}-{}", std::process::id());
        let folder = Path::new(env!("CARGO_TARGET_TMPDIR")).join(run);
        let _ = std::fs::remove_dir_all(&folder);
        let layout = Layout { log_level: "debug".into(), ..layout };
        let binary = Path::new(env!("CARGO_BIN_EXE_hyssopdyked"));
        let cluster = Cluster::start(binary, &folder, layout).unwrap();
        let callers = cluster.callers(1).unwrap();
        Self { cluster, callers, next_id: 1 }
    }

    /// Starts a system with a single service.
    pub fn start_single_service(name: &str, upstreams: usize) -> Self {
        let services = vec![ServiceLayout::new("dispatch", upstreams)];
        Self::start(name, Layout { services, ..Layout::default() })
    }

    /// Starts streams that end after `length`.
    pub fn start_streams(&mut self, count: u64, length: Duration) {
        self.start_streams_with(count, length, None);
    }

    /// Starts streams whose callers send keep-alive probes at an interval.
    pub fn start_streams_with(
        &mut self,
        count: u64,
        length: Duration,
        keep_alive: Option<Duration>,
    ) {
        for _ in 0..count {
            let service = self.cluster.stream_address(0);
            let kind = Kind::Stream { interval: LINE_INTERVAL, length, keep_alive };
            self.start_caller(service, kind, length + TIMEOUT);
        }
    }

    /// Starts requests, with a pause after each.
    pub fn send_requests(&mut self, count: u64, pause: Duration) {
        for _ in 0..count {
            let service = self.cluster.request_address(0);
            self.start_caller(service, Kind::Request { bytes: 2000 }, TIMEOUT);
            std::thread::sleep(pause);
        }
    }

    /// Starts a caller of a service.
    pub fn start_caller(
        &mut self,
        service: (std::net::Ipv4Addr, u16),
        kind: Kind,
        deadline: Duration,
    ) {
        let id = self.next_id;
        self.next_id += 1;
        self.callers.start(Spec { id, service, kind, deadline });
    }

    /// Waits until `count` flows are established. Panics if a flow ends before.
    pub fn wait_established(&self, count: usize) {
        wait_for("flows are established", || {
            let ended = self.callers.outcomes();
            assert!(ended.len() + count < self.next_id as usize, "flows ended early: {ended:?}");
            self.callers.established().len() >= count
        });
    }

    /// Waits until all flows have ended, and returns their outcomes.
    pub fn wait_finished(&self) -> Tally {
        assert!(self.callers.wait_finished(TIMEOUT * 2), "flows without an outcome");
        self.callers.tally()
    }

    /// Asserts the invariants of every run: no upstream receives a packet of another service, no
    /// request runs twice, and no refused request runs.
    pub fn assert_invariants(&self) {
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
            let is_refused_but_run = outcome == Outcome::Refused && runs.contains_key(&id);
            assert!(!is_refused_but_run, "request {id} was refused and ran");
        }
    }

    /// Sets the state of an upstream and waits until the change is in force.
    pub fn set_state(&self, name: &str, state: State) {
        let client = self.cluster.client();
        let mut resource = client.get(ResourceKind::Upstream, name).unwrap();
        if let Some(Body::Upstream(upstream)) = &mut resource.body {
            upstream.state = state as i32;
        }
        let key = Client::idempotency_key();
        let none = Precondition::None;
        let written = client.put(ResourceKind::Upstream, &resource, none, &key).unwrap();
        client.wait(written.revision, TIMEOUT).unwrap();
    }

    /// Returns the number of packets received by all upstreams of a failure domain.
    pub fn packets_in_domain(&self, domain: &str) -> u64 {
        let all_stats = self.cluster.upstream_stats();
        let inside =
            all_stats.iter().filter(|(name, _)| self.cluster.domain(name).unwrap() == domain);
        inside.map(|(_, stats)| stats.packets).sum()
    }

    /// Returns the number of distinct requests that an upstream has started.
    pub fn request_count(&self, name: &str) -> usize {
        self.cluster.upstream(name).unwrap().stats().runs.len()
    }

    /// Returns the number of events with this name in the log of a VM's process.
    pub fn count_events(&self, vm: &str, event: &str) -> usize {
        let log = std::fs::read_to_string(self.cluster.folder().join(format!("{vm}.log")));
        let quoted = format!("\"event\":\"{event}\"");
        log.unwrap_or_default().lines().filter(|line| line.contains(&quoted)).count()
    }
}

impl Drop for Bench {
    fn drop(&mut self) {
        // Keeps the files of a failed test for inspection.
        if !std::thread::panicking() {
            let _ = std::fs::remove_dir_all(self.cluster.folder());
        }
    }
}

/// Waits until a condition holds. Panics after `TIMEOUT`.
pub fn wait_for(what: &str, condition: impl Fn() -> bool) {
    assert!(standin::wait_until(TIMEOUT, condition), "timed out: {what}");
}
