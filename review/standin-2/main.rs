//! Stand-ins of the second review: a small deployment of the project's own programs on loopback
//! addresses, with targets, clients and an operator that follow the users' pages.
//!
//! `review-2 CASE ROOT FOLDER RECORD` plays one case. It exits with 0 if the rule held, 1 if it was
//! broken and 2 if the case could not run. With TROUBLE=0 in the environment it leaves out the
//! disruption. Only the standard library is used.

mod clients;
mod deployment;
mod evacuation;
mod flows;
mod http;
mod manifest;
mod packet;
mod record;
mod targets;

use std::path::Path;
use std::process::ExitCode;

use record::Record;

/// Outcome of a case: whether the rule was broken, or why the case could not run.
pub(crate) type Verdict = Result<bool, String>;

fn main() -> ExitCode {
    let arguments: Vec<String> = std::env::args().skip(1).collect();
    let [case, root, folder, record] = arguments.as_slice() else {
        eprintln!("usage: review-2 CASE ROOT FOLDER RECORD");
        return ExitCode::from(2);
    };
    let has_trouble = std::env::var("TROUBLE").as_deref() != Ok("0");
    let record = match Record::create(Path::new(record)) {
        Ok(record) => record,
        Err(error) => {
            eprintln!("{error}");
            return ExitCode::from(2);
        }
    };
    record.line(&format!("case {case}, disruption: {has_trouble}"));
    let (root, folder) = (Path::new(root), Path::new(folder));
    let verdict = match case.as_str() {
        "flows" => flows::play(root, folder, has_trouble, &record),
        "evacuation" => evacuation::play(root, folder, has_trouble, &record),
        other => Err(format!("no case {other}")),
    };
    let (text, code) = match verdict {
        Ok(false) => ("the rule held".to_owned(), 0),
        Ok(true) => ("the rule was broken".to_owned(), 1),
        Err(reason) => (format!("the case could not run: {reason}"), 2),
    };
    record.line(&text);
    println!("{text}");
    ExitCode::from(code)
}
