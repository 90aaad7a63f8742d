//! The `replay` task: replays traces against the daemons and compares the outcomes with those that
//! the traces expect.

use std::collections::{BTreeMap, BTreeSet};
use std::path::{Path, PathBuf};
use std::thread::JoinHandle;
use std::time::{Duration, Instant};

use clap::{Arg, ArgMatches, Command, value_parser};
use eyre::{Result, WrapErr, ensure, eyre};
use hyssopctl::{Client, Error as ClientError, Precondition};
use hyssopdyke_wire::resource::{Kind as ResourceKind, State, resource::Body};
use serde::Deserialize;
use standin::{
    Behavior, Callers, Cluster, Faults, Kind, Layout, Outcome, ServiceLayout, Spec, Tally,
};

use crate::quickstart;

/// Time limit of a request, of a stream after its length, and of a change to be in force.
const FLOW_TIMEOUT: Duration = Duration::from_secs(45);

/// Time between two lines of a stream.
const STREAM_INTERVAL: Duration = Duration::from_millis(50);

/// Pause between two checks of the clock.
const POLL_INTERVAL: Duration = Duration::from_millis(2);

/// Arrival time in ms, service address and kind of a flow.
type Arrival = (u64, (std::net::Ipv4Addr, u16), Kind);

/// Number of operators that write concurrently in [`Verb::Race`].
const OPERATORS: u32 = 4;

/// A trace: a system, its load, actions, and expected outcomes.
#[derive(Debug)]
#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
pub(crate) struct Trace {
    about: Box<str>,
    seed: u64,
    control: u8,
    entries: u8,
    domains: Vec<Box<str>>,
    services: Vec<Service>,
    load: Vec<Load>,
    #[serde(default)]
    actions: Vec<Action>,
    expect: Expect,
}

#[derive(Debug)]
#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
struct Service {
    name: Box<str>,
    slots: u32,
    cold_slots: u32,
    /// Mean time to run a request at speed 1, in ms.
    request_ms: f64,
    /// Time for which an upstream tolerates overload before it crashes, in ms.
    #[serde(default)]
    patience_ms: u64,
    /// Whether all requests take the mean time.
    #[serde(default)]
    constant: bool,
    /// Relative speed of each upstream, one element per upstream.
    speeds: Vec<f64>,
    /// Number of requests after which an upstream is warm.
    #[serde(default)]
    warming_requests: u32,
}

#[derive(Debug)]
#[derive(Deserialize)]
#[serde(tag = "kind", rename_all = "snake_case", deny_unknown_fields)]
enum Load {
    /// Requests at random times, with a mean rate per second.
    Requests { service: Box<str>, rate: f64, from_ms: u64, until_ms: u64, bytes: u64 },
    /// Streams that are opened at the same time.
    Streams { service: Box<str>, count: u64, at_ms: u64, length_ms: u64 },
}

