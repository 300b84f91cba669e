//! TWICE: the platform's list of machines is slow. A list that shows a runner as down
//! is applied after the runner has started again and has got new work.

use std::{
    path::Path,
    sync::atomic::Ordering,
    thread,
    time::{
        Duration,
        Instant, //
    },
};

use super::{
    overlaps,
    record_overlaps,
    Outcome, //
};
use crate::site::{
    Config,
    Site, //
};

/// Time that an answer of the platform takes while it is slow.
const SLOW_MS: u64 = 600;

/// Time for which it is slow, `for_s` of `cloud_slow`, and the pause after that.
const SLOW_TIME: Duration = Duration::from_secs(5);
const SLOW_PERIOD: Duration = Duration::from_secs(8);

/// Times of the restarts from the beginning of a slow time.
const RESTARTS: [Duration; 2] = [Duration::from_millis(700), Duration::from_millis(3100)];

/// As many runners as the smallest pools of the site have; one is 0.11 of them.
const ZONES: [&str; 9] = [
    "rvk", "rvk", "rvk", "hfj", "hfj", "hfj", "ake", "ake", "ake",
];

/// Time that the process of a runner takes to start again.
const RESTART: Duration = Duration::from_millis(500);

/// Time between two jobs, whose tasks keep the runners busy.
const JOB_INTERVAL: Duration = Duration::from_millis(300);

const LENGTH: Duration = Duration::from_secs(85);

pub fn run(out: &Path, has_trouble: bool) -> Outcome {
    let mut site = Site::start(out, &ZONES)?;
    site.configure(&Config {
        version: 3,
        has_route: true,
        max_attempts: 4,
        cap_cpu: 0,
    });
    for zone in ["rvk", "hfj", "ake"] {
        site.add_node(zone)?;
    }
    if !site.wait_until_ready() {
        return Ok(None);
    }
    let begin = Instant::now();
    let (mut jobs, mut restarts) = (0_u32, 0_usize);
    while begin.elapsed() < LENGTH {
        if begin.elapsed() >= JOB_INTERVAL * jobs {
            let id = format!("5c0e7a21d94b{jobs:04x}");
            if !site.submit(jobs as usize % 3, &id, "1500", 14, 2000) {
                return Ok(None);
            }
            jobs += 1;
        }
        if has_trouble {
            let period = (begin.elapsed().as_millis() / SLOW_PERIOD.as_millis()) as u32;
            let since = begin.elapsed() - SLOW_PERIOD * period;
            let delay_ms = if since < SLOW_TIME { SLOW_MS } else { 0 };
            if site.list_delay_ms.swap(delay_ms, Ordering::SeqCst) != delay_ms {
                site.record
                    .write(&format!("the platform's list takes {delay_ms} ms"));
            }
            let due = RESTARTS.iter().filter(|at| since >= **at).count();
            if restarts < RESTARTS.len() * period as usize + due {
                // The runners in turn, other ones in each round.
                let worker = site.workers[restarts * 4 % site.workers.len()].clone();
                worker.crash();
                thread::sleep(RESTART);
                worker.restart();
                restarts += 1;
            }
        }
        thread::sleep(Duration::from_millis(5));
        let found = overlaps(&site.runs.all());
        if !found.is_empty() {
            record_overlaps(&site, &found);
            return Ok(Some(true));
        }
    }
    Ok(Some(false))
}
