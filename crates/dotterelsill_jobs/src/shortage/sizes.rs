//! Sizes of the jobs of a queue.

use std::collections::VecDeque;

use crate::{
    arrivals::work_of,
    JobSpec, //
};

/// Number of jobs that are remembered, enough for the mean of a queue.
const MAX_SIZES: usize = 256;

/// Part of the value of a mean job that each job has, whatever its size.
const FIXED_VALUE: f64 = 0.3;

/// Sizes of the latest jobs of a queue. A size is the processor time of all tasks that
/// end by themselves, in millicores times milliseconds.
#[derive(Debug, Default)]
pub(crate) struct QueueSizes {
    sizes: VecDeque<u64>,
    sum: u64,
}

impl QueueSizes {
    /// Records a job.
    pub(crate) fn note(&mut self, spec: &JobSpec) {
        let size = work_of(spec);
        self.sizes.push_back(size);
        self.sum = self.sum.saturating_add(size);
        if self.sizes.len() > MAX_SIZES {
            let oldest = self.sizes.pop_front().unwrap_or_default();
            self.sum = self.sum.saturating_sub(oldest);
        }
    }

    /// Returns the value of a job to callers; 1 for one of mean size.
    pub(crate) fn value_of(&self, spec: &JobSpec) -> f64 {
        if self.sum == 0 {
            return 1.0;
        }
        let mean = self.sum as f64 / self.sizes.len() as f64;
        FIXED_VALUE + (1.0 - FIXED_VALUE) * work_of(spec) as f64 / mean
    }
}