#[derive(Debug)]
#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
struct Action {
    at_ms: u64,
    #[serde(rename = "do")]
    verb: Verb,
    /// VM, failure domain or service that the action affects.
    on: Box<str>,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
#[derive(Deserialize)]
#[serde(rename_all = "snake_case")]
enum Verb {
    Kill,
    Terminate,
    Respawn,
    Freeze,
    Thaw,
    DomainOut,
    DomainIn,
    Drain,
    Resume,
    /// Makes the upstream cold without a report to its agent.
    Cool,
    /// Lets operators write the same service concurrently, based on the same generation.
    Race,
    /// Makes the fabric send some packets twice from now on.
    Copies,
}

/// Outcomes that the trace expects. The general invariants are checked in addition.
#[derive(Debug)]
#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
struct Expect {
    /// Highest permitted share of refused requests, from 0 to 1.
    refused_share: f64,
    /// Highest permitted ratio of an upstream's busy time to the mean, if the trace limits it.
    imbalance: Option<f64>,
    /// Time in ms from which busy times are compared.
    #[serde(default)]
    use_from_ms: u64,
    /// Highest permitted number of upstream crashes.
    #[serde(default)]
    falls: u32,
    /// Time in ms after which a failure domain that was taken out must receive no packets.
    silent_ms: u64,
    /// Time in ms within which an accepted change must be in force.
    in_force_ms: u64,
}

pub(crate) fn command() -> Command {
    Command::new("replay")
        .about("Replay traces against the daemons and check the outcomes")
        .arg(Arg::new("trace").required(true).num_args(1..).value_parser(value_parser!(PathBuf)))
}

pub(crate) fn run(matches: &ArgMatches) -> Result<()> {
    let mut failed = Vec::new();
    for path in matches.get_many::<PathBuf>("trace").unwrap_or_default() {
        let trace = open(path)?;
        println!("{}: {}", path.display(), trace.about);
        let failures = Replay::start(&trace)?.run()?;
        for failure in &failures {
            println!("  FAILED: {failure}");
        }
        if failures.is_empty() {
            println!("  all outcomes are as expected");
        } else {
            failed.push(path.display().to_string());
        }
    }
    ensure!(failed.is_empty(), "traces with unexpected outcomes: {}", failed.join(", "));
    Ok(())
}

pub(crate) fn open(path: &Path) -> Result<Trace> {
    let text = std::fs::read_to_string(path)
        .wrap_err_with(|| format!("cannot read {}", path.display()))?;
    serde_json::from_str(&text).wrap_err_with(|| format!("cannot parse {}", path.display()))
}

struct Replay<'a> {
    trace: &'a Trace,
    cluster: Cluster,
    callers: Callers,
    start: Instant,
    next_id: u64,
    requests: usize,
    waits: Vec<JoinHandle<(u64, Result<Duration, ClientError>)>>,
    /// Time at which each failure domain that is out was taken out.
    domains_out: BTreeMap<Box<str>, Instant>,
    /// Failure domains that were out at any time.
    ever_out: BTreeSet<Box<str>>,
    /// Time from taking a failure domain out to its last packet.
    last_packets: Vec<(Box<str>, Duration)>,
    /// Busy time of each upstream before the compared period.
    busy_before: BTreeMap<Box<str>, Duration>,
    failures: Vec<String>,
}

impl<'a> Replay<'a> {
    fn start(trace: &'a Trace) -> Result<Self> {
        let binary = quickstart::build()?.join("hyssopdyked");
        let folder = quickstart::run_folder("replay")?;
        let services = trace.services.iter().map(layout).collect();
        let layout = Layout {
            control: trace.control,
            entries: trace.entries,
            domains: trace.domains.clone(),
            services,
            seed: trace.seed,
            ..Layout::default()
        };
        let cluster = Cluster::start(&binary, &folder, layout)?;
        let callers = cluster.callers(1)?;
        Ok(Self {
            trace,
            cluster,
            callers,
            start: Instant::now(),
            next_id: 1,
            requests: 0,
            waits: Vec::new(),
            domains_out: BTreeMap::new(),
            ever_out: BTreeSet::new(),
            last_packets: Vec::new(),
            busy_before: BTreeMap::new(),
            failures: Vec::new(),
        })
    }

    fn run(mut self) -> Result<Vec<String>> {
        let mut arrivals = self.arrivals()?;
        let mut actions: Vec<&Action> = self.trace.actions.iter().collect();
        actions.sort_by_key(|action| std::cmp::Reverse(action.at_ms));
        let end = arrivals.last().map_or(0, |(at, ..)| *at);
        let end = end.max(self.trace.actions.iter().map(|action| action.at_ms).max().unwrap_or(0));
        arrivals.reverse();
        self.start = Instant::now();
        let mut last_printed = 0;
        while self.now() <= end {
            while arrivals.last().is_some_and(|(at, ..)| *at <= self.now()) {
                if let Some((_, service, kind)) = arrivals.pop() {
                    self.start_flow(service, kind);
                }
            }
            while actions.last().is_some_and(|action| action.at_ms <= self.now()) {
                if let Some(action) = actions.pop() {
                    self.run_action(action)?;
                }
            }
            if self.busy_before.is_empty() && self.now() >= self.trace.expect.use_from_ms {
                let all_stats = self.cluster.upstream_stats().into_iter();
                self.busy_before = all_stats.map(|(name, stats)| (name, stats.busy_time)).collect();
            }
            if self.now() / 5000 > last_printed {
                last_printed = self.now() / 5000;
                println!("  {:>6} ms  {:?}", self.now(), self.callers.tally());
            }
            std::thread::sleep(POLL_INTERVAL);
        }
        if !self.callers.wait_finished(FLOW_TIMEOUT * 2) {
            self.failures.push("some flows have no outcome".into());
        }
        self.check()?;
        Ok(self.failures)
    }

