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
        let names: Vec<&str> =
            store.list(Kind::Service).map(|service| service.name.as_str()).collect();
        let mut sets = Sets::new(names.len());
        let index = |service: &String| names.binary_search(&service.as_str()).ok();
        for route in store.list(Kind::Route) {
            let Some(Body::Route(route)) = &route.body else { continue };
            let splits = route.splits.iter().map(|split| &split.service);
            let mut services = splits.chain(&route.former).filter_map(index);
            let Some(first) = services.next() else { continue };
            for service in services {
                sets.merge(first, service);
            }
        }
        let first = |index: usize| (names[index].into(), names[sets.first(index)].into());
        Self { first: (0..names.len()).map(first).collect() }
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
}

/// Disjoint sets of indexes.
struct Sets {
    /// For each index, a lower one of its set; itself for the first of a set.
    lower: Vec<usize>,
}

impl Sets {
    /// Creates a set for each index.
    fn new(count: usize) -> Self {
        Self { lower: (0..count).collect() }
    }

    /// Returns the first index of a set.
    fn first(&self, mut index: usize) -> usize {
        while self.lower[index] < index {
            index = self.lower[index];
        }
        index
    }

    /// Merges the sets of two indexes.
    fn merge(&mut self, a: usize, b: usize) {
        let (a, b) = (self.first(a), self.first(b));
        self.lower[a.max(b)] = a.min(b);
    }
}
