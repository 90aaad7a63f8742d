//! Former services of a route.
//!
//! Flows stay with their upstreams when a declaration moves their route to other services. So a
//! route keeps its former services, each with the revision at which it ceased to get new flows,
//! until the flows of that time have ended. A former service that is no longer declared is retired
//! meanwhile: it stays in its group, and no route sends it new flows.

use std::collections::{BTreeMap, BTreeSet};

use hyssopdyke_wire::resource::{Kind, Resource, Route, resource::Body};

use crate::version::Store;

/// Former services of a route, with the revision at which each ceased to get new flows.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub(super) struct Former {
    since: BTreeMap<Box<str>, u64>,
}

impl Former {
    /// Returns the former services of a route as it is stored.
    pub(super) fn new(route: &Route) -> Self {
        // A revision is missing in a route that a control VM of an earlier version has stored.
        let since = route.former_since.iter().copied().chain(std::iter::repeat(0));
        let names = route.former.iter().map(|name| name.as_str().into());
        Self { since: names.zip(since).collect() }
    }

    /// Adds services that cease to get new flows at `revision`.
    pub(super) fn extend<'a>(&mut self, names: impl Iterator<Item = &'a str>, revision: u64) {
        for name in names {
            self.since.entry(name.into()).or_insert(revision);
        }
    }

    /// Removes the services for which `is_kept`, given name and revision, returns false. Returns
    /// whether there was any.
    pub(super) fn retain(&mut self, is_kept: impl Fn(&str, u64) -> bool) -> bool {
        let before = self.since.len();
        self.since.retain(|name, since| is_kept(name, *since));
        self.since.len() < before
    }

    /// Writes the former services to a route, without those that the route has again.
    pub(super) fn write_to(mut self, route: &mut Route) {
        self.retain(|name, _| route.splits.iter().all(|split| *split.service != *name));
        route.former = self.since.keys().map(ToString::to_string).collect();
        route.former_since = self.since.into_values().collect();
    }
}

/// Returns the routes in a store.
pub(super) fn routes(store: &Store) -> impl Iterator<Item = (&Resource, &Route)> {
    store.list(Kind::Route).filter_map(|resource| match &resource.body {
        Some(Body::Route(route)) => Some((resource, route)),
        _ => None,
    })
}

/// Returns the services that are a former service of a route.
pub(super) fn former_services(store: &Store) -> BTreeSet<Box<str>> {
    let names = routes(store).flat_map(|(_, route)| &route.former);
    names.map(|name| name.as_str().into()).collect()
}

/// Returns the services that have or had a route.
pub(super) fn linked_services(store: &Store) -> BTreeSet<Box<str>> {
    let splits = routes(store).flat_map(|(_, route)| &route.splits);
    let current = splits.map(|split| split.service.as_str().into());
    current.chain(former_services(store)).collect()
}
