//! Work that callers hand in for a pool, as a rate.
//!
//! Load pattern: a queue's turn begins within about a second, and an instance
//! takes two seconds to come. What waits shows the turn only when the pool is
//! full; the rate of arrivals shows it with the first jobs, with the work of the
//! steps that are still to come.

use std::{
    collections::VecDeque,
    time::Duration, //
};

use crate::JobSpec;

/// Time over which arrivals are counted: about the time that a move takes.
const WINDOW: Duration = Duration::from_millis(1500);

/// Least time that the arrivals seen are spread over, so that the first jobs of
/// a turn do not count as an endless one.
const LEAST_SPAN: Duration = Duration::from_millis(600);

/// Jobs below which there is no rate: one large job is not a turn.
const LEAST_JOBS: usize = 3;

/// Jobs that were handed in for a pool lately.
#[derive(Debug, Default)]
pub(crate) struct Arrivals {
    /// Time of each job, and its work in thousandths of a core times
    /// milliseconds.
    jobs: VecDeque<(Duration, u64)>,
}

impl Arrivals {
    /// Notes a job that was handed in.
    pub(crate) fn note(&mut self, spec: &JobSpec, now: Duration) {
        self.forget(now);
        self.jobs.push_back((now, work_of(spec)));
    }

    /// Returns the processor time that the arrivals need if they go on as they
    /// are, in thousandths of a core.
    pub(crate) fn rate_milli(&mut self, now: Duration) -> u64 {
        self.forget(now);
        if self.jobs.len() < LEAST_JOBS {
            return 0;
        }
        let first = self.jobs.front().map_or(now, |(at, _)| *at);
        let span = now.saturating_sub(first).max(LEAST_SPAN);
        let work = self.jobs.iter().map(|(_, work)| *work);
        work.fold(0, u64::saturating_add) / span.as_millis() as u64
    }

    fn forget(&mut self, now: Duration) {
        while self.jobs.front().is_some_and(|(at, _)| *at + WINDOW < now) {
            self.jobs.pop_front();
        }
    }
}

/// Returns the work of a job's tasks that end by themselves.
fn work_of(spec: &JobSpec) -> u64 {
    let steps = spec.steps.iter().filter(|step| !step.is_lasting);
    let work = steps.map(|step| {
        let task = step.counted_resources().cpu_milli * step.estimated.as_millis() as u64;
        task.saturating_mul(step.count.into())
    });
    work.fold(0, u64::saturating_add)
}
