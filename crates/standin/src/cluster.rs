//! A complete system of daemon processes on loopback addresses.

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

/// Port on which each entry receives packets from the fabric.
const FABRIC_PORT: u16 = 5555;

/// Port on which each agent receives its upstream's answers.
const ANSWER_PORT: u16 = 5557;

/// Ports of each control VM: daemon sessions, the operators' API, and log replication.
const CONTROL_PORTS: (u16, u16, u16) = (5560, 5561, 5562);

/// Port on which each VM serves its metrics.
const METRICS_PORT: u16 = 9100;

/// First host number of each role in the subnet.
const CONTROL_HOST: u8 = 1;
const RELAY_HOST: u8 = 11;
const ENTRY_HOST: u8 = 21;
const AGENT_HOST: u8 = 101;
const FABRIC_HOST: u8 = 250;
const CALLER_HOST: u8 = 251;

/// Passphrase that all processes share.
const PASSPHRASE: &str = "a passphrase for tests only";

/// Pause between two status requests.
const POLL_INTERVAL: Duration = Duration::from_millis(20);

/// A service and its upstreams.
#[derive(Debug, Clone, PartialEq)]
pub struct ServiceLayout {
    /// Name of the service.
    pub name: Box<str>,
    /// TCP port of the listener for requests.
    pub request_port: u16,
    /// Port of the TCP and UDP listeners for streams.
    pub stream_port: u16,
    /// Declared connection limit of each upstream.
    pub connections: u32,
    /// Declared number of slots of a warm upstream.
    pub slots: u32,
    /// Declared number of slots of a cold upstream.
    pub cold_slots: u32,
    /// Behavior of each upstream, one element per upstream.
    pub upstreams: Vec<Behavior>,
}

