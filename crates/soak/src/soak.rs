//! The run of a soak: episodes of faults, and the checks during and after them.

use std::collections::{BTreeMap, BTreeSet};
use std::io::Write;
use std::path::Path;
use std::time::{Duration, Instant};

use hyssopctl::{Client, Error as ClientError, Precondition};
use hyssopdyke_wire::resource::{Kind as ResourceKind, State, Upstream, resource::Body};
use rand::SeedableRng;
use rand::rngs::SmallRng;
use standin::{
    Callers, Cluster, Error as ClusterError, Faults, Impairment, Kind as Flow, Layout, Outcome,
    Relay, ServiceLayout, Spec, unserved_service, wait_until,
};

use crate::operator::Operator;
use crate::{Fault, Kind, Report, Violation};

/// Number of streams that are opened in each episode.
const STREAMS: u64 = 24;

/// Length of a stream, which covers the longest episode. Also the time limit of a graceful stop.
const STREAM_LENGTH: Duration = Duration::from_secs(8);

/// Time between two lines of a stream.
const STREAM_INTERVAL: Duration = Duration::from_millis(50);

/// Pause between two requests.
const REQUEST_PAUSE: Duration = Duration::from_millis(25);

/// Size of a request's answer in bytes.
const REQUEST_BYTES: u64 = 10_000;

/// Time limit for the recovery after faults are undone: elections, leases, and the rejoin of a
/// control VM with an empty disk.
const RECOVERY_TIMEOUT: Duration = Duration::from_secs(40);

/// Time after which a failure domain that is out must receive no packets.
const SILENCE_DEADLINE: Duration = Duration::from_secs(3);

/// Time limit of an attempt of an operator or a caller, longer than an election.
const RETRY_TIMEOUT: Duration = Duration::from_secs(3);

/// Pause between two checks of the clock.
const POLL_INTERVAL: Duration = Duration::from_millis(2);

/// Bytes of a record that a torn write leaves: the header and a part of the body.
const TORN_BYTES: usize = 14;

/// Delay of each chunk on a delayed connection.
const RELAY_DELAY: Duration = Duration::from_millis(40);

/// Faults of the fabric during [`Kind::Loss`].
const LOSSY_FABRIC: Faults = Faults { loss: 0.03, duplicates: 0.2 };

/// Name of the service that the operator writes.
const WRITTEN_SERVICE: &str = "written";

/// Size and duration of a soak.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Plan {
    /// Seed of the faults.
    pub seed: u64,
    /// Time after which no new episode starts.
    pub duration: Duration,
    /// Number of upstreams, each with an agent.
    pub upstreams: u8,
    /// Number of entries.
    pub entries: u8,
}

