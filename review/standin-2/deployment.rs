//! The processes of the deploy file, with settings rendered from the project's templates.

use std::fs::{self, File, OpenOptions};
use std::net::{Ipv4Addr, SocketAddrV4, UdpSocket};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::time::{Duration, Instant};

use crate::http;
use crate::record::Record;

/// Ports, the same on all machines.
pub(crate) const CONTROL: u16 = 8166;
pub(crate) const READINESS: u16 = 8167;
pub(crate) const OUTBOUND: u16 = 8170;
pub(crate) const DATAGRAM: u16 = 8172;
pub(crate) const APP: u16 = 8360;
const INTERNAL: u16 = 7720;

/// First host number of each class in the subnet of a run, and of the clients and routes.
const FIRST_CORE: u8 = 1;
const FIRST_EDGE: u8 = 20;
const FIRST_SIDE: u8 = 60;
const CLIENTS: u8 = 250;
const ROUTES: u8 = 251;

/// Class of machines.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Class {
    Core,
    Edge,
    Side,
}

/// One machine, by class and number.
pub(crate) type Machine = (Class, u8);

/// Numbers of machines, zones over which they are spread in turn, and services of the side machines.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Layout {
    pub(crate) zones: &'static [&'static str],
    pub(crate) services: &'static [&'static str],
    pub(crate) core: u8,
    pub(crate) edge: u8,
    pub(crate) side: u8,
    pub(crate) tolerance: u8,
    /// Interval of the targets' reports, in milliseconds.
    pub(crate) heartbeat_ms: u64,
}

pub(crate) struct Deployment {
    root: PathBuf,
    folder: PathBuf,
    network: [u8; 3],
    pub(crate) layout: Layout,
    processes: Vec<(Machine, Child)>,
    is_first_start: bool,
    record: Record,
}

impl Deployment {
    /// Starts all processes for the first time.
    pub(crate) fn start(
        layout: Layout,
        root: &Path,
        folder: &Path,
        record: &Record,
    ) -> Result<Self, String> {
        let mut deployment = Self {
            root: root.into(),
            folder: folder.into(),
            network: find_network().ok_or("no free loopback addresses")?,
            layout,
            processes: Vec::new(),
            is_first_start: true,
            record: record.clone(),
        };
        for machine in deployment.machines() {
            deployment.start_process(machine)?;
        }
        deployment.is_first_start = false;
        Ok(deployment)
    }

    fn machines(&self) -> Vec<Machine> {
        let of = |class, count| (0..count).map(move |number| (class, number));
        let Layout { core, edge, side, .. } = self.layout;
        of(Class::Core, core).chain(of(Class::Edge, edge)).chain(of(Class::Side, side)).collect()
    }

    fn host(&self, host: u8) -> Ipv4Addr {
        let [a, b, c] = self.network;
        Ipv4Addr::new(a, b, c, host)
    }

    pub(crate) fn ip(&self, (class, number): Machine) -> Ipv4Addr {
        let first = match class {
            Class::Core => FIRST_CORE,
            Class::Edge => FIRST_EDGE,
            Class::Side => FIRST_SIDE,
        };
        self.host(first + number)
    }

    pub(crate) fn at(&self, machine: Machine, port: u16) -> SocketAddrV4 {
        SocketAddrV4::new(self.ip(machine), port)
    }

    pub(crate) fn client_address(&self) -> Ipv4Addr {
        self.host(CLIENTS)
    }

    /// Returns the address of the route that has traffic.
    pub(crate) fn route(&self) -> SocketAddrV4 {
        SocketAddrV4::new(self.host(ROUTES), 8443)
    }

