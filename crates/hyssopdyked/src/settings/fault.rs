//! What is wrong with a settings file.

use std::fmt;
use std::path::Path;

/// Kind of fault of one section or key.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(thiserror::Error)]
pub(crate) enum Cause {
    #[error("unknown section")]
    UnknownSection,
    #[error("section stands twice")]
    DuplicateSection,
    #[error("unknown key")]
    UnknownKey,
    #[error("key stands twice")]
    DuplicateKey,
    #[error("missing")]
    Missing,
    #[error("{value:?} is not {expected}")]
    Form { value: Box<str>, expected: &'static str },
    #[error("{value} is not between {least} and {most}")]
    Range { value: Box<str>, least: Box<str>, most: Box<str> },
    #[error("{value} is also used by {other}")]
    Clash { value: Box<str>, other: &'static str },
}

/// A fault at one place of the file.
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

/// Why settings cannot be used.
#[derive(Debug)]
#[derive(thiserror::Error)]
pub(crate) enum Error {
    #[error("{path}: {source}")]
    Read { path: Box<Path>, source: std::io::Error },
    #[error("{path}: line {line}, column {column}: {reason}")]
    Syntax { path: Box<Path>, line: usize, column: usize, reason: Box<str> },
    #[error("{}", list(path, faults))]
    Faults { path: Box<Path>, faults: Vec<Fault> },
    #[error("{0}: settings are incomplete")]
    Incomplete(Box<Path>),
}

fn list(path: &Path, faults: &[Fault]) -> String {
    let lines: Vec<_> = faults.iter().map(|fault| format!("{}: {fault}", path.display())).collect();
    lines.join("\n")
}
