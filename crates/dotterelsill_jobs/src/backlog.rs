//! How much a scheduler has to do.

use std::time::Duration;

use crate::Scheduler;

/// What a scheduler knows and has not done yet.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct Backlog {
    /// Jobs that have not ended.
    pub open_jobs: usize,
    /// Steps that were listed with tasks that wait for a worker.
    pub ready_steps: usize,
    /// Runs that are booked on workers.
    pub runs: usize,
    /// Workers.
    pub workers: usize,
    /// Workers whose lists were read.
    pub workers_known: usize,
    /// Workers that did not answer the last call.
    pub workers_silent: usize,
    /// Workers on which runs of an earlier scheduler may go on unseen.
    pub workers_unread: usize,
    /// Jobs with progress that is not stored.
    pub unstored: usize,
    /// Age of the oldest progress that is not stored, from the plan before it.
    pub oldest_unstored: Duration,
}

impl Scheduler {
    /// Returns what waits. It takes time by the number of workers and of jobs with
    /// progress that is not stored, not by that of jobs.
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
            backlog.workers_known += usize::from(worker.is_known);
            backlog.workers_silent += usize::from(worker.is_silent);
            backlog.workers_unread += usize::from(self.may_run_unseen(worker, now));
        }
        if let Some(&since) = self.unstored_since.values().min() {
            backlog.oldest_unstored = now.saturating_sub(since);
        }
        backlog
    }
}