    pub(crate) fn zone(&self, (_, number): Machine) -> &'static str {
        self.layout.zones[usize::from(number) % self.layout.zones.len()]
    }

    /// Returns the service of a side machine's target. The targets of a service are in all zones.
    pub(crate) fn service(&self, (_, number): Machine) -> &'static str {
        let Layout { zones, services, .. } = self.layout;
        services[usize::from(number) / zones.len() % services.len()]
    }

    pub(crate) fn name(&self, machine: Machine) -> String {
        let class = match machine.0 {
            Class::Core => "core",
            Class::Edge => "edge",
            Class::Side => "side",
        };
        let index = usize::from(machine.1) / self.layout.zones.len() + 1;
        format!("{class}-{}-{index}", self.zone(machine))
    }

    /// Returns where the operator sends its orders.
    pub(crate) fn operator_addresses(&self) -> Vec<SocketAddrV4> {
        (0..self.layout.core).map(|number| self.at((Class::Core, number), CONTROL)).collect()
    }

    /// Renders the template of a machine's role, as the platform does.
    fn settings(&self, machine: Machine) -> Result<String, String> {
        let role = role(machine.0);
        let path = self.root.join(format!("platform/templates/{role}.ini"));
        let mut text = fs::read_to_string(&path).map_err(|error| format!("{role}.ini: {error}"))?;
        let seeds: Vec<String> =
            self.operator_addresses().iter().take(3).map(ToString::to_string).collect();
        let at = |port| self.at(machine, port).to_string();
        let values = [
            ("node_name", self.name(machine)),
            ("zone", self.zone(machine).to_owned()),
            ("ip", self.ip(machine).to_string()),
            ("seeds", seeds.join(",")),
            ("internal_port_range.0", INTERNAL.to_string()),
            ("internal_port_range.1", (INTERNAL + 1).to_string()),
            ("data_dir", self.folder.join(self.name(machine)).display().to_string()),
            ("listen.control", at(CONTROL)),
            ("listen.readiness_addr", at(READINESS)),
            ("listen.outbound", at(OUTBOUND)),
            ("listen.datagram_addr", at(DATAGRAM)),
            ("app", at(APP)),
            ("service", self.service(machine).to_owned()),
            ("heartbeat_ms", self.layout.heartbeat_ms.to_string()),
            ("bounds.grace_s", "6".to_owned()),
            ("limits.link_mbps", "1000.0".to_owned()),
            ("fault_tolerance.machines", self.layout.tolerance.to_string()),
        ];
        for (section, is_kept) in [("bootstrap", self.is_first_start), ("limits.link_mbps", true)] {
            text = render_section(&text, section, is_kept);
        }
        for (name, value) in values {
            text = text.replace(&format!("{{{{{name}}}}}"), &value);
        }
        if text.contains("{{") { Err(format!("{role}.ini: unknown placeholder")) } else { Ok(text) }
    }

    /// Starts the process of a machine with its settings.
    pub(crate) fn start_process(&mut self, machine: Machine) -> Result<(), String> {
        let name = self.name(machine);
        let failed = |error: std::io::Error| format!("{name}: {error}");
        let file = self.folder.join(format!("{name}.conf"));
        fs::write(&file, self.settings(machine)?).map_err(failed)?;
        let log = self.folder.join(format!("{name}.log"));
        let log: File = OpenOptions::new().create(true).append(true).open(log).map_err(failed)?;
        let errors = log.try_clone().map_err(failed)?;
        let process = Command::new(self.root.join("target/release/hyssopdyked"))
            .args([role(machine.0), "--config"])
            .arg(&file)
            .current_dir(&self.root)
            .stdin(Stdio::null())
            .stdout(log)
            .stderr(errors)
            .spawn()
            .map_err(failed)?;
        self.processes.push((machine, process));
        Ok(())
    }

    /// Kills the processes of some machines at the same moment.
    pub(crate) fn kill(&mut self, machines: &[Machine]) -> Result<(), String> {
        let names: Vec<String> = machines.iter().map(|machine| self.name(*machine)).collect();
        self.record.line(&format!("killed: {}", names.join(" ")));
        let mut killed: Vec<(Machine, Child)> =
            self.processes.extract_if(.., |(machine, _)| machines.contains(machine)).collect();
        for (_, process) in &mut killed {
            process.kill().map_err(|error| error.to_string())?;
        }
        for (_, process) in &mut killed {
            process.wait().map_err(|error| error.to_string())?;
        }
        Ok(())
    }

    /// Waits until the routers would use all entries.
    pub(crate) fn wait_ready(&self) -> Result<(), String> {
        let start = Instant::now();
        while start.elapsed() < Duration::from_secs(20) {
            let is_ready = |number| {
                let to = self.at((Class::Edge, number), READINESS);
                http::call(to, "GET", "/hyssopdyke/readyz", "").is_some_and(|it| it.status == 200)
            };
            if (0..self.layout.edge).all(is_ready) {
                return Ok(());
            }
            std::thread::sleep(Duration::from_millis(200));
        }
        Err("the entries are not ready".to_owned())
    }

    /// Returns the processes that have ended by themselves.
    pub(crate) fn ended(&mut self) -> Vec<String> {
        let ended = self.processes.iter_mut().filter_map(|(machine, process)| {
            let has_ended = !matches!(process.try_wait(), Ok(None));
            has_ended.then_some(*machine)
        });
        let ended: Vec<Machine> = ended.collect();
        ended.into_iter().map(|machine| self.name(machine)).collect()
    }
}

impl Drop for Deployment {
    fn drop(&mut self) {
        for (_, process) in &mut self.processes {
            let _ = process.kill();
            let _ = process.wait();
        }
    }
}

const fn role(class: Class) -> &'static str {
    match class {
        Class::Core => "control",
        Class::Edge => "entry",
        Class::Side => "agent",
    }
}

/// Keeps or removes a section of a template.
fn render_section(text: &str, name: &str, is_kept: bool) -> String {
    let (open, close) = (format!("{{{{#{name}}}}}\n"), format!("{{{{/{name}}}}}\n"));
    let Some((before, rest)) = text.split_once(&open) else { return text.to_owned() };
    let Some((inside, after)) = rest.split_once(&close) else { return text.to_owned() };
    format!("{before}{}{after}", if is_kept { inside } else { "" })
}

/// Finds a loopback network of which no process uses the addresses.
fn find_network() -> Option<[u8; 3]> {
    let seed = std::process::id();
    (0..200_u32).find_map(|attempt| {
        let mixed = seed.wrapping_add(attempt).wrapping_mul(0x9e37_79b9);
        let network = [127, 16 + (mixed >> 24) as u8 % 200, (mixed >> 16) as u8];
        let [a, b, c] = network;
        let is_free = |host: u8, port: u16| {
            UdpSocket::bind(SocketAddrV4::new(Ipv4Addr::new(a, b, c, host), port)).is_ok()
        };
        let hosts = [FIRST_CORE, FIRST_EDGE, FIRST_SIDE, CLIENTS];
        hosts
            .iter()
            .all(|host| is_free(*host, INTERNAL) && is_free(*host, DATAGRAM))
            .then_some(network)
    })
}
