//! Settings of the VM on which a process runs.

use std::fmt;
use std::net::IpAddr;

use super::Section;

/// Name, failure domain and address of the VM.
#[derive(Debug, Clone)]
pub(crate) struct Vm {
    pub(crate) name: Box<str>,
    pub(crate) domain: Box<str>,
    pub(crate) address: IpAddr,
}

impl Vm {
    pub(super) fn read(section: &mut Section<'_>) -> Option<Self> {
        let name = section.text("name");
        let domain = section.text("domain");
        let address = section.value("address", "an IP address");
        Some(Self { name: name?, domain: domain?, address: address? })
    }
}

impl fmt::Display for Vm {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        writeln!(formatter, "[vm]")?;
        writeln!(formatter, "name = {}", self.name)?;
        writeln!(formatter, "domain = {}", self.domain)?;
        writeln!(formatter, "address = {}", self.address)
    }
}
