//! Parser of resource files, in which operators declare services and failure domains.
//!
//! A resource file is an INI file with one section for each resource:
//!
//! ```ini
//! [service dispatch]
//! listen = 10.1.0.1:80/tcp/request, 10.1.0.1:81/tcp/stream
//! connections = 2000
//! slots = 5
//! cold_slots = 1
//!
//! [domain fj-west-a]
//! state = in
//! ```

use std::collections::BTreeSet;
use std::fmt;
use std::net::SocketAddr;
use std::path::Path;

use hyssopdyke_wire::resource::{
    Class, Domain, Kind, Listener, Protocol, Resource, Service, resource::Body,
};
use ini::{Ini, Properties};

/// Kind of a fault.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(thiserror::Error)]
pub enum Cause {
    /// The section is neither a service nor a domain.
    #[error("unknown section: expected [service NAME] or [domain NAME]")]
    UnknownSection,
    /// The section occurs more than once.
    #[error("duplicate section")]
    DuplicateSection,
    /// The section has no such key.
    #[error("unknown key")]
    UnknownKey,
    /// The key occurs more than once.
    #[error("duplicate key")]
    DuplicateKey,
    /// A required key is missing.
    #[error("missing")]
    Missing,
    /// The value cannot be parsed.
    #[error("expected {expected}, found {value:?}")]
    InvalidValue {
        /// Value in the file.
        value: Box<str>,
        /// Description of valid values.
        expected: &'static str,
    },
}

/// Fault of one section or key in a resource file.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Fault {
    /// Name of the section.
    pub section: Box<str>,
    /// Name of the key, or `None` if the fault concerns the whole section.
    pub key: Option<Box<str>>,
    /// Kind of the fault.
    pub cause: Cause,
}

impl fmt::Display for Fault {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        match &self.key {
            Some(key) => write!(formatter, "[{}] {key}: {}", self.section, self.cause),
            None => write!(formatter, "[{}]: {}", self.section, self.cause),
        }
    }
}

/// Error of reading a resource file.
#[derive(Debug)]
#[derive(thiserror::Error)]
pub enum Error {
    /// The file cannot be read.
    #[error("{path}: {source}")]
    Read {
        /// The file.
        path: Box<Path>,
        /// Error of the file system.
        source: std::io::Error,
    },
    /// The file is not valid INI.
    #[error("{path}: line {line}: {reason}")]
    Syntax {
        /// The file.
        path: Box<Path>,
        /// Line of the syntax error.
        line: usize,
        /// Message of the INI parser.
        reason: Box<str>,
    },
    /// The content has faults.
    #[error("{}", format_faults(path, faults))]
    Faults {
        /// The file.
        path: Box<Path>,
        /// All faults of the file.
        faults: Vec<Fault>,
    },
}

fn format_faults(path: &Path, faults: &[Fault]) -> String {
    let lines: Vec<_> = faults.iter().map(|fault| format!("{}: {fault}", path.display())).collect();
    lines.join("\n")
}

/// Resources declared in one file, in file order.
#[derive(Debug, Clone, PartialEq)]
pub struct ResourceFile {
    /// Kind and content of each resource.
    pub resources: Vec<(Kind, Resource)>,
}

impl ResourceFile {
    /// Reads and validates a file.
    ///
    /// # Errors
    ///
    /// Returns an [`Error`] if the file cannot be read, is not valid INI or has faults. All faults
    /// are listed.
    pub fn open(path: &Path) -> Result<Self, Error> {
        let text = std::fs::read_to_string(path)
            .map_err(|source| Error::Read { path: path.into(), source })?;
        Self::parse(path, &text)
    }

    /// Validates the content of a file. `path` is only used in errors.
    ///
    /// # Errors
    ///
    /// Returns an [`Error`] if the text is not valid INI or has faults. All faults are listed.
    pub fn parse(path: &Path, text: &str) -> Result<Self, Error> {
        let ini = Ini::load_from_str_noescape(text).map_err(|error| Error::Syntax {
            path: path.into(),
            line: error.line,
            reason: error.msg.into(),
        })?;
        let mut faults = Vec::new();
        let mut resources = Vec::new();
        let mut seen = BTreeSet::new();
        for (section, properties) in &ini {
            let Some(section) = section else {
                if !properties.is_empty() {
                    faults.push(Fault {
                        section: "".into(),
                        key: None,
                        cause: Cause::UnknownSection,
                    });
                }
                continue;
            };
            if !seen.insert(section) {
                let cause = Cause::DuplicateSection;
                faults.push(Fault { section: section.into(), key: None, cause });
                continue;
            }
            let mut parser = SectionParser { section, properties, faults: &mut faults };
            resources.extend(parser.parse_resource());
        }
        if faults.is_empty() {
            return Ok(Self { resources });
        }
        Err(Error::Faults { path: path.into(), faults })
    }
}