    fn now(&self) -> u64 {
        self.start.elapsed().as_millis() as u64
    }

    /// Returns the arrivals in order of time. The random times depend only on the seed.
    fn arrivals(&self) -> Result<Vec<Arrival>> {
        use rand::rngs::SmallRng;
        use rand::{Rng, SeedableRng};
        let mut random = SmallRng::seed_from_u64(self.trace.seed);
        let mut arrivals = Vec::new();
        for load in &self.trace.load {
            match load {
                Load::Requests { service, rate, from_ms, until_ms, bytes } => {
                    let address = self.cluster.request_address(self.service(service)?);
                    let mut at = *from_ms as f64;
                    while at < *until_ms as f64 {
                        arrivals.push((at as u64, address, Kind::Request { bytes: *bytes }));
                        at += -(1.0 - random.random::<f64>()).ln() * 1000.0 / rate;
                    }
                }
                Load::Streams { service, count, at_ms, length_ms } => {
                    let address = self.cluster.stream_address(self.service(service)?);
                    let length = Duration::from_millis(*length_ms);
                    for _ in 0..*count {
                        arrivals.push((
                            *at_ms,
                            address,
                            Kind::Stream { interval: STREAM_INTERVAL, length, keep_alive: None },
                        ));
                    }
                }
            }
        }
        arrivals.sort_by_key(|(at, ..)| *at);
        Ok(arrivals)
    }

    fn service(&self, name: &str) -> Result<usize> {
        let index = self.trace.services.iter().position(|service| *service.name == *name);
        index.ok_or_else(|| eyre!("the trace has no service {name}"))
    }

    fn start_flow(&mut self, service: (std::net::Ipv4Addr, u16), kind: Kind) {
        let deadline = match kind {
            Kind::Request { .. } => {
                self.requests += 1;
                FLOW_TIMEOUT
            }
            Kind::Stream { length, .. } => length + FLOW_TIMEOUT,
        };
        self.callers.start(Spec { id: self.next_id, service, kind, deadline });
        self.next_id += 1;
    }

    fn run_action(&mut self, action: &Action) -> Result<()> {
        println!("  {:>6} ms  {:?} {}", self.now(), action.verb, action.on);
        let on = &action.on;
        match action.verb {
            Verb::Kill => self.cluster.process(on)?.kill()?,
            Verb::Terminate => self.cluster.process(on)?.terminate()?,
            Verb::Respawn => self.cluster.restart(on)?,
            Verb::Freeze => self.cluster.process(on)?.freeze()?,
            Verb::Thaw => self.cluster.process(on)?.thaw()?,
            Verb::DomainOut => {
                let revision = self.cluster.set_domain(on, true)?;
                self.domains_out.insert(on.clone(), Instant::now());
                self.ever_out.insert(on.clone());
                self.wait_in_force(revision);
            }
            Verb::DomainIn => {
                self.record_last_packet(on)?;
                let revision = self.cluster.set_domain(on, false)?;
                self.wait_in_force(revision);
            }
            Verb::Drain => self.set_state(on, State::Draining)?,
            Verb::Resume => self.set_state(on, State::Active)?,
            Verb::Cool => self.cluster.upstream(on)?.make_cold(),
            Verb::Race => self.race(on)?,
            Verb::Copies => {
                self.cluster.fabric().set_faults(Faults { loss: 0.0, duplicates: 0.3 });
            }
        }
        Ok(())
    }

    fn set_state(&mut self, name: &str, state: State) -> Result<()> {
        let client = self.cluster.client();
        let mut resource = client.get(ResourceKind::Upstream, name)?;
        if let Some(Body::Upstream(upstream)) = &mut resource.body {
            upstream.state = state as i32;
        }
        let key = Client::idempotency_key();
        let written = client.put(ResourceKind::Upstream, &resource, Precondition::None, &key)?;
        self.wait_in_force(written.revision);
        Ok(())
    }

