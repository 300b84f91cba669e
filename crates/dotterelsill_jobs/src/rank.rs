//! Scheduling order of waiting steps.
//!
//! Load pattern: queues have bursts at different times, in which they need about
//! five times their mean, more than their pool holds, for some seconds. Waiting
//! steps are then ranked by urgency and by the latest start time that still meets
//! the job's latency objective; steps that can no longer meet it come after those
//! that can. Long-running tasks go first: they are few, must be restarted within
//! seconds however full the pool is, and would otherwise wait behind each burst.

use std::{
    cmp::Ordering,
    time::Duration, //
};

use crate::{
    job::Job,
    Queue,
    StepId, //
};

/// Rank of a waiting step; the lowest is scheduled first.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) struct Rank {
    pub(crate) step: StepId,
    is_finite: bool,
    urgency: u32,
    is_late: bool,
    latest_start: Duration,
}

impl Rank {
    /// Ranks a step of a job.
    pub(crate) fn new(step: StepId, job: &Job, queue: &Queue, now: Duration) -> Self {
        let path = job.critical_paths.iter().max().copied().unwrap_or_default();
        let objective = path.mul_f64(queue.slack_factor.max(0.0)) + queue.target;
        let remaining = job.critical_paths[step.step as usize];
        let since_due = match job.spec.schedule {
            // Occurrences are opened when they are due.
            Some(schedule) => schedule.interval.saturating_mul(step.occurrence),
            None => Duration::ZERO,
        };
        let due = job.known_at + since_due + objective;
        let latest_start = due.saturating_sub(remaining);
        Self {
            step,
            is_finite: !job.spec.steps[step.step as usize].is_lasting,
            urgency: queue.urgency,
            is_late: latest_start < now,
            latest_start,
        }
    }
}

impl Ord for Rank {
    fn cmp(&self, other: &Self) -> Ordering {
        let key = |rank: &Self| {
            (
                rank.is_finite,
                rank.urgency,
                rank.is_late,
                rank.latest_start,
                rank.step,
            )
        };
        key(self).cmp(&key(other))
    }
}

impl PartialOrd for Rank {
    fn partial_cmp(&self, other: &Self) -> Option<Ordering> {
        Some(self.cmp(other))
    }
}
