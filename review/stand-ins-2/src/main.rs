//! Scripts of the second review: `review-2 CASE FOLDER`. Exit code 1: the rule was broken, 0: it held, 2: the case could not
//! run. With `TROUBLE=0` the disruption is left out.
mod affinity;
mod cancelled;
mod cluster;
mod http;
mod json;
mod gang;
mod lasting;
mod record;
mod unreadable;
mod world;
mod worker;

use record::Record;
use std::{path::PathBuf, process::ExitCode, time::Duration};

fn main() -> ExitCode {
    let mut words = std::env::args().skip(1);
    let (Some(case), Some(folder)) = (words.next(), words.next()) else {
        eprintln!("review-2 CASE FOLDER");
        return ExitCode::from(2);
    };
    let with_trouble = std::env::var("TROUBLE").map_or(true, |value| value != "0");
    let record = match Record::create(&PathBuf::from(folder).join("record.txt")) {
        Ok(record) => record,
        Err(error) => {
            eprintln!("record.txt: {error}");
            return ExitCode::from(2);
        }
    };
    let run = match case.as_str() {
        "lasting" => lasting::run,
        "affinity" => affinity::run,
        "cancelled" => cancelled::run,
        "gang" => gang::run,
        "unreadable" => unreadable::run,
        _ => {
            eprintln!("no such case");
            return ExitCode::from(2);
        }
    };
    match run(with_trouble, &record) {
        Ok(true) => {
            record.say("the rule held");
            ExitCode::SUCCESS
        }
        Ok(false) => {
            record.say("the rule was broken");
            ExitCode::from(1)
        }
        Err(fault) => {
            record.say(format!("the case could not run: {fault}"));
            ExitCode::from(2)
        }
    }
}

/// Sleeps until a time of the record.
pub fn sleep_until(record: &Record, at: u64) {
    std::thread::sleep(Duration::from_millis(at.saturating_sub(record.now())));
}
