//! Checks of what operators write.

use std::net::IpAddr;

use hyssopdyke::version::Store;
use hyssopdyke_wire::resource::{Class, Kind, Listener, Protocol, Service, resource::Body};

/// What is wrong with a resource.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(thiserror::Error)]
pub(super) enum Fault {
    #[error("name {0:?}: must be 1 to 63 letters, digits, '-' or '.'")]
    Name(Box<str>),
    #[error("body: must be of kind {0}")]
    Kind(&'static str),
    #[error("an operator may not write a resource of kind {0}")]
    ReadOnly(&'static str),
    #[error("listeners: at least one is needed")]
    NoListener,
    #[error("listeners: address {0:?} is not an IP address")]
    Address(Box<str>),
    #[error("listeners: port {0} is not between 1 and 65535")]
    Port(u32),
    #[error("listeners: protocol must be tcp or udp")]
    Protocol,
    #[error("listeners: class must be stream or request")]
    Class,
    #[error("listeners: {listener} also belongs to service {service}")]
    Clash { listener: Box<str>, service: Box<str> },
    #[error("{key}: {value} is not between {least} and {most}")]
    Range { key: &'static str, value: u32, least: u32, most: u32 },
}

/// Most connections or slots of one upstream.
const MOST: u32 = 1_000_000;

/// Checks the name of a resource.
pub(super) fn name(name: &str) -> Result<(), Fault> {
    let is_sound = |c: char| c.is_ascii_alphanumeric() || c == '-' || c == '.';
    if (1..=63).contains(&name.len()) && name.chars().all(is_sound) {
        Ok(())
    } else {
        Err(Fault::Name(name.into()))
    }
}

/// Checks a service against itself and the others.
pub(super) fn service(store: &Store, name: &str, service: &Service) -> Result<(), Fault> {
    range("connections", service.connections, 1, MOST)?;
    range("slots", service.slots, 1, MOST)?;
    range("cold_slots", service.cold_slots, 1, service.slots)?;
    if service.listeners.is_empty() {
        return Err(Fault::NoListener);
    }
    for listener in &service.listeners {
        check_listener(listener)?;
        if let Some(other) = user(store, name, listener) {
            let shown = format!("{}:{}", listener.address, listener.port);
            return Err(Fault::Clash { listener: shown.into(), service: other.into() });
        }
    }
    Ok(())
}

fn check_listener(listener: &Listener) -> Result<(), Fault> {
    if listener.address.parse::<IpAddr>().is_err() {
        return Err(Fault::Address(listener.address.as_str().into()));
    }
    if !(1..=u32::from(u16::MAX)).contains(&listener.port) {
        return Err(Fault::Port(listener.port));
    }
    if listener.protocol() == Protocol::Unspecified {
        return Err(Fault::Protocol);
    }
    if listener.class() == Class::Unspecified {
        return Err(Fault::Class);
    }
    Ok(())
}

/// Another service that has the listener.
fn user<'a>(store: &'a Store, name: &str, listener: &Listener) -> Option<&'a str> {
    let others = store.list(Kind::Service).filter(|other| other.name != name);
    let mut users = others.filter(|other| match &other.body {
        Some(Body::Service(other)) => other.listeners.iter().any(|known| {
            known.address == listener.address
                && known.port == listener.port
                && known.protocol == listener.protocol
        }),
        _ => false,
    });
    users.next().map(|other| other.name.as_str())
}

const fn range(key: &'static str, value: u32, least: u32, most: u32) -> Result<(), Fault> {
    if value < least || value > most {
        return Err(Fault::Range { key, value, least, most });
    }
    Ok(())
}
