//! Settings of a daemon, read from an INI file and validated as a whole.
//!
//! All faults of a file are reported at once. Each of them names its section and key.

mod agent;
mod cluster;
mod control;
mod entry;
mod fault;
mod file;
mod log;
mod packet_format;
#[cfg(test)]
pub(crate) mod sample;
mod vm;

pub(crate) use agent::Agent;
pub(crate) use cluster::Cluster;
pub(crate) use control::{Control, Voter};
pub(crate) use entry::Entry;
pub(crate) use fault::Error;
pub(crate) use file::{File, Section};
pub(crate) use log::{Log, LogFormat};
pub(crate) use packet_format::PacketFormat;
pub(crate) use vm::Vm;

use std::path::Path;

/// Settings common to all roles.
#[derive(Debug, Clone)]
pub(crate) struct Common {
    pub(crate) vm: Vm,
    pub(crate) cluster: Cluster,
    pub(crate) log: Log,
}

/// Settings of one role, together with the common settings.
#[derive(Debug, Clone)]
pub(crate) struct Settings<R> {
    pub(crate) common: Common,
    pub(crate) role: R,
}

/// Settings section of one role.
pub(crate) trait Role: Sized + std::fmt::Display {
    /// Name of the section.
    const SECTION: &'static str;

    /// Reads the section. Returns `None` if `section` has recorded a fault.
    fn read(section: &mut Section<'_>, vm: Option<&Vm>) -> Option<Self>;
}

impl<R: Role> Settings<R> {
    /// Reads and validates a file.
    pub(crate) fn open(path: &Path) -> Result<Self, Error> {
        let mut file = File::open(path)?;
        let vm = file.section("vm", Vm::read);
        let cluster = file.section("cluster", |section| Cluster::read(section, R::SECTION));
        let log = file.section("log", Log::read);
        let role = file.section(R::SECTION, |section| R::read(section, vm.as_ref()));
        file.finish()?;
        match (vm, cluster, log, role) {
            (Some(vm), Some(cluster), Some(log), Some(role)) => {
                Ok(Self { common: Common { vm, cluster, log }, role })
            }
            _ => Err(Error::Incomplete(path.into())),
        }
    }
}

impl<R: Role> std::fmt::Display for Settings<R> {
    fn fmt(&self, formatter: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        let Common { vm, cluster, log } = &self.common;
        write!(formatter, "{vm}\n{cluster}\n{log}\n{}", self.role)
    }
}

#[cfg(test)]
#[path = "tests.rs"]
mod tests;
