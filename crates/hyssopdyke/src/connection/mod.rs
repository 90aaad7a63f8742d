//! State of one flow, and the tables of all flows.

mod cache;
mod directory;
mod flow;
mod half;
mod openings;
mod search;
mod state;
mod table;

pub use cache::Cache;
pub use directory::{Custody, Directory, Offer, Record, Round};
pub use flow::{Error, Flow, Protocol};
pub use openings::Openings;
pub use search::{Miss, Question, Searches, Step};
pub use state::{Class, Event, State};
pub use table::{Ends, Table};
