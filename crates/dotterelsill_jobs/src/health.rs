//! Health of a worker, judged by the outcomes of its runs.
//!
//! Load pattern: some workers fail or stall every run while their own health check
//! passes. Since they become free again immediately, they would attract more tasks
//! than healthy workers if they were not quarantined.

use std::{
    collections::BTreeSet,
    time::Duration, //
};

use crate::JobId;

/// Number of different jobs whose runs must fail, without a success in between,
/// before a worker is quarantined. A single job may be one that can never succeed.
const FAILED_JOBS_THRESHOLD: usize = 2;

/// Duration of the first quarantine; it doubles with each further one.
const INITIAL_QUARANTINE: Duration = Duration::from_secs(2);

/// Maximum duration of a quarantine before the worker is tried again.
const MAX_QUARANTINE: Duration = Duration::from_secs(8);

/// Time for which a worker that refuses a start gets no tasks.
const REFUSAL_QUARANTINE: Duration = Duration::from_millis(500);

/// Recent outcomes on a worker.
#[derive(Debug, Default)]
pub(crate) struct Health {
    failed_jobs: BTreeSet<JobId>,
    quarantined_until: Duration,
    last_quarantine: Duration,
}

impl Health {
    /// Records a successful run.
    pub(crate) fn on_done(&mut self) {
        self.failed_jobs.clear();
        self.last_quarantine = Duration::ZERO;
    }

    /// Records a run that failed or stalled; returns whether the worker is newly
    /// quarantined.
    pub(crate) fn on_failed(&mut self, job: JobId, now: Duration) -> bool {
        self.failed_jobs.insert(job);
        if self.failed_jobs.len() < FAILED_JOBS_THRESHOLD || self.is_quarantined(now) {
            return false;
        }
        self.failed_jobs.clear();
        self.last_quarantine = (self.last_quarantine * 2).clamp(INITIAL_QUARANTINE, MAX_QUARANTINE);
        self.quarantined_until = now + self.last_quarantine;
        true
    }

    /// Records a start that the worker refused.
    pub(crate) fn on_refused(&mut self, now: Duration) {
        self.quarantined_until = self.quarantined_until.max(now + REFUSAL_QUARANTINE);
    }

    /// Returns whether the worker gets no tasks for now.
    pub(crate) fn is_quarantined(&self, now: Duration) -> bool {
        now < self.quarantined_until
    }
}
