//! Jobs that have waited so long that they go first.
//!
//! Load pattern: in a shortage that lasts, newer jobs are always worth more than a
//! deferred one, which would then never run.

use std::time::Duration;

use super::WaitingJob;

/// Age from which on a job goes ahead of all classes of its urgency. Shortages of some
/// seconds end before that, and most results are of no use by then.
pub const AGED_AFTER: Duration = Duration::from_secs(20);

/// Part of the pool that aged jobs may occupy, so that they do not take a pool from jobs
/// that are still of use. One aged job may always run.
const AGED_PART: f64 = 0.25;

/// Returns the indices of the jobs that go first: the oldest of those that have aged.
pub(super) fn aged(jobs: &[&WaitingJob<'_>], now: Duration) -> Vec<usize> {
    let is_aged = |job: &WaitingJob<'_>| !job.is_expected && now >= job.accepted_at + AGED_AFTER;
    let mut aged: Vec<usize> = (0..jobs.len())
        .filter(|&index| is_aged(jobs[index]))
        .collect();
    aged.sort_unstable_by_key(|&index| (jobs[index].accepted_at, jobs[index].id));
    let mut occupied: f64 = aged.iter().map(|&index| jobs[index].running_part).sum();
    let mut first = Vec::new();
    for index in aged {
        if occupied >= AGED_PART && !first.is_empty() {
            break;
        }
        occupied += jobs[index].ready_part;
        first.push(index);
    }
    first
}
