//! Validation of resources that operators write.

use std::net::{IpAddr, SocketAddr};

use hyssopdyke::version::Store;
use hyssopdyke_wire::resource::{
    Class, Kind, Listener, Protocol, Resource, Service, resource::Body,
};

/// Errors in a resource.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(thiserror::Error)]
pub(super) enum Error {
    #[error("name {0:?}: must be 1 to 63 letters, digits, '-' or '.'")]
    InvalidName(Box<str>),
    #[error("body: must be of kind {0}")]
    WrongKind(&'static str),
    #[error("an operator may not write a resource of kind {0}")]
    ReadOnly(&'static str),
    #[error("listeners: expected at least one listener, found none")]
    MissingListener,
    #[error("listeners: address {0:?} is not an IP address")]
    InvalidAddress(Box<str>),
    #[error("member {name}: address {address:?} is not a socket address")]
    InvalidMemberAddress { name: Box<str>, address: Box<str> },
    #[error("listeners: port {0} is not between 1 and 65535")]
    InvalidPort(u32),
    #[error("listeners: protocol must be tcp or udp")]
    MissingProtocol,
    #[error("listeners: class must be stream or request")]
    MissingClass,
    #[error("listeners: {listener} also belongs to service {service}")]
    ListenerConflict { listener: Box<str>, service: Box<str> },
    #[error("service {service}: route {route} sends it new flows")]
    ServiceInUse { service: Box<str>, route: Box<str> },
    #[error("{key}: {value} is not between {min} and {max}")]
    OutOfRange { key: &'static str, value: u32, min: u32, max: u32 },
}

/// Maximum connections or slots of one upstream.
const MAX_CAPACITY: u32 = 1_000_000;

/// Checks the name of a resource.
pub(super) fn check_name(name: &str) -> Result<(), Error> {
    let is_allowed = |c: char| c.is_ascii_alphanumeric() || c == '-' || c == '.';
    if (1..=63).contains(&name.len()) && name.chars().all(is_allowed) {
        Ok(())
    } else {
        Err(Error::InvalidName(name.into()))
    }
}

/// Checks the address of a control VM that is to become a voter.
pub(super) fn check_member(name: &str, address: &str) -> Result<(), Error> {
    check_name(name)?;
    address
        .parse::<SocketAddr>()
        .map(|_| ())
        .map_err(|_| Error::InvalidMemberAddress { name: name.into(), address: address.into() })
}

/// Checks a service, and its listeners against those of other services.
pub(super) fn check_service(store: &Store, name: &str, service: &Service) -> Result<(), Error> {
    check_range("connections", service.connections, 1, MAX_CAPACITY)?;
    check_range("slots", service.slots, 1, MAX_CAPACITY)?;
    check_range("cold_slots", service.cold_slots, 1, service.slots)?;
    if service.listeners.is_empty() {
        return Err(Error::MissingListener);
    }
    for listener in &service.listeners {
        check_listener(listener)?;
        if let Some(other) = find_conflict(store, name, listener) {
            let address = format!("{}:{}", listener.address, listener.port);
            return Err(Error::ListenerConflict {
                listener: address.into(),
                service: other.into(),
            });
        }
    }
    Ok(())
}

/// Checks that no route sends new flows to a service that is to be deleted.
pub(super) fn check_unused(store: &Store, name: &str) -> Result<(), Error> {
    let uses = |resource: &&Resource| match &resource.body {
        Some(Body::Route(route)) => {
            route.splits.iter().any(|split| split.service == name && split.weight > 0)
        }
        _ => false,
    };
    store.list(Kind::Route).find(uses).map_or(Ok(()), |route| {
        Err(Error::ServiceInUse { service: name.into(), route: route.name.as_str().into() })
    })
}

fn check_listener(listener: &Listener) -> Result<(), Error> {
    if listener.address.parse::<IpAddr>().is_err() {
        return Err(Error::InvalidAddress(listener.address.as_str().into()));
    }
    if !(1..=u32::from(u16::MAX)).contains(&listener.port) {
        return Err(Error::InvalidPort(listener.port));
    }
    if listener.protocol() == Protocol::Unspecified {
        return Err(Error::MissingProtocol);
    }
    if listener.class() == Class::Unspecified {
        return Err(Error::MissingClass);
    }
    Ok(())
}

/// Returns the name of another service that has the listener.
fn find_conflict<'a>(store: &'a Store, name: &str, listener: &Listener) -> Option<&'a str> {
    let others = store.list(Kind::Service).filter(|other| other.name != name);
    let mut conflicts = others.filter(|other| match &other.body {
        Some(Body::Service(other)) => other.listeners.iter().any(|used| {
            used.address == listener.address
                && used.port == listener.port
                && used.protocol == listener.protocol
        }),
        _ => false,
    });
    conflicts.next().map(|other| other.name.as_str())
}

const fn check_range(key: &'static str, value: u32, min: u32, max: u32) -> Result<(), Error> {
    if value < min || value > max {
        return Err(Error::OutOfRange { key, value, min, max });
    }
    Ok(())
}

#[cfg(test)]
#[path = "validate_tests.rs"]
mod tests;
