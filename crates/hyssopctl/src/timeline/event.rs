//! An event of one process, and which events are wanted.

use std::collections::BTreeMap;

use clap::ArgMatches;
use serde::Deserialize;
use serde_json::Value;

/// One line of a log.
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
    #[serde(flatten)]
    pub(crate) rest: BTreeMap<Box<str>, Value>,
}

impl Event {
    /// Reads a line; what stands before the event, such as a collector's time and source, is
    /// passed over.
    pub(crate) fn parse(line: &str) -> Option<Self> {
        let start = line.find('{')?;
        serde_json::from_str(&line[start..]).ok()
    }

    /// What the event says besides its name.
    pub(crate) fn details(&self) -> String {
        let details = self.rest.iter().map(|(key, value)| match value {
            Value::String(text) => format!("{key}={text}"),
            other => format!("{key}={other}"),
        });
        details.collect::<Vec<_>>().join(" ")
    }
}

/// Which events are wanted.
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

    /// Whether an event is wanted, on a time line that starts at `start`.
    pub(crate) fn admits(&self, event: &Event, start: u64) -> bool {
        let detail = |key: &str| event.rest.get(key).and_then(Value::as_str).unwrap_or_default();
        let time = event.wall_us - start;
        let holds = |wanted: &Option<String>, test: &dyn Fn(&str) -> bool| {
            wanted.as_deref().is_none_or(test)
        };
        holds(&self.flow, &|flow| detail("flow").contains(flow))
            && holds(&self.service, &|service| {
                detail("service") == service || detail("flow").contains(service)
            })
            && holds(&self.vm, &|vm| *event.vm == *vm)
            && holds(&self.event, &|name| event.event.contains(name))
            && self.from_us.is_none_or(|from| time >= from)
            && self.until_us.is_none_or(|until| time <= until)
    }
}
