//! Settings of an agent.

use std::fmt;
use std::net::SocketAddr;
use std::time::Duration;

use super::fault::Cause;
use super::{Role, Section, Vm};

const SECOND: Duration = Duration::from_secs(1);
const HOUR: Duration = Duration::from_hours(1);

/// The upstream of an agent, its ports, and its patience.
#[derive(Debug, Clone)]
pub(crate) struct Agent {
    /// Service that the upstream serves.
    pub(crate) service: Box<str>,
    /// Takes datagrams of other daemons.
    pub(crate) peer_port: u16,
    /// Takes IP packets in UDP from the upstream.
    pub(crate) answer_port: u16,
    /// Where the upstream's VM takes IP packets in UDP.
    pub(crate) upstream: SocketAddr,
    /// Where the fabric takes answers as IP packets in UDP.
    pub(crate) fabric: SocketAddr,
    /// Silence of one end after which a TCP flow is probed.
    pub(crate) probe_after: Duration,
    /// Silence after which a UDP flow has ended.
    pub(crate) datagram_idle: Duration,
}

impl Role for Agent {
    const SECTION: &'static str = "agent";

    fn read(section: &mut Section<'_>, vm: Option<&Vm>) -> Option<Self> {
        let service = section.text("service");
        let peer_port = section.number("peer_port", 5556, (0, u16::MAX));
        let answer_port = section.number("answer_port", 5557, (0, u16::MAX));
        let upstream = section.value("upstream", "a socket address");
        let fabric = section.value("fabric", "a socket address");
        let probe_after = section.time("probe_after", 30 * SECOND, (SECOND, HOUR));
        let datagram_idle = section.time("datagram_idle", 120 * SECOND, (SECOND, 24 * HOUR));
        if answer_port == peer_port && peer_port.is_some_and(|port| port != 0) {
            let value = peer_port.unwrap_or_default().to_string().into();
            section.fault("answer_port", Cause::Clash { value, other: "peer_port" });
        }
        let agent = Self {
            service: service?,
            peer_port: peer_port?,
            answer_port: answer_port?,
            upstream: upstream?,
            fabric: fabric?,
            probe_after: probe_after?,
            datagram_idle: datagram_idle?,
        };
        agent.check_clashes(section, vm?);
        Some(agent)
    }
}

impl Agent {
    fn check_clashes(&self, section: &mut Section<'_>, vm: &Vm) {
        let own = [("peer_port", self.peer_port), ("answer_port", self.answer_port)];
        for (key, port) in own {
            if self.upstream == SocketAddr::new(vm.address, port) {
                let value = self.upstream.to_string().into();
                section.fault("upstream", Cause::Clash { value, other: key });
            }
        }
        if self.upstream == self.fabric {
            let value = self.fabric.to_string().into();
            section.fault("fabric", Cause::Clash { value, other: "upstream" });
        }
    }
}

impl fmt::Display for Agent {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        writeln!(formatter, "[agent]")?;
        writeln!(formatter, "service = {}", self.service)?;
        writeln!(formatter, "peer_port = {}", self.peer_port)?;
        writeln!(formatter, "answer_port = {}", self.answer_port)?;
        writeln!(formatter, "upstream = {}", self.upstream)?;
        writeln!(formatter, "fabric = {}", self.fabric)?;
        let probe_after = humantime::format_duration(self.probe_after);
        writeln!(formatter, "probe_after = {probe_after}")?;
        let datagram_idle = humantime::format_duration(self.datagram_idle);
        writeln!(formatter, "datagram_idle = {datagram_idle}")
    }
}