struct SectionParser<'a> {
    section: &'a str,
    properties: &'a Properties,
    faults: &'a mut Vec<Fault>,
}

impl SectionParser<'_> {
    fn parse_resource(&mut self) -> Option<(Kind, Resource)> {
        let (kind, body) = match self.section.split_once(' ') {
            Some(("service", _)) => (Kind::Service, Body::Service(self.parse_service()?)),
            Some(("domain", _)) => (Kind::Domain, Body::Domain(self.parse_domain()?)),
            _ => {
                self.add_fault(None, Cause::UnknownSection);
                return None;
            }
        };
        let (_, name) = self.section.split_once(' ')?;
        let name = name.trim().to_owned();
        Some((kind, Resource { name, body: Some(body), ..Resource::default() }))
    }

    fn parse_service(&mut self) -> Option<Service> {
        self.reject_unknown_keys(&["listen", "connections", "slots", "cold_slots"]);
        let listeners = self.get_text("listen").and_then(|text| {
            text.split(',').map(|item| self.parse_listener(item.trim())).collect::<Option<Vec<_>>>()
        });
        let connections = self.parse_number("connections");
        let slots = self.parse_number("slots");
        let cold_slots = self.parse_number("cold_slots");
        Some(Service {
            listeners: listeners?,
            connections: connections?,
            slots: slots?,
            cold_slots: cold_slots?,
            ..Service::default()
        })
    }

    fn parse_domain(&mut self) -> Option<Domain> {
        self.reject_unknown_keys(&["state"]);
        let text = self.get_text("state")?;
        match &*text {
            "in" => Some(Domain { out: false }),
            "out" => Some(Domain { out: true }),
            _ => {
                self.add_invalid_value("state", &text, "in or out");
                None
            }
        }
    }

    fn parse_listener(&mut self, text: &str) -> Option<Listener> {
        let listener = parse_listener(text);
        if listener.is_none() {
            let expected =
                "address:port/protocol/class with tcp or udp, and stream, request or exchange";
            self.add_invalid_value("listen", text, expected);
        }
        listener
    }

    fn parse_number(&mut self, key: &'static str) -> Option<u32> {
        let text = self.get_text(key)?;
        let number = text.parse().ok();
        if number.is_none() {
            self.add_invalid_value(key, &text, "a whole number");
        }
        number
    }

    fn get_text(&mut self, key: &'static str) -> Option<Box<str>> {
        let mut values = self.properties.get_all(key);
        let Some(value) = values.next() else {
            self.add_fault(Some(key), Cause::Missing);
            return None;
        };
        if values.next().is_some() {
            self.add_fault(Some(key), Cause::DuplicateKey);
        }
        Some(value.trim().into())
    }

    fn reject_unknown_keys(&mut self, known: &[&str]) {
        let unknown = self.properties.iter().map(|(key, _)| key).filter(|key| !known.contains(key));
        for key in unknown.collect::<Vec<_>>() {
            self.add_fault(Some(key), Cause::UnknownKey);
        }
    }

    fn add_invalid_value(&mut self, key: &str, value: &str, expected: &'static str) {
        self.add_fault(Some(key), Cause::InvalidValue { value: value.into(), expected });
    }

    fn add_fault(&mut self, key: Option<&str>, cause: Cause) {
        let (section, key) = (self.section.into(), key.map(Into::into));
        self.faults.push(Fault { section, key, cause });
    }
}

fn parse_listener(text: &str) -> Option<Listener> {
    let mut parts = text.split('/');
    let address: SocketAddr = parts.next()?.parse().ok()?;
    let protocol = match parts.next()? {
        "tcp" => Protocol::Tcp,
        "udp" => Protocol::Udp,
        _ => return None,
    };
    let class = match parts.next()? {
        "stream" => Class::Stream,
        "request" => Class::Request,
        "exchange" => Class::Exchange,
        _ => return None,
    };
    if parts.next().is_some() || address.port() == 0 {
        return None;
    }
    Some(Listener {
        address: address.ip().to_string(),
        port: address.port().into(),
        protocol: protocol as i32,
        class: class as i32,
    })
}
