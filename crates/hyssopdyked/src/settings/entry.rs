//! Settings of an entry.

use std::fmt;

use super::fault::Cause;
use super::{Role, Section, Vm};

/// Ports and memory of an entry.
#[derive(Debug, Clone)]
pub(crate) struct Entry {
    /// Takes IP packets in UDP from the fabric.
    pub(crate) fabric_port: u16,
    /// Takes datagrams of other daemons.
    pub(crate) peer_port: u16,
    /// Flows whose owner is remembered.
    pub(crate) cached_flows: usize,
}

impl Role for Entry {
    const SECTION: &'static str = "entry";

    fn read(section: &mut Section<'_>, _: Option<&Vm>) -> Option<Self> {
        let fabric_port = section.number("fabric_port", 5555, (0, u16::MAX));
        let peer_port = section.number("peer_port", 5556, (0, u16::MAX));
        let cached_flows = section.number("cached_flows", 200_000, (1_000, 10_000_000));
        if fabric_port == peer_port && peer_port.is_some_and(|port| port != 0) {
            let value = peer_port.unwrap_or_default().to_string().into();
            section.fault("peer_port", Cause::Clash { value, other: "fabric_port" });
        }
        Some(Self { fabric_port: fabric_port?, peer_port: peer_port?, cached_flows: cached_flows? })
    }
}

impl fmt::Display for Entry {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        writeln!(formatter, "[entry]")?;
        writeln!(formatter, "fabric_port = {}", self.fabric_port)?;
        writeln!(formatter, "peer_port = {}", self.peer_port)?;
        writeln!(formatter, "cached_flows = {}", self.cached_flows)
    }
}
