//! Position of a reader that follows a store page by page.

use hyssopdyke_wire::resource::Page;

/// Revision up to which a reader has the changes of a store.
///
/// A reader of a reset has no state of before, but needs the tombstones of the resources that were
/// deleted since the reset began: earlier pages may contain these resources.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Cursor {
    /// Revision after which the next page starts.
    pub after: u64,
    /// Revision of the sender when the reset began of which the reader has a part; `None` if the
    /// reader has all resources as of `after`.
    pub reset_at: Option<u64>,
}

impl Cursor {
    /// Returns the position of a reader that has all resources as of a revision.
    #[must_use]
    pub const fn at(revision: u64) -> Self {
        Self { after: revision, reset_at: None }
    }

    /// Returns the position after a page.
    #[must_use]
    pub fn following(self, page: &Page) -> Self {
        let began = if page.reset { Some(page.latest) } else { self.reset_at };
        Self { after: page.upto, reset_at: began.filter(|_| !page.complete) }
    }

    /// Returns whether the reader needs no tombstone up to the revision `floor`.
    #[must_use]
    pub(super) fn is_above(self, floor: u64) -> bool {
        self.after.max(self.reset_at.unwrap_or(0)) >= floor
    }
}
