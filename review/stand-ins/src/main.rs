//! Stand-ins and cases of the review. Usage: `review-stand-ins CASE RECORD`; `TROUBLE=0` leaves out the disruption.
//!
//! Exit status: 1 if the rule was broken, 0 if it held, 2 if the case couldn't run.
mod cases;
mod cluster;
mod http;
mod json;
mod record;
mod worker;

use record::Record;
use std::{process::ExitCode, time::Duration};

/// A case that takes longer is ended with all its processes.
const LONGEST: Duration = Duration::from_secs(116);

fn main() -> ExitCode {
    let arguments: Vec<String> = std::env::args().collect();
    let [_, case, path] = arguments.as_slice() else {
        eprintln!("usage: review-stand-ins CASE RECORD");
        return ExitCode::from(2);
    };
    let trouble = std::env::var("TROUBLE").map_or(true, |value| value != "0");
    let record = match cluster::absolute(path).and_then(|path| Record::create(&path)) {
        Ok(record) => record,
        Err(error) => {
            eprintln!("can't write the record: {error}");
            return ExitCode::from(2);
        }
    };
    record.line(format!("case {case}, trouble {trouble}"));
    std::thread::spawn(|| {
        std::thread::sleep(LONGEST);
        cluster::end_all();
        println!("couldn't run: not done in time");
        std::process::exit(2);
    });
    let outcome = match case.as_str() {
        "dropped-service" => cases::dropped_service(&record, trouble),
        "no-estimate" => cases::no_estimate(&record, trouble),
        "large-jobs" => cases::large_jobs(&record, trouble),
        _ => Err(std::io::ErrorKind::InvalidInput.into()),
    };
    let (text, status) = match outcome {
        Ok(None) => ("held".to_owned(), 0),
        Ok(Some(broken)) => (format!("broken: {broken}"), 1),
        Err(error) => (format!("couldn't run: {error}"), 2),
    };
    record.line(&text);
    println!("{text}");
    ExitCode::from(status)
}