impl ServiceLayout {
    /// Creates a service with `count` upstreams of default behavior.
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

/// Composition of a system.
#[derive(Debug, Clone, PartialEq)]
pub struct Layout {
    /// Number of control VMs.
    pub control: u8,
    /// Whether control VMs discover each other through seed addresses and replace lost voters
    /// automatically.
    pub has_seeds: bool,
    /// Whether all connections to control VMs pass through relays.
    pub has_relays: bool,
    /// Number of entries.
    pub entries: u8,
    /// Failure domains, to which the VMs of each role are assigned in turn.
    pub domains: Vec<Box<str>>,
    /// Services with their upstreams.
    pub services: Vec<ServiceLayout>,
    /// Additional lines for the `[agent]` section of each agent.
    pub agent_settings: Box<str>,
    /// Log level of all processes.
    pub log_level: Box<str>,
    /// Seed of all random choices of fabric, callers and upstreams.
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

/// Error of a cluster operation.
#[derive(Debug)]
#[derive(thiserror::Error)]
pub enum Error {
    /// An I/O error of a process, socket or file.
    #[error("{0}")]
    Io(#[from] io::Error),
    /// An error of the operators' API.
    #[error("{0}")]
    Client(#[from] ClientError),
    /// No VM or relay has this name.
    #[error("no VM or relay is named {0}")]
    NotFound(Box<str>),
    /// The system did not reach the expected state in time.
    #[error("expected state not reached within {timeout:?}: {state}")]
    Timeout {
        /// State at the timeout.
        state: Box<str>,
        /// Time limit of the wait.
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

/// A running system with its fabric and upstreams.
pub struct Cluster {
    subnet: Subnet,
    binary: PathBuf,
    folder: PathBuf,
    layout: Layout,
    fabric: Fabric,
    vms: BTreeMap<Box<str>, Vm>,
    upstreams: BTreeMap<Box<str>, Upstream>,
    client: Client,
    /// Relays in front of the ports of each control VM.
    relays: Vec<[Relay; 3]>,
}

impl Cluster {
    /// Starts a system whose files are kept in `folder`, and waits up to 20 s until its
    /// configuration is in force.
    ///
    /// # Errors
    ///
    /// Returns an [`Error`] if the system cannot be started or is not ready in time.
    pub fn start(binary: &Path, folder: &Path, layout: Layout) -> Result<Self, Error> {
        let subnet = Subnet::reserve()?;
        std::fs::create_dir_all(folder)?;
        let fabric = Fabric::spawn(subnet.address(FABRIC_HOST), layout.seed)?;
        let host = first_control_host(&layout);
        let api = |index| SocketAddr::from((subnet.address(host + index), CONTROL_PORTS.1));
        let client = Client::new((0..layout.control).map(api));
        let relay_count = if layout.has_relays { layout.control } else { 0 };
        let relays =
            (0..relay_count).map(|index| bind_relays(&subnet, index)).collect::<io::Result<_>>()?;
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

    /// Returns a client of the operators' API.
    #[must_use]
    pub const fn client(&self) -> &Client {
        &self.client
    }

    /// Returns the fabric.
    #[must_use]
    pub const fn fabric(&self) -> &Fabric {
        &self.fabric
    }

    /// Returns the relays in front of a control VM's ports: sessions, the operators' API, and log
    /// replication.
    ///
    /// # Errors
    ///
    /// Returns [`Error::NotFound`] if the control VM has no relays.
    pub fn relays(&self, index: u8) -> Result<&[Relay; 3], Error> {
        let name = || format!("a relay of control VM {}", index + 1);
        self.relays.get(usize::from(index)).ok_or_else(|| Error::NotFound(name().into()))
    }

    /// Returns the folder of settings, logs and data.
    #[must_use]
    pub fn folder(&self) -> &Path {
        &self.folder
    }

    /// Returns an upstream by the name of its VM.
    ///
    /// # Errors
    ///
    /// Returns [`Error::NotFound`] if no upstream has this name.
    pub fn upstream(&self, name: &str) -> Result<&Upstream, Error> {
        self.upstreams.get(name).ok_or_else(|| Error::NotFound(name.into()))
    }

    /// Returns the statistics of each upstream by name.
    #[must_use]
    pub fn upstream_stats(&self) -> BTreeMap<Box<str>, Stats> {
        self.upstreams.iter().map(|(name, upstream)| (name.clone(), upstream.stats())).collect()
    }

    /// Returns the failure domain of a VM.
    ///
    /// # Errors
    ///
    /// Returns [`Error::NotFound`] if no VM has this name.
    pub fn domain(&self, name: &str) -> Result<&str, Error> {
        self.vms.get(name).map(|vm| &*vm.domain).ok_or_else(|| Error::NotFound(name.into()))
    }

    /// Returns the address and port of a service's request listener.
    #[must_use]
    pub fn request_address(&self, service: usize) -> (Ipv4Addr, u16) {
        (service_address(service), self.layout.services[service].request_port)
    }

    /// Returns the address and port of a service's stream listener.
    #[must_use]
    pub fn stream_address(&self, service: usize) -> (Ipv4Addr, u16) {
        (service_address(service), self.layout.services[service].stream_port)
    }

    /// Returns the address on which an entry receives packets from the fabric.
    #[must_use]
    pub const fn entry_address(&self, index: u8) -> SocketAddr {
        SocketAddr::new(IpAddr::V4(self.subnet.address(ENTRY_HOST + index)), FABRIC_PORT)
    }

    /// Returns the address on which a control VM accepts daemon sessions.
    #[must_use]
    pub const fn session_address(&self, index: u8) -> SocketAddr {
        SocketAddr::new(IpAddr::V4(self.subnet.address(CONTROL_HOST + index)), CONTROL_PORTS.0)
    }

    /// Returns the passphrase that all processes share.
    #[must_use]
    pub const fn passphrase() -> &'static str {
        PASSPHRASE
    }

    /// Returns the address on which a VM serves its metrics.
    ///
    /// # Errors
    ///
    /// Returns [`Error::NotFound`] if no VM has this name.
    pub fn metrics_address(&self, name: &str) -> Result<SocketAddr, Error> {
        let vm = self.vms.get(name).ok_or_else(|| Error::NotFound(name.into()))?;
        Ok(SocketAddr::from((vm.address, METRICS_PORT)))
    }

    /// Starts callers with the inner address 10.200.0.`index`.
    ///
    /// # Errors
    ///
    /// Returns an error if no socket can be bound.
    pub fn callers(&self, index: u8) -> Result<Callers, Error> {
        let inner = Ipv4Addr::new(10, 200, 0, index);
        let outer = self.subnet.address(CALLER_HOST);
        let seed = self.layout.seed.wrapping_mul(1000) + u64::from(index);
        Ok(Callers::spawn(inner, outer, self.fabric.caller_address(), seed)?)
    }

    /// Returns the process on a VM.
    ///
    /// # Errors
    ///
    /// Returns [`Error::NotFound`] if no VM has this name or its process was not started.
    pub fn process(&mut self, name: &str) -> Result<&mut Process, Error> {
        let vm = self.vms.get_mut(name).and_then(|vm| vm.process.as_mut());
        vm.ok_or_else(|| Error::NotFound(name.into()))
    }

    /// Restarts the process on a VM, and kills it first if it is running.
    ///
    /// # Errors
    ///
    /// Returns [`Error::NotFound`] if no VM has this name, or an I/O error if the process cannot be
    /// started.
    pub fn restart(&mut self, name: &str) -> Result<(), Error> {
        let vm = self.vms.get_mut(name).ok_or_else(|| Error::NotFound(name.into()))?;
        // The old process must exit before the new one binds the same ports.
        vm.process = None;
        let log = self.folder.join(format!("{name}.log"));
        let config = vm.config.as_os_str();
        let arguments = [vm.role.as_ref(), "--config".as_ref(), config];
        vm.process = Some(Process::spawn(&self.binary, arguments, log)?);
        Ok(())
    }

    /// Adds a control VM with an empty data folder and the initial control VMs as seeds. Returns
    /// its name.
    ///
    /// # Errors
    ///
    /// Returns an error if its process cannot be started.
    pub fn add_control_vm(&mut self, index: u8) -> Result<Box<str>, Error> {
        let name: Box<str> = format!("control-{}", index + 1).into();
        let section = self.control_section(&name);
        self.add_vm(&name, "control", CONTROL_HOST + index, usize::from(index), &section, &[])?;
        Ok(name)
    }

    /// Deletes a control VM's data folder. Its process must not be running.
    ///
    /// # Errors
    ///
    /// Returns an error if the folder cannot be removed.
    pub fn wipe_control(&self, name: &str) -> Result<(), Error> {
        Ok(std::fs::remove_dir_all(self.data_folder(name))?)
    }

    /// Returns the address of a control VM, which is also its voter name if voters are discovered
    /// through seeds.
    #[must_use]
    pub const fn control_ip(&self, index: u8) -> Ipv4Addr {
        self.subnet.address(CONTROL_HOST + index)
    }

    /// Returns a client of the operators' API that uses only the control VMs with these indices.
    #[must_use]
    pub fn client_of(&self, indices: impl IntoIterator<Item = u8>) -> Client {
        let api = |index| SocketAddr::from((self.control_ip(index), CONTROL_PORTS.1));
        Client::new(indices.into_iter().map(api))
    }

    /// Starts an entry and returns its name. [`Cluster::spray`] makes the fabric use it.
    ///
    /// # Errors
    ///
    /// Returns an error if its process cannot be started.
    pub fn add_entry(&mut self, index: u8) -> Result<Box<str>, Error> {
        let name: Box<str> = format!("entry-{}", index + 1).into();
        self.add_vm(&name, "entry", ENTRY_HOST + index, usize::from(index), "[entry]\n", &[])?;
        Ok(name)
    }

    /// Makes the fabric send packets to all entries whose processes were started.
    pub fn spray(&self) {
        let entries = (0..=u8::MAX - ENTRY_HOST).filter(|index| {
            let name = format!("entry-{}", index + 1);
            self.vms.get(name.as_str()).is_some_and(|vm| vm.process.is_some())
        });
        let address =
            |index| SocketAddr::from((self.subnet.address(ENTRY_HOST + index), FABRIC_PORT));
        self.fabric.set_entries(entries.map(address));
    }

    /// Makes the fabric send packets only to the entries with these indices.
    pub fn spray_only(&self, indices: &[u8]) {
        let address =
            |index: &u8| SocketAddr::from((self.subnet.address(ENTRY_HOST + index), FABRIC_PORT));
        self.fabric.set_entries(indices.iter().map(address));
    }

    /// Takes a failure domain out of service or back in, and returns the revision.
    ///
    /// # Errors
    ///
    /// Returns an error if the write is not acknowledged.
    pub fn set_domain(&self, name: &str, out: bool) -> Result<u64, Error> {
        let body = Some(Body::Domain(Domain { out }));
        let resource = Resource { name: name.into(), body, ..Resource::default() };
        let key = Client::idempotency_key();
        let written = self.client.put(Kind::Domain, &resource, Precondition::None, &key)?;
        Ok(written.revision)
    }

    /// Waits until every started daemon is registered and the latest revision is in force. Returns
    /// that revision.
    ///
    /// # Errors
    ///
    /// Returns [`Error::Timeout`] after `timeout`, or an error of the operators' API.
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
                let state = format!("expected {expected} daemons, found {status:?}");
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
            let (host, flags) = (CONTROL_HOST + index, ["--form"]);
            self.add_vm(&name, "control", host, usize::from(index), &section, &flags)?;
        }
        Ok(())
    }

    /// Returns the data folder of a control VM.
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
        let mut settings = String::new();
        // Writing to a string cannot fail.
        let _ = write!(
            settings,
            "[vm]\nname = {name}\ndomain = {domain}\naddress = {}\n\n[cluster]\n\
             passphrase = {PASSPHRASE}\ncontrol = {}\n\n[log]\nlevel = {}\n\
             form = json\nmetrics = {}\n\n{section}",
            self.subnet.address(host),
            control.join(", "),
            self.layout.log_level,
            SocketAddr::from((self.subnet.address(host), METRICS_PORT)),
        );
        let config = self.folder.join(format!("{name}.ini"));
        std::fs::write(&config, settings)?;
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

/// Returns the first host number at which other processes reach control VMs.
const fn first_control_host(layout: &Layout) -> u8 {
    if layout.has_relays { RELAY_HOST } else { CONTROL_HOST }
}

/// Binds relays in front of all ports of a control VM, in the order of [`CONTROL_PORTS`].
fn bind_relays(subnet: &Subnet, index: u8) -> io::Result<[Relay; 3]> {
    let relay = |port| {
        let address = |host| SocketAddr::from((subnet.address(host + index), port));
        Relay::bind(address(RELAY_HOST), address(CONTROL_HOST))
    };
    let (sessions, api, log) = CONTROL_PORTS;
    Ok([relay(sessions)?, relay(api)?, relay(log)?])
}

/// Returns the address of a service by its index in the layout.
fn service_address(index: usize) -> Ipv4Addr {
    Ipv4Addr::new(10, 100, 0, 1 + index as u8)
}
