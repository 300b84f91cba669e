//! GANG: after the loss of a member's runner the members of a gang are started with
//! different checkpoints.

use std::{
    path::Path,
    thread,
    time::Duration, //
};

use super::Outcome;
use crate::{
    site::{
        wait_until,
        Config,
        Site, //
    },
    worker::Run, //
};

const JOB: &str = "5c0e7a21d94b36f8";

/// As many runners as the smallest pools of the site have.
const ZONES: [&str; 9] = [
    "rvk", "rvk", "rvk", "hfj", "hfj", "hfj", "ake", "ake", "ake",
];

/// Time after the loss for which an end is taken to be near it: more than `contactMs`
/// and `disruptionMs` of the site together, 7 s.
const NEAR_MS: u64 = 10_000;

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
    thread::sleep(Duration::from_secs(1));
    let fields = "\"count\":3,\"cpu\":9000,\"gang\":true,\"checkpointing\":true";
    if !site.submit_step(0, JOB, "12000 gang 3", fields) {
        return Ok(None);
    }
    if !wait_until(Duration::from_secs(5), || site.runs.going_on().len() == 3) {
        return Ok(None);
    }
    thread::sleep(Duration::from_millis(7300));
    let lost_ms = site.record.now_ms();
    if has_trouble {
        let used = site.runs.going_on().remove(0).worker;
        let lost = site.workers.iter().find(|worker| worker.id() == used);
        lost.ok_or_else(|| std::io::Error::other("no such runner"))?
            .crash();
    }
    thread::sleep(Duration::from_secs(40));
    let (_, state) = site.client(1, "GET", JOB, "");
    let runs = site.runs.all();
    let is_far = |run: &&Run| run.begin_ms > lost_ms + NEAR_MS;
    let ended = runs.iter().filter(|run| run.how == "alone");
    let alone = ended.clone().filter(is_far).count();
    site.record.write(&format!(
        "runs that ended alone: {}, of them begun 10 s after the loss or later: {alone}, \
         state: {state}",
        ended.count()
    ));
    Ok(Some(alone > 0))
}
