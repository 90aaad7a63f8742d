//! What entries and agents share: their link to peers, their session with control, and the
//! revision that they act by.

mod http;
mod link;
mod membership;
mod session;

pub(crate) use http::Server;
pub(crate) use link::{Link, Tunnel, decode_address, encode_address};
pub(crate) use membership::Membership;
pub(crate) use session::{Announcement, Session, Update};
