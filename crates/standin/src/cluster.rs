//! A whole system of processes on loopback addresses.

use std::collections::BTreeMap;
use std::fmt::Write as _;
use std::io;
use std::net::{IpAddr, Ipv4Addr, SocketAddr};
use std::path::{Path, PathBuf};
use std::time::{Duration, Instant};

use hyssopctl::{Client, Error as ClientError, Precondition};
use hyssopdyke_wire::resource::{
    Class, Domain, Kind, Listener, Protocol, Resource, Service, resource::Body,
};

use crate::{Behavior, Callers, Fabric, Process, Relay, Stats, Subnet, Upstream};

/// Port of each entry for the fabric.
const FABRIC_PORT: u16 = 5555;

/// Port of each agent for its upstream's answers.
const ANSWER_PORT: u16 = 5557;

/// Ports of each control VM for daemons, operators and other control VMs.
const CONTROL_PORTS: (u16, u16, u16) = (5560, 5561, 5562);

/// Port of each VM for its metrics.
const METRICS_PORT: u16 = 9100;

/// Hosts of the subnet from which each role's VMs are counted.
const CONTROL_HOST: u8 = 1;
const RELAY_HOST: u8 = 11;
const ENTRY_HOST: u8 = 21;
const AGENT_HOST: u8 = 101;
const FABRIC_HOST: u8 = 250;
const CALLER_HOST: u8 = 251;

/// Passphrase of all processes.
const PASSPHRASE: &str = "a passphrase for tests only";

/// Pause between two looks at the system.
const POLL_INTERVAL: Duration = Duration::from_millis(20);

/// A service and its upstreams.
#[derive(Debug, Clone, PartialEq)]
pub struct ServiceLayout {
    /// Name of the service.
    pub name: Box<str>,
    /// Port of the listener whose flows are requests.
    pub request_port: u16,
    /// Port of the listener whose flows are streams.
    pub stream_port: u16,
    /// Connections that an upstream bears.
    pub connections: u32,
    /// Slots that are declared.
    pub slots: u32,
    /// Slots of a cold upstream that are declared.
    pub cold_slots: u32,
    /// How each upstream behaves; its length is the number of upstreams.
    pub upstreams: Vec<Behavior>,
}

impl ServiceLayout {
    /// A service with some upstreams of the same behavior.
    #[must_use]
    pub fn new(name: &str, count: usize) -> Self {
        Self {
            name: name.into(),
            request_port: 80,
            stream_port: 81,
            connections: 2000,
            slots: 5,
            cold_slots: 5,
            upstreams: vec![Behavior::default(); count],
        }
    }
}

/// What a system is made of.
#[derive(Debug, Clone, PartialEq)]
pub struct Layout {
    /// Control VMs.
    pub control: u8,
    /// Control VMs find each other by seeds, and replace each other by themselves.
    pub has_seeds: bool,
    /// All connections to control VMs pass relays.
    pub has_relays: bool,
    /// Entries.
    pub entries: u8,
    /// Failure domains, over which each role is spread in turn.
    pub domains: Vec<Box<str>>,
    /// Services.
    pub services: Vec<ServiceLayout>,
    /// More lines for the agents' `[agent]` section.
    pub agent_settings: Box<str>,
    /// Level of the logs.
    pub log_level: Box<str>,
    /// Seed of all that is random in the stand-ins.
    pub seed: u64,
}

impl Default for Layout {
    fn default() -> Self {
        Self {
            control: 1,
            has_seeds: false,
            has_relays: false,
            entries: 2,
            domains: ["fj-west-a", "fj-west-b", "fj-west-c"].map(Into::into).into(),
            services: Vec::new(),
            agent_settings: "".into(),
            log_level: "info".into(),
            seed: 1,
        }
    }
}

