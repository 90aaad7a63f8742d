//! Faults and errors of settings files.

use std::fmt;
use std::path::Path;

/// Kind of a fault.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(thiserror::Error)]
pub(crate) enum Cause {
    #[error("unknown section")]
    UnknownSection,
    #[error("duplicate section")]
    DuplicateSection,
    #[error("unknown key")]
    UnknownKey,
    #[error("duplicate key")]
    DuplicateKey,
    #[error("missing")]
    Missing,
    #[error("expected {expected}, found {value:?}")]
    InvalidValue { value: Box<str>, expected: &'static str },
    #[error("{value} is not between {min} and {max}")]
    OutOfRange { value: Box<str>, min: Box<str>, max: Box<str> },
    #[error("{value} is also used by {other}")]
    Conflict { value: Box<str>, other: &'static str },
}

/// Fault of one section or key.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) struct Fault {
    pub(crate) section: Box<str>,
    pub(crate) key: Option<Box<str>>,
    pub(crate) cause: Cause,
}

impl fmt::Display for Fault {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        match &self.key {
            Some(key) => write!(formatter, "[{}] {key}: {}", self.section, self.cause),
            None => write!(formatter, "[{}]: {}", self.section, self.cause),
        }
    }
}

/// Error of reading settings.
#[derive(Debug)]
#[derive(thiserror::Error)]
pub(crate) enum Error {
    #[error("{path}: {source}")]
    Read { path: Box<Path>, source: std::io::Error },
    #[error("{path}: line {line}, column {column}: {reason}")]
    Syntax { path: Box<Path>, line: usize, column: usize, reason: Box<str> },
    #[error("{}", format_faults(path, faults))]
    Faults { path: Box<Path>, faults: Vec<Fault> },
    #[error("{0}: incomplete settings")]
    Incomplete(Box<Path>),
}

fn format_faults(path: &Path, faults: &[Fault]) -> String {
    let lines: Vec<_> = faults.iter().map(|fault| format!("{}: {fault}", path.display())).collect();
    lines.join("\n")
}
