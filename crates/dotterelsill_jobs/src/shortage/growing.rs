//! Order of a pool's jobs while room is on its way.
//!
//! Load pattern: a burst begins or the scheduler was replaced, and instances arrive for
//! some seconds. What the pool will finish is not known then, and most jobs that are late
//! can still be served once the instances are there. No job is deferred for its cost: a
//! job that would soon be of no use goes first, since one that is never served costs its
//! caller more than one that is late.

use std::time::Duration;

use super::{
    ageing::aged,
    Class,
    Division,
    Placing,
    Term,
    WaitingJob, //
};

/// Time before the latest start at which a result is still of use from which on a late
/// job goes first. A pool starts most of its tasks anew within it.
const LAST_CHANCE: Duration = Duration::from_secs(1);

/// Part of the pool that such jobs may occupy, so that in a longer shortage the others do
/// not all become late behind them.
const LAST_CHANCE_PART: f64 = 0.5;

/// Puts jobs into classes by their times alone.
pub fn divide_by_time(jobs: &[WaitingJob<'_>], now: Duration) -> Division {
    let mut division = Division::with_capacity(jobs.len());
    let mut jobs: Vec<&WaitingJob<'_>> = jobs.iter().filter(|job| !job.is_expected).collect();
    let latest_start = |job: &WaitingJob<'_>| job.useful_until.saturating_sub(job.shortest);
    jobs.sort_unstable_by_key(|job| (job.urgency, latest_start(job), job.id));
    for jobs in jobs.chunk_by(|one, other| one.urgency == other.urgency) {
        for index in aged(jobs, now) {
            let (class, term) = (Class::Aged, Term::Age);
            division.insert(jobs[index].id, Placing { class, term });
        }
        let mut occupied = 0.0;
        for job in jobs {
            if division.contains_key(&job.id) {
                continue;
            }
            let (class, term) = if now + job.shortest <= job.due {
                (job.class_on_time(now), Term::Room)
            } else if now > latest_start(job) {
                (Class::NoUse, Term::Time)
            } else if now + LAST_CHANCE >= latest_start(job) && occupied < LAST_CHANCE_PART {
                occupied += job.running_part + job.ready_part;
                (Class::LastChance, Term::Time)
            } else {
                (Class::Late, Term::Time)
            };
            division.insert(job.id, Placing { class, term });
        }
    }
    division
}