/// Error that prevents a soak from running.
#[derive(Debug)]
#[derive(thiserror::Error)]
pub enum Error {
    /// An error of the system or one of its processes.
    #[error("{0}")]
    Cluster(#[from] ClusterError),
    /// An error of the operators' API.
    #[error("{0}")]
    Client(#[from] ClientError),
    /// An I/O error of a process or file.
    #[error("{0}")]
    Io(#[from] std::io::Error),
}

impl Plan {
    pub(crate) fn domains() -> [Box<str>; 3] {
        ["domain-a", "domain-b", "domain-c"].map(Into::into)
    }

    pub(crate) fn control_names() -> Vec<Box<str>> {
        (1..=3).map(|index| format!("control-{index}").into()).collect()
    }

    pub(crate) fn upstream_names(&self) -> Vec<Box<str>> {
        (1..=self.upstreams).map(|index| format!("feed-{index}").into()).collect()
    }

    pub(crate) fn entry_names(&self) -> Vec<Box<str>> {
        (1..=self.entries).map(|index| format!("entry-{index}").into()).collect()
    }

    fn layout(&self) -> Layout {
        Layout {
            control: 3,
            has_relays: true,
            entries: self.entries,
            domains: Self::domains().into(),
            services: vec![ServiceLayout::new("feed", self.upstreams.into())],
            seed: self.seed,
            ..Layout::default()
        }
    }
}

/// A running system with its callers and its operator.
pub struct Soak {
    plan: Plan,
    rng: SmallRng,
    cluster: Cluster,
    callers: Callers,
    operator: Operator,
    next_id: u64,
    /// Episode in which each stream was opened, by flow id.
    streams: BTreeMap<u64, u32>,
    report: Report,
}

impl Soak {
    /// Starts the system with its files in `folder`.
    ///
    /// # Errors
    ///
    /// Returns an [`Error`] if the system does not start.
    pub fn start(binary: &Path, folder: &Path, plan: Plan) -> Result<Self, Error> {
        let cluster = Cluster::start(binary, folder, plan.layout())?;
        let callers = cluster.callers(1)?;
        let written = unserved_service(WRITTEN_SERVICE, Operator::INITIAL_CONNECTIONS);
        let client = cluster.client().clone().with_retry_timeout(RETRY_TIMEOUT);
        client.put(
            ResourceKind::Service,
            &written,
            Precondition::Absent,
            &Client::idempotency_key(),
        )?;
        let processes = 3 + usize::from(plan.entries) + usize::from(plan.upstreams);
        Ok(Self {
            rng: SmallRng::seed_from_u64(plan.seed),
            report: Report { seed: plan.seed, processes, ..Report::default() },
            plan,
            cluster,
            callers,
            operator: Operator::spawn(client, written),
            next_id: 1,
            streams: BTreeMap::new(),
        })
    }

    /// Runs episodes until the planned duration has passed or an invariant is violated.
    ///
    /// # Errors
    ///
    /// Returns an [`Error`] if a fault cannot be injected or undone.
    pub fn run(mut self) -> Result<Report, Error> {
        let start = Instant::now();
        while start.elapsed() < self.plan.duration && self.report.violations.is_empty() {
            self.report.episodes += 1;
            let faults = Fault::draw(&self.plan, &mut self.rng);
            for fault in &faults {
                *self.report.faults.entry(fault.kind).or_default() += 1;
            }
            let found = self.run_episode(&faults)?;
            let episode = self.report.episodes;
            let violation =
                |description| Violation { episode, description, faults: faults.clone() };
            self.report.violations.extend(found.into_iter().map(violation));
        }
        self.report.elapsed = start.elapsed();
        self.report.writes = self.operator.written().count;
        self.report.flows = self.callers.tally();
        Ok(self.report)
    }

    /// Runs one episode and returns the violations.
    fn run_episode(&mut self, faults: &[Fault]) -> Result<Vec<Box<str>>, Error> {
        let mut violations = Vec::new();
        self.open_streams();
        if !self.wait_streams_established() {
            violations.push("streams were not established before the faults of the episode".into());
            return Ok(violations);
        }
        let before = self.voter_identities();
        let mut steps: Vec<(Duration, usize, bool)> = faults
            .iter()
            .enumerate()
            .flat_map(|(index, fault)| {
                [(fault.start, index, true), (fault.start + fault.duration, index, false)]
            })
            .collect();
        steps.sort_unstable();
        let start = Instant::now();
        let mut domains_out: BTreeMap<usize, (Instant, Option<u64>)> = BTreeMap::new();
        for (at, index, begins) in steps {
            self.send_requests_until(start + at, &mut domains_out, faults);
            let fault = &faults[index];
            if begins {
                if self.inject(fault)? {
                    domains_out.insert(index, (Instant::now(), None));
                }
                continue;
            }
            if let Some((_, Some(count))) = domains_out.remove(&index)
                && self.packets_in(&fault.target) != count
            {
                violations.push(
                    format!("failure domain {} is out and still receives packets", fault.target)
                        .into(),
                );
            }
            self.undo(fault)?;
        }
        violations.extend(self.wait_recovered(faults, &before));
        violations.extend(self.check_streams(faults));
        violations.extend(self.check_flows());
        Ok(violations)
    }

    fn open_streams(&mut self) {
        for _ in 0..STREAMS {
            let kind =
                Flow::Stream { interval: STREAM_INTERVAL, length: STREAM_LENGTH, keep_alive: None };
            let service = self.cluster.stream_address(0);
            let id = self.start_flow(service, kind, STREAM_LENGTH + RECOVERY_TIMEOUT);
            self.streams.insert(id, self.report.episodes);
        }
    }

    fn start_flow(
        &mut self,
        service: (std::net::Ipv4Addr, u16),
        kind: Flow,
        deadline: Duration,
    ) -> u64 {
        let id = self.next_id;
        self.next_id += 1;
        self.callers.start(Spec { id, service, kind, deadline });
        id
    }

    fn send_request(&mut self) -> u64 {
        let kind = Flow::Request { bytes: REQUEST_BYTES };
        self.start_flow(self.cluster.request_address(0), kind, RECOVERY_TIMEOUT)
    }

    fn episode_streams(&self) -> Vec<u64> {
        let stream_ids =
            self.streams.iter().filter(|(_, episode)| **episode == self.report.episodes);
        stream_ids.map(|(id, _)| *id).collect()
    }

    fn wait_streams_established(&self) -> bool {
        let stream_ids = self.episode_streams();
        wait_until(RECOVERY_TIMEOUT, || {
            let established = self.callers.established();
            stream_ids.iter().all(|id| established.contains_key(id))
        })
    }

    /// Sends requests until an instant, and records the packet counts of failure domains that must
    /// no longer receive packets.
    fn send_requests_until(
        &mut self,
        until: Instant,
        domains_out: &mut BTreeMap<usize, (Instant, Option<u64>)>,
        faults: &[Fault],
    ) {
        let mut last_sent = Instant::now();
        while Instant::now() < until {
            if last_sent.elapsed() >= REQUEST_PAUSE {
                last_sent = Instant::now();
                self.send_request();
            }
            for (index, (since, count)) in &mut *domains_out {
                if count.is_none() && since.elapsed() >= SILENCE_DEADLINE {
                    *count = Some(packets_in(&self.cluster, &faults[*index].target));
                }
            }
            std::thread::sleep(POLL_INTERVAL);
        }
    }

    fn packets_in(&self, domain: &str) -> u64 {
        packets_in(&self.cluster, domain)
    }

    /// Injects a fault. Returns true if it took a failure domain out of service.
    fn inject(&mut self, fault: &Fault) -> Result<bool, Error> {
        let target = &*fault.target;
        let cut = |blocks_to_server, blocks_to_client| Impairment {
            blocks_to_server,
            blocks_to_client,
            ..Impairment::default()
        };
        match fault.kind {
            Kind::Kill | Kind::Tear | Kind::Wipe => self.cluster.process(target)?.kill()?,
            Kind::Terminate => self.cluster.process(target)?.terminate()?,
            Kind::Freeze => self.cluster.process(target)?.freeze()?,
            Kind::Cut => self.each_relay(target, |relay| relay.impair(cut(true, true)))?,
            Kind::CutInward => self.each_relay(target, |relay| relay.impair(cut(true, false)))?,
            Kind::CutOutward => self.each_relay(target, |relay| relay.impair(cut(false, true)))?,
            Kind::Delay => {
                let impairment = Impairment { delay: RELAY_DELAY, ..Impairment::default() };
                self.each_relay(target, |relay| relay.impair(impairment))?;
            }
            Kind::Reset => self.each_relay(target, Relay::reset_connections)?,
            Kind::Strand => self.each_relay(target, Relay::blackhole)?,
            Kind::Loss => self.cluster.fabric().set_faults(LOSSY_FABRIC),
            // Without an answer from control, the domain counts as in service.
            Kind::DomainOut => return Ok(self.set_domain(target, true)),
            Kind::Drain => drop(self.set_draining(target, State::Draining)),
            Kind::Cool => self.cluster.upstream(target)?.make_cold(),
        }
        Ok(false)
    }

    fn undo(&mut self, fault: &Fault) -> Result<(), Error> {
        let target = &*fault.target;
        match fault.kind {
            Kind::Kill => self.cluster.restart(target)?,
            Kind::Terminate => {
                // The restart kills a process that takes longer to stop, as the platform does.
                self.cluster.process(target)?.wait(STREAM_LENGTH)?;
                self.cluster.restart(target)?;
            }
            Kind::Tear => {
                let path = self.cluster.data_folder(target).join("log");
                let log = std::fs::read(&path)?;
                let torn = log.get(..TORN_BYTES).unwrap_or_default();
                std::fs::File::options().append(true).open(path)?.write_all(torn)?;
                self.cluster.restart(target)?;
            }
            Kind::Wipe => {
                self.cluster.wipe_control(target)?;
                self.cluster.restart(target)?;
            }
            Kind::Freeze => self.cluster.process(target)?.thaw()?,
            Kind::Cut | Kind::CutInward | Kind::CutOutward | Kind::Delay => {
                self.each_relay(target, |relay| relay.impair(Impairment::default()))?;
            }
            Kind::Loss => self.cluster.fabric().set_faults(Faults::default()),
            Kind::Reset | Kind::Strand | Kind::Cool | Kind::DomainOut | Kind::Drain => {}
        }
        Ok(())
    }

    fn each_relay(&self, control: &str, action: impl Fn(&Relay)) -> Result<(), Error> {
        let names = Plan::control_names();
        let index = names.iter().position(|name| **name == *control).unwrap_or_default();
        self.cluster.relays(index as u8)?.iter().for_each(action);
        Ok(())
    }

    fn set_domain(&self, domain: &str, out: bool) -> bool {
        let set = self.cluster.set_domain(domain, out);
        set.is_ok_and(|revision| self.client().wait(revision, RETRY_TIMEOUT).is_ok())
    }

    fn set_draining(&self, name: &str, state: State) -> Result<(), ClientError> {
        let client = self.client();
        let mut resource = client.get(ResourceKind::Upstream, name)?;
        if let Some(Body::Upstream(upstream)) = &mut resource.body {
            *upstream = Upstream { state: state as i32, ..upstream.clone() };
        }
        let key = Client::idempotency_key();
        client.put(ResourceKind::Upstream, &resource, Precondition::None, &key).map(drop)
    }

    fn client(&self) -> Client {
        self.cluster.client().clone().with_retry_timeout(RETRY_TIMEOUT)
    }

    /// Returns the identities of the voters' data folders by voter name.
    fn voter_identities(&self) -> BTreeMap<Box<str>, Box<str>> {
        let members = self.client().members();
        let voters = members.map(|members| members.voters).unwrap_or_default();
        voters.into_iter().map(|voter| (voter.name, voter.identity)).collect()
    }

    /// Waits until the system has recovered, and returns what has not.
    fn wait_recovered(
        &mut self,
        faults: &[Fault],
        before: &BTreeMap<Box<str>, Box<str>>,
    ) -> Vec<Box<str>> {
        let mut violations: Vec<Box<str>> = Vec::new();
        for fault in faults {
            let is_undone = wait_until(RECOVERY_TIMEOUT, || match fault.kind {
                Kind::DomainOut => self.set_domain(&fault.target, false),
                Kind::Drain => self.set_draining(&fault.target, State::Active).is_ok(),
                // No other disk may be lost before the wiped control VM is a voter again.
                Kind::Wipe => {
                    let now = self.voter_identities();
                    now.get(&fault.target).is_some_and(|id| before.get(&fault.target) != Some(id))
                }
                _ => true,
            });
            if !is_undone {
                violations.push(
                    format!("{:?} on {} was not undone in time", fault.kind, fault.target).into(),
                );
            }
        }
        if let Err(error) = self.cluster.wait_in_force(RECOVERY_TIMEOUT) {
            violations.push(format!("latest revision is not in force: {error}").into());
        }
        if !self.wait_serving() {
            violations.push("no complete answer after all faults were undone".into());
        }
        let written = self.operator.written();
        let stored = self.client().get(ResourceKind::Service, WRITTEN_SERVICE);
        match stored.as_ref().map(Operator::write_number) {
            Ok(number) if number < written.acknowledged => {
                violations.push(
                    format!("acknowledged write is lost: write {number} is stored, {written:?}")
                        .into(),
                );
            }
            Ok(_) => {}
            Err(error) => violations.push(format!("service cannot be read: {error}").into()),
        }
        violations
    }

    /// Waits until a request gets a complete answer. Returns false after the recovery timeout.
    fn wait_serving(&mut self) -> bool {
        let start = Instant::now();
        while start.elapsed() < RECOVERY_TIMEOUT {
            let id = self.send_request();
            let has_ended = || self.callers.outcomes().contains_key(&id);
            if !wait_until(RETRY_TIMEOUT, has_ended) {
                continue;
            }
            if matches!(self.callers.outcomes().get(&id), Some(Outcome::Whole { .. })) {
                return true;
            }
        }
        false
    }

    /// Waits for the streams of this episode, and returns a violation if any ended early although
    /// the faults do not permit it.
    fn check_streams(&mut self, faults: &[Fault]) -> Vec<Box<str>> {
        let stream_ids = self.episode_streams();
        let all_ended = wait_until(RECOVERY_TIMEOUT * 2, || {
            let outcomes = self.callers.outcomes();
            stream_ids.iter().all(|id| outcomes.contains_key(id))
        });
        if !all_ended {
            return vec!["some streams have no outcome".into()];
        }
        let outcomes = self.callers.outcomes();
        let is_whole = |id: &&u64| matches!(outcomes.get(id), Some(Outcome::Whole { .. }));
        let ended_early: Vec<u64> = stream_ids.iter().filter(|id| !is_whole(id)).copied().collect();
        if ended_early.is_empty() {
            return Vec::new();
        }
        if may_break_streams(faults) {
            self.report.allowed_stream_losses += ended_early.len();
            return Vec::new();
        }
        let ended: Vec<_> = ended_early.iter().map(|id| (*id, outcomes.get(id))).collect();
        vec![format!("{} of {STREAMS} streams ended early: {ended:?}", ended_early.len()).into()]
    }

    /// Checks the invariants of all flows of the run so far.
    fn check_flows(&self) -> Vec<Box<str>> {
        let mut violations: Vec<Box<str>> = Vec::new();
        let mut runs: BTreeMap<u64, u32> = BTreeMap::new();
        for (name, stats) in self.cluster.upstream_stats() {
            if stats.foreign_packets > 0 {
                violations
                    .push(format!("{} foreign packets at {name}", stats.foreign_packets).into());
            }
            for (id, count) in stats.runs {
                *runs.entry(id).or_default() += count;
            }
        }
        let repeated: BTreeSet<_> = runs.iter().filter(|(_, count)| **count > 1).collect();
        if !repeated.is_empty() {
            violations.push(
                format!("requests that ran more than once, with their counts: {repeated:?}").into(),
            );
        }
        for (id, outcome) in self.callers.outcomes() {
            if outcome == Outcome::Wrong {
                violations.push(format!("flow {id} got a wrong answer").into());
            }
            if outcome == Outcome::Refused && runs.contains_key(&id) {
                violations.push(format!("request {id} was refused and ran").into());
            }
        }
        violations
    }
}

/// Returns whether the faults of an episode may break streams: a failure domain is out, or the
/// owner of a flow and the agent that keeps its record are unavailable at the same time.
fn may_break_streams(faults: &[Fault]) -> bool {
    let agents =
        faults.iter().filter(|fault| fault.stops_process() && fault.target.starts_with("feed"));
    faults.iter().any(|fault| fault.kind == Kind::DomainOut) || agents.count() > 1
}

/// Returns the number of packets that the upstreams of a failure domain have received.
fn packets_in(cluster: &Cluster, domain: &str) -> u64 {
    let all_stats = cluster.upstream_stats();
    let is_inside = |name: &str| cluster.domain(name).is_ok_and(|found| found == domain);
    all_stats.iter().filter(|(name, _)| is_inside(name)).map(|(_, stats)| stats.packets).sum()
}
