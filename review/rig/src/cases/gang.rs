//! GANG: after the loss of a member's runner the members of a gang are started with
//! different checkpoints.

use std::{
    path::Path,
    thread,
    time::Duration, //
};

use super::Outcome;
use crate::site::{
    wait_until,
    Config,
    Site, //
};

const JOB: &str = "5c0e7a21d94b36f8";

/// As many runners as the smallest pools of the site have.
const ZONES: [&str; 9] = [
    "rvk", "rvk", "rvk", "hfj", "hfj", "hfj", "ake", "ake", "ake",
];

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
    if has_trouble {
        let used = site.runs.going_on().remove(0).worker;
        let lost = site.workers.iter().find(|worker| worker.id() == used);
        lost.ok_or_else(|| std::io::Error::other("no such runner"))?
            .crash();
    }
    thread::sleep(Duration::from_secs(40));
    let (_, state) = site.client(1, "GET", JOB, "");
    let runs = site.runs.all();
    let alone = runs.iter().filter(|run| run.how == "alone").count();
    site.record
        .write(&format!("runs that ended alone: {alone}, state: {state}"));
    Ok(Some(alone > 0))
}
