//! Cases of the review that run the project's programs as processes.
//!
//! `standin-3 CASE FOLDER TROUBLE` exits with 1 if the rule was broken, 0 if it held, and 2 if the case
//! could not run. With 0 as TROUBLE it leaves the disruption out.

mod cases;
mod client;
mod http;
mod packet;
mod record;
mod system;
mod target;

use std::path::Path;
use std::process::ExitCode;

use record::Record;

fn main() -> ExitCode {
    let arguments: Vec<String> = std::env::args().collect();
    let [_, case, folder, trouble] = arguments.as_slice() else {
        eprintln!("usage: standin-3 CASE FOLDER TROUBLE");
        return ExitCode::from(2);
    };
    let has_trouble = trouble != "0";
    let record = match Record::create(&Path::new(folder).join("record.txt")) {
        Ok(record) => record,
        Err(error) => {
            println!("could not run: {folder}: {error}");
            return ExitCode::from(2);
        }
    };
    match cases::run(case, has_trouble, &record) {
        Ok((is_broken, text)) => {
            record.line(&text);
            println!("{}: {text}", if is_broken { "broken" } else { "held" });
            ExitCode::from(u8::from(is_broken))
        }
        Err(error) => {
            record.line(&format!("could not run: {error}"));
            println!("could not run: {error}");
            ExitCode::from(2)
        }
    }
}
