//! QUOTA: after a hand-over, runs of a cancelled job on a runner that is cut off do
//! not count towards the tenant's cap.

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

const CANCELLED: &str = "5c0e7a21d94b36f8";
const NEXT: &str = "77aa10c3f2e4b519";

const CAP_CPU: u64 = 8000;
const TASK_CPU: u64 = 1000;
/// `cap` x (1 + `quotaOverrun`) and one task more.
const MOST_CPU: u64 = CAP_CPU * 11 / 10 + TASK_CPU;

/// Duration of a cut of runners on the site, 5.5 s.
const CUT: Duration = Duration::from_millis(5500);

pub fn run(out: &Path, has_trouble: bool) -> Outcome {
    let mut site = Site::start(out, &["rvk", "hfj", "ake"])?;
    site.configure(&Config {
        version: 3,
        has_route: true,
        max_attempts: 4,
        cap_cpu: CAP_CPU,
    });
    for zone in ["rvk", "hfj", "ake"] {
        site.add_node(zone)?;
    }
    if !site.wait_until_ready() || !site.submit(0, CANCELLED, "60000", 8, TASK_CPU) {
        return Ok(None);
    }
    if !wait_until(Duration::from_secs(5), || site.runs.going_on().len() == 8) {
        return Ok(None);
    }
    let used: Vec<String> = site
        .runs
        .going_on()
        .into_iter()
        .map(|run| run.worker)
        .collect();
    let cut: Vec<_> = site
        .workers
        .iter()
        .filter(|w| used.contains(&w.id().to_owned()))
        .cloned()
        .collect();
    if cut.len() == site.workers.len() {
        return Ok(None);
    }
    if has_trouble {
        cut.iter().for_each(|worker| worker.set_cut(true));
    }
    thread::sleep(Duration::from_millis(100));
    let Some(scheduler) = site.scheduler() else {
        return Ok(None);
    };
    let other = (scheduler + 1) % site.nodes.len();
    if site.client(other, "DELETE", CANCELLED, "").0 != 200 {
        return Ok(None);
    }
    // Without the cut, all runs of the job are stopped by then.
    thread::sleep(Duration::from_secs(1));
    // Planned work: the machine that schedules is restarted.
    site.signal(scheduler, "TERM");
    let is_handed_over = || site.scheduler().is_some_and(|now| now != scheduler);
    if !wait_until(Duration::from_secs(3), is_handed_over) {
        return Ok(None);
    }
    if !site.submit(other, NEXT, "3000", 8, TASK_CPU) {
        return Ok(None);
    }
    thread::sleep(CUT);
    cut.iter().for_each(|worker| worker.set_cut(false));
    thread::sleep(Duration::from_secs(4));
    let runs = site.runs.all();
    // The check is made at each start, as the rule says.
    let mut broken = false;
    for run in &runs {
        let goes_on = |other: &&crate::worker::Run| {
            other.begin_ms <= run.begin_ms && other.end_ms.is_none_or(|end| end > run.begin_ms)
        };
        let cpu = runs.iter().filter(goes_on).count() as u64 * TASK_CPU;
        if cpu > MOST_CPU {
            broken = true;
            site.record.write(&format!(
                "the start of {} at {} ms brings the tenant to {cpu}, more than {MOST_CPU}",
                run.task, run.begin_ms
            ));
        }
    }
    Ok(Some(broken))
}
