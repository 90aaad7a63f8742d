//! A daemon's copy of the store.

use hyssopdyke_wire::resource::Page;

use super::Store;

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

/// A copy of the store that is only updated from one complete revision to a later one.
///
/// The pages of a longer catch-up are staged separately. A resource that changed twice is sent
/// only as of its last change, so that between the pages the copy would be in a state that never
/// existed.
#[derive(Debug, Clone, Default)]
pub struct Replica {
    store: Store,
    staged: Option<Store>,
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

    /// Returns the revision after which the next page must start.
    #[must_use]
    pub fn cursor(&self) -> u64 {
        self.staged.as_ref().unwrap_or(&self.store).revision()
    }

    /// Applies a page. Returns true if the copy has moved to a later revision.
    ///
    /// # Errors
    ///
    /// Returns [`Gap`] if the page does not follow the previous pages; the copy is unchanged.
    pub fn apply(&mut self, page: Page) -> Result<bool, Gap> {
        if page.reset {
            // A late page, or one of a sender that is behind, must not revert the copy.
            if page.upto <= self.store.revision() && page.complete {
                return Ok(false);
            }
            self.staged = Some(Store::new());
        }
        let held = self.cursor();
        // Overlapping pages are allowed, since a page contains complete resources.
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
