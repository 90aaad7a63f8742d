//! Daemons of hyssopdyke: entry, agent and control.

mod agent;
mod clock;
mod command;
mod control;
mod entry;
mod log;
mod metrics;
mod node;
mod reload;
mod settings;
mod stop;
mod stream;

use std::process::ExitCode;

fn main() -> ExitCode {
    command::run()
}
