//! Declarations of all services and routes, and the former services that they leave behind.

use std::collections::{BTreeMap, BTreeSet};

use hyssopdyke_wire::ledger::Declare;
use hyssopdyke_wire::resource::{Declaration, Kind, Listener, Resource, resource::Body};

use super::former::{self, Former};
use super::{DECLARATION_NAME, Outcome, Registry};
use crate::version::Groups;
use crate::version::store::{Key, kind};

/// Maximum number of retired services.
const MAX_RETIRED_SERVICES: usize = 256;

/// Address, port and protocol of a listener.
type Address = (String, u32, i32);

fn address(listener: &Listener) -> Address {
    (listener.address.clone(), listener.port, listener.protocol)
}

impl Registry {
    /// Applies a declaration as one change, unless the current one has the same or a higher
    /// version.
    pub(super) fn declare(&mut self, declare: Declare) -> Outcome {
        if let Some((current, _)) = self.declaration()
            && declare.version <= current
        {
            return Outcome::Declared(current);
        }
        let revision = self.store.revision() + 1;
        let before = Groups::new(&self.store);
        let listeners = self.service_listeners();
        let mut declared: BTreeSet<Key> = BTreeSet::new();
        for resource in declare.resources {
            let Some(kind) = kind(&resource) else { continue };
            declared.insert((kind, resource.name.as_str().into()));
            self.replace(kind, resource, &listeners, revision);
        }
        self.delete(Kind::Route, revision, |resource| {
            declared.contains(&(Kind::Route, resource.name.as_str().into()))
        });
        let linked = former::former_services(&self.store);
        for name in &linked {
            if !declared.contains(&(Kind::Service, name.clone())) {
                self.retire(name, revision);
            }
        }
        self.delete(Kind::Service, revision, |resource| {
            let name: Box<str> = resource.name.as_str().into();
            linked.contains(&name) || declared.contains(&(Kind::Service, name))
        });
        self.evict_retired(revision);
        self.record_group_changes(&before, revision);
        let body = Declaration { version: declare.version, idle_ms: declare.idle_ms };
        self.store.put(Resource {
            name: DECLARATION_NAME.to_owned(),
            revision,
            generation: revision,
            body: Some(Body::Declaration(body)),
        });
        self.document = declare.document;
        Outcome::Declared(declare.version)
    }

    /// Replaces the resource of the same name with a declared one, if they differ. `listeners` has
    /// the services that had listeners until now.
    fn replace(
        &mut self,
        kind: Kind,
        mut resource: Resource,
        listeners: &BTreeMap<Address, Box<str>>,
        revision: u64,
    ) {
        let former = self.store.get(kind, &resource.name).and_then(|found| found.body.as_ref());
        if let Some(Body::Service(service)) = &mut resource.body {
            (service.epoch, service.home_epoch) = match former {
                Some(Body::Service(former)) => (former.epoch, former.home_epoch),
                _ => (revision, revision),
            };
        }
        if let Some(Body::Route(route)) = &mut resource.body {
            let mut services = Former::default();
            if let Some(Body::Route(former)) = former {
                services = Former::new(former);
                let splits = former.splits.iter().map(|split| split.service.as_str());
                services.extend(splits, revision);
            }
            let listener = route.listener.as_ref().and_then(|own| listeners.get(&address(own)));
            services.extend(listener.into_iter().map(|name| &**name), revision);
            services.write_to(route);
        }
        if former == resource.body.as_ref() {
            return;
        }
        (resource.revision, resource.generation) = (revision, revision);
        self.store.put(resource);
    }

    /// Removes the former services that routes have had since revision `upto` or longer, and the
    /// retired services that are then a former service of no route.
    pub(super) fn forget(&mut self, upto: u64) -> Outcome {
        let revision = self.store.revision() + 1;
        let before = Groups::new(&self.store);
        self.forget_former(revision, |_, since| since > upto);
        self.record_group_changes(&before, revision);
        Outcome::Recorded
    }

    /// Returns whether routes have had former services since a revision or longer.
    #[must_use]
    pub fn has_former_services(&self, upto: u64) -> bool {
        former::routes(&self.store)
            .any(|(_, route)| Former::new(route).retain(|_, since| since > upto))
    }

