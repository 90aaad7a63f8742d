//! Log events and the filter that selects them.

use std::collections::BTreeMap;

use clap::ArgMatches;
use serde::Deserialize;
use serde_json::Value;

/// Event of one line of a log.
#[derive(Debug, Clone, PartialEq)]
#[derive(Deserialize)]
#[allow(clippy::struct_field_names, reason = "the names are the log's keys")]
pub(crate) struct Event {
    pub(crate) process: Box<str>,
    pub(crate) vm: Box<str>,
    pub(crate) domain: Box<str>,
    pub(crate) pid: u32,
    pub(crate) revision: u64,
    pub(crate) wall_us: u64,
    pub(crate) mono_us: u64,
    pub(crate) level: Box<str>,
    pub(crate) event: Box<str>,
    /// Further keys of the line.
    #[serde(flatten)]
    pub(crate) fields: BTreeMap<Box<str>, Value>,
}

impl Event {
    /// Parses a line. Skips text before the event, such as the time and source that a log collector
    /// adds.
    pub(crate) fn parse(line: &str) -> Option<Self> {
        let start = line.find('{')?;
        serde_json::from_str(&line[start..]).ok()
    }

    /// Formats the further fields as `key=value` pairs.
    pub(crate) fn format_fields(&self) -> String {
        let pairs = self.fields.iter().map(|(key, value)| match value {
            Value::String(text) => format!("{key}={text}"),
            other => format!("{key}={other}"),
        });
        pairs.collect::<Vec<_>>().join(" ")
    }
}

/// Filter of events. An event must match all conditions that are set.
#[derive(Debug, Default)]
pub(crate) struct Filter {
    flow: Option<String>,
    service: Option<String>,
    vm: Option<String>,
    event: Option<String>,
    from_us: Option<u64>,
    until_us: Option<u64>,
}

impl Filter {
    pub(crate) fn new(matches: &ArgMatches) -> Self {
        let text = |name: &str| matches.get_one::<String>(name).cloned();
        let micros = |name: &str| matches.get_one::<u64>(name).map(|millis| millis * 1000);
        Self {
            flow: text("flow"),
            service: text("service"),
            vm: text("vm"),
            event: text("event"),
            from_us: micros("from"),
            until_us: micros("until"),
        }
    }

    /// Returns whether an event matches, on a timeline that starts at `start`, in microseconds.
    pub(crate) fn matches(&self, event: &Event, start: u64) -> bool {
        let field = |key: &str| event.fields.get(key).and_then(Value::as_str).unwrap_or_default();
        let time = event.wall_us - start;
        let passes = |condition: &Option<String>, test: &dyn Fn(&str) -> bool| {
            condition.as_deref().is_none_or(test)
        };
        passes(&self.flow, &|flow| field("flow").contains(flow))
            && passes(&self.service, &|service| {
                field("service") == service || field("flow").contains(service)
            })
            && passes(&self.vm, &|vm| *event.vm == *vm)
            && passes(&self.event, &|name| event.event.contains(name))
            && self.from_us.is_none_or(|from| time >= from)
            && self.until_us.is_none_or(|until| time <= until)
    }
}
