//! BUDGET: a task gets a further run after `maxAttempts` failed ones, because its
//! route was out of the configuration when the last of them failed.

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

pub fn run(out: &Path, has_trouble: bool) -> Outcome {
    let mut site = Site::start(out, &["rvk", "hfj"])?;
    let config = |version: u64, has_route: bool| Config {
        version,
        has_route,
        max_attempts: 2,
        cap_cpu: 0,
    };
    site.configure(&config(3, true));
    for zone in ["rvk", "hfj", "ake"] {
        site.add_node(zone)?;
    }
    if !site.wait_until_ready() || !site.submit(0, JOB, "4000 fails", 1, 800) {
        return Ok(None);
    }
    let count = |site: &Site| site.runs.all().len();
    if !wait_until(Duration::from_secs(15), || count(&site) == 2) {
        return Ok(None);
    }
    // The second and last run lasts 4 s. The route is taken out for its end.
    thread::sleep(Duration::from_millis(500));
    if has_trouble {
        site.configure(&config(5, false));
    }
    let is_over = || site.runs.all().iter().all(|run| run.end_ms.is_some());
    if !wait_until(Duration::from_secs(10), is_over) {
        return Ok(None);
    }
    thread::sleep(Duration::from_millis(1500));
    if has_trouble {
        site.configure(&config(8, true));
    }
    thread::sleep(Duration::from_secs(6));
    let (_, state) = site.client(0, "GET", JOB, "");
    let failed = site
        .runs
        .all()
        .iter()
        .filter(|run| run.how == "failed")
        .count();
    let runs = count(&site);
    site.record.write(&format!(
        "runs: {runs}, of them failed: {failed}, maxAttempts: 2, state: {state}"
    ));
    Ok(Some(runs > 2))
}
