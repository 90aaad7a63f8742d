//! Settings of an entry.

use std::fmt;
use std::net::SocketAddr;
use std::time::Duration;

use super::fault::Cause;
use super::{PacketFormat, Role, Section, Vm};

/// Time that a stopping entry has where none is set: what service managers commonly give.
const GRACE: Duration = Duration::from_secs(5);

/// Least and most of what may be set for it.
const GRACES: (Duration, Duration) = (Duration::from_millis(100), Duration::from_hours(1));

/// Ports and memory of an entry.
#[derive(Debug, Clone)]
pub(crate) struct Entry {
    /// Form of the fabric's packets.
    pub(crate) packets: PacketFormat,
    /// Takes packets from the fabric.
    pub(crate) fabric: SocketAddr,
    /// Takes the fabric's question whether this entry shall get packets.
    pub(crate) readiness: Option<SocketAddr>,
    /// Time between the request to stop and the end of the process.
    pub(crate) grace: Duration,
    /// Takes datagrams of other daemons.
    pub(crate) peer_port: u16,
    /// Flows whose owner is remembered.
    pub(crate) cached_flows: usize,
    /// Rate of the VM's link in megabits a second; without it packets are not held back.
    pub(crate) link_mbit: Option<f64>,
}

impl Role for Entry {
    const SECTION: &'static str = "entry";

    fn read(section: &mut Section<'_>, vm: Option<&Vm>) -> Option<Self> {
        let fabric_port = section.number("fabric_port", 5555, (0, u16::MAX));
        let peer_port = section.number("peer_port", 5556, (0, u16::MAX));
        let cached_flows = section.number("cached_flows", 200_000, (1_000, 10_000_000));
        if fabric_port == peer_port && peer_port.is_some_and(|port| port != 0) {
            let value = peer_port.unwrap_or_default().to_string().into();
            section.fault("peer_port", Cause::Clash { value, other: "fabric_port" });
        }
        let packets = section.optional("packets", "one of tunneled, platform");
        let fabric = section.optional("fabric", "a socket address");
        let grace = section.time("grace", GRACE, GRACES);
        let readiness = section.optional("readiness", "a socket address");
        let link_mbit = section.optional("link_mbit", "a rate in megabits a second");
        if link_mbit.is_some_and(|rate: f64| !rate.is_finite() || rate <= 0.0) {
            let value = link_mbit.unwrap_or_default().to_string().into();
            section.fault("link_mbit", Cause::Form { value, expected: "a rate above zero" });
        }
        let address = vm?.address;
        Some(Self {
            packets: packets.unwrap_or(PacketFormat::Tunneled),
            fabric: fabric.unwrap_or(SocketAddr::new(address, fabric_port?)),
            readiness,
            grace: grace?,
            peer_port: peer_port?,
            cached_flows: cached_flows?,
            link_mbit,
        })
    }
}

impl fmt::Display for Entry {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        writeln!(formatter, "[entry]")?;
        writeln!(formatter, "packets = {}", self.packets)?;
        writeln!(formatter, "fabric = {}", self.fabric)?;
        if let Some(readiness) = self.readiness {
            writeln!(formatter, "readiness = {readiness}")?;
        }
        writeln!(formatter, "grace = {}", humantime::format_duration(self.grace))?;
        writeln!(formatter, "peer_port = {}", self.peer_port)?;
        writeln!(formatter, "cached_flows = {}", self.cached_flows)?;
        if let Some(rate) = self.link_mbit {
            writeln!(formatter, "link_mbit = {rate}")?;
        }
        Ok(())
    }
}
