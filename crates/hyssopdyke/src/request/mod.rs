//! What lives for one request: its packets and the choice of its upstream.

mod border;
mod packet;
mod placement;
mod reset;

pub use border::{PacketCodec, Tunneled};
pub use packet::{Packet, ParseError, Segment};
pub use placement::{Candidate, Scheduler};
pub use reset::{Probe, Reset};