    /// Removes the former services for which `is_kept`, given name and revision, returns false.
    fn forget_former(&mut self, revision: u64, is_kept: impl Fn(&str, u64) -> bool) {
        let changed = former::routes(&self.store).filter_map(|(resource, route)| {
            let mut services = Former::new(route);
            services.retain(&is_kept).then(|| {
                let mut route = route.clone();
                services.write_to(&mut route);
                Resource { revision, body: Some(Body::Route(route)), ..resource.clone() }
            })
        });
        let changed: Vec<Resource> = changed.collect();
        for route in changed {
            self.store.put(route);
        }
        let linked = former::linked_services(&self.store);
        self.delete(Kind::Service, revision, |resource| {
            let is_retired =
                matches!(&resource.body, Some(Body::Service(body)) if body.retired != 0);
            !is_retired || linked.contains(resource.name.as_str())
        });
    }

    /// Evicts retired services if there are too many: first those without an upstream, then the
    /// oldest.
    fn evict_retired(&mut self, revision: u64) {
        let upstreams =
            self.store.list(Kind::Upstream).filter_map(|resource| match &resource.body {
                Some(Body::Upstream(upstream)) => Some(upstream.service.as_str()),
                _ => None,
            });
        let served: BTreeSet<&str> = upstreams.collect();
        let services = self.store.list(Kind::Service).filter_map(|resource| match &resource.body {
            Some(Body::Service(body)) if body.retired != 0 => {
                let name = resource.name.as_str();
                Some((served.contains(name), body.retired, Box::from(name)))
            }
            _ => None,
        });
        let mut retired: Vec<(bool, u64, Box<str>)> = services.collect();
        let excess = retired.len().saturating_sub(MAX_RETIRED_SERVICES);
        if excess == 0 {
            return;
        }
        retired.sort_unstable();
        let evicted: BTreeSet<Box<str>> =
            retired.into_iter().take(excess).map(|(_, _, name)| name).collect();
        self.forget_former(revision, |name, _| !evicted.contains(name));
    }

    /// Deletes the resources of one kind for which `is_kept` returns false.
    fn delete(&mut self, kind: Kind, revision: u64, is_kept: impl Fn(&Resource) -> bool) {
        let removed = self.store.list(kind).filter(|resource| !is_kept(resource));
        let names: Vec<String> = removed.map(|resource| resource.name.clone()).collect();
        for name in names {
            let body = Some(Body::Deleted(kind as i32));
            self.store.put(Resource { name, revision, generation: revision, body });
        }
    }

    /// Retires a service that is no longer declared, unless it is retired already.
    pub(super) fn retire(&mut self, name: &str, revision: u64) {
        let Some(mut resource) = self.store.get(Kind::Service, name).cloned() else { return };
        match &mut resource.body {
            Some(Body::Service(body)) if body.retired == 0 => {
                body.retired = revision;
                body.listeners.clear();
            }
            _ => return,
        }
        (resource.revision, resource.generation) = (revision, revision);
        self.store.put(resource);
    }

    /// Returns whether a route names a service, or has done so.
    pub(super) fn is_linked(&self, service: &str) -> bool {
        former::linked_services(&self.store).contains(service)
    }

    /// Returns the services that have listeners, by the listeners' addresses.
    fn service_listeners(&self) -> BTreeMap<Address, Box<str>> {
        let services = self.store.list(Kind::Service).filter_map(|resource| match &resource.body {
            Some(Body::Service(service)) => Some((resource.name.as_str(), &service.listeners)),
            _ => None,
        });
        let listeners = services.flat_map(|(name, listeners)| {
            listeners.iter().map(move |listener| (address(listener), name.into()))
        });
        listeners.collect()
    }

    /// Records a change of the members of all services whose group differs from that in `before`.
    fn record_group_changes(&mut self, before: &Groups, revision: u64) {
        let after = Groups::new(&self.store);
        for service in after.changed_services(before) {
            self.record_member_change(&service, revision);
        }
    }
}
