//! Division of a pool's jobs into classes.
//!
//! Source of the method: J. M. Moore, "An n Job, One Machine Sequencing Algorithm for
//! Minimizing the Number of Late Jobs", Management Science 15 (1968), with Hodgson's
//! form of it. The pool counts as one machine. Instead of the longest job, the one whose
//! deferral costs the least for the capacity it takes is put back.

use std::{
    cmp::Ordering,
    collections::BinaryHeap,
    time::Duration, //
};

use super::{
    Class,
    Division,
    Placing,
    Room,
    Term,
    WaitingJob, //
};

/// Part of the time until a deadline for which work is planned. The rest is for tasks that
/// run longer than estimated.
const PLANNED_PART: f64 = 0.75;

/// Divides the jobs of a pool into classes. More urgent jobs are planned first. The cost
/// is O(n log n) in the number of jobs.
pub fn divide(jobs: &[WaitingJob<'_>], room: Room, now: Duration) -> Division {
    let mut division = Division::with_capacity(jobs.len());
    let mut order: Vec<&WaitingJob<'_>> = jobs.iter().collect();
    order.sort_unstable_by_key(|job| (job.urgency, job.due, job.id));
    let mut planned_ms = room.running_ms;
    for jobs in order.chunk_by(|one, other| one.urgency == other.urgency) {
        planned_ms = divide_equally_urgent(jobs, planned_ms, room.rate, now, &mut division);
    }
    division
}

/// Divides jobs of one urgency, ordered by due time, and returns the planned work.
fn divide_equally_urgent(
    jobs: &[&WaitingJob<'_>],
    mut planned_ms: f64,
    rate: f64,
    now: Duration,
    division: &mut Division,
) -> f64 {
    let mut set = |job: &WaitingJob<'_>, class, term| {
        if !job.is_expected {
            division.insert(job.id, Placing { class, term });
        }
    };
    let (on_time, mut rest): (Vec<_>, Vec<_>) = jobs
        .iter()
        .map(|job| (*job, Term::Time))
        .partition(|(job, _)| now + job.shortest <= job.due);
    on_time
        .iter()
        .for_each(|(job, _)| set(job, Class::OnTime, Term::Room));
    let on_time = on_time.into_iter().map(|(job, _)| job);
    rest.extend(defer(on_time, &mut planned_ms, rate, now, |job| job.due));

    rest.retain(|(job, _)| !job.is_expected);
    let (mut late, no_use): (Vec<_>, Vec<_>) = rest
        .into_iter()
        .partition(|(job, _)| now + job.shortest <= job.useful_until);
    late.iter()
        .for_each(|(job, term)| set(job, Class::Late, *term));
    late.sort_unstable_by_key(|(job, _)| (job.useful_until, job.id));
    let late = late.into_iter().map(|(job, _)| job);
    for (job, term) in defer(late, &mut planned_ms, rate, now, |job| job.useful_until) {
        planned_ms += job.work_ms;
        set(job, Class::NoCapacity, term);
    }
    for (job, _) in no_use {
        planned_ms += job.work_ms;
        set(job, Class::NoUse, Term::Time);
    }
    planned_ms
}

/// Adds up the work of jobs, ordered by their deadlines, and returns those that are put
/// back because the pool cannot end all of them in time.
fn defer<'a>(
    jobs: impl Iterator<Item = &'a WaitingJob<'a>>,
    planned_ms: &mut f64,
    rate: f64,
    now: Duration,
    deadline: impl Fn(&WaitingJob<'_>) -> Duration,
) -> Vec<(&'a WaitingJob<'a>, Term)> {
    let mut deferred = Vec::new();
    let mut planned = BinaryHeap::new();
    for job in jobs {
        let time_left = deadline(job).saturating_sub(now);
        let capacity_ms = time_left.as_secs_f64() * 1000.0 * rate * PLANNED_PART;
        *planned_ms += job.work_ms;
        planned.push(Cheapest(job));
        while *planned_ms > capacity_ms {
            let Some(Cheapest(cheapest)) = planned.pop() else {
                break;
            };
            *planned_ms -= cheapest.work_ms;
            deferred.push((cheapest, Term::Cost));
        }
    }
    deferred
}

/// Orders jobs by the cost of deferring them for the capacity that they take; the
/// cheapest is the largest.
#[derive(Clone, Copy, Debug)]
struct Cheapest<'a>(&'a WaitingJob<'a>);

impl Cheapest<'_> {
    fn worth(&self) -> f64 {
        self.0.value / self.0.work_ms.max(f64::MIN_POSITIVE)
    }
}

impl Ord for Cheapest<'_> {
    fn cmp(&self, other: &Self) -> Ordering {
        let by_worth = other.worth().total_cmp(&self.worth());
        by_worth.then(self.0.id.cmp(&other.0.id))
    }
}

impl PartialOrd for Cheapest<'_> {
    fn partial_cmp(&self, other: &Self) -> Option<Ordering> {
        Some(self.cmp(other))
    }
}

impl PartialEq for Cheapest<'_> {
    fn eq(&self, other: &Self) -> bool {
        self.cmp(other).is_eq()
    }
}

impl Eq for Cheapest<'_> {}
