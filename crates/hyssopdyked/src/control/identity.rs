//! The identity of a data folder, by which other VMs notice that a VM has lost its disk.

use hyssopdyke::process::{DataDir, Disk};
use hyssopdyke::vm;

const FILE_NAME: &str = "identity";

/// Errors of reading or writing the identity file.
#[derive(Debug)]
#[derive(thiserror::Error)]
pub(super) enum Error {
    #[error("identity: {0}")]
    Io(#[from] std::io::Error),
    #[error("identity: expected 8 bytes, found {0}")]
    Length(usize),
}

/// Identity of a data folder.
pub(super) struct Identity;

impl Identity {
    /// Reads the identity of a folder, or creates it: the [`bootstrap`] identity when the cluster is
    /// formed, and a random one otherwise.
    pub(super) fn open(folder: &mut DataDir, is_bootstrap: bool, name: &str) -> Result<u64, Error> {
        if let Some(bytes) = folder.read(FILE_NAME)? {
            let bytes: [u8; 8] =
                bytes.as_slice().try_into().map_err(|_| Error::Length(bytes.len()))?;
            return Ok(u64::from_le_bytes(bytes));
        }
        let identity = if is_bootstrap { bootstrap(name) } else { rand::random() };
        folder.replace(FILE_NAME, &identity.to_le_bytes())?;
        Ok(identity)
    }
}

/// Returns the identity of a data folder with which a VM forms the cluster.
pub(super) fn bootstrap(name: &str) -> u64 {
    vm::id(name)
}
