//! UNASKED: a job whose identifier has capital digits runs under another name.

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

pub fn run(out: &Path, has_trouble: bool) -> Outcome {
    let id = if has_trouble {
        "5C0E7A21D94B36F8"
    } else {
        "5c0e7a21d94b36f8"
    };
    let mut site = Site::start(out, &["rvk", "hfj"])?;
    site.configure(&Config {
        version: 3,
        has_route: true,
        max_attempts: 4,
        cap_cpu: 0,
    });
    for zone in ["rvk", "hfj", "ake"] {
        site.add_node(zone)?;
    }
    if !site.wait_until_ready() || !site.submit(0, id, "500", 2, 800) {
        return Ok(None);
    }
    thread::sleep(Duration::from_secs(4));
    site.client(1, "GET", id, "");
    let runs = site.runs.all();
    Ok(Some(runs.iter().any(|run| !run.task.starts_with(id))))
}
