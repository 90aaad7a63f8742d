//! The `quickstart` task: runs a complete system with callers for a few seconds.

use std::path::PathBuf;
use std::process::Command as Program;
use std::time::{Duration, Instant};

use clap::{Arg, ArgMatches, Command, value_parser};
use eyre::{Result, WrapErr, ensure};
use standin::{Cluster, Kind, Layout, Outcome, ServiceLayout, Spec, Tally};

/// Time limit of a request, and of a stream after its length.
const REQUEST_TIMEOUT: Duration = Duration::from_secs(10);

/// Size of an answer in bytes.
const ANSWER_BYTES: u64 = 3000;

/// Rate of requests, per second.
const REQUESTS_PER_SECOND: u32 = 100;

/// Number of streams, which are open for the whole run.
const STREAMS: u64 = 20;

pub(crate) fn command() -> Command {
    Command::new("quickstart")
        .about("Build the daemon, start a small system on loopback, and run callers against it")
        .arg(
            Arg::new("seconds")
                .long("seconds")
                .default_value("5")
                .value_parser(value_parser!(u64).range(1..=600)),
        )
}

/// Builds the daemon and returns the folder of its executable.
pub(crate) fn build() -> Result<PathBuf> {
    let status = Program::new(env!("CARGO"))
        .args(["build", "--quiet", "--locked", "--package", "hyssopdyked"])
        .args(if cfg!(debug_assertions) { &[][..] } else { &["--release"][..] })
        .status()?;
    ensure!(status.success(), "building the daemon failed: {status}");
    program_folder()
}

/// Returns the path of a folder for the files of a run. If the folder exists, it is deleted.
pub(crate) fn run_folder(name: &str) -> Result<PathBuf> {
    let programs = program_folder()?;
    let target = programs.parent().unwrap_or(&programs);
    let folder = target.join(format!("{name}-{}", std::process::id()));
    if folder.exists() {
        std::fs::remove_dir_all(&folder)?;
    }
    Ok(folder)
}

/// Returns the folder of the executables that were built with this one.
fn program_folder() -> Result<PathBuf> {
    let own = std::env::current_exe()?;
    // Test executables are in the subfolder `deps`.
    let mut folders = own.ancestors().skip(1).filter(|folder| !folder.ends_with("deps"));
    let folder = folders.next().map(PathBuf::from);
    folder.ok_or_else(|| eyre::eyre!("{} has no parent folder", own.display()))
}

pub(crate) fn run(matches: &ArgMatches) -> Result<()> {
    let seconds = *matches.get_one::<u64>("seconds").unwrap_or(&5);
    let binary = build()?.join("hyssopdyked");
    let folder = run_folder("quickstart")?;
    let layout = Layout {
        services: vec![ServiceLayout::new("dispatch", 3), ServiceLayout::new("survey", 2)],
        ..Layout::default()
    };
    let cluster = Cluster::start(&binary, &folder, layout).wrap_err("cannot start the system")?;
    println!(
        "started 1 control VM, 2 entries and 5 agents; their files are in {}",
        folder.display()
    );

    let mut callers = cluster.callers(1)?;
    let length = Duration::from_secs(seconds);
    for id in 0..STREAMS {
        let service = cluster.stream_address(id as usize % 2);
        let kind = Kind::Stream { interval: Duration::from_millis(50), length, keep_alive: None };
        callers.start(Spec { id, service, kind, deadline: length + REQUEST_TIMEOUT });
    }
    let start = Instant::now();
    let mut id = STREAMS;
    while start.elapsed() < length {
        let service = cluster.request_address(id as usize % 2);
        let kind = Kind::Request { bytes: ANSWER_BYTES };
        callers.start(Spec { id, service, kind, deadline: REQUEST_TIMEOUT });
        id += 1;
        std::thread::sleep(Duration::from_secs(1) / REQUESTS_PER_SECOND);
    }
    let finished = callers.wait_finished(length + REQUEST_TIMEOUT * 2);
    print_results(&cluster, &callers.outcomes().into_values().collect::<Vec<_>>());
    ensure!(finished, "some flows have no outcome");
    Ok(())
}

fn print_results(cluster: &Cluster, outcomes: &[Outcome]) {
    let tally = Tally::new(outcomes);
    println!("whole answers    {:>6} of {}", tally.whole, tally.total());
    println!("broken flows     {:>6}", tally.broken + tally.unanswered);
    println!("wrong answers    {:>6}", tally.wrong);
    println!("refused          {:>6}", tally.refused);
    println!("not connected    {:>6}", tally.unconnected);
    let all_stats = cluster.upstream_stats();
    let foreign: u64 = all_stats.values().map(|stats| stats.foreign_packets).sum();
    println!("foreign packets  {foreign:>6}");
    for service in ["dispatch", "survey"] {
        let service_stats = all_stats.iter().filter(|(name, _)| name.starts_with(service));
        let busy: Vec<f64> =
            service_stats.map(|(_, stats)| stats.busy_time.as_secs_f64()).collect();
        println!("imbalance        {:>6.2} (max/mean of busy time, {service})", imbalance(&busy));
    }
}

/// Returns the ratio of the highest value to the mean.
pub(crate) fn imbalance(values: &[f64]) -> f64 {
    let mean = values.iter().sum::<f64>() / values.len() as f64;
    values.iter().copied().fold(0.0, f64::max) / mean
}
