//! Routes and peers that a daemon derives from one revision.

use std::collections::{BTreeMap, BTreeSet, HashMap, HashSet};
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use hyssopdyke_wire::resource::{self, Kind, State, resource::Body};

use super::{Capacity, DECLARATION_NAME, Groups, Member, Pool, Store};
use crate::connection::{Class, Protocol};
use crate::vm;

/// Share of a route's new flows for one service.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Share {
    /// Name of the service.
    pub service: Box<str>,
    /// Weight of the service, relative to the route's other shares.
    pub weight: u32,
}

/// Route of the flows to one service address.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Route {
    /// Class of the flows, which determines the capacity that a flow uses.
    pub class: Class,
    /// Target for the answer time; zero if not declared.
    pub objective: Duration,
    /// Time after which a caller no longer waits for its answer; zero if not declared.
    pub timeout: Duration,
    /// The services that receive new flows; none of them has weight 0.
    pub shares: Box<[Share]>,
    /// The members of these services and of those that they share routes with.
    pub pool: Arc<Pool>,
}

impl Route {
    /// Returns whether new flows of the route may go to a service.
    #[must_use]
    pub fn allows(&self, service: &str) -> bool {
        self.shares.iter().any(|share| *share.service == *service)
    }

    /// Returns the service for a random number in `0.0..1.0`, in proportion to the weights.
    #[must_use]
    pub fn draw_service(&self, random: f64) -> Option<&str> {
        let total: u64 = self.shares.iter().map(|share| u64::from(share.weight)).sum();
        let mut left = (random * total as f64) as u64;
        for share in &self.shares {
            match left.checked_sub(u64::from(share.weight)) {
                Some(rest) => left = rest,
                None => return Some(&share.service),
            }
        }
        self.shares.last().map(|share| &*share.service)
    }
}

/// A process with which this daemon may exchange datagrams.
#[derive(Debug, Clone, PartialEq, Eq)]
struct Peer {
    domain: Box<str>,
    is_agent: bool,
}

/// Routes, pools and peers of one revision.
#[derive(Debug, Clone, Default)]
pub struct View {
    revision: u64,
    routes: HashMap<(SocketAddr, Protocol), Arc<Route>>,
    /// Pools by service name.
    pools: HashMap<Box<str>, Arc<Pool>>,
    /// Version and idle timeout of the declaration.
    declared: Option<(u64, Option<Duration>)>,
    peers: HashMap<SocketAddr, Peer>,
    /// Failure domains of the peers.
    domains: BTreeSet<Box<str>>,
    /// Identities of the registered processes.
    boots: HashSet<u64>,
    /// Failure domains that were taken out.
    out_domains: HashSet<Box<str>>,
}

impl View {
    /// Derives a view from a store.
    #[must_use]
    pub fn new(store: &Store) -> Self {
        let mut view = Self { revision: store.revision(), ..Self::default() };
        let mut domain_changes = HashMap::new();
        for domain in store.list(Kind::Domain) {
            domain_changes.insert(Box::from(domain.name.as_str()), domain.revision);
            if matches!(&domain.body, Some(Body::Domain(state)) if state.out) {
                view.out_domains.insert(domain.name.as_str().into());
            }
        }
        let groups = Groups::new(store);
        let mut pools = pools(store, &groups);
        view.add_upstreams(store, &domain_changes, &groups, &mut pools);
        view.add_entries(store);
        view.add_pools(&groups, pools);
        view.add_listeners(store);
        view.add_routes(store);
        view.add_declaration(store);
        view.domains = view.peers.values().map(|peer| peer.domain.clone()).collect();
        view
    }

    /// Returns the revision of the view.
    #[must_use]
    pub const fn revision(&self) -> u64 {
        self.revision
    }

    /// Returns the version of the current declaration, if there is one.
    #[must_use]
    pub fn declaration_version(&self) -> Option<u64> {
        self.declared.map(|(version, _)| version)
    }

    /// Returns the declared time without packets after which a flow may be dropped.
    #[must_use]
    pub fn idle_timeout(&self) -> Option<Duration> {
        self.declared.and_then(|(_, idle)| idle)
    }

