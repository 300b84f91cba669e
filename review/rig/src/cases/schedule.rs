//! LOST: a schedule that began long ago ends each process that schedules, and other
//! jobs are not run.

use std::{
    path::Path,
    time::{
        Duration,
        Instant, //
    },
};

use super::Outcome;
use crate::site::{
    Config,
    Site,
    OTHER_KEY, //
};

const SCHEDULED: &str = "0d41e5a96b73c802";
const OTHER: &str = "5c0e7a21d94b36f8";

/// Each minute for two years, of which one has passed.
const REPETITIONS: u64 = 2 * YEAR_MS / INTERVAL_MS;

const INTERVAL_MS: u64 = 60_000;

const YEAR_MS: u64 = 365 * 24 * 3_600_000;

/// `memoryMb` of the settings: the platform kills a process that exceeds it.
const MEMORY_MB: u64 = 260;

/// Time after which the platform starts a process again that was killed.
const RESTART: Duration = Duration::from_millis(500);

/// `finish_s` of the site, and the 3 s of the rule.
const FINISH: Duration = Duration::from_secs(17);

pub fn run(out: &Path, has_trouble: bool) -> Outcome {
    let mut site = Site::start(out, &["rvk", "hfj", "ake"])?;
    site.configure(&Config {
        version: 3,
        has_route: true,
        max_attempts: 4,
        cap_cpu: 4000,
    });
    for zone in ["rvk", "hfj", "ake"] {
        site.add_node(zone)?;
    }
    if !site.wait_until_ready() {
        return Ok(None);
    }
    // Without the disruption the times begin now.
    let passed_ms = if has_trouble { YEAR_MS } else { 0 };
    let start_ms = site.unix_ms() - passed_ms;
    let body = format!(
        "{{\"spec\":\"500\",\"steps\":[{{\"count\":4,\"cpu\":100,\"memMb\":64,\
         \"estimatedMs\":500}}],\"startAtMs\":{start_ms},\"repetitions\":{REPETITIONS},\
         \"intervalMs\":{INTERVAL_MS}}}"
    );
    if site.client(0, "POST", SCHEDULED, &body).0 != 200 {
        return Ok(None);
    }
    let begin = Instant::now();
    let (mut kills, mut accepted_at, mut asked_at) = (0, None, begin);
    let mut down: Vec<(usize, Instant)> = Vec::new();
    while begin.elapsed() < Duration::from_secs(60) {
        kills += site.kill_above(MEMORY_MB, &mut down);
        for (node, _) in down.extract_if(.., |(_, at)| at.elapsed() >= RESTART) {
            site.start_node(node)?;
        }
        if accepted_at.is_none()
            && begin.elapsed() > Duration::from_secs(4)
            && asked_at.elapsed() > RESTART
        {
            asked_at = Instant::now();
            let step = "\"count\":2,\"cpu\":1000";
            let body = Site::body("1000", step);
            let answer = site.client_with(OTHER_KEY, kills % 3, "POST", OTHER, &body);
            accepted_at = (answer.0 == 200).then(Instant::now);
        }
        std::thread::sleep(Duration::from_millis(20));
    }
    let runs = site.runs.all();
    let begun = runs
        .iter()
        .filter(|run| run.task.starts_with(OTHER))
        .count();
    let waited = accepted_at.map_or(Duration::ZERO, |at| at.elapsed());
    site.record.write(&format!(
        "processes killed for their memory: {kills}; the other job was accepted {:.1} s ago, \
         {begun} of 2 tasks have begun; all runs: {}",
        waited.as_secs_f64(),
        runs.len()
    ));
    if accepted_at.is_none() {
        return Ok(None);
    }
    Ok(Some(begun == 0 && waited > FINISH))
}
