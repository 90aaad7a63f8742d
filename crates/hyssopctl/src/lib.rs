//! Client of the operators' HTTP API, and parser of resource files.
//!
//! ```no_run
//! use hyssopctl::Client;
//!
//! let client = Client::new(["127.0.0.1:5561".parse()?]);
//! println!("{:?}", client.status()?);
//! # Ok::<(), Box<dyn std::error::Error>>(())
//! ```

mod client;
mod resource_file;
mod watch;

pub use client::{Client, Error, Members, Precondition, Voter};
pub use resource_file::{Error as ResourceFileError, Fault, ResourceFile};
pub use watch::Watch;
