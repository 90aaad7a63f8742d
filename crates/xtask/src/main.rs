//! Chores of the workspace that ship with no product.

mod generate;
mod quickstart;

use clap::Command;

fn command() -> Command {
    Command::new("xtask")
        .about("Chores of the hyssopdyke workspace")
        .subcommand_required(true)
        .subcommand(Command::new("generate").about("Generate the wire types from the .proto files"))
        .subcommand(quickstart::command())
}

fn main() -> eyre::Result<()> {
    match command().get_matches().subcommand() {
        Some(("generate", _)) => generate::run(),
        Some(("quickstart", matches)) => quickstart::run(matches),
        _ => Ok(()),
    }
}
