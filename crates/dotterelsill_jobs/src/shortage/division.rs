//! Division of a pool's jobs into classes.
//!
//! Source of the method: J. M. Moore, "An n Job, One Machine Sequencing Algorithm for
//! Minimizing the Number of Late Jobs", Management Science 15 (1968), with Hodgson's
//! form of it. The pool counts as one machine. Instead of the longest job, the one whose
//! deferral costs the least for the capacity it takes is put back.

use std::time::Duration;

use super::{
    ageing::aged,
    candidates::Candidates,
    shares::{
        PlannedShares,
        Shares, //
    },
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

/// Divides the jobs of a pool into classes. More urgent jobs are planned first. The
/// cost is O(n log n) in the number of jobs.
pub fn divide<'a>(
    jobs: &'a [WaitingJob<'a>],
    room: Room,
    shares: &Shares<'a>,
    now: Duration,
) -> Division {
    let mut order: Vec<&WaitingJob<'_>> = jobs.iter().collect();
    order.sort_unstable_by_key(|job| (job.urgency, job.due, job.id));
    let mut plan = Plan {
        room,
        shares,
        planned_ms: room.running_ms,
        now,
        division: Division::with_capacity(jobs.len()),
    };
    for jobs in order.chunk_by(|one, other| one.urgency == other.urgency) {
        plan.divide_equally_urgent(jobs.to_vec());
    }
    plan.division
}

/// Division in progress.
struct Plan<'a, 'b> {
    room: Room,
    shares: &'b Shares<'a>,
    /// Work of the jobs that go before those that are not divided yet.
    planned_ms: f64,
    now: Duration,
    division: Division,
}

impl<'a> Plan<'a, '_> {
    /// Divides jobs of one urgency, ordered by due time.
    fn divide_equally_urgent(&mut self, mut jobs: Vec<&'a WaitingJob<'a>>) {
        let now = self.now;
        for index in aged(&jobs, now) {
            self.set(jobs[index], Class::Aged, Term::Age);
            self.planned_ms += jobs[index].work_ms;
        }
        jobs.retain(|job| job.is_expected || !self.division.contains_key(&job.id));
        let (on_time, too_late): (Vec<&WaitingJob<'_>>, Vec<_>) = jobs
            .into_iter()
            .partition(|job| now + job.shortest <= job.due);
        on_time
            .iter()
            .for_each(|job| self.set(job, job.class_on_time(now), Term::Room));
        let mut rest = self.defer(&on_time, |job| job.due);
        rest.retain(|(job, _)| !job.is_expected);
        rest.extend(too_late.into_iter().map(|job| (job, Term::Time)));

        let (mut late, no_use): (Vec<_>, Vec<_>) = rest
            .into_iter()
            .partition(|(job, _)| now + job.shortest <= job.useful_until);
        late.iter()
            .for_each(|(job, term)| self.set(job, Class::Late, *term));
        late.sort_unstable_by_key(|(job, _)| (job.useful_until, job.id));
        let late: Vec<_> = late.into_iter().map(|(job, _)| job).collect();
        for (job, term) in self.defer(&late, |job| job.useful_until) {
            self.planned_ms += job.work_ms;
            self.set(job, Class::NoCapacity, term);
        }
        for (job, _) in no_use {
            self.planned_ms += job.work_ms;
            self.set(job, Class::NoUse, Term::Time);
        }
    }

    fn set(&mut self, job: &WaitingJob<'_>, class: Class, term: Term) {
        if !job.is_expected {
            self.division.insert(job.id, Placing { class, term });
        }
    }

    /// Adds up the work of jobs, ordered by their deadlines, and returns those that are
    /// put back because the pool cannot end all of them in time.
    fn defer(
        &mut self,
        jobs: &[&'a WaitingJob<'a>],
        deadline: impl Fn(&WaitingJob<'_>) -> Duration,
    ) -> Vec<(&'a WaitingJob<'a>, Term)> {
        let (now, rate) = (self.now, self.room.rate * PLANNED_PART);
        let capacity_ms = |job: &WaitingJob<'_>| {
            let time_left = deadline(job).saturating_sub(now);
            time_left.as_secs_f64() * 1000.0 * rate
        };
        let shares = PlannedShares::new(self.shares, jobs);
        let mut candidates = Candidates::new(shares);
        let mut deferred = Vec::new();
        for job in jobs {
            self.planned_ms += job.work_ms;
            candidates.push(job);
            while self.planned_ms > capacity_ms(job) {
                let Some((job, term)) = candidates.pop() else {
                    break;
                };
                self.planned_ms -= job.work_ms;
                deferred.push((job, term));
            }
        }
        deferred
    }
}
