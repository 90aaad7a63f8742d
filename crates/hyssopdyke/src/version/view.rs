//! What a daemon derives from one revision to route packets.

use std::collections::{HashMap, HashSet};
use std::net::SocketAddr;
use std::sync::Arc;

use hyssopdyke_wire::resource::{self, Class, Kind, State, resource::Body};

use super::{Member, Pool, Store};
use crate::connection::Protocol;
use crate::vm;

/// What a service address stands for.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Service {
    /// One flow is one request and takes a slot.
    pub is_request: bool,
    /// The members that serve it.
    pub pool: Arc<Pool>,
}

/// A process that this daemon may exchange datagrams with.
#[derive(Debug, Clone, PartialEq, Eq)]
struct Peer {
    domain: Box<str>,
    is_agent: bool,
}

/// Routes of one revision.
#[derive(Debug, Clone, Default)]
pub struct View {
    revision: u64,
    services: HashMap<(SocketAddr, Protocol), Service>,
    pools: HashMap<Box<str>, Arc<Pool>>,
    peers: HashMap<SocketAddr, Peer>,
    boots: HashSet<u64>,
    out: HashSet<Box<str>>,
}

impl View {
    /// Derives the routes from a store.
    #[must_use]
    pub fn new(store: &Store) -> Self {
        let mut view = Self { revision: store.revision(), ..Self::default() };
        let mut domain_changes = HashMap::new();
        for domain in store.list(Kind::Domain) {
            domain_changes.insert(Box::from(domain.name.as_str()), domain.revision);
            if matches!(&domain.body, Some(Body::Domain(state)) if state.out) {
                view.out.insert(domain.name.as_str().into());
            }
        }
        let mut pools = pools(store);
        view.add_upstreams(store, &domain_changes, &mut pools);
        view.add_entries(store);
        view.add_services(store, pools);
        view
    }

    /// Revision of the routes.
    #[must_use]
    pub const fn revision(&self) -> u64 {
        self.revision
    }

    /// The service at an address.
    #[must_use]
    pub fn service(&self, address: SocketAddr, protocol: Protocol) -> Option<&Service> {
        self.services.get(&(address, protocol))
    }

    /// The members of a service.
    #[must_use]
    pub fn pool(&self, service: &str) -> Option<&Arc<Pool>> {
        self.pools.get(service)
    }

    /// Whether a failure domain was taken out.
    #[must_use]
    pub fn is_out(&self, domain: &str) -> bool {
        self.out.contains(domain)
    }

    /// Whether the process with this identity is registered.
    #[must_use]
    pub fn is_registered(&self, boot: u64) -> bool {
        self.boots.contains(&boot)
    }

    /// Whether a registered process has this address.
    #[must_use]
    pub fn is_peer(&self, address: SocketAddr) -> bool {
        self.peers.contains_key(&address)
    }

    /// Addresses of processes outside a failure domain, agents first.
    #[must_use]
    pub fn peers_outside(&self, domain: &str) -> Vec<SocketAddr> {
        let outside = self.peers.iter().filter(|(_, peer)| *peer.domain != *domain);
        let mut peers: Vec<_> = outside.map(|(address, peer)| (!peer.is_agent, *address)).collect();
        peers.sort_unstable();
        peers.into_iter().map(|(_, address)| address).collect()
    }

    /// Failure domain of a peer.
    #[must_use]
    pub fn domain_of(&self, address: SocketAddr) -> Option<&str> {
        self.peers.get(&address).map(|peer| &*peer.domain)
    }

    fn add_upstreams(
        &mut self,
        store: &Store,
        domain_changes: &HashMap<Box<str>, u64>,
        pools: &mut HashMap<Box<str>, Pool>,
    ) {
        for resource in store.list(Kind::Upstream) {
            let Some(Body::Upstream(upstream)) = &resource.body else {
                continue;
            };
            let Some(member) = member(&resource.name, upstream) else {
                continue;
            };
            self.boots.insert(upstream.boot);
            let peer = Peer { domain: member.domain.clone(), is_agent: true };
            self.peers.insert(member.address, peer);
            let Some(pool) = pools.get_mut(upstream.service.as_str()) else {
                continue;
            };
            let domain_change = domain_changes.get(&member.domain).copied().unwrap_or(0);
            pool.epoch = pool.epoch.max(domain_change);
            if self.is_out(&member.domain) {
                pool.out.push(member.vm);
            } else {
                pool.members.push(member);
            }
        }
    }

    fn add_entries(&mut self, store: &Store) {
        for resource in store.list(Kind::Entry) {
            let Some(Body::Entry(entry)) = &resource.body else {
                continue;
            };
            self.boots.insert(entry.boot);
            if let Ok(address) = entry.address.parse() {
                let peer = Peer { domain: entry.domain.as_str().into(), is_agent: false };
                self.peers.insert(address, peer);
            }
        }
    }

    fn add_services(&mut self, store: &Store, pools: HashMap<Box<str>, Pool>) {
        for (name, mut pool) in pools {
            pool.members.sort_unstable_by_key(|member| member.vm);
            self.pools.insert(name, Arc::new(pool));
        }
        for resource in store.list(Kind::Service) {
            let Some(Body::Service(service)) = &resource.body else {
                continue;
            };
            let Some(pool) = self.pools.get(resource.name.as_str()) else {
                continue;
            };
            for listener in &service.listeners {
                let Some(key) = listener_key(listener) else {
                    continue;
                };
                let is_request = listener.class() == Class::Request;
                self.services.insert(key, Service { is_request, pool: Arc::clone(pool) });
            }
        }
    }
}

/// The declared services, without members.
fn pools(store: &Store) -> HashMap<Box<str>, Pool> {
    let services = store.list(Kind::Service).filter_map(|resource| match &resource.body {
        Some(Body::Service(service)) => Some((resource, service)),
        _ => None,
    });
    let pools = services.map(|(resource, service)| {
        let name: Box<str> = resource.name.as_str().into();
        let pool = Pool {
            service: name.clone(),
            epoch: service.epoch,
            connections: service.connections,
            slots: service.slots,
            cold_slots: service.cold_slots,
            members: Vec::new(),
            out: Vec::new(),
        };
        (name, pool)
    });
    pools.collect()
}

fn member(name: &str, upstream: &resource::Upstream) -> Option<Member> {
    Some(Member {
        vm: vm::id(name),
        name: name.into(),
        domain: upstream.domain.as_str().into(),
        address: upstream.address.parse().ok()?,
        boot: upstream.boot,
        draining: upstream.state() == State::Draining,
    })
}

fn listener_key(listener: &resource::Listener) -> Option<(SocketAddr, Protocol)> {
    let protocol = match listener.protocol() {
        resource::Protocol::Tcp => Protocol::Tcp,
        resource::Protocol::Udp => Protocol::Udp,
        resource::Protocol::Unspecified => return None,
    };
    let port = u16::try_from(listener.port).ok()?;
    Some((SocketAddr::new(listener.address.parse().ok()?, port), protocol))
}
