//! Coordination logic of a layer-4 load balancer, for the daemons and for embedding.
//!
//! The modules are ordered by the lifetime of their state:
//!
//! - [`request`]: one packet or one placement, dropped once it is served;
//! - [`connection`]: one flow, and the tables of all flows;
//! - [`version`]: one revision of the configuration, and the state derived from it;
//! - [`process`]: state that a daemon keeps from start to stop.
//!
//! The crate opens no sockets and reads no clock: its users pass in packets and instants.

pub mod connection;
pub mod process;
pub mod request;
pub mod version;
pub mod vm;
