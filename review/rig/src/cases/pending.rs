//! MIXED: jobs whose starts a runner refused count as begun.

use std::{
    path::Path,
    thread,
    time::Duration, //
};

use super::Outcome;
use crate::site::{
    Config,
    Site, //
};

const JOBS: u32 = 6;

pub fn run(out: &Path, has_trouble: bool) -> Outcome {
    // One runner of seven, a share of 0.143, has the label `b`.
    let zones = ["rvk", "hfj", "hfj", "hfj", "ake", "ake", "ake"];
    let mut site = Site::start(out, &zones)?;
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
    if has_trouble {
        site.workers[0].set_unhealthy(true);
    }
    for job in 0..JOBS {
        let id = format!("5c0e7a21d94b36{job:02x}");
        let fields = "\"count\":1,\"cpu\":2000,\"requirements\":\"b\"";
        if !site.submit_step(1, &id, "20000", fields) {
            return Ok(None);
        }
    }
    // visible_ms + 2 s of the site, and more.
    thread::sleep(Duration::from_millis(5500));
    let begun = site.runs.all().len() as u32;
    let (status, pending) = site.client(2, "GET", "", "");
    let (_, state) = site.client(2, "GET", "5c0e7a21d94b3600", "");
    site.record.write(&format!(
        "{JOBS} jobs, {begun} have begun, {pending}; the first one is shown as {state}"
    ));
    site.workers[0].set_unhealthy(false);
    if status != 200 {
        return Ok(None);
    }
    let pending = crate::json::Json::parse(&pending).get("pending").as_u64();
    let pending = pending.unwrap_or(0) as u32;
    Ok(Some(pending * 2 < JOBS - begun))
}
