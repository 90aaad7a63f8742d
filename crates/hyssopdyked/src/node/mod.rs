//! Code shared by entries and agents: the link to peers, the session with control, and the
//! membership with its current revision.

mod http;
mod link;
mod membership;
mod session;

pub(crate) use http::Server;
pub(crate) use link::{Link, Tunnel, decode_address, encode_address};
pub(crate) use membership::Membership;
pub(crate) use session::{Announcement, Session, Update};
