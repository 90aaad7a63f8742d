//! Reader of settings files that collects the faults of all sections.

use std::collections::BTreeSet;
use std::fmt::Display;
use std::net::SocketAddr;
use std::path::Path;
use std::str::FromStr;
use std::time::Duration;

use ini::{Ini, Properties};

use super::fault::{Cause, Error, Fault};

/// INI file whose sections are read one after another.
pub(crate) struct File {
    path: Box<Path>,
    ini: Ini,
    known_sections: BTreeSet<&'static str>,
    faults: Vec<Fault>,
}

impl File {
    /// Reads a file and parses its INI syntax.
    pub(crate) fn open(path: &Path) -> Result<Self, Error> {
        let text = std::fs::read_to_string(path)
            .map_err(|source| Error::Read { path: path.into(), source })?;
        let ini = Ini::load_from_str_noescape(&text).map_err(|error| Error::Syntax {
            path: path.into(),
            line: error.line,
            column: error.col,
            reason: error.msg.into(),
        })?;
        Ok(Self { path: path.into(), ini, known_sections: BTreeSet::new(), faults: Vec::new() })
    }

    /// Reads one section. A missing section is read as an empty one.
    pub(crate) fn section<T>(
        &mut self,
        name: &'static str,
        read: impl FnOnce(&mut Section<'_>) -> T,
    ) -> T {
        self.known_sections.insert(name);
        let mut sections = self.ini.section_all(Some(name));
        let empty = Properties::new();
        let properties = sections.next().unwrap_or(&empty);
        if sections.next().is_some() {
            let cause = Cause::DuplicateSection;
            self.faults.push(Fault { section: name.into(), key: None, cause });
        }
        let mut section =
            Section { name, properties, known_keys: BTreeSet::new(), faults: Vec::new() };
        let value = read(&mut section);
        section.check_unknown_keys();
        self.faults.append(&mut section.faults);
        value
    }

    /// Checks for unknown sections, and returns all faults of the file as one error.
    pub(crate) fn finish(mut self) -> Result<(), Error> {
        for (name, properties) in &self.ini {
            let is_known = name.is_some_and(|name| self.known_sections.contains(name));
            let is_empty_preamble = name.is_none() && properties.is_empty();
            if !is_known && !is_empty_preamble {
                let section = name.unwrap_or("").into();
                self.faults.push(Fault { section, key: None, cause: Cause::UnknownSection });
            }
        }
        if self.faults.is_empty() {
            return Ok(());
        }
        Err(Error::Faults { path: self.path, faults: self.faults })
    }
}

/// Section of a settings file.
pub(crate) struct Section<'a> {
    name: &'static str,
    properties: &'a Properties,
    known_keys: BTreeSet<&'static str>,
    faults: Vec<Fault>,
}

impl Section<'_> {
    /// Records a fault of a key.
    pub(crate) fn add_fault(&mut self, key: &str, cause: Cause) {
        self.faults.push(Fault { section: self.name.into(), key: Some(key.into()), cause });
    }

    /// Returns the text of an optional key.
    pub(crate) fn optional_text(&mut self, key: &'static str) -> Option<Box<str>> {
        self.known_keys.insert(key);
        let mut values = self.properties.get_all(key);
        let value = values.next()?;
        if values.next().is_some() {
            self.add_fault(key, Cause::DuplicateKey);
        }
        Some(value.trim().into())
    }

    /// Returns the text of a required key.
    pub(crate) fn text(&mut self, key: &'static str) -> Option<Box<str>> {
        let text = self.optional_text(key).filter(|text| !text.is_empty());
        if text.is_none() {
            self.add_fault(key, Cause::Missing);
        }
        text
    }

    /// Returns the parsed value of a required key.
    pub(crate) fn value<T: FromStr>(
        &mut self,
        key: &'static str,
        expected: &'static str,
    ) -> Option<T> {
        let text = self.text(key)?;
        self.parse(key, &text, expected)
    }

    /// Returns the parsed value of an optional key, or `None` if it is missing or empty. Records a
    /// fault if the value is invalid.
    pub(crate) fn optional<T: FromStr>(
        &mut self,
        key: &'static str,
        expected: &'static str,
    ) -> Option<T> {
        let text = self.optional_text(key).filter(|text| !text.is_empty())?;
        self.parse(key, &text, expected)
    }

    /// Returns the comma-separated values of a key. A missing key is an empty list.
    pub(crate) fn list<T: FromStr>(
        &mut self,
        key: &'static str,
        expected: &'static str,
    ) -> Option<Vec<T>> {
        let text = self.optional_text(key).unwrap_or_default();
        let items = text.split(',').map(str::trim).filter(|item| !item.is_empty());
        items.map(|item| self.parse(key, item, expected)).collect()
    }

    /// Returns the comma-separated socket addresses of other processes. A missing key is an empty list.
    pub(crate) fn peers(&mut self, key: &'static str) -> Option<Vec<SocketAddr>> {
        let peers: Vec<SocketAddr> = self.list(key, "a list of socket addresses")?;
        let is_valid = |peer: &&SocketAddr| peer.port() != 0 && !peer.ip().is_unspecified();
        if let Some(invalid) = peers.iter().find(|peer| !is_valid(peer)) {
            let expected = "the address and the port of a process";
            self.add_fault(
                key,
                Cause::InvalidValue { value: invalid.to_string().into(), expected },
            );
            return None;
        }
        Some(peers)
    }

    /// Returns a number within inclusive bounds, or `default` if the key is missing.
    pub(crate) fn number<T>(&mut self, key: &'static str, default: T, bounds: (T, T)) -> Option<T>
    where
        T: FromStr + PartialOrd + Display,
    {
        let Some(text) = self.optional_text(key) else {
            return Some(default);
        };
        let value = self.parse(key, &text, "a whole number")?;
        self.check_bounds(key, value, bounds, T::to_string)
    }

    /// Returns a duration within inclusive bounds, or `default` if the key is missing.
    pub(crate) fn time(
        &mut self,
        key: &'static str,
        default: Duration,
        bounds: (Duration, Duration),
    ) -> Option<Duration> {
        let Some(text) = self.optional_text(key) else {
            return Some(default);
        };
        let value: humantime::Duration =
            self.parse(key, &text, "a time with its unit, such as 500ms or 3s")?;
        self.check_bounds(key, *value, bounds, |time| humantime::format_duration(*time).to_string())
    }

    fn parse<T: FromStr>(&mut self, key: &str, text: &str, expected: &'static str) -> Option<T> {
        let value = text.parse().ok();
        if value.is_none() {
            self.add_fault(key, Cause::InvalidValue { value: text.into(), expected });
        }
        value
    }

    fn check_bounds<T: PartialOrd>(
        &mut self,
        key: &str,
        value: T,
        (min, max): (T, T),
        format: impl Fn(&T) -> String,
    ) -> Option<T> {
        if value >= min && value <= max {
            return Some(value);
        }
        let cause = Cause::OutOfRange {
            value: format(&value).into(),
            min: format(&min).into(),
            max: format(&max).into(),
        };
        self.add_fault(key, cause);
        None
    }

    fn check_unknown_keys(&mut self) {
        let keys: BTreeSet<&str> = self.properties.iter().map(|(key, _)| key).collect();
        for key in keys {
            if !self.known_keys.contains(key) {
                self.add_fault(key, Cause::UnknownKey);
            }
        }
    }
}
