//! State of one request: its packets and the choice of its upstream.

mod backlog;
mod codec;
mod packet;
mod placement;
mod reset;

pub use backlog::Backlog;
pub use codec::{PacketCodec, Tunneled};
pub use packet::{Packet, ParseError, Segment};
pub use placement::{Candidate, Scheduler};
pub use reset::{Probe, Reset};
