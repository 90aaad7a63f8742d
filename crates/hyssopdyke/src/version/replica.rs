//! A daemon's copy of the store.

use hyssopdyke_wire::resource::Page;

use super::{Cursor, Store};

/// Error for a page that starts after the revision that the copy has reached.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
#[derive(thiserror::Error)]
#[error("page starts after revision {after}, but the copy is at revision {held}")]
pub struct Gap {
    /// Revision after which the page starts.
    pub after: u64,
    /// Revision of the copy.
    pub held: u64,
}

/// Who sends pages.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Source {
    /// The session with control, whose pages arrive one after the other.
    Control,
    /// Other daemons, whose pages may be lost, late or of different revisions.
    Peers,
}

/// The pages of an update that is not complete yet.
#[derive(Debug, Clone)]
struct Staged {
    store: Store,
    reset_at: Option<u64>,
    /// Highest revision of a sender among the pages.
    latest: u64,
}

impl Staged {
    fn cursor(&self) -> Cursor {
        Cursor { after: self.store.revision(), reset_at: self.reset_at }
    }

    /// Returns whether a page continues the update. One of a sender at an earlier revision does
    /// not: resources that have changed again since may be in none of the pages.
    fn is_continued_by(&self, page: &Page) -> bool {
        let is_new = sender_revision(page).is_none_or(|revision| revision >= self.latest);
        is_new && !page.reset && page.after <= self.store.revision()
    }

    /// Returns whether the update contains a page, which several peers may have sent.
    fn contains(&self, page: &Page) -> bool {
        let is_same_kind = !page.reset || self.reset_at.is_some();
        is_same_kind && !page.complete && page.upto <= self.store.revision()
    }
}

/// A copy of the store that is only updated from one complete revision to a later one.
///
/// The pages of a longer update are staged separately. A resource that changed twice is sent only
/// as of its last change, so that between the pages the copy would be in a state that never
/// existed. Updates by control and by peers are staged apart, so that neither disturbs the other.
#[derive(Debug, Clone, Default)]
pub struct Replica {
    store: Store,
    from_control: Option<Staged>,
    from_peers: Option<Staged>,
}

impl Replica {
    /// Creates an empty copy at revision 0.
    #[must_use]
    pub fn new() -> Self {
        Self::default()
    }

    /// Returns the copy as of its last complete revision.
    #[must_use]
    pub const fn store(&self) -> &Store {
        &self.store
    }

    /// Returns the position after which the next page of a source must start.
    #[must_use]
    pub fn cursor(&self, source: Source) -> Cursor {
        let staged = match source {
            Source::Control => &self.from_control,
            Source::Peers => &self.from_peers,
        };
        staged.as_ref().map_or(Cursor::at(self.store.revision()), Staged::cursor)
    }

    /// Applies a page. Returns true if the copy has moved to a later revision.
    ///
    /// # Errors
    ///
    /// Returns [`Gap`] if the page does not follow the previous pages; the copy is unchanged.
    pub fn apply(&mut self, source: Source, page: Page) -> Result<bool, Gap> {
        let held = self.store.revision();
        let slot = match source {
            Source::Control => &mut self.from_control,
            Source::Peers => &mut self.from_peers,
        };
        if slot.as_ref().is_some_and(|staged| staged.contains(&page)) {
            return Ok(false);
        }
        let mut staged = match slot.take_if(|staged| staged.is_continued_by(&page)) {
            Some(staged) => staged,
            None if page.reset => {
                if sender_revision(&page).is_some_and(|revision| revision <= held) {
                    return Ok(false);
                }
                Staged { store: Store::new(), reset_at: Some(page.latest), latest: page.latest }
            }
            None if page.after > held => return Err(Gap { after: page.after, held }),
            None if page.upto <= held => return Ok(false),
            None if page.complete => {
                extend(&mut self.store, page);
                self.drop_overtaken();
                return Ok(true);
            }
            None => Staged { store: self.store.clone(), reset_at: None, latest: page.latest },
        };
        staged.latest = staged.latest.max(page.latest);
        if staged.reset_at.is_some() {
            staged.store.raise_floor(page.floor);
        }
        let is_complete = page.complete;
        extend(&mut staged.store, page);
        if !is_complete {
            *slot = Some(staged);
            return Ok(false);
        }
        if staged.store.revision() <= held {
            return Ok(false);
        }
        self.store = staged.store;
        self.drop_overtaken();
        Ok(true)
    }

    /// Drops the pages of a source that are no complete update yet, so that the next pages start
    /// from the copy.
    pub fn restart(&mut self, source: Source) {
        match source {
            Source::Control => self.from_control = None,
            Source::Peers => self.from_peers = None,
        }
    }

    /// Drops staged pages that the copy has overtaken.
    fn drop_overtaken(&mut self) {
        let revision = self.store.revision();
        for slot in [&mut self.from_control, &mut self.from_peers] {
            slot.take_if(|staged| staged.store.revision() <= revision);
        }
    }
}

/// Returns the revision of a page's sender; `None` for an incomplete page of an earlier version.
fn sender_revision(page: &Page) -> Option<u64> {
    match (page.latest, page.complete) {
        (0, false) => None,
        (latest, _) => Some(latest.max(page.upto)),
    }
}

fn extend(store: &mut Store, page: Page) {
    for resource in page.resources {
        store.put(resource);
    }
    store.advance_to(page.upto);
}
