//! A small deployment: three control, two entries, three agents with a target each, on loopback.

use std::fs::{self, File};
use std::net::{Ipv4Addr, SocketAddrV4, TcpListener};
use std::path::PathBuf;
use std::process::{Child, Command, Stdio};
use std::time::{Duration, Instant};

use crate::client::{Clients, Phase};
use crate::net::{self, Answer, Random, Record};
use crate::target::{Settings, Target};

pub const ZONES: [&str; 3] = ["dkr-plateau", "dkr-medina", "dkr-ouakam"];
pub const BEAT: Duration = Duration::from_millis(1200);
pub const SERVICE: &str = "cuedesk";

/// Why a case couldn't run.
pub type Failure = String;

struct Process {
    name: String,
    child: Child,
}

pub struct Cluster {
    subnet: [u8; 3],
    port: u16,
    folder: PathBuf,
    processes: Vec<Process>,
    pub targets: Vec<Target>,
    pub clients: Clients,
    record: Record,
}

impl Cluster {
    fn ip(subnet: [u8; 3], last: u8) -> Ipv4Addr {
        Ipv4Addr::new(subnet[0], subnet[1], subnet[2], last)
    }

    fn at(&self, last: u8, offset: u16) -> SocketAddrV4 {
        SocketAddrV4::new(Self::ip(self.subnet, last), self.port + offset)
    }

    pub fn control_api(&self, index: u8) -> SocketAddrV4 {
        self.at(11 + index, 4)
    }

    pub fn reports(&self, index: u8) -> SocketAddrV4 {
        self.at(31 + index, 4)
    }

    pub fn route(&self, port: u16) -> SocketAddrV4 {
        SocketAddrV4::new(Self::ip(self.subnet, 240), port)
    }

    /// Starts the processes of the deploy file and waits until entries are ready and flows open.
    pub fn start(manifest: &dyn Fn(Ipv4Addr) -> String, record: &Record) -> Result<Self, Failure> {
        Self::start_part(manifest, record, &[0, 1, 2])
    }

    /// Starts the deployment with some of its `side` machines only.
    pub fn start_part(
        manifest: &dyn Fn(Ipv4Addr) -> String,
        record: &Record,
        sides: &[u8],
    ) -> Result<Self, Failure> {
        let mut random = Random::new();
        let (subnet, port) = free_subnet(&mut random)?;
        let folder = std::env::temp_dir().join(format!("review-{}", std::process::id()));
        fs::create_dir_all(&folder).map_err(|error| error.to_string())?;
        let client = SocketAddrV4::new(Self::ip(subnet, 200), port);
        let entries = vec![
            SocketAddrV4::new(Self::ip(subnet, 21), port),
            SocketAddrV4::new(Self::ip(subnet, 22), port),
        ];
        let clients = Clients::start(client, entries, record).map_err(|error| error.to_string())?;
        let record = record.clone();
        let mut cluster = Self {
            subnet,
            port,
            folder,
            processes: Vec::new(),
            targets: Vec::new(),
            clients,
            record,
        };
        for index in 0..3 {
            cluster.start_control(index)?;
        }
        for index in 0..2 {
            cluster.start_entry(index)?;
        }
        for index in sides {
            cluster.start_agent(*index)?;
            cluster.start_target(*index, net::unix_ms())?;
        }
        let document = manifest(Self::ip(subnet, 240));
        cluster.order("PUT", "/hyssopdyke/config", &document, Duration::from_secs(15))?;
        cluster.wait_ready()?;
        Ok(cluster)
    }

    fn common(&self, name: &str, zone: &str, ip: Ipv4Addr) -> String {
        let port = self.port;
        format!(
            "[vm]\nname = {name}\ndomain = {zone}\naddress = {ip}\n\n[cluster]\n\
             passphrase = the platform hands out no secrets\ncontrol = {}\nsession_port = {}\n\n\
             [log]\nform = json\nmetrics = {ip}:{}\n\n",
            self.seeds(),
            port + 5,
            port + 7
        )
    }

    fn seeds(&self) -> String {
        let seeds: Vec<String> = (0..3).map(|index| self.control_api(index).to_string()).collect();
        seeds.join(",")
    }

    fn start_control(&mut self, index: u8) -> Result<(), Failure> {
        let name = format!("core-{}-1", ZONES[usize::from(index)]);
        let ip = Self::ip(self.subnet, 11 + index);
        let data = self.folder.join(format!("data-{index}"));
        fs::create_dir_all(&data).map_err(|error| error.to_string())?;
        let mut settings = self.common(&name, ZONES[usize::from(index)], ip);
        settings += &format!(
            "[control]\ndata = {}\napi = {}\nplatform = true\nsession_port = {}\n\
             replica_port = {}\nseeds = {}\ntolerance = 1\n",
            data.display(),
            self.control_api(index),
            self.port + 5,
            self.port + 6,
            self.seeds()
        );
        settings += "form = true\n";
        self.spawn("control", &name, &settings)
    }

