//! Format of the packets exchanged with callers and upstreams.

use std::fmt;
use std::str::FromStr;

/// Packet format.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum PacketFormat {
    /// IP packets tunneled in UDP, through a single fabric.
    Tunneled,
    /// Format of the users' platform.
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
