//! Amount of work that a scheduler has pending.

use std::time::Duration;

use crate::Scheduler;

/// Summary of a scheduler's state and pending work.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct Backlog {
    /// Number of jobs that have not ended.
    pub open_jobs: usize,
    /// Number of listed steps that have tasks waiting for a worker.
    pub ready_steps: usize,
    /// Number of runs booked on workers.
    pub runs: usize,
    /// Number of known workers.
    pub workers: usize,
    /// Number of workers whose status was read.
    pub workers_known: usize,
    /// Number of workers that did not answer the last call.
    pub workers_silent: usize,
    /// Number of workers that may have active runs of an earlier scheduler and
    /// whose status was not read.
    pub workers_unread: usize,
    /// Number of jobs with progress that is not stored.
    pub unstored: usize,
    /// Age of the oldest progress that is not stored, measured from the plan that
    /// preceded it.
    pub oldest_unstored: Duration,
}

impl Scheduler {
    /// Summarizes the pending work. The cost grows with the number of workers and
    /// of jobs with progress to store, not with the number of jobs.
    pub fn backlog(&self, now: Duration) -> Backlog {
        let mut backlog = Backlog {
            open_jobs: self.jobs.len().saturating_sub(self.ended.len()),
            ready_steps: self.ready.values().map(|steps| steps.len()).sum(),
            workers: self.workers.len(),
            unstored: self.unstored_since.len(),
            ..Backlog::default()
        };
        for worker in self.workers.values() {
            backlog.runs += worker.booked.len();
            backlog.workers_known += usize::from(worker.life.is_known);
            backlog.workers_silent += usize::from(worker.is_silent());
            backlog.workers_unread += usize::from(self.may_run_unseen(worker, now));
        }
        if let Some(&since) = self.unstored_since.values().min() {
            backlog.oldest_unstored = now.saturating_sub(since);
        }
        backlog
    }
}