    fn start_entry(&mut self, index: u8) -> Result<(), Failure> {
        let name = format!("edge-{}-1", ZONES[usize::from(index)]);
        let ip = Self::ip(self.subnet, 21 + index);
        let mut settings = self.common(&name, ZONES[usize::from(index)], ip);
        settings += &format!(
            "[entry]\npackets = platform\nfabric = {}\nreadiness = {}\ngrace = 6s\n\
             peer_port = {}\nlink_mbit = 1000.0\n",
            self.at(21 + index, 0),
            self.at(21 + index, 1),
            self.port + 5
        );
        self.spawn("entry", &name, &settings)
    }

    pub fn start_agent(&mut self, index: u8) -> Result<(), Failure> {
        let name = format!("side-{}-1", ZONES[usize::from(index)]);
        let ip = Self::ip(self.subnet, 31 + index);
        let mut settings = self.common(&name, ZONES[usize::from(index)], ip);
        settings += &format!(
            "[agent]\nservice = {SERVICE}\npackets = platform\nanswers = {}\nupstream = {}\n\
             fabric = {}\nreadiness = {}\nreports = {}\nheartbeat = {}ms\npeer_port = {}\n",
            self.at(31 + index, 3),
            self.at(31 + index, 2),
            self.at(31 + index, 0),
            self.at(31 + index, 1),
            self.reports(index),
            BEAT.as_millis(),
            self.port + 5
        );
        self.spawn("agent", &name, &settings)
    }

    /// Starts a target whose clock reads `born`.
    pub fn start_target(&mut self, index: u8, born: u64) -> Result<(), Failure> {
        let settings = Settings {
            name: format!("t{index}"),
            service: SERVICE.to_string(),
            zone: ZONES[usize::from(index)].to_string(),
            app: self.at(31 + index, 2),
            outbound: self.at(31 + index, 3),
            control: self.reports(index),
            beat: BEAT,
            slots: 200,
        };
        let id = format!("i-7f3a91c{index}");
        let target = Target::start(settings, &id, born, &self.record).map_err(|e| e.to_string())?;
        self.targets.push(target);
        Ok(())
    }

    fn spawn(&mut self, role: &str, name: &str, settings: &str) -> Result<(), Failure> {
        let file = self.folder.join(format!("{name}.ini"));
        fs::write(&file, settings).map_err(|error| error.to_string())?;
        let log = self.folder.join(format!("{name}.log"));
        let log = File::options().create(true).append(true).open(log).map_err(|e| e.to_string())?;
        let child = Command::new("target/release/hyssopdyked")
            .args([role, "--config"])
            .arg(&file)
            .stdin(Stdio::null())
            .stdout(log.try_clone().map_err(|error| error.to_string())?)
            .stderr(log)
            .spawn()
            .map_err(|error| format!("target/release/hyssopdyked: {error}"))?;
        self.record.line(&format!("process {name} starts: hyssopdyked {role} --config FILE"));
        self.processes.retain(|process| process.name != name);
        self.processes.push(Process { name: name.to_string(), child });
        Ok(())
    }

    /// Sends a signal to a process that this run has started.
    pub fn signal(&self, name: &str, signal: &str) -> Result<(), Failure> {
        let process = self.processes.iter().find(|process| process.name == name);
        let id = process.ok_or("no such process")?.child.id().to_string();
        Command::new("kill").args([signal, &id]).status().map_err(|error| error.to_string())?;
        self.record.line(&format!("process {name} gets a signal {signal}"));
        Ok(())
    }

    /// Waits for the end of a process.
    pub fn wait_end(&mut self, name: &str) -> Result<(), Failure> {
        let position = self.processes.iter().position(|process| process.name == name);
        let mut process = self.processes.swap_remove(position.ok_or("no such process")?);
        process.child.wait().map_err(|error| error.to_string())?;
        self.record.line(&format!("process {name} has ended"));
        Ok(())
    }

    /// Kills a process that this run has started.
    pub fn kill(&mut self, name: &str) -> Result<(), Failure> {
        self.signal(name, "-KILL")?;
        self.wait_end(name)
    }

    /// Returns the names of the processes that have ended by themselves, and how.
    pub fn ended(&mut self) -> Vec<String> {
        let mut ended = Vec::new();
        for process in &mut self.processes {
            if let Ok(Some(status)) = process.child.try_wait() {
                ended.push(format!("{} ({status})", process.name));
            }
        }
        ended
    }

    /// Sends an order of the operator until it gets a clear answer: any but a 5xx, 408 or 429.
    pub fn order(
        &self,
        method: &str,
        path: &str,
        body: &str,
        within: Duration,
    ) -> Result<Answer, Failure> {
        let start = Instant::now();
        let mut tries = 0;
        while start.elapsed() < within {
            let mut to = self.control_api(tries % 3);
            for _ in 0..3 {
                let Ok(answer) = net::call(to, method, path, body, Duration::from_secs(1)) else {
                    break;
                };
                if answer.status == 307
                    && let Some(next) = redirect(&answer)
                {
                    to = next;
                    continue;
                }
                if answer.status >= 500 || matches!(answer.status, 307 | 408 | 429) {
                    break;
                }
                self.record.line(&format!("operator {method} {path} -> {}", answer.status));
                return Ok(answer);
            }
            tries += 1;
            std::thread::sleep(Duration::from_millis(200));
        }
        Err(format!("{method} {path} got no clear answer"))
    }

