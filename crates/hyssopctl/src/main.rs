//! The operators' command line.

mod command;
mod operation;
mod output;
mod timeline;

use std::process::ExitCode;

fn main() -> ExitCode {
    command::run()
}
