//! Groups of services that share routes.
//!
//! The home of a flow must not change with the weights of its route, and flows stay with their
//! upstreams when their route switches to another service. So homes are chosen among the members
//! of all services that are or were linked by routes, directly or through other services.

use std::collections::{BTreeMap, BTreeSet};

use hyssopdyke_wire::resource::{Kind, resource::Body};

use super::Store;

/// Groups of linked services.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Groups {
    /// Name of each service's group, which is that of its first service by name.
    first: BTreeMap<Box<str>, Box<str>>,
}

impl Groups {
    /// Derives the groups of the services and routes in a store.
    #[must_use]
    pub fn new(store: &Store) -> Self {
        let mut groups = Self::default();
        for service in store.list(Kind::Service) {
            let name: Box<str> = service.name.as_str().into();
            groups.first.insert(name.clone(), name);
        }
        for route in store.list(Kind::Route) {
            let Some(Body::Route(route)) = &route.body else { continue };
            let splits = route.splits.iter().map(|split| &split.service);
            let mut services = splits.chain(&route.former);
            let Some(first) = services.next() else { continue };
            for service in services {
                groups.link(first, service);
            }
        }
        groups
    }

    /// Returns the name of a service's group: the name of the group's first service.
    #[must_use]
    pub fn group_of(&self, service: &str) -> Option<&str> {
        self.first.get(service).map(|first| &**first)
    }

    /// Returns the services of each group.
    #[must_use]
    pub fn members(&self) -> BTreeMap<Box<str>, BTreeSet<Box<str>>> {
        let mut members: BTreeMap<Box<str>, BTreeSet<Box<str>>> = BTreeMap::new();
        for (service, first) in &self.first {
            members.entry(first.clone()).or_default().insert(service.clone());
        }
        members
    }

    /// Returns the services whose group differs in `other`.
    #[must_use]
    pub fn changed_services(&self, other: &Self) -> Vec<Box<str>> {
        let (own_members, other_members) = (self.members(), other.members());
        let services =
            |members: &BTreeMap<Box<str>, BTreeSet<Box<str>>>, groups: &Self, name: &str| {
                groups.group_of(name).and_then(|first| members.get(first).cloned())
            };
        let names = self.first.keys();
        let changed = names.filter(|name| {
            services(&own_members, self, name) != services(&other_members, other, name)
        });
        changed.cloned().collect()
    }

    /// Merges the groups of two services.
    fn link(&mut self, a: &str, b: &str) {
        let (Some(a), Some(b)) = (self.first.get(a).cloned(), self.first.get(b).cloned()) else {
            return;
        };
        let (kept, merged) = if a < b { (a, b) } else { (b, a) };
        for first in self.first.values_mut().filter(|first| **first == merged) {
            first.clone_from(&kept);
        }
    }
}
