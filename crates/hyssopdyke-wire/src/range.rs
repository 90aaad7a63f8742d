//! Ranges of the counters in messages and stored records.
//!
//! Revisions, epochs, terms, indexes and sequence numbers grow by one from 0. One that is far beyond
//! what can have been counted does not come from a process of the system, and would leave no higher
//! number to the next one.

use crate::datagram::{Datagram, Report, datagram};
use crate::ledger::{Append, Batch, Entry, Message, Snapshot, Vote, message};
use crate::resource::{Page, Resource, resource};
use crate::session::{Frame, frame};

/// Highest value of a counter.
pub const MAX_COUNT: u64 = 1 << 53;

/// A number out of its range.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
#[derive(thiserror::Error)]
pub enum Error {
    /// A counter is higher than it can have become.
    #[error("{field}: expected at most {max}, found {found}")]
    High {
        /// Name of the field.
        field: &'static str,
        /// Highest value that is allowed.
        max: u64,
        /// Value of the field.
        found: u64,
    },
    /// An entry of the log does not follow the one before it.
    #[error("{field}: expected {expected}, found {found}")]
    Gap {
        /// Name of the field.
        field: &'static str,
        /// Value that follows.
        expected: u64,
        /// Value of the field.
        found: u64,
    },
}

/// A message or record whose numbers can be checked.
pub trait Check {
    /// Checks the numbers.
    ///
    /// # Errors
    ///
    /// Returns the first number that is out of its range.
    fn check(&self) -> Result<(), Error>;
}

/// Checks that a number is at most `max`.
const fn check_max(field: &'static str, found: u64, max: u64) -> Result<(), Error> {
    if found > max { Err(Error::High { field, max, found }) } else { Ok(()) }
}

/// Checks counters, each with the name of its field.
fn check_counts<const N: usize>(counts: [(&'static str, u64); N]) -> Result<(), Error> {
    counts.into_iter().try_for_each(|(field, found)| check_max(field, found, MAX_COUNT))
}

impl Check for Datagram {
    fn check(&self) -> Result<(), Error> {
        check_counts([("revision", self.revision)])?;
        match &self.body {
            Some(datagram::Body::Report(report)) => report.check(),
            Some(datagram::Body::Page(page)) => page.check(),
            _ => Ok(()),
        }
    }
}

impl Check for Report {
    fn check(&self) -> Result<(), Error> {
        check_counts([("sequence", self.sequence), ("epoch", self.epoch)])?;
        // A report of 0 parts has only this one, with the index 0.
        let last = self.parts.saturating_sub(1);
        check_max("part", self.part.into(), last.into())
    }
}

impl Check for Page {
    fn check(&self) -> Result<(), Error> {
        check_counts([("page.after", self.after), ("page.upto", self.upto)])?;
        self.resources.iter().try_for_each(|resource| check_resource(resource, self.upto))
    }
}

/// Checks a resource of a state whose revision is `revision`.
fn check_resource(resource: &Resource, revision: u64) -> Result<(), Error> {
    check_max("resource.revision", resource.revision, revision)?;
    check_counts([("resource.generation", resource.generation)])?;
    match &resource.body {
        Some(resource::Body::Service(service)) => check_counts([
            ("service.epoch", service.epoch),
            ("service.home_epoch", service.home_epoch),
        ]),
        Some(resource::Body::Upstream(upstream)) => {
            check_counts([("upstream.incarnation", upstream.incarnation)])
        }
        Some(resource::Body::Entry(entry)) => {
            check_counts([("entry.incarnation", entry.incarnation)])
        }
        _ => Ok(()),
    }
}

impl Check for Frame {
    fn check(&self) -> Result<(), Error> {
        match &self.body {
            Some(frame::Body::Hello(hello)) => check_counts([("hello.revision", hello.revision)]),
            Some(frame::Body::Renew(renew)) => check_counts([
                ("renew.sequence", renew.sequence),
                ("renew.revision", renew.revision),
            ]),
            Some(frame::Body::Granted(granted)) => check_counts([
                ("granted.sequence", granted.sequence),
                ("granted.revision", granted.revision),
            ]),
            Some(frame::Body::Page(page)) => page.check(),
            _ => Ok(()),
        }
    }
}

impl Check for Message {
    fn check(&self) -> Result<(), Error> {
        match &self.body {
            Some(message::Body::VoteRequest(request)) => check_counts([
                ("vote_request.term", request.term),
                ("vote_request.last_index", request.last_index),
                ("vote_request.last_term", request.last_term),
            ]),
            Some(message::Body::VoteReply(reply)) => {
                check_counts([("vote_reply.term", reply.term)])
            }
            Some(message::Body::Append(append)) => append.check(),
            Some(message::Body::Appended(appended)) => check_counts([
                ("appended.term", appended.term),
                ("appended.index", appended.index),
                ("appended.round", appended.round),
            ]),
            Some(message::Body::Install(install)) => check_counts([
                ("install.term", install.term),
                ("install.index", install.index),
                ("install.round", install.round),
            ]),
            Some(message::Body::Handover(handover)) => {
                check_counts([("handover.term", handover.term)])
            }
            Some(message::Body::Join(_)) | None => Ok(()),
        }
    }
}

impl Check for Append {
    fn check(&self) -> Result<(), Error> {
        check_counts([
            ("append.term", self.term),
            ("append.previous_index", self.previous_index),
            ("append.previous_term", self.previous_term),
            ("append.commit", self.commit),
            ("append.round", self.round),
        ])?;
        for (expected, entry) in (self.previous_index + 1..).zip(&self.entries) {
            check_entry(entry)?;
            check_max("entry.term", entry.term, self.term)?;
            if entry.index != expected {
                return Err(Error::Gap { field: "entry.index", expected, found: entry.index });
            }
        }
        Ok(())
    }
}

fn check_entry(entry: &Entry) -> Result<(), Error> {
    check_counts([("entry.index", entry.index), ("entry.term", entry.term)])
}

impl Check for Batch {
    fn check(&self) -> Result<(), Error> {
        check_counts([("batch.previous", self.previous)])?;
        self.entries.iter().try_for_each(check_entry)
    }
}

impl Check for Snapshot {
    fn check(&self) -> Result<(), Error> {
        check_counts([
            ("snapshot.index", self.index),
            ("snapshot.term", self.term),
            ("snapshot.revision", self.revision),
        ])?;
        check_max("snapshot.floor", self.floor, self.revision)?;
        self.resources.iter().try_for_each(|resource| check_resource(resource, self.revision))
    }
}

impl Check for Vote {
    fn check(&self) -> Result<(), Error> {
        check_counts([("vote.term", self.term)])
    }
}
