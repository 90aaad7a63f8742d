//! Resource files: services and failure domains as operators declare them.
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

/// What is wrong with one section or key.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(thiserror::Error)]
pub enum Cause {
    /// The section is neither a service nor a domain.
    #[error("unknown section; [service NAME] or [domain NAME] is expected")]
    Section,
    /// The section stands twice.
    #[error("section stands twice")]
    DuplicateSection,
    /// The key is not known in this section.
    #[error("unknown key")]
    UnknownKey,
    /// The key stands twice.
    #[error("key stands twice")]
    DuplicateKey,
    /// The key must be there.
    #[error("missing")]
    Missing,
    /// The value has another form.
    #[error("{value:?} is not {expected}")]
    Form {
        /// What stands in the file.
        value: Box<str>,
        /// What is expected.
        expected: &'static str,
    },
}

/// A fault at one place of the file.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Fault {
    /// Section of the fault.
    pub section: Box<str>,
    /// Key of the fault.
    pub key: Option<Box<str>>,
    /// What is wrong.
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

/// Why a file cannot be used.
#[derive(Debug)]
#[derive(thiserror::Error)]
pub enum Error {
    /// The file cannot be read.
    #[error("{path}: {source}")]
    Read {
        /// The file.
        path: Box<Path>,
        /// What the file system said.
        source: std::io::Error,
    },
    /// The file is not in INI form.
    #[error("{path}: line {line}: {reason}")]
    Syntax {
        /// The file.
        path: Box<Path>,
        /// Line of the fault.
        line: usize,
        /// What is wrong.
        reason: Box<str>,
    },
    /// All faults of the content.
    #[error("{}", list(path, faults))]
    Faults {
        /// The file.
        path: Box<Path>,
        /// The faults.
        faults: Vec<Fault>,
    },
}

fn list(path: &Path, faults: &[Fault]) -> String {
    let lines: Vec<_> = faults.iter().map(|fault| format!("{}: {fault}", path.display())).collect();
    lines.join("\n")
}

/// Resources of one file, in its order.
#[derive(Debug, Clone, PartialEq)]
pub struct Declaration {
    /// Kind and content of each resource.
    pub resources: Vec<(Kind, Resource)>,
}

impl Declaration {
    /// Reads and checks a file.
    ///
    /// # Errors
    ///
    /// An [`Error`] that lists all faults.
    pub fn open(path: &Path) -> Result<Self, Error> {
        let text = std::fs::read_to_string(path)
            .map_err(|source| Error::Read { path: path.into(), source })?;
        Self::parse(path, &text)
    }

    /// Checks the content of a file.
    ///
    /// # Errors
    ///
    /// An [`Error`] that lists all faults.
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
                    faults.push(Fault { section: "".into(), key: None, cause: Cause::Section });
                }
                continue;
            };
            if !seen.insert(section) {
                let cause = Cause::DuplicateSection;
                faults.push(Fault { section: section.into(), key: None, cause });
                continue;
            }
            let mut reader = Reader { section, properties, faults: &mut faults };
            resources.extend(reader.resource());
        }
        if faults.is_empty() {
            return Ok(Self { resources });
        }
        Err(Error::Faults { path: path.into(), faults })
    }
}

struct Reader<'a> {
    section: &'a str,
    properties: &'a Properties,
    faults: &'a mut Vec<Fault>,
}

impl Reader<'_> {
    fn resource(&mut self) -> Option<(Kind, Resource)> {
        let (kind, body) = match self.section.split_once(' ') {
            Some(("service", _)) => (Kind::Service, Body::Service(self.service()?)),
            Some(("domain", _)) => (Kind::Domain, Body::Domain(self.domain()?)),
            _ => {
                self.fault(None, Cause::Section);
                return None;
            }
        };
        let (_, name) = self.section.split_once(' ')?;
        let name = name.trim().to_owned();
        Some((kind, Resource { name, body: Some(body), ..Resource::default() }))
    }

    fn service(&mut self) -> Option<Service> {
        self.check_keys(&["listen", "connections", "slots", "cold_slots"]);
        let listeners = self.text("listen").and_then(|text| {
            text.split(',').map(|item| self.listener(item.trim())).collect::<Option<Vec<_>>>()
        });
        let connections = self.number("connections");
        let slots = self.number("slots");
        let cold_slots = self.number("cold_slots");
        Some(Service {
            listeners: listeners?,
            connections: connections?,
            slots: slots?,
            cold_slots: cold_slots?,
            ..Service::default()
        })
    }

    fn domain(&mut self) -> Option<Domain> {
        self.check_keys(&["state"]);
        let text = self.text("state")?;
        match &*text {
            "in" => Some(Domain { out: false }),
            "out" => Some(Domain { out: true }),
            _ => {
                self.form("state", &text, "in or out");
                None
            }
        }
    }

    fn listener(&mut self, text: &str) -> Option<Listener> {
        let listener = parse_listener(text);
        if listener.is_none() {
            let expected =
                "address:port/protocol/class with tcp or udp, and stream, request or exchange";
            self.form("listen", text, expected);
        }
        listener
    }

    fn number(&mut self, key: &'static str) -> Option<u32> {
        let text = self.text(key)?;
        let number = text.parse().ok();
        if number.is_none() {
            self.form(key, &text, "a whole number");
        }
        number
    }

    fn text(&mut self, key: &'static str) -> Option<Box<str>> {
        let mut all = self.properties.get_all(key);
        let Some(value) = all.next() else {
            self.fault(Some(key), Cause::Missing);
            return None;
        };
        if all.next().is_some() {
            self.fault(Some(key), Cause::DuplicateKey);
        }
        Some(value.trim().into())
    }

    fn check_keys(&mut self, known: &[&str]) {
        let unknown = self.properties.iter().map(|(key, _)| key).filter(|key| !known.contains(key));
        for key in unknown.collect::<Vec<_>>() {
            self.fault(Some(key), Cause::UnknownKey);
        }
    }

    fn form(&mut self, key: &str, value: &str, expected: &'static str) {
        self.fault(Some(key), Cause::Form { value: value.into(), expected });
    }

    fn fault(&mut self, key: Option<&str>, cause: Cause) {
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
