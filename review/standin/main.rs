//! Stand-ins of the review's cases: `standin CASE RECORD`. Exits with 1 if the rule was broken, 0 if
//! it held, 2 if the case couldn't run. With `TROUBLE=0` the disruption is left out.

mod cases;
mod client;
mod cluster;
mod net;
mod target;

use std::process::ExitCode;

fn main() -> ExitCode {
    let arguments: Vec<String> = std::env::args().collect();
    let [_, case, path] = &arguments[..] else {
        eprintln!("usage: standin CASE RECORD");
        return ExitCode::from(2);
    };
    let has_trouble = std::env::var("TROUBLE").map_or(true, |value| value != "0");
    let record = match net::Record::create(path) {
        Ok(record) => record,
        Err(error) => {
            eprintln!("{path}: {error}");
            return ExitCode::from(2);
        }
    };
    let result = match case.as_str() {
        "foreign-report" => cases::foreign_report(&record, has_trouble),
        "failback" => cases::failback(&record, has_trouble),
        "invalid-manifest" => cases::invalid_manifest(&record, has_trouble),
        "crash" => cases::crash(&record, has_trouble),
        "clock-step" => cases::clock_step(&record, has_trouble),
        "foreign-drain" => cases::foreign_drain(&record, has_trouble),
        "restart-all" => cases::restart_all(&record, has_trouble),
        _ => Err(format!("no case {case}")),
    };
    match result {
        Ok(verdict) => {
            record.line(&format!("verdict: {}", verdict.text));
            println!("{}", verdict.text);
            ExitCode::from(u8::from(verdict.is_broken))
        }
        Err(error) => {
            record.line(&format!("could not run: {error}"));
            println!("could not run: {error}");
            ExitCode::from(2)
        }
    }
}
