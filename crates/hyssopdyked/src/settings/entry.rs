//! Settings of an entry.

use std::fmt;
use std::net::SocketAddr;
use std::time::Duration;

use super::fault::Cause;
use super::{PacketFormat, Role, Section, Vm};

/// Default of `grace`. Service managers commonly allow as much time for a stop.
const DEFAULT_GRACE: Duration = Duration::from_secs(5);

/// Minimum and maximum of `grace`.
const GRACE_BOUNDS: (Duration, Duration) = (Duration::from_millis(100), Duration::from_hours(1));

/// Ports, stop timeout, cache size and link rate of an entry.
#[derive(Debug, Clone)]
pub(crate) struct Entry {
    /// Format of the packets exchanged with the fabric.
    pub(crate) packets: PacketFormat,
    /// Address that receives packets from the fabric.
    pub(crate) fabric: SocketAddr,
    /// Address that answers the fabric's readiness probes: whether this entry should get packets.
    pub(crate) readiness: Option<SocketAddr>,
    /// Time between the stop request and the end of the process.
    pub(crate) grace: Duration,
    /// Port that receives datagrams from other daemons.
    pub(crate) peer_port: u16,
    /// Maximum number of flows in the owner cache.
    pub(crate) cached_flows: usize,
    /// Rate of the VM's link, in megabits per second. Without it packets are not rate-limited.
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
            section.add_fault("peer_port", Cause::Conflict { value, other: "fabric_port" });
        }
        let packets = section.optional("packets", "one of tunneled, platform");
        let fabric = section.optional("fabric", "a socket address");
        let grace = section.time("grace", DEFAULT_GRACE, GRACE_BOUNDS);
        let readiness = section.optional("readiness", "a socket address");
        let link_mbit = section.optional("link_mbit", "a rate in megabits a second");
        if link_mbit.is_some_and(|rate: f64| !rate.is_finite() || rate <= 0.0) {
            let value = link_mbit.unwrap_or_default().to_string().into();
            section.add_fault(
                "link_mbit",
                Cause::InvalidValue { value, expected: "a rate above zero" },
            );
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
