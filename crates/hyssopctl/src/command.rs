//! Arguments and exit codes.

use std::net::SocketAddr;
use std::path::PathBuf;
use std::process::ExitCode;
use std::time::Duration;

use clap::{Arg, ArgAction, ArgMatches, Command, value_parser};
use eyre::Report;
use hyssopctl::{Client, DeclarationError, Error};

use crate::{operation, timeline};

/// The request failed.
const EXIT_FAILED: u8 = 1;

/// The command line or a file is wrong.
const EXIT_USAGE: u8 = 2;

/// The resource has changed since it was read.
const EXIT_CONFLICT: u8 = 4;

/// No control VM answers.
const EXIT_UNAVAILABLE: u8 = 5;

/// A change was accepted, but is not in force in time.
const EXIT_NOT_IN_FORCE: u8 = 6;

const EXAMPLES: &str = "\
Examples:
  hyssopctl --control 10.40.1.1:5561 apply resources.ini --wait
  hyssopctl domain out fj-west-b --wait
  hyssopctl get upstreams --output json
  hyssopctl timeline /var/log/hyssopdyke/*.log --html timeline.html

The control VMs may also be given in HYSSOPDYKE_CONTROL, separated by commas.

Exit codes: 0 done, 1 failed, 2 wrong command line or file, 4 conflict with another
change, 5 no control VM answers, 6 accepted but not in force in time.";

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
                .help("API ports of the control VMs"),
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
            waiting(Command::new("apply").about("Write the resources of a file"))
                .arg(path("file", "Resources in INI form"))
                .arg(flag("check", "Only check the file")),
        )
        .subcommand(
            Command::new("get")
                .about("Show resources")
                .arg(kind())
                .arg(Arg::new("name").help("Only this one")),
        )
        .subcommand(
            waiting(Command::new("delete").about("Remove a resource"))
                .arg(kind())
                .arg(Arg::new("name").required(true)),
        )
        .subcommand(
            Command::new("watch").about("Show changes as they are made").arg(
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
                .arg(Arg::new("revision").value_parser(value_parser!(u64)).help("Default: latest"))
                .arg(timeout()),
        )
        .subcommand(upstream("drain", "Give an upstream no new flows"))
        .subcommand(upstream("resume", "Give an upstream new flows again"))
        .subcommand(
            Command::new("domain")
                .about("Take a failure domain out, or back in")
                .subcommand_required(true)
                .subcommand(domain("out"))
                .subcommand(domain("in")),
        )
        .subcommand(
            Command::new("members")
                .about("Show or change the control VMs that vote")
                .subcommand(
                    Command::new("add")
                        .about("Give a VM a vote, once it has all entries")
                        .arg(Arg::new("name").required(true))
                        .arg(
                            Arg::new("address")
                                .required(true)
                                .value_parser(value_parser!(SocketAddr))
                                .help("Its replica port"),
                        ),
                )
                .subcommand(
                    Command::new("remove")
                        .about("Take a VM's vote")
                        .arg(Arg::new("name").required(true)),
                ),
        )
        .subcommand(Command::new("status").about("Say what is wrong, and what is in force"))
        .subcommand(timeline::command())
        .subcommand(Command::new("completion").about("Print a shell's completion script").arg(
            Arg::new("shell").required(true).value_parser(value_parser!(clap_complete::Shell)),
        ))
}

fn kind() -> Arg {
    Arg::new("kind").required(true).value_parser(["services", "domains", "upstreams", "entries"])
}

fn path(name: &'static str, help: &'static str) -> Arg {
    Arg::new(name).required(true).value_parser(value_parser!(PathBuf)).help(help)
}

fn flag(name: &'static str, help: &'static str) -> Arg {
    Arg::new(name).long(name).action(ArgAction::SetTrue).help(help)
}

fn timeout() -> Arg {
    Arg::new("timeout")
        .long("timeout")
        .value_name("SECONDS")
        .default_value("30")
        .value_parser(value_parser!(u64).range(1..=3600))
}

fn waiting(command: Command) -> Command {
    command.arg(flag("wait", "Wait until the change is in force")).arg(timeout())
}

fn upstream(name: &'static str, about: &'static str) -> Command {
    waiting(Command::new(name).about(about)).arg(Arg::new("name").required(true))
}

fn domain(name: &'static str) -> Command {
    waiting(Command::new(name)).arg(Arg::new("name").required(true))
}

/// Runs the program.
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

/// Time to wait for a change, or `None` if it was not asked for.
pub(crate) fn patience(matches: &ArgMatches) -> Duration {
    Duration::from_secs(*matches.get_one::<u64>("timeout").unwrap_or(&30))
}

fn exit_code(report: &Report) -> u8 {
    if report.downcast_ref::<DeclarationError>().is_some() {
        return EXIT_USAGE;
    }
    match report.downcast_ref::<Error>() {
        Some(Error::Conflict(_)) => EXIT_CONFLICT,
        Some(Error::Unavailable(_)) => EXIT_UNAVAILABLE,
        Some(Error::NotInForce { .. }) => EXIT_NOT_IN_FORCE,
        _ => EXIT_FAILED,
    }
}