    /// Returns the route of a service address.
    #[must_use]
    pub fn route(&self, address: SocketAddr, protocol: Protocol) -> Option<&Arc<Route>> {
        self.routes.get(&(address, protocol))
    }

    /// Returns the pool of a service: its members and those of the services that it shares routes
    /// with.
    #[must_use]
    pub fn pool(&self, service: &str) -> Option<&Arc<Pool>> {
        self.pools.get(service)
    }

    /// Returns whether a failure domain was taken out.
    #[must_use]
    pub fn is_out(&self, domain: &str) -> bool {
        self.out_domains.contains(domain)
    }

    /// Returns whether the process with the identity `boot` is registered.
    #[must_use]
    pub fn is_registered(&self, boot: u64) -> bool {
        self.boots.contains(&boot)
    }

    /// Returns whether a registered process has this address.
    #[must_use]
    pub fn is_peer(&self, address: SocketAddr) -> bool {
        self.peers.contains_key(&address)
    }

    /// Returns the number of failure domains with registered processes, other than `domain`.
    #[must_use]
    pub fn count_other_domains(&self, domain: &str) -> usize {
        self.domains.iter().filter(|other| ***other != *domain).count()
    }

    /// Returns the addresses of processes outside a failure domain, agents first.
    #[must_use]
    pub fn peers_outside(&self, domain: &str) -> Vec<SocketAddr> {
        let outside = self.peers.iter().filter(|(_, peer)| *peer.domain != *domain);
        let mut peers: Vec<_> = outside.map(|(address, peer)| (!peer.is_agent, *address)).collect();
        peers.sort_unstable();
        peers.into_iter().map(|(_, address)| address).collect()
    }

    /// Returns the address of the agent on a VM.
    #[must_use]
    pub fn agent_address(&self, vm: vm::Id) -> Option<SocketAddr> {
        self.pools.values().find_map(|pool| pool.find(vm)).map(|member| member.address)
    }

    /// Returns the failure domain of a peer.
    #[must_use]
    pub fn domain_of(&self, address: SocketAddr) -> Option<&str> {
        self.peers.get(&address).map(|peer| &*peer.domain)
    }

