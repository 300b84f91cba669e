//! Which new jobs this instance refuses while the scheduler has too many.
//!
//! The scheduler names a share. Each instance refuses by itself, so that a refusal
//! costs the scheduler only the question for an earlier try.

use std::sync::atomic::{
    AtomicU32,
    Ordering, //
};

/// Share of new jobs that is refused, as the scheduler told last.
#[derive(Default)]
pub(crate) struct Admission {
    refused_percent: AtomicU32,
    /// Sum of the shares of the jobs so far, in percent of a job.
    accumulated_percent: AtomicU32,
}

impl Admission {
    /// Notes the share that is refused.
    pub(crate) fn set_refused(&self, percent: u32) {
        self.refused_percent
            .store(percent.min(100), Ordering::Relaxed);
    }

    /// Returns whether the next new job is taken; those refused are spread evenly.
    pub(crate) fn admit_job(&self) -> bool {
        let percent = self.refused_percent.load(Ordering::Relaxed);
        let before = self
            .accumulated_percent
            .fetch_add(percent, Ordering::Relaxed);
        before % 100 + percent < 100
    }
}
