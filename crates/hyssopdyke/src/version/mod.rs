//! State of one revision of the configuration.
//!
//! Control assigns a revision to every change. A [`Store`] contains the resources as of a revision,
//! a [`Replica`] updates a daemon's copy page by page, and a [`View`] contains the routes that a
//! daemon derives from its copy.

mod cursor;
mod group;
mod home;
mod homes;
mod pool;
mod registry;
mod replica;
mod store;
mod view;

pub use cursor::Cursor;
pub use group::Groups;
pub use home::Ranking;
pub use pool::{Capacity, Member, Pool};
pub use registry::{DECLARATION_NAME, Outcome, Registry};
pub use replica::{Gap, Replica, Source};
pub use store::{Key, Store};
pub use view::{Route, Share, View};
