//! What lives for one request: its packets and the choice of its upstream.

mod border;
mod packet;
mod placement;
mod reset;

pub use border::{Border, Tunneled};
pub use packet::{Packet, Refusal, Segment};
pub use placement::{Candidate, Draw};
pub use reset::{Probe, Reset};