    /// Waits until the routers would use both entries, and every target has been acknowledged.
    fn wait_ready(&self) -> Result<(), Failure> {
        let start = Instant::now();
        let second = Duration::from_secs(1);
        while start.elapsed() < Duration::from_secs(20) {
            let are_ready = (0..2).all(|index| {
                net::call(self.at(21 + index, 1), "GET", "/hyssopdyke/readyz", "", second)
                    .is_ok_and(|answer| answer.status == 200)
            });
            let are_acked = self.targets.iter().all(|target| target.state.lock().unwrap().acks > 0);
            if are_ready && are_acked {
                // Traffic starts some seconds after the machines do.
                std::thread::sleep(Duration::from_secs(3));
                self.record.line("entries are ready and targets are acknowledged");
                return Ok(());
            }
            std::thread::sleep(Duration::from_millis(200));
        }
        Err("the system did not get ready".to_string())
    }

    /// Opens long flows until `count` of them are open.
    pub fn open_long(
        &self,
        route: SocketAddrV4,
        count: usize,
        pause: Duration,
    ) -> Result<(), Failure> {
        let start = Instant::now();
        while self.clients.count(Phase::Open) < count {
            if start.elapsed() > Duration::from_secs(15) {
                return Err("flows did not open".to_string());
            }
            let missing = count
                .saturating_sub(self.clients.count(Phase::Open))
                .saturating_sub(self.clients.count(Phase::Opening));
            for _ in 0..missing.min(2) {
                self.clients.open(route, Some(pause));
            }
            std::thread::sleep(Duration::from_millis(20));
        }
        let held: Vec<usize> = self.targets.iter().map(Target::open_flows).collect();
        self.record.line(&format!("{count} long flows are open, at the targets: {held:?}"));
        Ok(())
    }

    pub fn summary(&self) {
        let clients = &self.clients;
        for phase in [Phase::Open, Phase::Done, Phase::Refused, Phase::Reset, Phase::Silent] {
            self.record.line(&format!("client flows {phase:?}: {}", clients.count(phase)));
        }
        self.record.line(&format!("answers that clients got: {}", clients.answers()));
        for target in &self.targets {
            let state = target.state.lock().unwrap();
            let (name, runs) = (&target.settings.name, state.runs);
            let (resets, forged) = (state.resets, state.forged);
            self.record.line(&format!(
                "target {name}: {runs} requests run, {} flows opened, {resets} resets sent, \
                 {forged} forged packets",
                state.openings.len()
            ));
        }
    }
}

impl Drop for Cluster {
    fn drop(&mut self) {
        self.clients.stop();
        for target in &self.targets {
            target.stop();
        }
        for process in &mut self.processes {
            let _ = process.child.kill();
            let _ = process.child.wait();
        }
        let _ = fs::remove_dir_all(&self.folder);
    }
}

fn redirect(answer: &Answer) -> Option<SocketAddrV4> {
    let location = answer.location.as_ref()?;
    let rest = location.strip_prefix("http://").unwrap_or(location);
    rest.split('/').next()?.parse().ok()
}

/// Picks a part of the loopback network and ports that nobody uses.
fn free_subnet(random: &mut Random) -> Result<([u8; 3], u16), Failure> {
    for _ in 0..50 {
        let subnet = [127, 10 + random.below(240) as u8, 1 + random.below(250) as u8];
        let port = 20_000 + random.below(1_000) as u16 * 10;
        let is_free = |last: u8| {
            (0..8)
                .all(|offset| TcpListener::bind((Cluster::ip(subnet, last), port + offset)).is_ok())
        };
        if [11, 12, 13, 21, 22, 31, 32, 33, 200].into_iter().all(is_free) {
            return Ok((subnet, port));
        }
    }
    Err("no free ports".to_string())
}

/// A manifest with one route to `SERVICE` at `host`:8443, and the service's warm-up.
pub fn manifest(version: u64, host: Ipv4Addr, warmup_s: f64, warmup_per_s: f64) -> String {
    format!(
        "{{\"version\":{version},\"routes\":[{{\"name\":\"r-a3hwrr6\",\"host\":\"{host}\",\
         \"path_prefix\":\"/8443/\",\"type\":\"idempotent\",\"timeout_ms\":500,\
         \"slo_latency_ms\":100,\"priority\":2,\"service\":\"{SERVICE}\",\"max_attempts\":2}}],\
         \"services\":[{{\"name\":\"{SERVICE}\",\"health_path\":\"/healthz\",\"max_conns\":2000,\
         \"protocol\":\"h1\",\"tls\":false,\"warmup_s\":{warmup_s:?},\
         \"warmup_per_s\":{warmup_per_s:?}}}],\
         \"limits\":{{\"max_header_bytes\":16384,\"max_body_bytes\":262144,\
         \"header_timeout_ms\":3000,\"idle_timeout_ms\":15000}}}}"
    )
}
