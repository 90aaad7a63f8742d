//! The run: episodes of faults, and what is checked while and after they come.

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

/// Streams that are open while faults come.
const STREAMS: u64 = 24;

/// Length of a stream: the longest episode.
const STREAM_LENGTH: Duration = Duration::from_secs(8);

/// Time between two lines of a stream.
const STREAM_INTERVAL: Duration = Duration::from_millis(50);

/// Pause between two requests.
const REQUEST_PAUSE: Duration = Duration::from_millis(25);

/// Bytes of a request's answer.
const REQUEST_BYTES: u64 = 10_000;

/// Time for all that must happen after faults are healed: elections, leases, a disk's return.
const RECOVERY_TIMEOUT: Duration = Duration::from_secs(40);

/// Time within which a failure domain that is out falls silent.
const SILENCE_DEADLINE: Duration = Duration::from_secs(3);

/// Time that an operator or a caller waits before it tries again: longer than an election.
const RETRY_TIMEOUT: Duration = Duration::from_secs(3);

/// Pause of the soak's clock.
const POLL_INTERVAL: Duration = Duration::from_millis(2);

/// Bytes of a record of which a torn write has left no more: its head and a part of its body.
const TORN_BYTES: usize = 14;

/// Lateness of a connection that is delayed.
const RELAY_DELAY: Duration = Duration::from_millis(40);

/// What the fabric does while it loses packets.
const LOSSY_FABRIC: Faults = Faults { loss: 0.03, duplicates: 0.2 };

/// Service that the operator writes all the time.
const WRITTEN_SERVICE: &str = "written";

/// Size and length of a soak.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Plan {
    /// Seed of the faults.
    pub seed: u64,
    /// Time after which no new episode begins.
    pub duration: Duration,
    /// Upstreams, each with an agent.
    pub upstreams: u8,
    /// Entries.
    pub entries: u8,
}

