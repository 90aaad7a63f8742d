//! Settings of an agent.

use std::fmt;
use std::net::SocketAddr;
use std::time::Duration;

use super::fault::Cause;
use super::{PacketFormat, Role, Section, Vm};

const SECOND: Duration = Duration::from_secs(1);
const HOUR: Duration = Duration::from_hours(1);

/// Upstream, ports and timeouts of an agent.
#[derive(Debug, Clone)]
pub(crate) struct Agent {
    /// Service that the upstream serves.
    pub(crate) service: Box<str>,
    /// Port that receives datagrams from other daemons.
    pub(crate) peer_port: u16,
    /// Format of the packets exchanged with the upstream and the fabric.
    pub(crate) packets: PacketFormat,
    /// Address that receives packets from the upstream.
    pub(crate) answers: SocketAddr,
    /// Address to which packets for the upstream are sent.
    pub(crate) upstream: SocketAddr,
    /// Address to which answers are sent. In the platform's format only the port is used.
    pub(crate) fabric: SocketAddr,
    /// Address that answers readiness probes of this agent.
    pub(crate) readiness: Option<SocketAddr>,
    /// Address that receives the upstream's status reports. Without it the upstream is assumed to be
    /// serving.
    pub(crate) reports: Option<SocketAddr>,
    /// Interval of the upstream's status reports.
    pub(crate) heartbeat: Duration,
    /// Idle time of one end after which a TCP flow is probed.
    pub(crate) probe_after: Duration,
    /// Idle time after which a UDP flow is considered ended.
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
            section.add_fault("answer_port", Cause::Conflict { value, other: "peer_port" });
        }
        let packets = section.optional("packets", "one of tunneled, platform");
        let answers = section.optional("answers", "a socket address");
        let readiness = section.optional("readiness", "a socket address");
        let reports = section.optional("reports", "a socket address");
        let heartbeat = section.time("heartbeat", SECOND, (SECOND / 100, HOUR));
        let address = vm?.address;
        let answers_key = if answers.is_some() { "answers" } else { "answer_port" };
        let agent = Self {
            service: service?,
            peer_port: peer_port?,
            packets: packets.unwrap_or(PacketFormat::Tunneled),
            answers: answers.unwrap_or(SocketAddr::new(address, answer_port?)),
            readiness,
            reports,
            heartbeat: heartbeat?,
            upstream: upstream?,
            fabric: fabric?,
            probe_after: probe_after?,
            datagram_idle: datagram_idle?,
        };
        agent.check_conflicts(section, vm?, answers_key);
        Some(agent)
    }
}

impl Agent {
    fn check_conflicts(&self, section: &mut Section<'_>, vm: &Vm, answers_key: &'static str) {
        let peer_address = SocketAddr::new(vm.address, self.peer_port);
        for (key, own_address) in [("peer_port", peer_address), (answers_key, self.answers)] {
            if self.upstream == own_address {
                let value = self.upstream.to_string().into();
                section.add_fault("upstream", Cause::Conflict { value, other: key });
            }
        }
        if self.upstream == self.fabric {
            let value = self.fabric.to_string().into();
            section.add_fault("fabric", Cause::Conflict { value, other: "upstream" });
        }
    }
}

impl fmt::Display for Agent {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        writeln!(formatter, "[agent]")?;
        writeln!(formatter, "service = {}", self.service)?;
        writeln!(formatter, "peer_port = {}", self.peer_port)?;
        writeln!(formatter, "packets = {}", self.packets)?;
        writeln!(formatter, "answers = {}", self.answers)?;
        writeln!(formatter, "upstream = {}", self.upstream)?;
        writeln!(formatter, "fabric = {}", self.fabric)?;
        if let Some(readiness) = self.readiness {
            writeln!(formatter, "readiness = {readiness}")?;
        }
        if let Some(reports) = self.reports {
            writeln!(formatter, "reports = {reports}")?;
        }
        writeln!(formatter, "heartbeat = {}", humantime::format_duration(self.heartbeat))?;
        let probe_after = humantime::format_duration(self.probe_after);
        writeln!(formatter, "probe_after = {probe_after}")?;
        let datagram_idle = humantime::format_duration(self.datagram_idle);
        writeln!(formatter, "datagram_idle = {datagram_idle}")
    }
}
