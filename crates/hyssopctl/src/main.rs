//! Command-line tool for operators.

mod command;
mod operation;
mod output;
mod timeline;

use std::process::ExitCode;

fn main() -> ExitCode {
    command::run()
}
