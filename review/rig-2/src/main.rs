//! Cases of the review: a small deployment on loopback, a disruption, and the rule.
//!
//! Use: `review-rig-2 CASE RECORD`. Exits with 1 if the rule was broken, 0 if it held and
//! 2 if the case could not run. With `TROUBLE=0` in the environment it runs without the
//! disruption.

mod cases;
mod fleet;
mod http;
mod json;
mod proxy;
mod record;
mod runner;
mod store;

use std::{
    process::ExitCode,
    thread,
    time::Duration, //
};

/// Longest time of a case; a case that takes longer could not run.
const LONGEST: Duration = Duration::from_secs(115);

fn main() -> ExitCode {
    let mut args = std::env::args().skip(1);
    let (Some(case), Some(path)) = (args.next(), args.next()) else {
        eprintln!("use: review-rig-2 CASE RECORD");
        return ExitCode::from(2);
    };
    let record = record::Record::create(&path);
    let has_trouble = std::env::var("TROUBLE").map_or(true, |trouble| trouble != "0");
    record.add(format!("case {case}, disruption: {has_trouble}"));
    let watched = record.clone();
    thread::spawn(move || {
        thread::sleep(LONGEST);
        watched.add("could not run: the case takes too long");
        fleet::kill_started();
        std::process::exit(2);
    });
    let result = match case.as_str() {
        "late-start" => cases::late_start(&record, has_trouble),
        "waiting-jobs" => cases::waiting_jobs(&record, has_trouble),
        "slow-restart" => cases::slow_restart(&record, has_trouble),
        "other-kind" => cases::other_kind(&record, has_trouble),
        "withdrawn-key" => cases::withdrawn_key(&record, has_trouble),
        "moved-store" => cases::moved_store(&record, has_trouble),
        "old-jobs" => cases::old_jobs(&record, has_trouble),
        _ => Err("no such case".to_owned()),
    };
    match result {
        Ok(None) => {
            record.add("the rule held");
            println!("the rule held");
            ExitCode::SUCCESS
        }
        Ok(Some(broken)) => {
            record.add(format!("BROKEN: {broken}"));
            println!("broken: {broken}");
            ExitCode::from(1)
        }
        Err(reason) => {
            record.add(format!("could not run: {reason}"));
            println!("could not run: {reason}");
            ExitCode::from(2)
        }
    }
}
