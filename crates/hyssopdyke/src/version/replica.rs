//! A daemon's copy of the store.

use hyssopdyke_wire::resource::Page;

use super::Store;

/// A page starts after the revision that the copy has reached.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
#[derive(thiserror::Error)]
#[error("page starts after revision {after}, the copy is at {held}")]
pub struct Gap {
    /// Revision after which the page starts.
    pub after: u64,
    /// Revision of the copy.
    pub held: u64,
}

/// A copy that moves from one whole revision to a later one.
///
/// Pages of a longer catch-up are gathered aside, since a resource that changed twice is sent
/// only as of its last change: between the pages the copy is no state that ever was.
#[derive(Debug, Clone, Default)]
pub struct Replica {
    store: Store,
    staged: Option<Store>,
}

impl Replica {
    /// An empty copy at revision 0.
    #[must_use]
    pub fn new() -> Self {
        Self::default()
    }

    /// The copy as of its last whole revision.
    #[must_use]
    pub const fn store(&self) -> &Store {
        &self.store
    }

    /// Revision after which the next page must start.
    #[must_use]
    pub fn cursor(&self) -> u64 {
        self.staged.as_ref().unwrap_or(&self.store).revision()
    }

    /// Takes in a page; true if the copy has moved to a later revision.
    ///
    /// # Errors
    ///
    /// [`Gap`] if the page does not follow the pages before it; the copy is unchanged.
    pub fn apply(&mut self, page: Page) -> Result<bool, Gap> {
        if page.reset {
            // A late page of a sender that is behind must not take the copy back.
            if page.upto <= self.store.revision() && page.complete {
                return Ok(false);
            }
            self.staged = Some(Store::new());
        }
        let held = self.cursor();
        // An overlap is harmless, since a page holds whole resources.
        if page.after > held {
            self.staged = None;
            return Err(Gap { after: page.after, held });
        }
        if page.upto <= held && !page.reset {
            return Ok(false);
        }
        if page.complete && self.staged.is_none() {
            extend(&mut self.store, page);
            return Ok(true);
        }
        let complete = page.complete;
        let staged = self.staged.get_or_insert_with(|| self.store.clone());
        extend(staged, page);
        let is_newer = staged.revision() > self.store.revision();
        if !complete || !is_newer {
            return Ok(false);
        }
        if let Some(staged) = self.staged.take() {
            self.store = staged;
        }
        Ok(true)
    }
}

fn extend(store: &mut Store, page: Page) {
    for resource in page.resources {
        store.put(resource);
    }
    store.advance_to(page.upto);
}
