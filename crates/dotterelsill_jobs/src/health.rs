//! Evidence on whether a worker does its work.
//!
//! Load pattern: some workers fail all that they start, or let it stand still,
//! while their own health answer is good. Without a set-aside they attract more
//! tasks than sound workers, because they are free again at once.

use std::{
    collections::BTreeSet,
    time::Duration, //
};

use crate::JobId;

/// Jobs whose runs must have failed in a row before a worker is set aside; one
/// job alone may be one that can never be done.
const JOBS_IN_A_ROW: usize = 2;

/// First time for which a worker is set aside; doubled with each further time.
const FIRST_ASIDE: Duration = Duration::from_secs(2);

/// Longest time for which a worker is set aside before it is tried again.
const LONGEST_ASIDE: Duration = Duration::from_secs(8);

/// Time for which a worker that refuses a start is passed over.
const REFUSED_ASIDE: Duration = Duration::from_millis(500);

/// What was seen of a worker's runs.
#[derive(Debug, Default)]
pub(crate) struct Health {
    failed_jobs: BTreeSet<JobId>,
    aside_until: Duration,
    last_aside: Duration,
}

impl Health {
    /// Notes a run that was done.
    pub(crate) fn on_done(&mut self) {
        self.failed_jobs.clear();
        self.last_aside = Duration::ZERO;
    }

    /// Notes a run that failed or stood still; returns whether the worker is
    /// newly set aside.
    pub(crate) fn on_failed(&mut self, job: JobId, now: Duration) -> bool {
        self.failed_jobs.insert(job);
        if self.failed_jobs.len() < JOBS_IN_A_ROW || self.is_aside(now) {
            return false;
        }
        self.failed_jobs.clear();
        self.last_aside = (self.last_aside * 2).clamp(FIRST_ASIDE, LONGEST_ASIDE);
        self.aside_until = now + self.last_aside;
        true
    }

    /// Notes a start that the worker refused as unhealthy.
    pub(crate) fn on_refused(&mut self, now: Duration) {
        self.aside_until = self.aside_until.max(now + REFUSED_ASIDE);
    }

    /// Returns whether the worker gets no tasks for now.
    pub(crate) fn is_aside(&self, now: Duration) -> bool {
        now < self.aside_until
    }
}
