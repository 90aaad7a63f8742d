//! The command line.

use std::path::{Path, PathBuf};
use std::process::ExitCode;

use clap::{Arg, ArgAction, ArgMatches, Command, value_parser};

use crate::reload;
use crate::settings::{Agent, Common, Control, Entry, Error, LogFormat, Role, Settings};
use crate::stop::Stop;
use crate::{agent, control, entry, log, metrics};

/// The daemon stopped as it was asked to.
const EXIT_STOPPED: u8 = 0;

/// The daemon could not start or go on.
const EXIT_FAILED: u8 = 1;

/// The command line or the settings are wrong.
const EXIT_USAGE: u8 = 2;

/// A second signal ended the daemon before its graceful stop was over.
const EXIT_CUT_SHORT: u8 = 3;

const EXAMPLES: &str = "\
Examples:
  hyssopdyked entry --config /etc/hyssopdyke/entry.ini --check
  hyssopdyked agent --config /etc/hyssopdyke/agent.ini --log-form json
  hyssopdyked completion bash > /etc/bash_completion.d/hyssopdyked

Exit codes: 0 stopped as asked, 1 failed, 2 wrong command line or settings,
3 a second signal cut the graceful stop short.";

fn command() -> Command {
    Command::new("hyssopdyked")
        .version(clap::crate_version!())
        .about("Daemons of the hyssopdyke load balancer")
        .after_help(EXAMPLES)
        .subcommand_required(true)
        .arg_required_else_help(true)
        .subcommand(role("entry", "Take packets from the fabric and forward them to agents"))
        .subcommand(role("agent", "Guard one upstream and own its flows"))
        .subcommand(
            role("control", "Keep the declared state and grant leases").arg(
                Arg::new("form").long("form").action(ArgAction::SetTrue).help(
                    "Form a new system if the data folder is empty; for the first start only",
                ),
            ),
        )
        .subcommand(Command::new("metrics").about("Print the table of all metrics"))
        .subcommand(Command::new("completion").about("Print a shell's completion script").arg(
            Arg::new("shell").required(true).value_parser(value_parser!(clap_complete::Shell)),
        ))
}

fn role(name: &'static str, about: &'static str) -> Command {
    Command::new(name)
        .about(about)
        .arg(
            Arg::new("config")
                .long("config")
                .short('c')
                .value_name("FILE")
                .required(true)
                .value_parser(value_parser!(PathBuf))
                .help("Settings in INI form"),
        )
        .arg(
            Arg::new("check")
                .long("check")
                .action(ArgAction::SetTrue)
                .help("Check the settings, print the effective ones and exit"),
        )
        .arg(
            Arg::new("log-level")
                .long("log-level")
                .value_name("LEVEL")
                .value_parser(["error", "warning", "info", "debug", "trace"])
                .help("Overrides [log] level"),
        )
        .arg(
            Arg::new("log-form")
                .long("log-form")
                .value_name("FORM")
                .value_parser(["terminal", "json"])
                .help("Overrides [log] form"),
        )
}

/// Runs the program.
pub(crate) fn run() -> ExitCode {
    let matches = command().get_matches();
    let code = match matches.subcommand() {
        Some(("entry", matches)) => start::<Entry>(matches, entry::run),
        Some(("agent", matches)) => start::<Agent>(matches, agent::run),
        Some(("control", matches)) => {
            let form = matches.get_flag("form");
            start::<Control>(matches, async move |mut settings, events, control, stop| {
                settings.role.bootstrap |= form;
                control::run(settings, events, control, stop).await
            })
        }
        Some(("metrics", _)) => {
            print!("{}", metrics::table());
            EXIT_STOPPED
        }
        Some(("completion", matches)) => complete(matches),
        _ => EXIT_USAGE,
    };
    ExitCode::from(code)
}

fn complete(matches: &ArgMatches) -> u8 {
    if let Some(shell) = matches.get_one::<clap_complete::Shell>("shell") {
        clap_complete::generate(*shell, &mut command(), "hyssopdyked", &mut std::io::stdout());
    }
    EXIT_STOPPED
}

fn start<R: Role + Send + Sync + 'static>(
    matches: &ArgMatches,
    run: impl AsyncFnOnce(Settings<R>, log::Events, reload::ControlAddresses, Stop) -> eyre::Result<()>,
) -> u8 {
    let settings = match open::<R>(matches) {
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
    match serve(path, settings, run) {
        Ok(true) => EXIT_STOPPED,
        Ok(false) => EXIT_CUT_SHORT,
        Err(error) => {
            eprintln!("hyssopdyked {}: {error:#}", R::SECTION);
            EXIT_FAILED
        }
    }
}

fn open<R: Role>(matches: &ArgMatches) -> Result<Settings<R>, Error> {
    let path: &PathBuf =
        matches.get_one("config").ok_or_else(|| Error::Incomplete(Path::new("").into()))?;
    let mut settings = Settings::open(path)?;
    override_log(&mut settings.common, matches);
    Ok(settings)
}

fn override_log(common: &mut Common, matches: &ArgMatches) {
    // The command line admits only values that parse.
    let level = matches.get_one::<String>("log-level").and_then(|text| text.parse().ok());
    common.log.level = level.unwrap_or(common.log.level);
    let form =
        matches.get_one::<String>("log-form").and_then(|text| text.parse::<LogFormat>().ok());
    common.log.format = form.unwrap_or(common.log.format);
}

/// Runs a daemon to its end; false if the graceful stop was cut short.
fn serve<R: Role + Send + Sync + 'static>(
    path: &Path,
    settings: Settings<R>,
    run: impl AsyncFnOnce(Settings<R>, log::Events, reload::ControlAddresses, Stop) -> eyre::Result<()>,
) -> eyre::Result<bool> {
    // Dropped last, so that the last events are written.
    let (events, _writer) = log::Events::open(R::SECTION, &settings.common);
    let runtime =
        tokio::runtime::Builder::new_multi_thread().worker_threads(2).enable_all().build()?;
    let graceful = runtime.block_on(async {
        let (stop, cut_short) = Stop::spawn()?;
        let control = reload::spawn(path, &settings, events.clone())?;
        tokio::select! {
            result = run(settings, events, control, stop) => result.map(|()| true),
            () = cut_short => Ok(false),
        }
    });
    runtime.shutdown_background();
    graceful
}
