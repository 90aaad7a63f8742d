//! A settings file whose sections are read one after another, gathering faults.

use std::collections::BTreeSet;
use std::fmt::Display;
use std::path::Path;
use std::str::FromStr;
use std::time::Duration;

use ini::{Ini, Properties};

use super::fault::{Cause, Error, Fault};

/// An INI file.
pub(crate) struct File {
    path: Box<Path>,
    ini: Ini,
    known: BTreeSet<&'static str>,
    faults: Vec<Fault>,
}

impl File {
    /// Reads a file.
    pub(crate) fn open(path: &Path) -> Result<Self, Error> {
        let text = std::fs::read_to_string(path)
            .map_err(|source| Error::Read { path: path.into(), source })?;
        let ini = Ini::load_from_str_noescape(&text).map_err(|error| Error::Syntax {
            path: path.into(),
            line: error.line,
            column: error.col,
            reason: error.msg.into(),
        })?;
        Ok(Self { path: path.into(), ini, known: BTreeSet::new(), faults: Vec::new() })
    }

    /// Reads one section, which may be empty or missing.
    pub(crate) fn section<T>(
        &mut self,
        name: &'static str,
        read: impl FnOnce(&mut Section<'_>) -> T,
    ) -> T {
        self.known.insert(name);
        let mut all = self.ini.section_all(Some(name));
        let empty = Properties::new();
        let properties = all.next().unwrap_or(&empty);
        if all.next().is_some() {
            let cause = Cause::DuplicateSection;
            self.faults.push(Fault { section: name.into(), key: None, cause });
        }
        let mut section = Section { name, properties, known: BTreeSet::new(), faults: Vec::new() };
        let value = read(&mut section);
        section.check_unknown();
        self.faults.append(&mut section.faults);
        value
    }

    /// Checks for sections that were not read, and returns all faults.
    pub(crate) fn finish(mut self) -> Result<(), Error> {
        for (name, properties) in &self.ini {
            let is_known = name.is_some_and(|name| self.known.contains(name));
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

/// One section of a file.
pub(crate) struct Section<'a> {
    name: &'static str,
    properties: &'a Properties,
    known: BTreeSet<&'static str>,
    faults: Vec<Fault>,
}

impl Section<'_> {
    /// Notes a fault of a key.
    pub(crate) fn fault(&mut self, key: &str, cause: Cause) {
        self.faults.push(Fault { section: self.name.into(), key: Some(key.into()), cause });
    }

    /// Text of a key that may be missing.
    pub(crate) fn optional_text(&mut self, key: &'static str) -> Option<Box<str>> {
        self.known.insert(key);
        let mut all = self.properties.get_all(key);
        let value = all.next()?;
        if all.next().is_some() {
            self.fault(key, Cause::DuplicateKey);
        }
        Some(value.trim().into())
    }

    /// Text of a key that must be there.
    pub(crate) fn text(&mut self, key: &'static str) -> Option<Box<str>> {
        let text = self.optional_text(key).filter(|text| !text.is_empty());
        if text.is_none() {
            self.fault(key, Cause::Missing);
        }
        text
    }

    /// Value of a key that must be there.
    pub(crate) fn value<T: FromStr>(
        &mut self,
        key: &'static str,
        expected: &'static str,
    ) -> Option<T> {
        let text = self.text(key)?;
        self.parsed(key, &text, expected)
    }

    /// Value of a key that may be missing or empty; a wrong one is noted as a fault.
    pub(crate) fn optional<T: FromStr>(
        &mut self,
        key: &'static str,
        expected: &'static str,
    ) -> Option<T> {
        let text = self.optional_text(key).filter(|text| !text.is_empty())?;
        self.parsed(key, &text, expected)
    }

    /// Values of a key, separated by commas; none where the key is missing.
    pub(crate) fn list<T: FromStr>(
        &mut self,
        key: &'static str,
        expected: &'static str,
    ) -> Option<Vec<T>> {
        let text = self.optional_text(key).unwrap_or_default();
        let items = text.split(',').map(str::trim).filter(|item| !item.is_empty());
        items.map(|item| self.parsed(key, item, expected)).collect()
    }

    /// Number within bounds, or `default` where the key is missing.
    pub(crate) fn number<T>(&mut self, key: &'static str, default: T, bounds: (T, T)) -> Option<T>
    where
        T: FromStr + PartialOrd + Display,
    {
        let Some(text) = self.optional_text(key) else {
            return Some(default);
        };
        let value = self.parsed(key, &text, "a whole number")?;
        self.bounded(key, value, bounds, T::to_string)
    }

    /// Time within bounds, or `default` where the key is missing.
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
            self.parsed(key, &text, "a time with its unit, such as 500ms or 3s")?;
        self.bounded(key, *value, bounds, |time| humantime::format_duration(*time).to_string())
    }

    fn parsed<T: FromStr>(&mut self, key: &str, text: &str, expected: &'static str) -> Option<T> {
        let value = text.parse().ok();
        if value.is_none() {
            self.fault(key, Cause::Form { value: text.into(), expected });
        }
        value
    }

    fn bounded<T: PartialOrd>(
        &mut self,
        key: &str,
        value: T,
        (least, most): (T, T),
        show: impl Fn(&T) -> String,
    ) -> Option<T> {
        if value >= least && value <= most {
            return Some(value);
        }
        let cause = Cause::Range {
            value: show(&value).into(),
            least: show(&least).into(),
            most: show(&most).into(),
        };
        self.fault(key, cause);
        None
    }

    fn check_unknown(&mut self) {
        let keys: BTreeSet<&str> = self.properties.iter().map(|(key, _)| key).collect();
        for key in keys {
            if !self.known.contains(key) {
                self.fault(key, Cause::UnknownKey);
            }
        }
    }
}
