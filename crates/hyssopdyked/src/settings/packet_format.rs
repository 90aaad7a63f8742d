//! The form of packets at the borders to callers and upstreams.

use std::fmt;
use std::str::FromStr;

/// Form of packets.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum PacketFormat {
    /// IP packets in UDP, through one fabric.
    Tunneled,
    /// The form of the users' platform.
    Platform,
}

impl FromStr for PacketFormat {
    type Err = ();

    fn from_str(text: &str) -> Result<Self, ()> {
        match text {
            "tunneled" => Ok(Self::Tunneled),
            "platform" => Ok(Self::Platform),
            _ => Err(()),
        }
    }
}

impl fmt::Display for PacketFormat {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.write_str(match self {
            Self::Tunneled => "tunneled",
            Self::Platform => "platform",
        })
    }
}
