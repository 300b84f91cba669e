//! Order of the jobs of a full pool while room is on its way.

use std::time::Duration;

use dotterelsill_jobs::{
    shortage::{
        divide_by_time,
        Class,
        JobOccurrence,
        WaitingJob, //
    },
    JobId,
};

mod common;
use common::ms;

const NOW: Duration = Duration::from_secs(60);

/// Returns a job of 1 s that was accepted some time ago, with an objective of 2 s.
fn job(id: u64, age_ms: u64, ready_part: f64) -> WaitingJob<'static> {
    let accepted_at = NOW - ms(age_ms);
    WaitingJob {
        id: JobOccurrence {
            job: JobId(id),
            occurrence: 0,
        },
        queue: "urgent",
        workspace: None,
        urgency: 0,
        accepted_at,
        due: accepted_at + ms(2000),
        useful_until: accepted_at + ms(6000),
        shortest: ms(1000),
        work_ms: 10_000.0,
        value: 1.0,
        running_part: 0.0,
        ready_part,
        is_expected: false,
    }
}

fn classes(jobs: &[WaitingJob<'_>]) -> Vec<Class> {
    let division = divide_by_time(jobs, NOW);
    jobs.iter().map(|job| division[&job.id].class).collect()
}

/// Guards against jobs that are deferred for the work that they need at the start of a
/// burst, although instances that will run them are arriving, and against late jobs that
/// are never served while others still have time.
#[test]
fn late_job_is_served_before_it_is_of_no_use() {
    let jobs = [
        job(1, 500, 0.9),
        job(2, 3000, 0.1),
        job(3, 4500, 0.1),
        job(4, 5500, 0.1),
    ];
    let expected = [Class::OnTime, Class::Late, Class::LastChance, Class::NoUse];
    assert_eq!(classes(&jobs), expected);
    assert!(Class::LastChance < Class::OnTime, "it goes first");
}

/// Guards against a pool that only runs jobs which are about to be of no use, so that all
/// others become late behind them.
#[test]
fn late_jobs_take_half_of_the_pool_at_most() {
    let jobs: Vec<_> = (0..10).map(|id| job(id, 4500, 0.2)).collect();
    let first = classes(&jobs);
    let first = first.iter().filter(|class| **class == Class::LastChance);
    assert_eq!(first.count(), 3);
}

/// Guards against jobs that wait for all occurrences of a schedule that are opened in
/// advance, as these still have much time.
#[test]
fn job_with_much_time_goes_last() {
    let mut in_advance = job(1, 0, 0.1);
    in_advance.due = NOW + Duration::from_secs(600);
    in_advance.useful_until = NOW + Duration::from_secs(1800);
    let jobs = [in_advance, job(2, 5500, 0.1)];
    assert_eq!(classes(&jobs), [Class::Ample, Class::NoUse]);
    assert!(Class::NoUse < Class::Ample, "the late job goes first");
}
