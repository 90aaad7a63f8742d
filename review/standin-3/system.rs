//! The project's programs as processes, with the settings of a small deployment, and the operator.

use std::collections::HashMap;
use std::fs::{self, File};
use std::net::{Ipv4Addr, SocketAddrV4, TcpListener, UdpSocket};
use std::path::PathBuf;
use std::process::{Child, Command, Stdio};
use std::sync::Mutex;
use std::time::{Duration, Instant};

use crate::client::{Clients, Entry};
use crate::http::{self, Answer};
use crate::record::Record;
use crate::target::{Place, Target};

pub const ZONES: [&str; 3] = ["dkr-plateau", "dkr-medina", "dkr-ouakam"];
pub const SERVICE: &str = "cuedesk";
pub const BEAT: Duration = Duration::from_millis(1200);
const PORT: u16 = 7100;

unsafe extern "C" {
    fn kill(pid: i32, signal: i32) -> i32;
}

const SIGKILL: i32 = 9;

pub struct Layout {
    pub entries: usize,
    pub sides: usize,
}

pub struct System {
    network: [u8; 3],
    folder: PathBuf,
    layout: Layout,
    processes: Mutex<HashMap<String, Child>>,
    pub clients: Clients,
    pub record: Record,
}

pub type Failure = String;

/// Returns a subnet of the loopback range in which the ports of the run are free.
fn free_network() -> Result<[u8; 3], Failure> {
    let seed = std::process::id() ^ (crate::target::unix_ms() as u32);
    for step in 0..200_u32 {
        let number = seed.wrapping_add(step.wrapping_mul(7919));
        let network = [127, 20 + (number >> 8) as u8 % 200, 1 + number as u8 % 250];
        let address = |host| Ipv4Addr::new(network[0], network[1], network[2], host);
        let is_free = [1, 10, 80, 250].into_iter().all(|host| {
            (0..10).all(|offset| {
                let at = SocketAddrV4::new(address(host), PORT + offset);
                TcpListener::bind(at).is_ok() && UdpSocket::bind(at).is_ok()
            })
        });
        if is_free {
            return Ok(network);
        }
    }
    Err("no free loopback network".into())
}

impl System {
    pub fn start(
        layout: Layout,
        manifest: impl Fn(Ipv4Addr) -> String,
        limit: Duration,
        record: &Record,
    ) -> Result<(Self, Vec<Target>), Failure> {
        let network = free_network()?;
        let folder = std::env::temp_dir().join(format!(
            "hyssopdyke-review-3-{}-{}", std::process::id(), crate::target::unix_ms()
        ));
        fs::create_dir_all(&folder).map_err(|error| error.to_string())?;
        let at = |host: u8, offset: u16| {
            SocketAddrV4::new(Ipv4Addr::new(network[0], network[1], network[2], host), PORT + offset)
        };
        let entries = (0..layout.entries).map(|index| Entry {
            datagrams: at(10 + index as u8, 0),
            readiness: at(10 + index as u8, 1),
            zone: index % ZONES.len(),
        });
        let zones = ZONES.len().min(layout.entries);
        let clients = Clients::start(at(250, 0), entries.collect(), zones, limit, record)
            .map_err(|error| error.to_string())?;
        let system = Self {
            network, folder, layout, processes: Mutex::default(), clients, record: record.clone(),
        };
        for index in 0..3 {
            system.start_control(index)?;
        }
        for index in 0..system.layout.entries {
            system.start_entry(index)?;
        }
        let mut targets = Vec::new();
        for index in 0..system.layout.sides {
            system.start_agent(index)?;
            targets.push(system.start_target(index, None, Duration::from_millis(300))?);
        }
        let document = manifest(*system.route(0).ip());
        let answer =
            system.order("PUT", "/hyssopdyke/config", &document, Duration::from_secs(30))?;
        if answer.status != 200 {
            return Err(format!("the manifest got {}", answer.status));
        }
        let start = Instant::now();
        while !(system.clients.all_ready() && targets.iter().all(Target::is_acked)) {
            if start.elapsed() > Duration::from_secs(30) {
                return Err("the system did not get ready".into());
            }
            std::thread::sleep(Duration::from_millis(100));
        }
        record.line("entries are ready and targets are acknowledged");
        std::thread::sleep(Duration::from_secs(3));
        Ok((system, targets))
    }

    fn at(&self, host: u8, offset: u16) -> SocketAddrV4 {
        let [a, b, c] = self.network;
        SocketAddrV4::new(Ipv4Addr::new(a, b, c, host), PORT + offset)
    }

    pub fn route(&self, port: u16) -> SocketAddrV4 {
        SocketAddrV4::new(*self.at(251, 0).ip(), port)
    }

    pub fn name(class: &str, index: usize) -> String {
        format!("{class}-{}-{}", ZONES[index % ZONES.len()], index / ZONES.len() + 1)
    }

    fn seeds(&self) -> String {
        let seeds: Vec<String> = (0..3).map(|index| self.at(1 + index, 4).to_string()).collect();
        seeds.join(",")
    }

    fn common(&self, name: &str, index: usize, host: u8) -> String {
        let ip = *self.at(host, 0).ip();
        format!(
            "[vm]\nname = {name}\ndomain = {}\naddress = {ip}\n\n[cluster]\npassphrase = the \
             platform hands out no secrets\ncontrol = {}\nsession_port = {}\n\n[log]\nform = json\n\
             metrics = {ip}:9100\n\n",
            ZONES[index % ZONES.len()],
            self.seeds(),
            PORT + 5
        )
    }

