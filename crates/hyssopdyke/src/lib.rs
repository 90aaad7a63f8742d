//! Coordination parts of a layer-4 load balancer, for the daemons and for others to embed.
//!
//! The modules follow the life span of what they hold:
//!
//! - [`request`]: one packet or one placement, gone when it is served;
//! - [`connection`]: one flow, and the tables that hold many;
//! - [`version`]: one revision of the configuration and what follows from it;
//! - [`process`]: what a daemon keeps from its start to its stop.
//!
//! Nothing here opens a socket or reads a clock: callers hand in packets and instants.

pub mod connection;
pub mod process;
pub mod request;
pub mod version;
pub mod vm;
