//! Settings shared by all processes of one system.

use std::fmt;
use std::net::SocketAddr;

use super::fault::Cause;
use super::{Control, Role, Section};

/// Minimum length of the passphrase, in bytes.
const MIN_PASSPHRASE_LENGTH: usize = 16;

/// Shared passphrase and addresses of the control VMs.
#[derive(Clone)]
pub(crate) struct Cluster {
    pub(crate) passphrase: Box<str>,
    /// Addresses on which the control VMs accept sessions.
    pub(crate) control: Vec<SocketAddr>,
}

impl Cluster {
    pub(super) fn read(section: &mut Section<'_>, role: &str) -> Option<Self> {
        let passphrase = section.text("passphrase");
        let mut control = section.peers("control");
        // The listed addresses may have another port of the same VMs.
        if let Some(port) = section.optional("session_port", "a port") {
            control.iter_mut().flatten().for_each(|address| address.set_port(port));
        }
        if role != Control::SECTION && control.as_ref().is_some_and(Vec::is_empty) {
            section.add_fault("control", Cause::Missing);
        }
        if passphrase.as_ref().is_some_and(|text| text.len() < MIN_PASSPHRASE_LENGTH) {
            let expected = "a passphrase of at least 16 characters";
            section.add_fault(
                "passphrase",
                Cause::InvalidValue { value: "(hidden)".into(), expected },
            );
        }
        Some(Self { passphrase: passphrase?, control: control? })
    }
}

impl fmt::Display for Cluster {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        let control: Vec<_> = self.control.iter().map(SocketAddr::to_string).collect();
        writeln!(formatter, "[cluster]")?;
        writeln!(formatter, "passphrase = (hidden)")?;
        writeln!(formatter, "control = {}", control.join(", "))
    }
}

impl fmt::Debug for Cluster {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.debug_struct("Cluster").field("control", &self.control).finish_non_exhaustive()
    }
}