    pub fn start_control(&self, index: usize) -> Result<(), Failure> {
        let name = Self::name("core", index);
        let data = self.folder.join(format!("data-{index}"));
        fs::create_dir_all(&data).map_err(|error| error.to_string())?;
        let host = 1 + index as u8;
        let settings = format!(
            "{}[control]\ndata = {}\napi = {}\nplatform = true\nsession_port = {}\n\
             replica_port = {}\nseeds = {}\ntolerance = 1\nform = true\n",
            self.common(&name, index, host),
            data.display(),
            self.at(host, 4),
            PORT + 5,
            PORT + 6,
            self.seeds()
        );
        self.spawn("control", &name, &settings)
    }

    pub fn start_entry(&self, index: usize) -> Result<(), Failure> {
        let (name, host) = (Self::name("edge", index), 10 + index as u8);
        let settings = format!(
            "{}[entry]\npackets = platform\nfabric = {}\nreadiness = {}\ngrace = 6s\n\
             peer_port = {}\nlink_mbit = 1000.0\n",
            self.common(&name, index, host),
            self.at(host, 0),
            self.at(host, 1),
            PORT + 5
        );
        self.spawn("entry", &name, &settings)
    }

    pub fn start_agent(&self, index: usize) -> Result<(), Failure> {
        let (name, host) = (Self::name("side", index), 80 + index as u8);
        let settings = format!(
            "{}[agent]\nservice = {SERVICE}\npackets = platform\nanswers = {}\nupstream = {}\n\
             fabric = {}\nreadiness = {}\nreports = {}\nheartbeat = {}ms\npeer_port = {}\n",
            self.common(&name, index, host),
            self.at(host, 3),
            self.at(host, 2),
            self.at(host, 0),
            self.at(host, 1),
            self.at(host, 4),
            BEAT.as_millis(),
            PORT + 5
        );
        self.spawn("agent", &name, &settings)
    }

    /// Starts a boot of the target on a side machine.
    pub fn start_target(
        &self,
        index: usize,
        warmup: Option<Duration>,
        first_report: Duration,
    ) -> Result<Target, Failure> {
        let host = 80 + index as u8;
        let place = Place {
            name: format!("t{index}"),
            service: SERVICE.into(),
            zone: ZONES[index % ZONES.len()].into(),
            app: self.at(host, 2),
            outbound: self.at(host, 3),
            control: self.at(host, 4),
            beat: BEAT,
            slots: 20,
        };
        Target::start(place, warmup, first_report, &self.record).map_err(|error| error.to_string())
    }

    fn spawn(&self, role: &str, name: &str, settings: &str) -> Result<(), Failure> {
        let file = self.folder.join(format!("{name}.ini"));
        fs::write(&file, settings).map_err(|error| error.to_string())?;
        let log = File::options().create(true).append(true).open(self.folder.join(format!("{name}.log")));
        let log = log.map_err(|error| error.to_string())?;
        let errors = log.try_clone().map_err(|error| error.to_string())?;
        let child = Command::new("target/release/hyssopdyked")
            .arg(role)
            .arg("--config")
            .arg(&file)
            .stdin(Stdio::null())
            .stdout(log)
            .stderr(errors)
            .spawn()
            .map_err(|error| format!("target/release/hyssopdyked: {error}"))?;
        self.processes.lock().unwrap().insert(name.to_string(), child);
        Ok(())
    }

    fn signal(&self, name: &str, signal: i32) {
        self.record.line(&format!("process {name} gets signal {signal}"));
        let processes = self.processes.lock().unwrap();
        // SAFETY: the process was started here, and is not waited for before.
        unsafe { kill(processes[name].id() as i32, signal) };
    }

    pub fn kill(&self, name: &str) {
        self.signal(name, SIGKILL);
        let _ = self.processes.lock().unwrap().remove(name).map(|mut child| child.wait());
    }

    /// Returns the processes that have ended by themselves.
    pub fn ended(&self) -> Vec<String> {
        let mut processes = self.processes.lock().unwrap();
        let ended = processes.iter_mut().filter_map(|(name, child)| match child.try_wait() {
            Ok(None) => None,
            _ => Some(name.clone()),
        });
        ended.collect()
    }

    /// Sends an order of the operator until it gets a clear answer.
    pub fn order(
        &self,
        method: &str,
        path: &str,
        body: &str,
        within: Duration,
    ) -> Result<Answer, Failure> {
        let start = Instant::now();
        let limit = Duration::from_secs(1);
        for index in (0..3).cycle() {
            if start.elapsed() > within {
                break;
            }
            let mut to = self.at(1 + index, 4);
            for _ in 0..3 {
                let Some(answer) = http::call(to, method, path, body, limit) else { break };
                if answer.status == 307 {
                    let host = answer.location.as_deref().and_then(|location| {
                        location.strip_prefix("http://")?.split('/').next()?.parse().ok()
                    });
                    let Some(host) = host else { break };
                    to = host;
                    continue;
                }
                if answer.status >= 500 || [408, 429].contains(&answer.status) {
                    break;
                }
                self.record.line(&format!("operator {method} {path} -> {}", answer.status));
                return Ok(answer);
            }
            std::thread::sleep(Duration::from_millis(100));
        }
        Err(format!("{method} {path} got no clear answer"))
    }

    /// Ends all processes that the run started.
    pub fn stop(&self) {
        for (_, mut child) in self.processes.lock().unwrap().drain() {
            let _ = child.kill();
            let _ = child.wait();
        }
        if std::env::var_os("KEEP").is_none() {
            let _ = fs::remove_dir_all(&self.folder);
        } else {
            println!("logs: {}", self.folder.display());
        }
    }
}

impl Drop for System {
    fn drop(&mut self) {
        self.stop();
    }
}
