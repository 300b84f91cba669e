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

/// Time that an answer of the platform takes while it is slow; on the site it takes
/// up to 0.66 s.
const SLOW_MS: u64 = 600;

/// Time that the process of a runner takes to start again.
const RESTART: Duration = Duration::from_millis(250);

/// Time between two restarts.
const PAUSE: Duration = Duration::from_millis(2600);

/// Time between two jobs, whose tasks keep the runners busy.
const JOB_INTERVAL: Duration = Duration::from_millis(900);

const LENGTH: Duration = Duration::from_secs(85);

pub fn run(out: &Path, has_trouble: bool) -> Outcome {
    let mut site = Site::start(out, &["rvk", "hfj", "ake"])?;
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
    if has_trouble {
        site.list_delay_ms.store(SLOW_MS, Ordering::SeqCst);
        site.record.write("the platform is slow");
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
        let next = PAUSE * (restarts as u32 + 1) + Duration::from_millis(137 * restarts as u64);
        if has_trouble && begin.elapsed() >= next {
            let worker = site.workers[restarts % site.workers.len()].clone();
            worker.crash();
            thread::sleep(RESTART);
            worker.restart();
            restarts += 1;
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