    fn wait_in_force(&mut self, revision: u64) {
        let client = self.cluster.client().clone();
        self.waits.push(std::thread::spawn(move || {
            let start = Instant::now();
            let result = client.wait(revision, FLOW_TIMEOUT);
            (revision, result.map(|_| start.elapsed()))
        }));
    }

    /// Records when a failure domain that was out until now received its last packet.
    fn record_last_packet(&mut self, domain: &str) -> Result<()> {
        let Some(since) = self.domains_out.remove(domain) else {
            return Ok(());
        };
        let mut last = Duration::ZERO;
        for (name, stats) in self.cluster.upstream_stats() {
            if self.cluster.domain(&name)? == domain
                && let Some(packet) = stats.last_packet
            {
                last = last.max(packet.saturating_duration_since(since));
            }
        }
        self.last_packets.push((domain.into(), last));
        Ok(())
    }

    /// Lets operators write concurrently, and repeats the winner's request as if its answer had
    /// been lost.
    fn race(&mut self, service: &str) -> Result<()> {
        let client = self.cluster.client().clone();
        let current = client.get(ResourceKind::Service, service)?;
        let precondition = Precondition::Generation(current.generation);
        let request = |operator: u32| {
            let mut resource = current.clone();
            if let Some(Body::Service(service)) = &mut resource.body {
                service.connections += operator;
            }
            let key = format!("race-{service}-{}-{operator}", current.generation);
            client.put(ResourceKind::Service, &resource, precondition, &key)
        };
        let results: Vec<_> = std::thread::scope(|scope| {
            let request = &request;
            let operators: Vec<_> = (1..=OPERATORS)
                .map(|number| scope.spawn(move || (number, request(number))))
                .collect();
            operators.into_iter().filter_map(|operator| operator.join().ok()).collect()
        });
        let winners: Vec<_> = results.iter().filter(|(_, result)| result.is_ok()).collect();
        if winners.len() != 1 {
            self.failures.push(format!("expected 1 winner of a race, found {}", winners.len()));
        }
        for (number, result) in &winners {
            let repeat = request(*number);
            if !matches!((result, &repeat), (Ok(first), Ok(again)) if first == again) {
                self.failures
                    .push(format!("a repeated request got {repeat:?}, the first got {result:?}"));
            }
        }
        let revision = client.status()?.revision;
        self.wait_in_force(revision);
        Ok(())
    }

    fn check(&mut self) -> Result<()> {
        let domains_out: Vec<Box<str>> = self.domains_out.keys().cloned().collect();
        for domain in domains_out {
            self.record_last_packet(&domain)?;
        }
        self.check_flows()?;
        self.check_upstreams();
        for (domain, last) in std::mem::take(&mut self.last_packets) {
            println!("  last packet into {domain}: {} ms after it was out", last.as_millis());
            if last.as_millis() as u64 > self.trace.expect.silent_ms {
                self.failures.push(format!(
                    "failure domain {domain} received packets until {last:?} after it was taken out"
                ));
            }
        }
        let mut slowest = Duration::ZERO;
        for wait in std::mem::take(&mut self.waits) {
            match wait.join() {
                Ok((_, Ok(time))) => slowest = slowest.max(time),
                Ok((revision, Err(error))) => {
                    self.failures.push(format!("waiting for revision {revision} failed: {error}"));
                }
                Err(_) => self.failures.push("a thread that waits for a revision panicked".into()),
            }
        }
        println!("  slowest change in force: {} ms", slowest.as_millis());
        if slowest.as_millis() as u64 > self.trace.expect.in_force_ms {
            self.failures.push(format!("slowest change was in force after {slowest:?}"));
        }
        Ok(())
    }

