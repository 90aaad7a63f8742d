//! Timeline of the events of all processes.

mod event;
mod order;
mod page;
mod why;

use std::io::Write;
use std::path::PathBuf;

use clap::{Arg, ArgMatches, Command, value_parser};
use eyre::{Result, WrapErr};

use event::{Event, Filter};
use why::Diagnosis;

pub(crate) fn command() -> Command {
    let text = |name: &'static str, help: &'static str| Arg::new(name).long(name).help(help);
    Command::new("timeline")
        .about("Merge the JSON logs of all processes into one timeline")
        .arg(
            Arg::new("log")
                .required(true)
                .num_args(1..)
                .value_parser(value_parser!(PathBuf))
                .help("Logs with [log] form = json"),
        )
        .arg(text("flow", "Only events of flows whose name contains this"))
        .arg(
            text("why", "Explain why a flow failed: its decisions, and the state of its VMs")
                .value_name("FLOW")
                .conflicts_with_all(["flow", "service", "vm", "event", "html"]),
        )
        .arg(text("service", "Only events of a service, by its name or its address"))
        .arg(text("vm", "Only events of this VM"))
        .arg(text("event", "Only events whose name contains this"))
        .arg(
            text("from", "Only events after this time, in ms from the first event")
                .value_parser(value_parser!(u64)),
        )
        .arg(
            text("until", "Only events before this time, in ms from the first event")
                .value_parser(value_parser!(u64)),
        )
        .arg(
            Arg::new("html")
                .long("html")
                .value_name("FILE")
                .value_parser(value_parser!(PathBuf))
                .help("Write an HTML page instead of text"),
        )
}

pub(crate) fn run(matches: &ArgMatches) -> Result<()> {
    let mut events = Vec::new();
    let mut skipped = 0;
    for path in matches.get_many::<PathBuf>("log").unwrap_or_default() {
        let text = std::fs::read_to_string(path).wrap_err_with(|| path.display().to_string())?;
        for line in text.lines() {
            match Event::parse(line) {
                Some(event) => events.push(event),
                None => skipped += 1,
            }
        }
    }
    order::sort(&mut events);
    let start = events.first().map_or(0, |event| event.wall_us);
    if skipped > 0 {
        eprintln!("skipped {skipped} lines that are not events");
    }
    if let Some(flow) = matches.get_one::<String>("why") {
        return explain(&Diagnosis::new(&events, flow), start);
    }
    let filter = Filter::new(matches);
    events.retain(|event| filter.matches(event, start));
    match matches.get_one::<PathBuf>("html") {
        Some(path) => {
            let page = page::render(&events, start);
            std::fs::write(path, page).wrap_err_with(|| path.display().to_string())
        }
        None => print(&events, start),
    }
}

fn explain(diagnosis: &Diagnosis, start: u64) -> Result<()> {
    print(&diagnosis.events, start)?;
    let mut out = std::io::stdout().lock();
    writeln!(out, "\n{}", diagnosis.cause)?;
    if let Some(event) = &diagnosis.deciding_event {
        writeln!(out, "deciding event on {}: {} {}", event.vm, event.event, event.format_fields())?;
    }
    if diagnosis.suppressed > 0 {
        writeln!(
            out,
            "{} events were suppressed in this period: the list may have gaps",
            diagnosis.suppressed
        )?;
    }
    Ok(())
}

fn print(events: &[Event], start: u64) -> Result<()> {
    let mut out = std::io::stdout().lock();
    for event in events {
        let millis = (event.wall_us - start) as f64 / 1000.0;
        writeln!(
            out,
            "{millis:>12.3} {:<16} r{:<6} {} {}",
            event.vm,
            event.revision,
            event.event,
            event.format_fields()
        )?;
    }
    Ok(())
}

#[cfg(test)]
#[path = "tests.rs"]
mod tests;
