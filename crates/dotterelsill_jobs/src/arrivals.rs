//! Arrival rate of work per pool.
//!
//! Load pattern: a queue's burst ramps up within about a second, and an instance
//! takes two seconds to join a pool. Waiting tasks only show a burst once the pool
//! is full. The arrival rate shows it with the first jobs, and includes the work of
//! steps that have not started yet.

use std::{
    collections::VecDeque,
    time::Duration, //
};

use crate::JobSpec;

/// Time window over which arrivals are counted, about as long as a move takes.
const WINDOW: Duration = Duration::from_millis(1500);

/// Minimum time over which arrivals are averaged, so that the first jobs of a burst
/// do not extrapolate to an endless one.
const MIN_SPAN: Duration = Duration::from_millis(600);

/// Minimum number of jobs for a rate: a single large job is not a burst.
const MIN_JOBS: usize = 3;

/// Jobs that were recently submitted to a pool.
#[derive(Debug, Default)]
pub(crate) struct Arrivals {
    /// Arrival time and total work of each job; work is in millicores times
    /// milliseconds.
    jobs: VecDeque<(Duration, u64)>,
}

impl Arrivals {
    /// Records a submitted job.
    pub(crate) fn note(&mut self, spec: &JobSpec, now: Duration) {
        self.forget(now);
        self.jobs.push_back((now, work_of(spec)));
    }

    /// Returns the processor time, in millicores, that the pool needs if jobs keep
    /// arriving at the current rate.
    pub(crate) fn rate_milli(&mut self, now: Duration) -> u64 {
        self.forget(now);
        if self.jobs.len() < MIN_JOBS {
            return 0;
        }
        let first = self.jobs.front().map_or(now, |(at, _)| *at);
        let span = now.saturating_sub(first).max(MIN_SPAN);
        let work = self.jobs.iter().map(|(_, work)| *work);
        work.fold(0, u64::saturating_add) / span.as_millis() as u64
    }

    fn forget(&mut self, now: Duration) {
        while self.jobs.front().is_some_and(|(at, _)| *at + WINDOW < now) {
            self.jobs.pop_front();
        }
    }
}

/// Returns the work of all tasks that end by themselves, in millicores times
/// milliseconds.
pub(crate) fn work_of(spec: &JobSpec) -> u64 {
    let steps = spec.steps.iter().filter(|step| !step.is_lasting);
    let work = steps.map(|step| {
        let task = step.counted_resources().cpu_milli * step.estimated.as_millis() as u64;
        task.saturating_mul(step.count.into())
    });
    work.fold(0, u64::saturating_add)
}
