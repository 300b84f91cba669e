//! Jobs that will probably arrive.
//!
//! Load pattern: in a burst, jobs keep arriving faster than a pool finishes them. Capacity
//! that the waiting jobs leave is taken by those that arrive next. A wide job that is
//! planned for it would displace them when its latest start time comes.

use std::{
    collections::VecDeque,
    time::Duration, //
};

use crate::JobId;

/// Time for which arrivals are expected to go on as they were for the same time.
pub(crate) const LOOK_AHEAD: Duration = Duration::from_millis(1500);

/// Maximum number of jobs of a pool that are remembered.
const MAX_ARRIVALS: usize = 2000;

/// Jobs of a pool that arrived lately, with the times of their arrival.
#[derive(Debug, Default)]
pub(crate) struct RecentArrivals(VecDeque<(Duration, JobId)>);

impl RecentArrivals {
    /// Records a job.
    pub(crate) fn note(&mut self, job: JobId, now: Duration) {
        self.forget(now);
        if self.0.len() < MAX_ARRIVALS {
            self.0.push_back((now, job));
        }
    }

    /// Returns the jobs that arrived within the time for which arrivals are expected.
    pub(crate) fn recent(&self, now: Duration) -> impl Iterator<Item = JobId> + '_ {
        let is_recent = move |(at, _): &&(Duration, JobId)| now < *at + LOOK_AHEAD;
        self.0.iter().filter(is_recent).map(|(_, job)| *job)
    }

    fn forget(&mut self, now: Duration) {
        while self
            .0
            .front()
            .is_some_and(|(at, _)| *at + LOOK_AHEAD <= now)
        {
            self.0.pop_front();
        }
    }
}