    fn add_upstreams(
        &mut self,
        store: &Store,
        domain_changes: &HashMap<Box<str>, u64>,
        groups: &Groups,
        pools: &mut HashMap<Box<str>, Pool>,
    ) {
        for resource in store.list(Kind::Upstream) {
            let Some(Body::Upstream(upstream)) = &resource.body else {
                continue;
            };
            let Some(member) = member(&resource.name, upstream) else {
                let group = groups.group_of(&upstream.service).filter(|_| upstream.away);
                if let Some(pool) = group.and_then(|group| pools.get_mut(group)) {
                    pool.away.push(vm::id(&resource.name));
                }
                continue;
            };
            self.boots.insert(upstream.boot);
            let peer = Peer { domain: member.domain.clone(), is_agent: true };
            self.peers.insert(member.address, peer);
            let group = groups.group_of(&upstream.service);
            let Some(pool) = group.and_then(|group| pools.get_mut(group)) else {
                continue;
            };
            let domain_change = domain_changes.get(&member.domain).copied().unwrap_or(0);
            pool.epoch = pool.epoch.max(domain_change);
            if self.is_out(&member.domain) {
                pool.out_members.push(member);
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

    fn add_pools(&mut self, groups: &Groups, pools: HashMap<Box<str>, Pool>) {
        let members = groups.members();
        for (group, mut pool) in pools {
            pool.members.sort_unstable_by_key(|member| member.vm);
            pool.homes = Pool::select_homes(&pool.members);
            // Agents of earlier versions report to all members at each change, and control VMs of
            // earlier versions do not record changes of the homes.
            if pool.home_epoch == 0 || !Pool::has_bounded_homes(&pool.members) {
                pool.home_epoch = pool.epoch;
            }
            let pool = Arc::new(pool);
            for service in members.get(&group).into_iter().flatten() {
                self.pools.insert(service.clone(), Arc::clone(&pool));
            }
        }
    }

    /// Adds a route for each listener of a service, with that service as its only share.
    fn add_listeners(&mut self, store: &Store) {
        for resource in store.list(Kind::Service) {
            let Some(Body::Service(service)) = &resource.body else {
                continue;
            };
            for listener in &service.listeners {
                let share = Share { service: resource.name.as_str().into(), weight: 1 };
                self.add_route(listener, Box::new([share]), Duration::ZERO, Duration::ZERO);
            }
        }
    }

    /// Adds the routes that split their flows among services.
    fn add_routes(&mut self, store: &Store) {
        for resource in store.list(Kind::Route) {
            let Some(Body::Route(route)) = &resource.body else {
                continue;
            };
            let splits = route.splits.iter().filter(|split| split.weight > 0);
            let shares = splits
                .map(|split| Share { service: split.service.as_str().into(), weight: split.weight })
                .collect();
            if let Some(listener) = &route.listener {
                let objective = Duration::from_millis(route.objective_ms.into());
                let timeout = Duration::from_millis(route.timeout_ms.into());
                self.add_route(listener, shares, objective, timeout);
            }
        }
    }

    fn add_route(
        &mut self,
        listener: &resource::Listener,
        shares: Box<[Share]>,
        objective: Duration,
        timeout: Duration,
    ) {
        let pool = shares.first().and_then(|share| self.pools.get(&share.service));
        let (Some(key), Some(pool)) = (listener_key(listener), pool.cloned()) else {
            return;
        };
        let class = class(listener.class());
        self.routes.insert(key, Arc::new(Route { class, objective, timeout, shares, pool }));
    }

    fn add_declaration(&mut self, store: &Store) {
        let resource = store.get(Kind::Declaration, DECLARATION_NAME);
        if let Some(Body::Declaration(current)) = resource.and_then(|found| found.body.as_ref()) {
            let idle = Duration::from_millis(current.idle_ms.into());
            self.declared = Some((current.version, Some(idle).filter(|idle| !idle.is_zero())));
        }
    }
}

/// Returns a pool for each group of services, without members. Retired services are among them.
fn pools(store: &Store, groups: &Groups) -> HashMap<Box<str>, Pool> {
    let mut pools: HashMap<Box<str>, Pool> = HashMap::new();
    for resource in store.list(Kind::Service) {
        let (Some(Body::Service(service)), Some(group)) =
            (&resource.body, groups.group_of(&resource.name))
        else {
            continue;
        };
        let pool = pools.entry(group.into()).or_insert_with(|| Pool {
            epoch: 0,
            home_epoch: 0,
            homes: Vec::new(),
            services: BTreeMap::new(),
            members: Vec::new(),
            out_members: Vec::new(),
            away: Vec::new(),
        });
        pool.epoch = pool.epoch.max(service.epoch);
        pool.home_epoch = pool.home_epoch.max(service.home_epoch);
        pool.services.insert(resource.name.as_str().into(), capacity(service));
    }
    pools
}

fn capacity(service: &resource::Service) -> Capacity {
    Capacity {
        connections: service.connections,
        slots: service.slots,
        cold_slots: service.cold_slots,
        warmup: Duration::from_millis(service.cold_ms.into()),
        cold_rate: service.cold_rate,
    }
}

pub(super) fn member(name: &str, upstream: &resource::Upstream) -> Option<Member> {
    Some(Member {
        vm: vm::id(name),
        name: name.into(),
        service: upstream.service.as_str().into(),
        domain: upstream.domain.as_str().into(),
        address: upstream.address.parse().ok()?,
        boot: upstream.boot,
        incarnation: upstream.incarnation,
        has_bounded_homes: upstream.bounded_homes,
        is_draining: upstream.state() == State::Draining,
    })
}

const fn class(class: resource::Class) -> Class {
    match class {
        resource::Class::Request => Class::Request,
        resource::Class::Exchange => Class::Exchange,
        resource::Class::Stream | resource::Class::Unspecified => Class::Stream,
    }
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