/// Why a system cannot be run.
#[derive(Debug)]
#[derive(thiserror::Error)]
pub enum Error {
    /// A process, socket or file.
    #[error("{0}")]
    Io(#[from] io::Error),
    /// The operators' API.
    #[error("{0}")]
    Client(#[from] ClientError),
    /// No VM has this name.
    #[error("no VM is named {0}")]
    NotFound(Box<str>),
    /// The system did not come to a state in time.
    #[error("{state} after {timeout:?}")]
    Timeout {
        /// What is still so.
        state: Box<str>,
        /// Time that was waited.
        timeout: Duration,
    },
}

#[derive(Debug)]
struct Vm {
    role: &'static str,
    config: PathBuf,
    domain: Box<str>,
    address: Ipv4Addr,
    process: Option<Process>,
}

/// A running system with its surroundings.
pub struct Cluster {
    subnet: Subnet,
    binary: PathBuf,
    folder: PathBuf,
    layout: Layout,
    fabric: Fabric,
    vms: BTreeMap<Box<str>, Vm>,
    upstreams: BTreeMap<Box<str>, Upstream>,
    client: Client,
    /// Relays before the ports of each control VM.
    relays: Vec<[Relay; 3]>,
}

impl Cluster {
    /// Starts a system whose files are kept in `folder`, and waits until it serves.
    ///
    /// # Errors
    ///
    /// An [`Error`] if it does not serve in time.
    pub fn start(binary: &Path, folder: &Path, layout: Layout) -> Result<Self, Error> {
        let subnet = Subnet::reserve()?;
        std::fs::create_dir_all(folder)?;
        let fabric = Fabric::spawn(subnet.address(FABRIC_HOST), layout.seed)?;
        let host = first_control_host(&layout);
        let api = |index| SocketAddr::from((subnet.address(host + index), CONTROL_PORTS.1));
        let client = Client::new((0..layout.control).map(api));
        let relayed = if layout.has_relays { layout.control } else { 0 };
        let relays =
            (0..relayed).map(|index| bind_relays(&subnet, index)).collect::<io::Result<_>>()?;
        let mut cluster = Self {
            subnet,
            binary: binary.into(),
            folder: folder.into(),
            layout,
            fabric,
            vms: BTreeMap::new(),
            upstreams: BTreeMap::new(),
            client,
            relays,
        };
        cluster.add_control_vms()?;
        cluster.declare_resources()?;
        for index in 0..cluster.layout.entries {
            cluster.add_entry(index)?;
        }
        cluster.add_upstreams()?;
        cluster.spray();
        cluster.wait_in_force(Duration::from_secs(20))?;
        Ok(cluster)
    }

    /// The client of the operators' API.
    #[must_use]
    pub const fn client(&self) -> &Client {
        &self.client
    }

    /// The fabric.
    #[must_use]
    pub const fn fabric(&self) -> &Fabric {
        &self.fabric
    }

    /// The relays before the ports of a control VM: sessions, the operators' API, and the log.
    ///
    /// # Errors
    ///
    /// [`Error::NotFound`] if there are none.
    pub fn relays(&self, index: u8) -> Result<&[Relay; 3], Error> {
        let name = || format!("a relay of control VM {}", index + 1);
        self.relays.get(usize::from(index)).ok_or_else(|| Error::NotFound(name().into()))
    }

    /// Folder of settings, logs and data.
    #[must_use]
    pub fn folder(&self) -> &Path {
        &self.folder
    }

    /// An upstream by its VM's name.
    ///
    /// # Errors
    ///
    /// [`Error::NotFound`] if there is none.
    pub fn upstream(&self, name: &str) -> Result<&Upstream, Error> {
        self.upstreams.get(name).ok_or_else(|| Error::NotFound(name.into()))
    }

    /// Name and observations of each upstream.
    #[must_use]
    pub fn upstream_stats(&self) -> BTreeMap<Box<str>, Stats> {
        self.upstreams.iter().map(|(name, upstream)| (name.clone(), upstream.stats())).collect()
    }

    /// Failure domain of a VM.
    ///
    /// # Errors
    ///
    /// [`Error::NotFound`] if there is none of that name.
    pub fn domain(&self, name: &str) -> Result<&str, Error> {
        self.vms.get(name).map(|vm| &*vm.domain).ok_or_else(|| Error::NotFound(name.into()))
    }

    /// Address and port of a service's requests.
    #[must_use]
    pub fn request_address(&self, service: usize) -> (Ipv4Addr, u16) {
        (service_address(service), self.layout.services[service].request_port)
    }

    /// Address and port of a service's streams.
    #[must_use]
    pub fn stream_address(&self, service: usize) -> (Ipv4Addr, u16) {
        (service_address(service), self.layout.services[service].stream_port)
    }

    /// Where an entry takes packets from the fabric.
    #[must_use]
    pub const fn entry_address(&self, index: u8) -> SocketAddr {
        SocketAddr::new(IpAddr::V4(self.subnet.address(ENTRY_HOST + index)), FABRIC_PORT)
    }

    /// Where a control VM takes sessions of daemons.
    #[must_use]
    pub const fn session_address(&self, index: u8) -> SocketAddr {
        SocketAddr::new(IpAddr::V4(self.subnet.address(CONTROL_HOST + index)), CONTROL_PORTS.0)
    }

    /// The passphrase that all processes share.
    #[must_use]
    pub const fn passphrase() -> &'static str {
        PASSPHRASE
    }

    /// Where the process on a VM serves its metrics.
    ///
    /// # Errors
    ///
    /// [`Error::NotFound`] if there is none.
    pub fn metrics_address(&self, name: &str) -> Result<SocketAddr, Error> {
        let vm = self.vms.get(name).ok_or_else(|| Error::NotFound(name.into()))?;
        Ok(SocketAddr::from((vm.address, METRICS_PORT)))
    }

    /// Starts callers.
    ///
    /// # Errors
    ///
    /// If no socket can be bound.
    pub fn callers(&self, index: u8) -> Result<Callers, Error> {
        let inner = Ipv4Addr::new(10, 200, 0, index);
        let outer = self.subnet.address(CALLER_HOST);
        let seed = self.layout.seed.wrapping_mul(1000) + u64::from(index);
        Ok(Callers::spawn(inner, outer, self.fabric.caller_address(), seed)?)
    }

    /// The process on a VM.
    ///
    /// # Errors
    ///
    /// [`Error::NotFound`] if there is none.
    pub fn process(&mut self, name: &str) -> Result<&mut Process, Error> {
        let vm = self.vms.get_mut(name).and_then(|vm| vm.process.as_mut());
        vm.ok_or_else(|| Error::NotFound(name.into()))
    }

    /// Starts the process on a VM anew.
    ///
    /// # Errors
    ///
    /// [`Error::NotFound`], or if it cannot be started.
    pub fn restart(&mut self, name: &str) -> Result<(), Error> {
        let vm = self.vms.get_mut(name).ok_or_else(|| Error::NotFound(name.into()))?;
        // The former process must have ended before its ports are bound again.
        vm.process = None;
        let log = self.folder.join(format!("{name}.log"));
        let config = vm.config.as_os_str();
        let arguments = [vm.role.as_ref(), "--config".as_ref(), config];
        vm.process = Some(Process::spawn(&self.binary, arguments, log)?);
        Ok(())
    }

    /// Adds a control VM with an empty folder, which knows the others as seeds.
    ///
    /// # Errors
    ///
    /// If it cannot be started.
    pub fn add_control_vm(&mut self, index: u8) -> Result<Box<str>, Error> {
        let name: Box<str> = format!("control-{}", index + 1).into();
        let section = self.control_section(&name);
        self.add_vm(&name, "control", CONTROL_HOST + index, usize::from(index), &section, &[])?;
        Ok(name)
    }

    /// Takes a control VM's data away; its process must not run.
    ///
    /// # Errors
    ///
    /// If the folder cannot be removed.
    pub fn wipe_control(&self, name: &str) -> Result<(), Error> {
        Ok(std::fs::remove_dir_all(self.data_folder(name))?)
    }

    /// Address of a control VM, which is also its name among voters that were found by seeds.
    #[must_use]
    pub const fn control_ip(&self, index: u8) -> Ipv4Addr {
        self.subnet.address(CONTROL_HOST + index)
    }

    /// A client of the operators' API of the named control VMs.
    #[must_use]
    pub fn client_of(&self, indices: impl IntoIterator<Item = u8>) -> Client {
        let api = |index| SocketAddr::from((self.control_ip(index), CONTROL_PORTS.1));
        Client::new(indices.into_iter().map(api))
    }

    /// Adds an entry and hands it packets.
    ///
    /// # Errors
    ///
    /// If it cannot be started.
    pub fn add_entry(&mut self, index: u8) -> Result<Box<str>, Error> {
        let name: Box<str> = format!("entry-{}", index + 1).into();
        self.add_vm(&name, "entry", ENTRY_HOST + index, usize::from(index), "[entry]\n", &[])?;
        Ok(name)
    }

    /// Hands packets to all entries whose processes run.
    pub fn spray(&self) {
        let entries = (0..=u8::MAX - ENTRY_HOST).filter(|index| {
            let name = format!("entry-{}", index + 1);
            self.vms.get(name.as_str()).is_some_and(|vm| vm.process.is_some())
        });
        let address =
            |index| SocketAddr::from((self.subnet.address(ENTRY_HOST + index), FABRIC_PORT));
        self.fabric.set_entries(entries.map(address));
    }

    /// Hands packets to the named entries only.
    pub fn spray_only(&self, indices: &[u8]) {
        let address =
            |index: &u8| SocketAddr::from((self.subnet.address(ENTRY_HOST + index), FABRIC_PORT));
        self.fabric.set_entries(indices.iter().map(address));
    }

    /// Takes a failure domain out or back in, and returns the revision.
    ///
    /// # Errors
    ///
    /// If control does not answer.
    pub fn set_domain(&self, name: &str, out: bool) -> Result<u64, Error> {
        let body = Some(Body::Domain(Domain { out }));
        let resource = Resource { name: name.into(), body, ..Resource::default() };
        let key = Client::idempotency_key();
        let written = self.client.put(Kind::Domain, &resource, Precondition::None, &key)?;
        Ok(written.revision)
    }

    /// Waits until every daemon whose process was started is registered, and the latest revision
    /// is in force.
    ///
    /// # Errors
    ///
    /// [`Error::Timeout`] if that is not so within `timeout`.
    pub fn wait_in_force(&self, timeout: Duration) -> Result<u64, Error> {
        let start = Instant::now();
        let running = self.vms.values().filter(|vm| vm.role != "control" && vm.process.is_some());
        let expected = running.count();
        loop {
            let status = self.client.status()?;
            if status.daemons.len() >= expected && status.in_force == status.revision {
                return Ok(status.revision);
            }
            if start.elapsed() > timeout {
                let state = format!("{status:?} with {expected} daemons");
                return Err(Error::Timeout { state: state.into(), timeout });
            }
            std::thread::sleep(POLL_INTERVAL);
        }
    }

    fn add_control_vms(&mut self) -> Result<(), Error> {
        let voters: Vec<String> = (0..self.layout.control)
            .map(|index| {
                let address = self.subnet.address(first_control_host(&self.layout) + index);
                format!("control-{}@{address}:{}", index + 1, CONTROL_PORTS.2)
            })
            .collect();
        for index in 0..self.layout.control {
            let name = format!("control-{}", index + 1);
            let mut section = self.control_section(&name);
            if !self.layout.has_seeds {
                // Writing to a string cannot fail.
                let _ = writeln!(section, "voters = {}", voters.join(", "));
            }
            let (host, form) = (CONTROL_HOST + index, ["--form"]);
            self.add_vm(&name, "control", host, usize::from(index), &section, &form)?;
        }
        Ok(())
    }

    /// Folder of a control VM's data.
    #[must_use]
    pub fn data_folder(&self, name: &str) -> PathBuf {
        self.folder.join(format!("{name}.data"))
    }

    fn control_section(&self, name: &str) -> String {
        let (sessions, api, replicas) = CONTROL_PORTS;
        let mut section = format!(
            "[control]\ndata = {}\nsession_port = {sessions}\napi_port = {api}\n\
             replica_port = {replicas}\n",
            self.data_folder(name).display(),
        );
        if self.layout.has_seeds {
            let seeds = (0..self.layout.control).map(|index| self.control_ip(index));
            let seeds: Vec<String> = seeds.map(|seed| format!("{seed}:{sessions}")).collect();
            // Writing to a string cannot fail.
            let _ = writeln!(section, "seeds = {}\nplatform = true", seeds.join(", "));
        }
        section
    }

    fn add_upstreams(&mut self) -> Result<(), Error> {
        let mut host = AGENT_HOST;
        let mut index_in_role = 0;
        for (service, layout) in self.layout.services.clone().into_iter().enumerate() {
            for (index, behavior) in layout.upstreams.iter().enumerate() {
                let name: Box<str> = format!("{}-{}", layout.name, index + 1).into();
                let vm = self.subnet.address(host);
                let agent = SocketAddr::from((vm, ANSWER_PORT));
                let ports = [layout.request_port, layout.stream_port];
                let seed = self.layout.seed.wrapping_mul(7919) + u64::from(host);
                let upstream = Upstream::spawn(
                    &name,
                    vm,
                    agent,
                    (service_address(service), &ports),
                    behavior.clone(),
                    seed,
                )?;
                let section = format!(
                    "[agent]\nservice = {}\nupstream = {}\nfabric = {}\nanswer_port = \
                     {ANSWER_PORT}\n{}\n",
                    layout.name,
                    upstream.address(),
                    self.fabric.agent_address(),
                    self.layout.agent_settings,
                );
                self.upstreams.insert(name.clone(), upstream);
                self.add_vm(&name, "agent", host, index_in_role, &section, &[])?;
                host += 1;
                index_in_role += 1;
            }
        }
        Ok(())
    }

    fn add_vm(
        &mut self,
        name: &str,
        role: &'static str,
        host: u8,
        index_in_role: usize,
        section: &str,
        extra_arguments: &[&str],
    ) -> Result<(), Error> {
        let domain = self.layout.domains[index_in_role % self.layout.domains.len()].clone();
        let control: Vec<String> = (0..self.layout.control)
            .map(|index| {
                let address = self.subnet.address(first_control_host(&self.layout) + index);
                format!("{address}:{}", CONTROL_PORTS.0)
            })
            .collect();
        let mut text = String::new();
        // Writing to a string cannot fail.
        let _ = write!(
            text,
            "[vm]\nname = {name}\ndomain = {domain}\naddress = {}\n\n[cluster]\n\
             passphrase = {PASSPHRASE}\ncontrol = {}\n\n[log]\nlevel = {}\n\
             form = json\nmetrics = {}\n\n{section}",
            self.subnet.address(host),
            control.join(", "),
            self.layout.log_level,
            SocketAddr::from((self.subnet.address(host), METRICS_PORT)),
        );
        let config = self.folder.join(format!("{name}.ini"));
        std::fs::write(&config, text)?;
        let log = self.folder.join(format!("{name}.log"));
        let arguments = [role.as_ref(), "--config".as_ref(), config.as_os_str()];
        let arguments = arguments.into_iter().chain(extra_arguments.iter().map(AsRef::as_ref));
        let process = Some(Process::spawn(&self.binary, arguments, log)?);
        let address = self.subnet.address(host);
        self.vms.insert(name.into(), Vm { role, config, domain, address, process });
        Ok(())
    }

    fn declare_resources(&self) -> Result<(), Error> {
        for (index, layout) in self.layout.services.iter().enumerate() {
            let listener = |port: u16, protocol: Protocol, class: Class| Listener {
                address: service_address(index).to_string(),
                port: port.into(),
                protocol: protocol as i32,
                class: class as i32,
            };
            let service = Service {
                listeners: vec![
                    listener(layout.request_port, Protocol::Tcp, Class::Request),
                    listener(layout.stream_port, Protocol::Tcp, Class::Stream),
                    listener(layout.stream_port, Protocol::Udp, Class::Stream),
                ],
                connections: layout.connections,
                slots: layout.slots,
                cold_slots: layout.cold_slots,
                ..Service::default()
            };
            let resource = Resource {
                name: layout.name.to_string(),
                body: Some(Body::Service(service)),
                ..Resource::default()
            };
            let key = Client::idempotency_key();
            self.client.put(Kind::Service, &resource, Precondition::Absent, &key)?;
        }
        for domain in &self.layout.domains {
            self.set_domain(domain, false)?;
        }
        Ok(())
    }
}

/// First host of the addresses at which control VMs are reached.
const fn first_control_host(layout: &Layout) -> u8 {
    if layout.has_relays { RELAY_HOST } else { CONTROL_HOST }
}

/// Relays before all ports of a control VM, in the order of [`CONTROL_PORTS`].
fn bind_relays(subnet: &Subnet, index: u8) -> io::Result<[Relay; 3]> {
    let relay = |port| {
        let address = |host| SocketAddr::from((subnet.address(host + index), port));
        Relay::bind(address(RELAY_HOST), address(CONTROL_HOST))
    };
    let (sessions, api, log) = CONTROL_PORTS;
    Ok([relay(sessions)?, relay(api)?, relay(log)?])
}

/// Address of a service by its place in the layout.
fn service_address(index: usize) -> Ipv4Addr {
    Ipv4Addr::new(10, 100, 0, 1 + index as u8)
}
