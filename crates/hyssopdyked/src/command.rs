//! Command line of the daemons.

use std::path::{Path, PathBuf};
use std::process::ExitCode;

use clap::{Arg, ArgAction, ArgMatches, Command, value_parser};

use crate::reload;
use crate::settings::{Agent, Common, Control, Entry, Error, LogFormat, Role, Settings};
use crate::stop::Stop;
use crate::{agent, control, entry, log, metrics};

/// Exit code after a graceful stop.
const EXIT_STOPPED: u8 = 0;

/// Exit code if the daemon cannot start or continue.
const EXIT_FAILED: u8 = 1;

/// Exit code if the command line or the settings are invalid.
const EXIT_USAGE: u8 = 2;

/// Exit code if a second signal interrupted the graceful stop.
const EXIT_INTERRUPTED: u8 = 3;

const EXAMPLES: &str = "\
Examples:
  hyssopdyked entry --config /etc/hyssopdyke/entry.ini --check
  hyssopdyked agent --config /etc/hyssopdyke/agent.ini --log-form json
  hyssopdyked completion bash > /etc/bash_completion.d/hyssopdyked

Exit codes: 0 graceful stop, 1 failed, 2 invalid command line or settings,
3 graceful stop interrupted by a second signal.";

fn command() -> Command {
    Command::new("hyssopdyked")
        .version(clap::crate_version!())
        .about("Daemons of the hyssopdyke load balancer")
        .after_help(EXAMPLES)
        .subcommand_required(true)
        .arg_required_else_help(true)
        .subcommand(role_command(
            "entry",
            "Receive packets from the fabric and forward them to agents",
        ))
        .subcommand(role_command("agent", "Run beside one upstream and own its flows"))
        .subcommand(
            role_command("control", "Store the declared state and grant leases").arg(
                Arg::new("form").long("form").action(ArgAction::SetTrue).help(
                    "Form a new system if the data folder is empty; only for the first start",
                ),
            ),
        )
        .subcommand(Command::new("metrics").about("Print the table of all metrics"))
        .subcommand(
            Command::new("completion").about("Print the completion script for a shell").arg(
                Arg::new("shell").required(true).value_parser(value_parser!(clap_complete::Shell)),
            ),
        )
}

fn role_command(name: &'static str, about: &'static str) -> Command {
    Command::new(name)
        .about(about)
        .arg(
            Arg::new("config")
                .long("config")
                .short('c')
                .value_name("FILE")
                .required(true)
                .value_parser(value_parser!(PathBuf))
                .help("Settings file in INI format"),
        )
        .arg(
            Arg::new("check")
                .long("check")
                .action(ArgAction::SetTrue)
                .help("Validate the settings, print the effective settings and exit"),
        )
        .arg(
            Arg::new("log-level")
                .long("log-level")
                .value_name("LEVEL")
                .value_parser(["error", "warning", "info", "debug", "trace"])
                .help("Override level in section [log]"),
        )
        .arg(
            Arg::new("log-form")
                .long("log-form")
                .value_name("FORM")
                .value_parser(["terminal", "json"])
                .help("Override form in section [log]"),
        )
}

/// Parses the command line and runs the selected subcommand.
pub(crate) fn run() -> ExitCode {
    let matches = command().get_matches();
    let code = match matches.subcommand() {
        Some(("entry", matches)) => run_role::<Entry>(matches, entry::run),
        Some(("agent", matches)) => run_role::<Agent>(matches, agent::run),
        Some(("control", matches)) => {
            let bootstrap = matches.get_flag("form");
            run_role::<Control>(matches, async move |mut settings, events, control, stop| {
                settings.role.bootstrap |= bootstrap;
                control::run(settings, events, control, stop).await
            })
        }
        Some(("metrics", _)) => {
            print!("{}", metrics::table());
            EXIT_STOPPED
        }
        Some(("completion", matches)) => print_completion(matches),
        _ => EXIT_USAGE,
    };
    ExitCode::from(code)
}

fn print_completion(matches: &ArgMatches) -> u8 {
    if let Some(shell) = matches.get_one::<clap_complete::Shell>("shell") {
        clap_complete::generate(*shell, &mut command(), "hyssopdyked", &mut std::io::stdout());
    }
    EXIT_STOPPED
}

fn run_role<R: Role + Send + Sync + 'static>(
    matches: &ArgMatches,
    run: impl AsyncFnOnce(Settings<R>, log::Events, reload::ControlAddresses, Stop) -> eyre::Result<()>,
) -> u8 {
    let settings = match open_settings::<R>(matches) {
        Ok(settings) => settings,
        Err(error) => {
            eprintln!("{error}");
            return EXIT_USAGE;
        }
    };
    if matches.get_flag("check") {
        print!("{settings}");
        return EXIT_STOPPED;
    }
    let Some(path) = matches.get_one::<PathBuf>("config") else { return EXIT_USAGE };
    match run_daemon(path, settings, run) {
        Ok(true) => EXIT_STOPPED,
        Ok(false) => EXIT_INTERRUPTED,
        Err(error) => {
            eprintln!("hyssopdyked {}: {error:#}", R::SECTION);
            EXIT_FAILED
        }
    }
}

fn open_settings<R: Role>(matches: &ArgMatches) -> Result<Settings<R>, Error> {
    let path: &PathBuf =
        matches.get_one("config").ok_or_else(|| Error::Incomplete(Path::new("").into()))?;
    let mut settings = Settings::open(path)?;
    override_log(&mut settings.common, matches);
    Ok(settings)
}

fn override_log(common: &mut Common, matches: &ArgMatches) {
    // clap has already rejected values that do not parse.
    let level = matches.get_one::<String>("log-level").and_then(|text| text.parse().ok());
    common.log.level = level.unwrap_or(common.log.level);
    let format =
        matches.get_one::<String>("log-form").and_then(|text| text.parse::<LogFormat>().ok());
    common.log.format = format.unwrap_or(common.log.format);
}

/// Runs a daemon until it stops. Returns false if a second signal interrupted the graceful stop.
fn run_daemon<R: Role + Send + Sync + 'static>(
    path: &Path,
    settings: Settings<R>,
    run: impl AsyncFnOnce(Settings<R>, log::Events, reload::ControlAddresses, Stop) -> eyre::Result<()>,
) -> eyre::Result<bool> {
    // `_writer` is dropped last, so that the last events are written.
    let (events, _writer) = log::Events::open(R::SECTION, &settings.common);
    let runtime =
        tokio::runtime::Builder::new_multi_thread().worker_threads(2).enable_all().build()?;
    let graceful = runtime.block_on(async {
        let (stop, interrupted) = Stop::spawn()?;
        let control = reload::spawn(path, &settings, events.clone())?;
        tokio::select! {
            biased;
            () = interrupted => Ok(false),
            result = run(settings, events, control, stop) => result.map(|()| true),
        }
    });
    runtime.shutdown_background();
    graceful
}