/// Why a soak cannot be run.
#[derive(Debug)]
#[derive(thiserror::Error)]
pub enum Error {
    /// The system or one of its processes.
    #[error("{0}")]
    Cluster(#[from] ClusterError),
    /// The operators' API.
    #[error("{0}")]
    Client(#[from] ClientError),
    /// A process or file.
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

/// A system under faults.
pub struct Soak {
    plan: Plan,
    rng: SmallRng,
    cluster: Cluster,
    callers: Callers,
    operator: Operator,
    next_id: u64,
    /// Streams by the episode that has opened them.
    streams: BTreeMap<u64, u32>,
    report: Report,
}

impl Soak {
    /// Starts the system, with its files in `folder`.
    ///
    /// # Errors
    ///
    /// An [`Error`] if it does not serve.
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

    /// Plays episodes until the time is over, or a promise is broken.
    ///
    /// # Errors
    ///
    /// An [`Error`] if the system cannot be handled.
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

    /// Plays one episode; returns what was broken.
    fn run_episode(&mut self, faults: &[Fault]) -> Result<Vec<Box<str>>, Error> {
        let mut violations = Vec::new();
        self.open_streams();
        if !self.wait_streams_established() {
            violations.push("streams were not established in a system without faults".into());
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
                violations.push(format!("{} is out and gets packets", fault.target).into());
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
        let own = self.streams.iter().filter(|(_, episode)| **episode == self.report.episodes);
        own.map(|(id, _)| *id).collect()
    }

    fn wait_streams_established(&self) -> bool {
        let own = self.episode_streams();
        wait_until(RECOVERY_TIMEOUT, || {
            let established = self.callers.established();
            own.iter().all(|id| established.contains_key(id))
        })
    }

    /// Asks for answers until an instant, and counts packets of domains that must be silent.
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

    /// Begins a fault; true if a failure domain is out since now.
    fn inject(&mut self, fault: &Fault) -> Result<bool, Error> {
        let on = &*fault.target;
        let cut = |blocks_to_server, blocks_to_client| Impairment {
            blocks_to_server,
            blocks_to_client,
            ..Impairment::default()
        };
        match fault.kind {
            Kind::Kill | Kind::Tear | Kind::Wipe => self.cluster.process(on)?.kill()?,
            Kind::Terminate => self.cluster.process(on)?.terminate()?,
            Kind::Freeze => self.cluster.process(on)?.freeze()?,
            Kind::Cut => self.each_relay(on, |relay| relay.impair(cut(true, true)))?,
            Kind::CutInward => self.each_relay(on, |relay| relay.impair(cut(true, false)))?,
            Kind::CutOutward => self.each_relay(on, |relay| relay.impair(cut(false, true)))?,
            Kind::Delay => {
                let impairment = Impairment { delay: RELAY_DELAY, ..Impairment::default() };
                self.each_relay(on, |relay| relay.impair(impairment))?;
            }
            Kind::Reset => self.each_relay(on, Relay::reset_connections)?,
            Kind::Strand => self.each_relay(on, Relay::blackhole)?,
            Kind::Loss => self.cluster.fabric().set_faults(LOSSY_FABRIC),
            // Where control does not answer the domain stays in.
            Kind::DomainOut => return Ok(self.set_domain(on, true)),
            Kind::Drain => drop(self.set_draining(on, State::Draining)),
            Kind::Cool => self.cluster.upstream(on)?.make_cold(),
        }
        Ok(false)
    }

    fn undo(&mut self, fault: &Fault) -> Result<(), Error> {
        let on = &*fault.target;
        match fault.kind {
            Kind::Kill => self.cluster.restart(on)?,
            Kind::Terminate => {
                // A stop that takes longer is cut short, as the platform does.
                self.cluster.process(on)?.wait(STREAM_LENGTH)?;
                self.cluster.restart(on)?;
            }
            Kind::Tear => {
                let path = self.cluster.data_folder(on).join("log");
                let log = std::fs::read(&path)?;
                let torn = log.get(..TORN_BYTES).unwrap_or_default();
                std::fs::File::options().append(true).open(path)?.write_all(torn)?;
                self.cluster.restart(on)?;
            }
            Kind::Wipe => {
                self.cluster.wipe_control(on)?;
                self.cluster.restart(on)?;
            }
            Kind::Freeze => self.cluster.process(on)?.thaw()?,
            Kind::Cut | Kind::CutInward | Kind::CutOutward | Kind::Delay => {
                self.each_relay(on, |relay| relay.impair(Impairment::default()))?;
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

    /// Identities of the voters' data folders, by name.
    fn voter_identities(&self) -> BTreeMap<Box<str>, Box<str>> {
        let members = self.client().members();
        let voters = members.map(|members| members.voters).unwrap_or_default();
        voters.into_iter().map(|voter| (voter.name, voter.identity)).collect()
    }

    /// Waits until the system is whole again; returns what did not come back.
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
                // Before it has its vote back, another disk must not be lost.
                Kind::Wipe => {
                    let now = self.voter_identities();
                    now.get(&fault.target).is_some_and(|id| before.get(&fault.target) != Some(id))
                }
                _ => true,
            });
            if !is_undone {
                violations.push(
                    format!("{:?} on {} could not be undone", fault.kind, fault.target).into(),
                );
            }
        }
        if let Err(error) = self.cluster.wait_in_force(RECOVERY_TIMEOUT) {
            violations.push(format!("not in force: {error}").into());
        }
        if !self.wait_serving() {
            violations.push("no whole answer after all faults were healed".into());
        }
        let written = self.operator.written();
        let stored = self.client().get(ResourceKind::Service, WRITTEN_SERVICE);
        match stored.as_ref().map(Operator::write_number) {
            Ok(number) if number < written.acknowledged => {
                violations.push(format!("write {number} is held, {written:?}").into());
            }
            Ok(_) => {}
            Err(error) => violations.push(format!("the state cannot be read: {error}").into()),
        }
        violations
    }

    /// Whether a request is answered whole.
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

    /// Waits for this episode's streams, and returns those that ended early without a reason.
    fn check_streams(&mut self, faults: &[Fault]) -> Vec<Box<str>> {
        let own = self.episode_streams();
        let all_ended = wait_until(RECOVERY_TIMEOUT * 2, || {
            let outcomes = self.callers.outcomes();
            own.iter().all(|id| outcomes.contains_key(id))
        });
        if !all_ended {
            return vec!["streams without an outcome".into()];
        }
        let outcomes = self.callers.outcomes();
        let is_whole = |id: &&u64| matches!(outcomes.get(id), Some(Outcome::Whole { .. }));
        let ended_early: Vec<u64> = own.iter().filter(|id| !is_whole(id)).copied().collect();
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

    /// What must hold for all flows of the run so far.
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
            violations.push(format!("requests that ran more than once: {repeated:?}").into());
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

/// Whether the faults of an episode may cost streams: a failure domain is out, or a flow's owner
/// and whoever keeps its record are gone at the same time.
fn may_break_streams(faults: &[Fault]) -> bool {
    let agents =
        faults.iter().filter(|fault| fault.stops_process() && fault.target.starts_with("feed"));
    faults.iter().any(|fault| fault.kind == Kind::DomainOut) || agents.count() > 1
}

/// Packets that the upstreams of a failure domain have taken.
fn packets_in(cluster: &Cluster, domain: &str) -> u64 {
    let all_stats = cluster.upstream_stats();
    let is_inside = |name: &str| cluster.domain(name).is_ok_and(|found| found == domain);
    all_stats.iter().filter(|(name, _)| is_inside(name)).map(|(_, stats)| stats.packets).sum()
}
