//! Identity of VMs.

use siphasher::sip::SipHasher13;

/// Hash of a VM's name, the same in every process.
pub type Id = u64;

/// Keys of the hash that turns names into ids.
const NAME_KEYS: (u64, u64) = (0x6879_7373_6f70_6479, 0x6b65_2d76_6d2d_6964);

/// Hashes a VM's name.
#[must_use]
pub fn id(name: &str) -> Id {
    SipHasher13::new_with_keys(NAME_KEYS.0, NAME_KEYS.1).hash(name.as_bytes())
}
