//! Client of the operators' API, and the resource files that operators write.
//!
//! ```no_run
//! use hyssopctl::Client;
//!
//! let client = Client::new(["127.0.0.1:5561".parse()?]);
//! println!("{:?}", client.status()?);
//! # Ok::<(), Box<dyn std::error::Error>>(())
//! ```

mod client;
mod declaration;
mod watch;

pub use client::{Client, Error, Members, Precondition, Voter};
pub use declaration::{Declaration, Error as DeclarationError, Fault};
pub use watch::Watch;
