//! The resources as of one revision, and the changes since earlier revisions.

use std::collections::{BTreeMap, BTreeSet};

use hyssopdyke_wire::resource::{Kind, Page, Resource, resource::Body};
use prost::Message;

use super::Cursor;

/// Maximum number of tombstones, which are kept to update copies incrementally.
const MAX_TOMBSTONES: usize = 4096;

/// Kind and name of a resource.
pub type Key = (Kind, Box<str>);

/// Resources by kind and name, and by the revision of their last change.
#[derive(Debug, Clone, Default)]
pub struct Store {
    revision: u64,
    resources: BTreeMap<Key, Resource>,
    changes: BTreeSet<(u64, Key)>,
    tombstones: BTreeSet<(u64, Key)>,
    /// Copies below this revision need a full reset instead of an incremental update.
    floor: u64,
}

impl Store {
    /// Creates a store without resources at revision 0.
    #[must_use]
    pub fn new() -> Self {
        Self::default()
    }

    /// Creates a store that has dropped the tombstones up to a revision.
    #[must_use]
    pub fn with_floor(floor: u64) -> Self {
        Self { floor, ..Self::default() }
    }

    /// Returns the revision below which copies need a full reset instead of an incremental update.
    #[must_use]
    pub const fn floor(&self) -> u64 {
        self.floor
    }

    /// Raises the revision below which copies need a full reset to that of the store from which
    /// this one was copied.
    pub(super) fn raise_floor(&mut self, floor: u64) {
        self.floor = self.floor.max(floor);
    }

    /// Returns the revision of the last change.
    #[must_use]
    pub const fn revision(&self) -> u64 {
        self.revision
    }

    /// Returns a resource, unless it was deleted.
    #[must_use]
    pub fn get(&self, kind: Kind, name: &str) -> Option<&Resource> {
        self.resources.get(&(kind, name.into())).filter(|resource| !is_deleted(resource))
    }

    /// Returns the resources of one kind that were not deleted, by name.
    pub fn list(&self, kind: Kind) -> impl Iterator<Item = &Resource> {
        let range = self.resources.range((kind, Box::from(""))..);
        let of_kind = range.take_while(move |(key, _)| key.0 == kind);
        of_kind.map(|(_, resource)| resource).filter(|resource| !is_deleted(resource))
    }

    /// Applies a change, unless the store already has a later change of the same resource.
    pub fn put(&mut self, resource: Resource) {
        let Some(kind) = kind(&resource) else {
            return;
        };
        let key: Key = (kind, resource.name.as_str().into());
        if let Some(previous) = self.resources.get(&key) {
            if previous.revision > resource.revision {
                return;
            }
            self.changes.remove(&(previous.revision, key.clone()));
            self.tombstones.remove(&(previous.revision, key.clone()));
        }
        self.revision = self.revision.max(resource.revision);
        self.changes.insert((resource.revision, key.clone()));
        if is_deleted(&resource) {
            self.tombstones.insert((resource.revision, key.clone()));
        }
        self.resources.insert(key, resource);
        self.evict_tombstones();
    }

    /// Advances to a revision whose changes are all in the store.
    pub fn advance_to(&mut self, revision: u64) {
        self.revision = self.revision.max(revision);
    }

    /// Returns the next changes for a reader as a page of complete revisions and about `max_bytes`
    /// bytes. The page starts a reset of the copy if the store lacks tombstones that the reader
    /// needs, or if the reader is at a later revision than the store.
    #[must_use]
    pub fn changes_since(&self, cursor: Cursor, max_bytes: usize) -> Page {
        let reset = !cursor.is_above(self.floor) || cursor.after > self.revision;
        let after = if reset { 0 } else { cursor.after };
        let mut page = Page {
            after,
            upto: self.revision,
            complete: true,
            reset,
            latest: self.revision,
            floor: self.floor,
            ..Page::default()
        };
        let mut bytes = 0;
        let start = (after + 1, (Kind::Unspecified, Box::from("")));
        for (revision, key) in self.changes.range(start..) {
            let last = page.resources.last().map(|resource| resource.revision);
            if bytes >= max_bytes && last != Some(*revision) {
                page.upto = last.unwrap_or(after);
                page.complete = false;
                break;
            }
            if let Some(resource) = self.resources.get(key) {
                bytes += resource.encoded_len();
                page.resources.push(resource.clone());
            }
        }
        page
    }

    /// Returns all resources and tombstones, in the order of their last change.
    pub fn iter(&self) -> impl Iterator<Item = &Resource> {
        self.changes.iter().filter_map(|(_, key)| self.resources.get(key))
    }

    fn evict_tombstones(&mut self) {
        while self.tombstones.len() > MAX_TOMBSTONES {
            let Some((revision, key)) = self.tombstones.pop_first() else {
                return;
            };
            self.floor = self.floor.max(revision);
            self.changes.remove(&(revision, key.clone()));
            self.resources.remove(&key);
        }
    }
}

/// Returns the kind of a resource, which may be a tombstone.
pub(super) fn kind(resource: &Resource) -> Option<Kind> {
    Some(match resource.body.as_ref()? {
        Body::Service(_) => Kind::Service,
        Body::Domain(_) => Kind::Domain,
        Body::Upstream(_) => Kind::Upstream,
        Body::Entry(_) => Kind::Entry,
        Body::Route(_) => Kind::Route,
        Body::Declaration(_) => Kind::Declaration,
        Body::Deleted(kind) => Kind::try_from(*kind).ok()?,
    })
}

fn is_deleted(resource: &Resource) -> bool {
    matches!(resource.body, Some(Body::Deleted(_)))
}
