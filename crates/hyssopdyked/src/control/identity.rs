//! The identity of a data folder, which tells a VM from its former self after its disk was lost.

use hyssopdyke::process::{DataDir, Disk};
use hyssopdyke::vm;

const FILE: &str = "identity";

/// The identity file is damaged.
#[derive(Debug)]
#[derive(thiserror::Error)]
pub(super) enum Error {
    #[error("identity: {0}")]
    Io(#[from] std::io::Error),
    #[error("identity: {0} bytes in place of 8")]
    Length(usize),
}

/// Identity of a data folder.
pub(super) struct Identity;

impl Identity {
    /// Reads the identity of a folder, which gets one if it has none: a known one where the
    /// system is formed, and one that was never used otherwise.
    pub(super) fn open(folder: &mut DataDir, forms: bool, name: &str) -> Result<u64, Error> {
        if let Some(bytes) = folder.read(FILE)? {
            let bytes: [u8; 8] =
                bytes.as_slice().try_into().map_err(|_| Error::Length(bytes.len()))?;
            return Ok(u64::from_le_bytes(bytes));
        }
        let identity = if forms { first(name) } else { rand::random() };
        folder.replace(FILE, &identity.to_le_bytes())?;
        Ok(identity)
    }
}

/// Identity of the folder with which a VM forms the system.
pub(super) fn first(name: &str) -> u64 {
    vm::id(name)
}
