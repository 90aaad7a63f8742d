//! The homes of each group of services, as control follows them.

use std::collections::{BTreeMap, BTreeSet, HashSet};

use hyssopdyke_wire::resource::{Kind, resource::Body};

use super::{Groups, Member, Pool, Store, view};
use crate::vm;

/// Services and homes of one group.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
struct Group {
    services: BTreeSet<Box<str>>,
    homes: Vec<vm::Id>,
}

/// Homes of all groups.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub(super) struct Homes {
    groups: BTreeMap<Box<str>, Group>,
}

impl Homes {
    /// Derives the homes from a store.
    pub(super) fn new(store: &Store) -> Self {
        let groups = Groups::new(store);
        let mut members = members_by_group(store, &groups);
        let homes = groups.members().into_iter().map(|(name, services)| {
            let members = members.remove(&name).unwrap_or_default();
            (name, Group { services, homes: Pool::select_homes(&members) })
        });
        Self { groups: homes.collect() }
    }

    /// Returns the services in groups whose services or homes differ from those in `former`.
    pub(super) fn changed_services(&self, former: &Self) -> Vec<Box<str>> {
        let changed =
            self.groups.iter().filter(|(name, group)| former.groups.get(*name) != Some(group));
        changed.flat_map(|(_, group)| group.services.iter().cloned()).collect()
    }
}

/// Returns the members of each group whose failure domains were not taken out.
fn members_by_group(store: &Store, groups: &Groups) -> BTreeMap<Box<str>, Vec<Member>> {
    let domains = store.list(Kind::Domain);
    let out_domains: HashSet<&str> = domains
        .filter(|domain| matches!(&domain.body, Some(Body::Domain(state)) if state.out))
        .map(|domain| domain.name.as_str())
        .collect();
    let mut members: BTreeMap<Box<str>, Vec<Member>> = BTreeMap::new();
    for resource in store.list(Kind::Upstream) {
        let Some(Body::Upstream(upstream)) = &resource.body else { continue };
        let Some(group) = groups.group_of(&upstream.service) else { continue };
        if out_domains.contains(upstream.domain.as_str()) {
            continue;
        }
        if let Some(member) = view::member(&resource.name, upstream) {
            members.entry(group.into()).or_default().push(member);
        }
    }
    members
}
