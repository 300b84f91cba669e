//! Scheduling order of waiting steps.
//!
//! Load pattern: queues have bursts at different times, in which they need about
//! five times their mean, more than their pool holds, for some seconds. Waiting
//! steps are then ranked by urgency, by the class of their job under a shortage, and by
//! the latest start time that still meets the job's latency objective. Without a
//! shortage, steps that can no longer meet it come after those that can. Long-running
//! tasks go first: they are few, must be restarted within seconds however full the pool
//! is, and would otherwise wait behind each burst.

use std::{
    cmp::Ordering,
    time::Duration, //
};

use crate::{
    job::Job,
    shortage::{
        Class,
        Placing, //
    },
    Queue,
    StepId, //
};

/// Rank of a waiting step; the lowest is scheduled first.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) struct Rank {
    pub(crate) step: StepId,
    is_finite: bool,
    urgency: u32,
    class: Class,
    latest_start: Duration,
    /// Whether the job is in a division and no task of it has started: the work of a job
    /// that has begun would be lost.
    is_unbegun: bool,
}

impl Rank {
    /// Ranks a step of a job. `placing` is the place of the job under a shortage.
    pub(crate) fn new(
        step: StepId,
        job: &Job,
        queue: &Queue,
        placing: Option<Placing>,
        now: Duration,
    ) -> Self {
        let remaining = job.critical_paths[step.step as usize];
        let latest_start = due_of(job, queue, step.occurrence).saturating_sub(remaining);
        let by_time = if latest_start < now {
            Class::Late
        } else {
            Class::OnTime
        };
        Self {
            step,
            is_finite: !job.spec.steps[step.step as usize].is_lasting,
            urgency: queue.urgency,
            class: placing.map_or(by_time, |placing| placing.class),
            latest_start,
            is_unbegun: placing.is_some() && !job.has_begun,
        }
    }
}

/// Returns the latency objective of a job.
pub(crate) fn objective_of(critical_paths: &[Duration], queue: &Queue) -> Duration {
    let path = critical_paths.iter().max().copied().unwrap_or_default();
    path.mul_f64(queue.slack_factor.max(0.0)) + queue.target
}

/// Returns the time at which an occurrence of a job was accepted or due to begin.
pub(crate) fn accepted_at(job: &Job, occurrence: u32) -> Duration {
    let since_due = match job.spec.schedule {
        // Occurrences are opened when they are due.
        Some(schedule) => schedule.interval.saturating_mul(occurrence),
        None => Duration::ZERO,
    };
    let age = Duration::from_millis(job.age_when_known_ms.into());
    (job.known_at + since_due).saturating_sub(age)
}

/// Returns the time at which the latency objective of an occurrence of a job ends.
pub(crate) fn due_of(job: &Job, queue: &Queue, occurrence: u32) -> Duration {
    accepted_at(job, occurrence) + objective_of(&job.critical_paths, queue)
}

impl Ord for Rank {
    fn cmp(&self, other: &Self) -> Ordering {
        let key = |rank: &Self| {
            (
                rank.is_finite,
                rank.urgency,
                rank.class,
                rank.latest_start,
                rank.is_unbegun,
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
