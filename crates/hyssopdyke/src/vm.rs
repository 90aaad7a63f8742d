//! Identity of VMs.

use siphasher::sip::SipHasher13;

/// Hash of a VM's name, equal in every process.
pub type Id = u64;

/// `SipHash` keys for VM names, fixed so that every process computes the same ids.
const NAME_KEYS: (u64, u64) = (0x6879_7373_6f70_6479, 0x6b65_2d76_6d2d_6964);

/// Returns the id of a VM, the hash of its name.
#[must_use]
pub fn id(name: &str) -> Id {
    SipHasher13::new_with_keys(NAME_KEYS.0, NAME_KEYS.1).hash(name.as_bytes())
}
