//! Order of single jobs in a full pool.

use std::time::Duration;

use dotterelsill_jobs::{
    JobId,
    Scheduler, //
};
use dotterelsill_proto::jobs::JobRecord;

use crate::common::{
    self,
    ms, //
};

const NOW: Duration = Duration::from_secs(100);

/// Returns a job that takes a whole worker and was accepted at a time.
fn accepted_at(at: Duration) -> JobRecord {
    JobRecord {
        accepted_unix_ms: at.as_millis() as u64,
        ..common::record("urgent", 1, vec![common::step(1, 4000)])
    }
}

/// Returns the job that starts first on the only worker.
fn first_of(scheduler: &mut Scheduler, now: Duration) -> u64 {
    common::add_worker(scheduler, 0, now);
    common::starts(&scheduler.plan(now))[0].0.step.job.0
}

/// Guards against capacity that is spent on results of no use: the job is past three times
/// its objective of 2.2 s, the other one is late.
#[test]
fn job_of_no_use_comes_after_a_late_one() {
    let mut scheduler = common::scheduler(1, NOW);
    common::submit(&mut scheduler, 1, &accepted_at(NOW - ms(6900)), NOW);
    common::submit(&mut scheduler, 2, &accepted_at(NOW - ms(3000)), NOW);
    assert_eq!(first_of(&mut scheduler, NOW), 2);
    let text = scheduler.explain(JobId(1), NOW).expect("the job is known");
    assert!(text.contains("class no_use by time"), "{text}");
}

/// Guards against a time of deferral that goes on after the job has begun and nothing waits.
#[test]
fn deferral_ends_when_nothing_waits() {
    let mut scheduler = common::scheduler(1, NOW);
    common::submit(&mut scheduler, 1, &accepted_at(NOW - ms(6900)), NOW);
    common::submit(&mut scheduler, 2, &accepted_at(NOW - ms(3000)), NOW);
    assert_eq!(first_of(&mut scheduler, NOW), 2);
    common::add_worker(&mut scheduler, 1, NOW + ms(10));
    assert_eq!(common::starts(&scheduler.plan(NOW + ms(10))).len(), 1);
    for later in [ms(20), ms(70), ms(9000)] {
        scheduler.replan();
        assert!(scheduler.plan(NOW + later).is_empty());
    }
    let counts = scheduler.take_deferral_counts();
    let jobs: u64 = counts.jobs.values().sum();
    assert_eq!(jobs, 2);
    assert!(counts.deferred["urgent"] <= ms(140), "{counts:?}");
}

/// Guards against jobs that count as new after a change of the scheduler.
#[test]
fn restored_job_keeps_its_age() {
    let mut scheduler = common::scheduler(2, NOW);
    scheduler.set_wall_clock(NOW, NOW);
    for (id, age_ms) in [(1, 20), (2, 200)] {
        let mut record = JobRecord {
            accepted_token: 2,
            ..accepted_at(NOW - ms(age_ms))
        };
        record.steps[0].estimated_ms = 100;
        scheduler
            .restore(JobId(id), &record, None, NOW)
            .expect("the record is valid");
    }
    scheduler.open_due_jobs(NOW);
    assert_eq!(first_of(&mut scheduler, NOW), 2);
}

/// Guards against a stepped clock that makes a job older than it can be: it may have
/// waited for 7 s, not for a minute.
#[test]
fn age_by_a_stepped_clock_is_bounded() {
    let mut scheduler = common::scheduler(1, NOW);
    let since = NOW - ms(7500);
    common::submit(&mut scheduler, 2, &accepted_at(since), since);
    common::submit(&mut scheduler, 1, &accepted_at(NOW - ms(60_000)), NOW);
    assert_eq!(first_of(&mut scheduler, NOW), 2);
}

/// Guards against a negative age, which would put a job that was accepted by a clock that
/// was ahead after one that arrived at the same time.
#[test]
fn job_accepted_ahead_counts_as_new() {
    let mut scheduler = common::scheduler(1, NOW);
    for (id, accepted) in [(1, NOW + ms(300)), (2, NOW)] {
        let mut record = accepted_at(accepted);
        record.steps[0].estimated_ms = 100;
        common::submit(&mut scheduler, id, &record, NOW);
    }
    assert_eq!(first_of(&mut scheduler, NOW), 1);
}
