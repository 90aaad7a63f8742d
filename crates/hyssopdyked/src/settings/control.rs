//! Settings of a control VM.

use std::fmt;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::time::Duration;

use super::fault::Cause;
use super::{Role, Section, Vm};

/// Data folder, ports, peers and lease length of a control VM.
#[derive(Debug, Clone)]
pub(crate) struct Control {
    /// Folder of the replicated log and the snapshots.
    pub(crate) data: Box<Path>,
    /// Port that accepts sessions of daemons.
    pub(crate) session_port: u16,
    /// Address that accepts HTTP requests of operators.
    pub(crate) api: SocketAddr,
    /// Whether the platform's HTTP API is served in addition to the product's own.
    pub(crate) platform: bool,
    /// Port that accepts messages from other control VMs.
    pub(crate) replica_port: u16,
    /// Other voters at the first start of the system, as `name@address:port`.
    pub(crate) voters: Vec<Voter>,
    /// Addresses of the control VMs that form a new system, instead of `voters`. Each control VM is
    /// then named by its address.
    pub(crate) seeds: Vec<SocketAddr>,
    /// Number of simultaneous control VM failures to tolerate.
    pub(crate) tolerance: usize,
    /// Length of the leases granted to daemons.
    pub(crate) lease: Duration,
    /// Whether to form a new system with `voters` if the data folder is empty. Also set by the
    /// command-line flag `--form`.
    pub(crate) bootstrap: bool,
}

/// Name of a control VM and address of its replica port.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) struct Voter {
    pub(crate) name: Box<str>,
    pub(crate) address: SocketAddr,
}

impl std::str::FromStr for Voter {
    type Err = ();

    fn from_str(text: &str) -> Result<Self, ()> {
        let (name, address) = text.split_once('@').ok_or(())?;
        Ok(Self { name: name.into(), address: address.parse().map_err(|_| ())? })
    }
}

impl Role for Control {
    const SECTION: &'static str = "control";

    fn read(section: &mut Section<'_>, vm: Option<&Vm>) -> Option<Self> {
        let data: Option<PathBuf> = section.value("data", "a path");
        let session_port = section.number("session_port", 5560, (0, u16::MAX));
        let api_port = section.number("api_port", 5561, (0, u16::MAX));
        let replica_port = section.number("replica_port", 5562, (0, u16::MAX));
        let voters = section.list("voters", "a list of name@address:port");
        let lease = section.time(
            "lease",
            Duration::from_secs(3),
            (Duration::from_millis(500), Duration::from_mins(1)),
        );
        let api = section.optional("api", "a socket address");
        let platform = section.optional("platform", "true or false");
        let seeds = section.peers("seeds");
        let tolerance = section.number("tolerance", 1, (0, 3));
        let bootstrap = section.optional("form", "true or false");
        let address = vm?.address;
        let control = Self {
            data: data?.into(),
            session_port: session_port?,
            api: api.unwrap_or(SocketAddr::new(address, api_port?)),
            platform: platform.unwrap_or(false),
            seeds: seeds?,
            tolerance: tolerance?,
            replica_port: replica_port?,
            voters: voters?,
            lease: lease?,
            bootstrap: bootstrap.unwrap_or(false),
        };
        control.check_conflicts(section);
        Some(control)
    }
}

impl Control {
    fn check_conflicts(&self, section: &mut Section<'_>) {
        let ports = [
            ("session_port", self.session_port),
            ("api_port", self.api.port()),
            ("replica_port", self.replica_port),
        ];
        for (index, (key, port)) in ports.iter().enumerate() {
            let earlier = ports[..index].iter().find(|(_, other)| other == port && *port != 0);
            if let Some((other, _)) = earlier {
                section.add_fault(key, Cause::Conflict { value: port.to_string().into(), other });
            }
        }
    }
}

impl fmt::Display for Control {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        writeln!(formatter, "[control]")?;
        writeln!(formatter, "data = {}", self.data.display())?;
        writeln!(formatter, "session_port = {}", self.session_port)?;
        writeln!(formatter, "api = {}", self.api)?;
        writeln!(formatter, "platform = {}", self.platform)?;
        writeln!(formatter, "replica_port = {}", self.replica_port)?;
        let voters: Vec<_> =
            self.voters.iter().map(|voter| format!("{}@{}", voter.name, voter.address)).collect();
        writeln!(formatter, "voters = {}", voters.join(", "))?;
        let seeds: Vec<_> = self.seeds.iter().map(SocketAddr::to_string).collect();
        writeln!(formatter, "seeds = {}", seeds.join(", "))?;
        writeln!(formatter, "tolerance = {}", self.tolerance)?;
        writeln!(formatter, "form = {}", self.bootstrap)?;
        writeln!(formatter, "lease = {}", humantime::format_duration(self.lease))
    }
}
