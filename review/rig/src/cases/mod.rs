//! The cases. Each returns whether its rule was broken; `None` if it could not run.

mod attempts;
mod gang;
mod pending;
mod quota;
mod restarted;
mod schedule;
mod stale_list;
mod uppercase;

use std::path::Path;

use crate::{
    site::Site,
    worker::Run, //
};

pub type Outcome = std::io::Result<Option<bool>>;

pub fn run(case: &str, out: &Path, has_trouble: bool) -> Outcome {
    match case {
        "attempts" => attempts::run(out, has_trouble),
        "gang" => gang::run(out, has_trouble),
        "pending" => pending::run(out, has_trouble),
        "quota" => quota::run(out, has_trouble),
        "restarted-busy" => restarted::twice(out, has_trouble),
        "restarted-rack" => restarted::lost(out, has_trouble),
        "schedule" => schedule::run(out, has_trouble),
        "stale-list" => stale_list::run(out, has_trouble),
        "uppercase" => uppercase::run(out, has_trouble),
        _ => Ok(None),
    }
}

/// Returns pairs of runs of one task that went on at the same time.
pub fn overlaps(runs: &[Run]) -> Vec<(Run, Run)> {
    let mut found = Vec::new();
    for (index, first) in runs.iter().enumerate() {
        for second in &runs[index + 1..] {
            let is_over = first.end_ms.is_some_and(|end| end <= second.begin_ms);
            if first.task == second.task && !is_over {
                found.push((first.clone(), second.clone()));
            }
        }
    }
    found
}

/// Writes pairs of runs that went on at the same time into the record.
pub fn record_overlaps(site: &Site, found: &[(Run, Run)]) {
    for (first, second) in found {
        site.record.write(&format!(
            "{} runs twice at once: #{} on {} from {} ms, #{} on {} from {} ms",
            first.task,
            first.attempt,
            first.worker,
            first.begin_ms,
            second.attempt,
            second.worker,
            second.begin_ms
        ));
    }
}
