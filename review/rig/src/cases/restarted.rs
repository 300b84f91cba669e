//! Runners crash and start again under their identifiers.
//!
//! LOST: the idle runners of a rack are back within a second. They are never used
//! again.
//!
//! TWICE: a runner with work does so while the store is down. After the outage each
//! of its runs is soon taken for ended, and is started elsewhere while it goes on.

use std::{
    path::Path,
    thread,
    time::Duration, //
};

use super::{
    overlaps,
    record_overlaps,
    Outcome, //
};
use crate::{
    site::{
        wait_until,
        Config,
        Site, //
    },
    worker::Worker, //
};

/// Durations of the outages; the site has outages of the store of up to 5.1 s.
const OUTAGES_MS: [u64; 4] = [4500, 4300, 4100, 4400];

/// As many runners as the smallest pools of the site have; one is 0.11 of them.
const ZONES: [&str; 9] = [
    "rvk", "rvk", "rvk", "hfj", "hfj", "hfj", "ake", "ake", "ake",
];

/// Time from the start of an outage to the crash.
const UNTIL_CRASH: Duration = Duration::from_millis(1700);

/// Time from the crash to the next start.
const DOWN: Duration = Duration::from_millis(1600);

/// Time for which the runners of the rack are down. The platform's list is read once
/// a second, and mostly does not show it.
const QUICK_RESTART: Duration = Duration::from_millis(300);

/// Number of restarts of the rack, one of which the list is likely to miss.
const ROUNDS: usize = 8;

/// Returns the identifier of a job.
fn job(round: usize, number: usize) -> String {
    format!("5c0e7a21d94b{round:02x}{number:02x}")
}

fn start(out: &Path, zones: &[&str]) -> std::io::Result<Option<Site>> {
    let mut site = Site::start(out, zones)?;
    site.configure(&Config {
        version: 3,
        has_route: true,
        max_attempts: 4,
        cap_cpu: 0,
    });
    for zone in ["rvk", "hfj", "ake"] {
        site.add_node(zone)?;
    }
    let is_ready = site.wait_until_ready();
    thread::sleep(Duration::from_secs(1));
    Ok(is_ready.then_some(site))
}

/// The outage, and the crash of some runners in it.
fn disturb(site: &Site, crashing: &[Worker], outage_ms: u64, has_trouble: bool) {
    let outage = Duration::from_millis(outage_ms);
    if !has_trouble {
        thread::sleep(outage);
        return;
    }
    site.store.set_down(true);
    site.record.write("the store is down");
    thread::sleep(UNTIL_CRASH);
    crashing.iter().for_each(Worker::crash);
    thread::sleep(DOWN);
    crashing.iter().for_each(Worker::restart);
    thread::sleep(outage - UNTIL_CRASH - DOWN);
    site.store.set_down(false);
    site.record.write("the store is back");
}

pub fn twice(out: &Path, has_trouble: bool) -> Outcome {
    let Some(site) = start(out, &ZONES)? else {
        return Ok(None);
    };
    for (round, outage_ms) in OUTAGES_MS.into_iter().enumerate() {
        if !site.submit(0, &job(round, 0), "8000", 8, 2000) {
            return Ok(None);
        }
        if !wait_until(Duration::from_secs(5), || !site.runs.going_on().is_empty()) {
            return Ok(None);
        }
        let used = site.runs.going_on().remove(0).worker;
        let crashing = site.workers.iter().filter(|worker| worker.id() == used);
        let crashing: Vec<Worker> = crashing.cloned().collect();
        disturb(&site, &crashing, outage_ms, has_trouble);
        // After contactMs, calm machines are in touch again.
        thread::sleep(Duration::from_secs(4));
        for number in 1..4 {
            if !site.submit(number % 3, &job(round, number), "3000", 16, 2000) {
                return Ok(None);
            }
            thread::sleep(Duration::from_millis(3500));
        }
        thread::sleep(Duration::from_secs(4));
        let found = overlaps(&site.runs.all());
        record_overlaps(&site, &found);
        if !found.is_empty() {
            return Ok(Some(true));
        }
    }
    Ok(Some(false))
}

pub fn lost(out: &Path, has_trouble: bool) -> Outcome {
    let Some(site) = start(out, &["rvk"; 4])? else {
        return Ok(None);
    };
    for round in 0..ROUNDS {
        if has_trouble {
            site.workers.iter().for_each(Worker::crash);
            thread::sleep(QUICK_RESTART);
            site.workers.iter().for_each(Worker::restart);
        }
        // After contactMs, calm machines are in touch again.
        thread::sleep(Duration::from_secs(4));
        let id = job(round, 0);
        if !site.submit(0, &id, "500", 4, 1000) {
            return Ok(None);
        }
        let has_begun = || {
            let runs = site.runs.all();
            runs.iter().any(|run| run.task.starts_with(&id))
        };
        // Twice finish_s of the site, 14 s.
        if !wait_until(Duration::from_secs(28), has_begun) {
            let (_, state) = site.client(1, "GET", &id, "");
            site.record.write(&format!(
                "28 s after its acceptance no task of {id} has begun: {state}"
            ));
            return Ok(Some(true));
        }
        thread::sleep(Duration::from_secs(2));
    }
    Ok(Some(false))
}
