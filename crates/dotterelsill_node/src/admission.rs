//! Load shedding: refuses a share of new jobs while the scheduler is overloaded.
//!
//! The scheduler announces the share. Each instance applies it locally, so that a
//! refusal costs the scheduler only the check for an earlier submission of the job.

use std::sync::atomic::{
    AtomicU32,
    Ordering, //
};

/// Share of new jobs to refuse, as last announced by the scheduler.
#[derive(Default)]
pub(crate) struct Admission {
    refused_percent: AtomicU32,
    /// Running sum of the refused share over the jobs so far, in percent of a job.
    /// A job that brings the sum to the next multiple of 100 or past it is refused.
    accumulated_percent: AtomicU32,
}

impl Admission {
    /// Sets the share of new jobs to refuse, in percent.
    pub(crate) fn set_refused(&self, percent: u32) {
        self.refused_percent
            .store(percent.min(100), Ordering::Relaxed);
    }

    /// Counts a new job and returns whether to admit it. Refusals are spread evenly.
    pub(crate) fn admit_job(&self) -> bool {
        let percent = self.refused_percent.load(Ordering::Relaxed);
        let before = self
            .accumulated_percent
            .fetch_add(percent, Ordering::Relaxed);
        before % 100 + percent < 100
    }
}
