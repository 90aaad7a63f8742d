//! Development tasks of the workspace, which are not part of the product.

mod fake;
mod generate;
mod membership;
mod placement;
mod quickstart;
mod replay;
mod slopes;
mod soak;
mod throughput;

use clap::Command;

fn command() -> Command {
    Command::new("xtask")
        .about("Development tasks of the hyssopdyke workspace")
        .subcommand_required(true)
        .subcommand(Command::new("generate").about("Generate the wire types from the .proto files"))
        .subcommand(quickstart::command())
        .subcommand(membership::command())
        .subcommand(placement::command())
        .subcommand(replay::command())
        .subcommand(slopes::command())
        .subcommand(soak::command())
        .subcommand(throughput::command())
        .subcommand(throughput::relay_command())
}

fn main() -> eyre::Result<()> {
    match command().get_matches().subcommand() {
        Some(("generate", _)) => generate::run(),
        Some(("quickstart", matches)) => quickstart::run(matches),
        Some(("membership", _)) => {
            membership::run();
            Ok(())
        }
        Some(("placement", matches)) => {
            placement::run(matches);
            Ok(())
        }
        Some(("replay", matches)) => replay::run(matches),
        Some(("slopes", matches)) => slopes::run(matches),
        Some(("soak", matches)) => soak::run(matches),
        Some(("throughput", matches)) => throughput::run(matches),
        Some(("relay", matches)) => throughput::relay(matches),
        _ => Ok(()),
    }
}
