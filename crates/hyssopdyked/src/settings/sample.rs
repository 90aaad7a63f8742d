//! Settings for tests.

use std::net::{IpAddr, Ipv4Addr};

use super::{Cluster, Common, Log, LogFormat, Vm};

/// Passphrase of the sample settings.
pub(crate) const PASSPHRASE: &str = "for tests only, long";

/// Returns the settings of a VM on loopback in the failure domain `d`.
pub(crate) fn common(name: &str) -> Common {
    let address = IpAddr::V4(Ipv4Addr::LOCALHOST);
    Common {
        vm: Vm { name: name.into(), domain: "d".into(), address },
        cluster: Cluster { passphrase: PASSPHRASE.into(), control: Vec::new() },
        log: Log {
            level: slog::Level::Critical,
            format: LogFormat::Json,
            statsd: None,
            metrics: None,
        },
    }
}
