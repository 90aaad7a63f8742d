//! The `soak` task: soak tests of the daemons.

use std::time::Duration;

use ::soak::{Plan, Soak};
use clap::{Arg, ArgMatches, Command, value_parser};
use eyre::{Result, WrapErr, ensure};

use crate::quickstart;

pub(crate) fn command() -> Command {
    let number = |name: &'static str, default: &'static str, help: &'static str| {
        Arg::new(name).long(name).default_value(default).help(help)
    };
    Command::new("soak")
        .about("Run the daemons under random faults and check their invariants")
        .arg(number("seed", "1", "First seed").value_parser(value_parser!(u64)))
        .arg(
            number("seeds", "1", "Number of consecutive seeds")
                .value_parser(value_parser!(u64).range(1..=10_000)),
        )
        .arg(
            number("seconds", "60", "Duration of each seed in seconds")
                .value_parser(value_parser!(u64).range(1..=86_400)),
        )
        .arg(
            number("upstreams", "6", "Number of upstreams, each with an agent")
                .value_parser(value_parser!(u8).range(1..=140)),
        )
        .arg(
            number("entries", "3", "Number of entries")
                .value_parser(value_parser!(u8).range(1..=70)),
        )
}

pub(crate) fn run(matches: &ArgMatches) -> Result<()> {
    let number = |name| matches.get_one::<u64>(name).copied().unwrap_or(1);
    let small_number = |name| matches.get_one::<u8>(name).copied().unwrap_or(1);
    let binary = quickstart::build()?.join("hyssopdyked");
    let mut failed = Vec::new();
    for seed in number("seed")..number("seed") + number("seeds") {
        let plan = Plan {
            seed,
            duration: Duration::from_secs(number("seconds")),
            upstreams: small_number("upstreams"),
            entries: small_number("entries"),
        };
        let folder = quickstart::run_folder(&format!("soak-{seed}"))?;
        let soak = Soak::start(&binary, &folder, plan).wrap_err("cannot start the system")?;
        let report = soak.run().wrap_err_with(|| format!("seed {seed}"))?;
        print!("{report}");
        if report.violations.is_empty() {
            std::fs::remove_dir_all(&folder)?;
        } else {
            println!("  logs: {}", folder.display());
            failed.push(seed);
        }
    }
    ensure!(failed.is_empty(), "seeds with violations: {failed:?}");
    Ok(())
}
