//! Command-line arguments and exit codes.

use std::net::SocketAddr;
use std::path::PathBuf;
use std::process::ExitCode;
use std::time::Duration;

use clap::builder::PossibleValuesParser;
use clap::{Arg, ArgAction, ArgMatches, Command, value_parser};
use eyre::Report;
use hyssopctl::{Client, Error, ResourceFileError};

use crate::{operation, timeline};

/// Exit code if the request failed.
const EXIT_FAILED: u8 = 1;

/// Exit code if the command line or a file is invalid.
const EXIT_USAGE: u8 = 2;

/// Exit code if the resource has changed since it was read.
const EXIT_CONFLICT: u8 = 4;

/// Exit code if no control VM answers.
const EXIT_UNAVAILABLE: u8 = 5;

/// Exit code if a change was accepted but did not come into force before the timeout.
const EXIT_NOT_IN_FORCE: u8 = 6;

/// Kinds of resources that operators may write.
const WRITABLE_KINDS: [&str; 3] = ["services", "domains", "upstreams"];

/// Kinds of resources that operators may read.
const ALL_KINDS: [&str; 6] =
    ["services", "domains", "upstreams", "entries", "routes", "declarations"];

const EXAMPLES: &str = "\
Examples:
  hyssopctl --control 10.40.1.1:5561 apply resources.ini --wait
  hyssopctl domain out fj-west-b --wait
  hyssopctl get upstreams --output json
  hyssopctl timeline /var/log/hyssopdyke/*.log --html timeline.html

The control VMs may also be given in HYSSOPDYKE_CONTROL, separated by commas.

Exit codes: 0 success, 1 request failed, 2 invalid command line or file, 4 conflict with
another change, 5 no control VM answers, 6 accepted but not in force before the timeout.";

pub(crate) fn command() -> Command {
    Command::new("hyssopctl")
        .version(clap::crate_version!())
        .about("Operate a hyssopdyke load balancer")
        .after_help(EXAMPLES)
        .subcommand_required(true)
        .arg_required_else_help(true)
        .arg(
            Arg::new("control")
                .long("control")
                .value_name("ADDRESS")
                .env("HYSSOPDYKE_CONTROL")
                .value_delimiter(',')
                .global(true)
                .value_parser(value_parser!(SocketAddr))
                .help("API addresses of the control VMs"),
        )
        .arg(
            Arg::new("output")
                .long("output")
                .short('o')
                .global(true)
                .default_value("table")
                .value_parser(["table", "json"]),
        )
        .subcommand(
            with_wait(Command::new("apply").about("Write the resources declared in a file"))
                .arg(path_arg("file", "Resource file in INI format"))
                .arg(flag_arg("check", "Only validate the file")),
        )
        .subcommand(
            Command::new("get")
                .about("Show resources")
                .arg(kind_arg(&ALL_KINDS))
                .arg(Arg::new("name").help("Show only this resource")),
        )
        .subcommand(
            with_wait(Command::new("delete").about("Remove a resource"))
                .arg(kind_arg(&WRITABLE_KINDS))
                .arg(Arg::new("name").required(true)),
        )
        .subcommand(
            Command::new("watch").about("Show changes of resources as they happen").arg(
                Arg::new("after")
                    .long("after")
                    .default_value("0")
                    .value_parser(value_parser!(u64))
                    .help("Revision to start after"),
            ),
        )
        .subcommand(
            Command::new("wait")
                .about("Wait until a revision is in force")
                .arg(
                    Arg::new("revision")
                        .value_parser(value_parser!(u64))
                        .help("Revision to wait for; default: latest"),
                )
                .arg(timeout_arg()),
        )
        .subcommand(upstream_command("drain", "Stop new flows to an upstream"))
        .subcommand(upstream_command("resume", "Allow new flows to an upstream again"))
        .subcommand(
            Command::new("domain")
                .about("Take a failure domain out of service, or back in")
                .subcommand_required(true)
                .subcommand(domain_command("out"))
                .subcommand(domain_command("in")),
        )
        .subcommand(
            Command::new("members")
                .about("Show or change the voting control VMs")
                .subcommand(
                    Command::new("add")
                        .about("Give a control VM a vote once it has replicated all log entries")
                        .arg(Arg::new("name").required(true))
                        .arg(
                            Arg::new("address")
                                .required(true)
                                .value_parser(value_parser!(SocketAddr))
                                .help("Address of its replica port"),
                        ),
                )
                .subcommand(
                    Command::new("remove")
                        .about("Remove the vote of a control VM")
                        .arg(Arg::new("name").required(true)),
                ),
        )
        .subcommand(Command::new("status").about("Show problems and the revision in force"))
        .subcommand(timeline::command())
        .subcommand(
            Command::new("completion").about("Print the completion script for a shell").arg(
                Arg::new("shell").required(true).value_parser(value_parser!(clap_complete::Shell)),
            ),
        )
}

fn kind_arg(kinds: &'static [&'static str]) -> Arg {
    Arg::new("kind").required(true).value_parser(PossibleValuesParser::new(kinds))
}

fn path_arg(name: &'static str, help: &'static str) -> Arg {
    Arg::new(name).required(true).value_parser(value_parser!(PathBuf)).help(help)
}

fn flag_arg(name: &'static str, help: &'static str) -> Arg {
    Arg::new(name).long(name).action(ArgAction::SetTrue).help(help)
}

fn timeout_arg() -> Arg {
    Arg::new("timeout")
        .long("timeout")
        .value_name("SECONDS")
        .default_value("30")
        .value_parser(value_parser!(u64).range(1..=3600))
}

fn with_wait(command: Command) -> Command {
    command.arg(flag_arg("wait", "Wait until the change is in force")).arg(timeout_arg())
}

fn upstream_command(name: &'static str, about: &'static str) -> Command {
    with_wait(Command::new(name).about(about)).arg(Arg::new("name").required(true))
}

fn domain_command(name: &'static str) -> Command {
    with_wait(Command::new(name)).arg(Arg::new("name").required(true))
}

/// Parses the command line and runs the selected subcommand.
pub(crate) fn run() -> ExitCode {
    let matches = command().get_matches();
    match dispatch(&matches) {
        Ok(()) => ExitCode::SUCCESS,
        Err(report) => {
            eprintln!("hyssopctl: {report:#}");
            ExitCode::from(exit_code(&report))
        }
    }
}

fn dispatch(matches: &ArgMatches) -> eyre::Result<()> {
    let control = matches.get_many::<SocketAddr>("control").unwrap_or_default().copied();
    let client = Client::new(control);
    let is_json = matches.get_one::<String>("output").is_some_and(|form| form == "json");
    match matches.subcommand() {
        Some(("apply", matches)) => operation::apply(&client, matches),
        Some(("get", matches)) => operation::get(&client, matches, is_json),
        Some(("delete", matches)) => operation::delete(&client, matches),
        Some(("watch", matches)) => operation::watch(&client, matches, is_json),
        Some(("wait", matches)) => operation::wait(&client, matches),
        Some(("drain", matches)) => operation::set_draining(&client, matches, true),
        Some(("resume", matches)) => operation::set_draining(&client, matches, false),
        Some(("domain", matches)) => match matches.subcommand() {
            Some((state, matches)) => operation::set_domain(&client, matches, state == "out"),
            None => Ok(()),
        },
        Some(("members", matches)) => operation::members(&client, matches, is_json),
        Some(("status", _)) => operation::status(&client, is_json),
        Some(("timeline", matches)) => timeline::run(matches),
        Some(("completion", matches)) => {
            if let Some(shell) = matches.get_one::<clap_complete::Shell>("shell") {
                let target = &mut std::io::stdout();
                clap_complete::generate(*shell, &mut command(), "hyssopctl", target);
            }
            Ok(())
        }
        _ => Ok(()),
    }
}

/// Returns the value of `--timeout`, 30 s by default.
pub(crate) fn wait_timeout(matches: &ArgMatches) -> Duration {
    Duration::from_secs(*matches.get_one::<u64>("timeout").unwrap_or(&30))
}

fn exit_code(report: &Report) -> u8 {
    if report.downcast_ref::<ResourceFileError>().is_some() {
        return EXIT_USAGE;
    }
    match report.downcast_ref::<Error>() {
        Some(Error::Conflict(_)) => EXIT_CONFLICT,
        Some(Error::Unavailable(_)) => EXIT_UNAVAILABLE,
        Some(Error::NotInForce { .. }) => EXIT_NOT_IN_FORCE,
        _ => EXIT_FAILED,
    }
}

#[cfg(test)]
#[path = "command_tests.rs"]
mod tests;
