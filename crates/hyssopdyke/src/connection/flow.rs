//! Identity of a flow.

use std::hash::{Hash, Hasher};
use std::net::{IpAddr, SocketAddr};

use bytes::Bytes;
use hyssopdyke_wire::{datagram, resource};
use siphasher::sip::SipHasher13;

/// Transport protocol of a flow.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub enum Protocol {
    /// RFC 9293.
    Tcp,
    /// RFC 768.
    Udp,
}

/// Errors of reading a flow from a message.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
#[derive(thiserror::Error)]
pub enum Error {
    /// The message contains no flow.
    #[error("message contains no flow")]
    Missing,
    /// The protocol is neither TCP nor UDP.
    #[error("expected protocol TCP or UDP, found unknown protocol {0}")]
    Protocol(u32),
    /// An address is neither 4 nor 16 bytes long.
    #[error("expected an IP address of 4 or 16 bytes, found {0} bytes")]
    Address(usize),
    /// A port is above 65535.
    #[error("expected a port of at most 65535, found {0}")]
    Port(u32),
}

/// The 5-tuple that all packets of a flow have in common.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub struct Flow {
    /// Transport protocol.
    pub protocol: Protocol,
    /// Address and port of the caller.
    pub caller: SocketAddr,
    /// Address and port of the service.
    pub service: SocketAddr,
}

impl Flow {
    /// Returns a hash with secret keys, so that callers cannot choose the home of their flows.
    #[must_use]
    pub fn hash(&self, keys: (u64, u64)) -> u64 {
        let mut hasher = SipHasher13::new_with_keys(keys.0, keys.1);
        Hash::hash(self, &mut hasher);
        hasher.finish()
    }
}

impl std::fmt::Display for Flow {
    fn fmt(&self, formatter: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        let protocol = match self.protocol {
            Protocol::Tcp => "tcp",
            Protocol::Udp => "udp",
        };
        write!(formatter, "{protocol}:{}>{}", self.caller, self.service)
    }
}

impl From<Flow> for datagram::Flow {
    fn from(flow: Flow) -> Self {
        let protocol = match flow.protocol {
            Protocol::Tcp => resource::Protocol::Tcp,
            Protocol::Udp => resource::Protocol::Udp,
        };
        Self {
            protocol: protocol as u32,
            caller: octets(flow.caller.ip()),
            caller_port: u32::from(flow.caller.port()),
            service: octets(flow.service.ip()),
            service_port: u32::from(flow.service.port()),
        }
    }
}

impl TryFrom<&datagram::Flow> for Flow {
    type Error = Error;

    fn try_from(message: &datagram::Flow) -> Result<Self, Error> {
        let protocol = match resource::Protocol::try_from(message.protocol.cast_signed()) {
            Ok(resource::Protocol::Tcp) => Protocol::Tcp,
            Ok(resource::Protocol::Udp) => Protocol::Udp,
            _ => return Err(Error::Protocol(message.protocol)),
        };
        Ok(Self {
            protocol,
            caller: socket_address(&message.caller, message.caller_port)?,
            service: socket_address(&message.service, message.service_port)?,
        })
    }
}

impl TryFrom<Option<&datagram::Flow>> for Flow {
    type Error = Error;

    fn try_from(message: Option<&datagram::Flow>) -> Result<Self, Error> {
        message.ok_or(Error::Missing)?.try_into()
    }
}

fn octets(address: IpAddr) -> Bytes {
    match address {
        IpAddr::V4(address) => Bytes::copy_from_slice(&address.octets()),
        IpAddr::V6(address) => Bytes::copy_from_slice(&address.octets()),
    }
}

fn socket_address(address: &Bytes, port: u32) -> Result<SocketAddr, Error> {
    let ip = if let Ok(octets) = <[u8; 4]>::try_from(&address[..]) {
        IpAddr::from(octets)
    } else if let Ok(octets) = <[u8; 16]>::try_from(&address[..]) {
        IpAddr::from(octets)
    } else {
        return Err(Error::Address(address.len()));
    };
    let port = u16::try_from(port).map_err(|_| Error::Port(port))?;
    Ok(SocketAddr::new(ip, port))
}