    fn check_flows(&mut self) -> Result<()> {
        let outcomes = self.callers.outcomes();
        let all_stats = self.cluster.upstream_stats();
        let mut runs: BTreeMap<u64, Vec<&str>> = BTreeMap::new();
        for (name, stats) in &all_stats {
            for (id, count) in &stats.runs {
                runs.entry(*id).or_default().extend(std::iter::repeat_n(&**name, *count as usize));
            }
        }
        let run_twice = runs.values().filter(|runs| runs.len() > 1).count();
        let (mut broken, mut given_up, mut refused_but_run, mut wrong) = (0, 0, 0, 0);
        for (id, outcome) in &outcomes {
            let owner = runs.get(id).and_then(|runs| runs.first()).copied();
            match outcome {
                Outcome::Broken | Outcome::Unanswered => {
                    let domain = owner.map(|owner| self.cluster.domain(owner)).transpose()?;
                    if domain.is_some_and(|domain| self.ever_out.contains(domain)) {
                        given_up += 1;
                    } else {
                        broken += 1;
                    }
                }
                Outcome::Refused => refused_but_run += usize::from(owner.is_some()),
                Outcome::Wrong => wrong += 1,
                Outcome::Whole { .. } | Outcome::Unconnected => {}
            }
        }
        let tally = Tally::new(outcomes.values());
        println!("  {tally:?}");
        println!(
            "  broken {broken}, given up with their domain {given_up}, run twice {run_twice}, refused and run {refused_but_run}"
        );
        for (description, count) in [
            ("broken flows", broken),
            ("requests run twice", run_twice),
            ("refused requests that ran", refused_but_run),
            ("wrong answers", wrong),
            ("unconnected callers", tally.unconnected),
        ] {
            if count > 0 {
                self.failures.push(format!("{count} {description}"));
            }
        }
        let share = tally.refused as f64 / self.requests.max(1) as f64;
        println!("  refused {:.2}% of {} requests", share * 100.0, self.requests);
        if share > self.trace.expect.refused_share {
            self.failures.push(format!("{:.2}% of requests refused", share * 100.0));
        }
        Ok(())
    }

    fn check_upstreams(&mut self) {
        let all_stats = self.cluster.upstream_stats();
        let foreign: u64 = all_stats.values().map(|stats| stats.foreign_packets).sum();
        let crashes: u32 = all_stats.values().map(|stats| stats.crashes).sum();
        println!("  foreign packets {foreign}, falls {crashes}");
        if foreign > 0 {
            self.failures.push(format!("{foreign} foreign packets"));
        }
        if crashes > self.trace.expect.falls {
            self.failures.push(format!(
                "{crashes} upstream crashes, expected at most {}",
                self.trace.expect.falls
            ));
        }
        for service in &self.trace.services {
            let service_stats = all_stats.iter().filter(|(name, _)| {
                name.rsplit_once('-').is_some_and(|(prefix, _)| *prefix == *service.name)
            });
            let mut busy = Vec::new();
            for (name, stats) in service_stats {
                let before = self.busy_before.get(name).copied().unwrap_or_default();
                busy.push(stats.busy_time.saturating_sub(before).as_secs_f64());
                if stats.max_running > service.slots {
                    self.failures.push(format!(
                        "{name} ran {} requests at a time, expected at most {}",
                        stats.max_running, service.slots
                    ));
                }
            }
            let formatted: Vec<String> = busy.iter().map(|busy| format!("{busy:.1}")).collect();
            println!("  busy slot seconds of {}: {}", service.name, formatted.join(" "));
            let imbalance = quickstart::imbalance(&busy);
            println!("  imbalance of {}: {imbalance:.3}", service.name);
            if self.trace.expect.imbalance.is_some_and(|limit| imbalance > limit) {
                self.failures.push(format!("imbalance of {} is {imbalance:.3}", service.name));
            }
        }
    }
}

fn layout(service: &Service) -> ServiceLayout {
    let upstreams = service.speeds.iter().map(|speed| Behavior {
        service_time: Duration::from_secs_f64(service.request_ms / speed / 1000.0),
        overload_tolerance: Duration::from_millis(service.patience_ms),
        has_constant_time: service.constant,
        slots: service.slots,
        cold_slots: service.cold_slots,
        warming_requests: service.warming_requests,
        ..Behavior::default()
    });
    ServiceLayout {
        slots: service.slots,
        cold_slots: service.cold_slots,
        upstreams: upstreams.collect(),
        ..ServiceLayout::new(&service.name, 0)
    }
}

#[cfg(test)]
#[path = "replay_tests.rs"]
mod tests;
