//! Order of jobs in a pool that cannot finish its waiting work in time.
//!
//! Load pattern: a queue's burst of some seconds brings about five times its mean, more
//! than its pool holds, and one workspace may send several times its usual load beside
//! it. Ordering by latest start time alone then starts each job when it is about to be
//! late, so that a wide job makes many small ones late, and spends the pool on results
//! that are no longer of use.
//!
//! [`divide`] splits the jobs into classes by what the pool can finish, and
//! [`divide_by_time`] by their times alone while more room is on its way. Classes only
//! change the order in which steps are planned, never whether one may start.

mod ageing;
mod ages;
mod candidates;
mod deferrals;
mod division;
mod expected;
mod growing;
mod pool;
mod shares;
mod sizes;
mod throughput;
mod views;

use std::{
    collections::HashMap,
    time::Duration, //
};

pub use ageing::AGED_AFTER;
pub(crate) use ages::{
    age_ms_of,
    MAX_RESTORED_AGE,
    MAX_SUBMITTED_AGE, //
};
pub use deferrals::DeferralCounts;
pub use division::divide;
pub(crate) use expected::RecentArrivals;
pub use growing::divide_by_time;
pub(crate) use pool::{
    Placed,
    PoolShortage, //
};
pub use shares::Shares;
pub(crate) use sizes::QueueSizes;

use crate::{
    JobId,
    StepId, //
};

/// Ratio of the age up to which a late result is of use to the latency objective.
pub const USEFUL_OBJECTIVES: u32 = 3;

/// Time to the latest start of a job from which on it can wait for all others: longer than
/// any of them waits before it goes first.
const AMPLE_TIME: Duration = AGED_AFTER;

/// A job, or one occurrence of a recurring job.
#[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub struct JobOccurrence {
    /// Identifier of the job.
    pub job: JobId,
    /// Number of the occurrence.
    pub occurrence: u32,
}

impl JobOccurrence {
    /// Returns the job and the occurrence of a step.
    pub(crate) fn of(step: StepId) -> Self {
        Self {
            job: step.job,
            occurrence: step.occurrence,
        }
    }

    /// Returns a step of the job.
    pub(crate) fn step(self, step: u32) -> StepId {
        StepId {
            job: self.job,
            occurrence: self.occurrence,
            step,
        }
    }
}

/// A job with work that waits for a worker.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct WaitingJob<'a> {
    /// The job.
    pub id: JobOccurrence,
    /// Name of its queue.
    pub queue: &'a str,
    /// Workspace that owns the job, if any.
    pub workspace: Option<&'a str>,
    /// Urgency of the queue; 0 is the most urgent.
    pub urgency: u32,
    /// Time of acceptance.
    pub accepted_at: Duration,
    /// End of the latency objective.
    pub due: Duration,
    /// Time after which the result is of no use.
    pub useful_until: Duration,
    /// Time for which the rest of the job runs if all its tasks start at once.
    pub shortest: Duration,
    /// Work of the tasks that wait, as the time in milliseconds for which it takes the
    /// whole pool.
    pub work_ms: f64,
    /// Cost to callers of not serving the job in time; 1 for a mean job of its queue.
    pub value: f64,
    /// Part of the pool that the running tasks of the job occupy.
    pub running_part: f64,
    /// Part of the pool that its tasks need that can start now.
    pub ready_part: f64,
    /// Whether the job has not arrived yet. It takes capacity and gets no class.
    pub is_expected: bool,
}

impl WaitingJob<'_> {
    /// Returns the class of the job if it can end within its objective. Jobs with much time
    /// left, such as occurrences of a schedule that are opened in advance, go behind those
    /// that are late, which would otherwise wait for all of them.
    fn class_on_time(&self, now: Duration) -> Class {
        if self.due.saturating_sub(self.shortest) > now + AMPLE_TIME {
            Class::Ample
        } else {
            Class::OnTime
        }
    }
}

/// What a pool can finish.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Room {
    /// Work of the running tasks that end by themselves, as the time in milliseconds for
    /// which it takes the whole pool.
    pub running_ms: f64,
    /// Work that the pool finishes in a time, as a part of its capacity.
    pub rate: f64,
}

/// Class of a job, in scheduling order.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub enum Class {
    /// The job has waited so long that it goes first.
    Aged,
    /// The result will be of no use unless the job starts soon.
    LastChance,
    /// The job is planned to end within its objective.
    OnTime,
    /// The job is planned to end late, while its result is of some use.
    Late,
    /// The job could still be of use, but there is no capacity for it.
    NoCapacity,
    /// The result is of no use any more.
    NoUse,
    /// The job can wait for long and still end within its objective.
    Ample,
}

impl Class {
    /// Returns whether a job of the class is behind others that are worth more to callers.
    pub(crate) fn is_deferred(self) -> bool {
        matches!(self, Self::Late | Self::NoCapacity | Self::NoUse)
    }

    /// Returns the name for logs.
    pub fn name(self) -> &'static str {
        match self {
            Self::Aged => "aged",
            Self::LastChance => "last_chance",
            Self::OnTime => "on_time",
            Self::Late => "late",
            Self::NoCapacity => "no_capacity",
            Self::NoUse => "no_use",
            Self::Ample => "ample",
        }
    }
}

/// What decided the class of a job.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub enum Term {
    /// There is capacity for the job.
    Room,
    /// The job cannot end in time, however much capacity it gets.
    Time,
    /// Other jobs are worth more for the capacity that they take.
    Cost,
    /// The workspace plans more than its share of the pool.
    Share,
    /// The job has waited for too long.
    Age,
}

impl Term {
    /// Returns the name for logs and metrics.
    pub fn name(self) -> &'static str {
        match self {
            Self::Room => "room",
            Self::Time => "time",
            Self::Cost => "cost",
            Self::Share => "share",
            Self::Age => "age",
        }
    }
}

/// Class of one job and the reason for it.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Placing {
    /// Class.
    pub class: Class,
    /// Reason.
    pub term: Term,
}

/// Classes of the jobs of a pool.
pub type Division = HashMap<JobOccurrence, Placing>;
