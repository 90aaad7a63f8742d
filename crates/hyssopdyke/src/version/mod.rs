//! What lives for one revision of the configuration.
//!
//! Control numbers every change with a revision. A [`Store`] holds the resources as of a
//! revision, a [`Replica`] brings a daemon's copy forward page by page, and a [`View`] is what a
//! daemon derives from it to route packets.

mod group;
mod home;
mod pool;
mod registry;
mod replica;
mod store;
mod view;

pub use group::Groups;
pub use home::Ranking;
pub use pool::{Capacity, Member, Pool};
pub use registry::{DECLARATION_NAME, Outcome, Registry};
pub use replica::{Gap, Replica};
pub use store::{Key, Store};
pub use view::{Route, Share, View};
