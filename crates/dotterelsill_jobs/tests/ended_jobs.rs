//! Jobs that have ended: what is kept of them, and which records leave the store.

mod common;

use common::{
    add_worker,
    confirm,
    ended,
    limits,
    ms,
    record,
    scheduler,
    status_at,
    step,
    submit,
    task, //
};
use dotterelsill_jobs::{
    ExpiredRecord,
    JobId,
    RunOutcome, //
};
use dotterelsill_proto::jobs::{
    Phase,
    ProgressRecord, //
};

const COMPLETED: ProgressRecord = ProgressRecord {
    format: 1,
    phase: Phase::Completed as i32,
    steps: Vec::new(),
    done_occurrences: Vec::new(),
    is_spread: false,
    done_below: 0,
    unended: Vec::new(),
    workspace: String::new(),
    later_pools: Vec::new(),
};

/// Guards against a job that ended under an earlier scheduler and is not known, runs again
/// when its submission is repeated, or stays in the store for good.
#[test]
fn restored_end_is_known_until_its_record_expires() {
    let mut scheduler = scheduler(9, ms(1000));
    scheduler.restore_ended(JobId(1), &COMPLETED, 5, ms(1000));
    let job = record("urgent", 7, vec![step(1, 1000)]);
    submit(&mut scheduler, 1, &job, ms(1100));
    assert!(scheduler.has_job(JobId(1)));
    assert!(scheduler.cancel(JobId(1), ms(1200)));
    let state = scheduler.state(JobId(1)).expect("the job is known");
    assert_eq!(state.phase, Phase::Completed);
    assert!(!scheduler.has_change(), "the end is stored already");
    let retention = limits().ended_job_retention;
    assert!(scheduler.forget_ended(ms(900) + retention).is_empty());
    assert_eq!(scheduler.expired_records(), 0);
    assert_eq!(scheduler.forget_ended(ms(1000) + retention), [JobId(1)]);
    assert_eq!(scheduler.state(JobId(1)), None);
    let expired = ExpiredRecord {
        job: JobId(1),
        revision: 5,
    };
    assert_eq!(scheduler.take_expired(10), [expired]);
}

/// Guards against the record of a job that expires under another revision than it was
/// stored with, so that it is never removed, or before it was stored.
#[test]
fn record_of_an_end_expires_under_its_revision() {
    let mut scheduler = scheduler(7, ms(1000));
    let key = add_worker(&mut scheduler, 0, ms(1000));
    submit(
        &mut scheduler,
        1,
        &record("urgent", 7, vec![step(1, 1000)]),
        ms(1000),
    );
    let orders = scheduler.plan(ms(1010));
    confirm(&mut scheduler, &orders, ms(1020));
    let mut status = status_at(ms(1100));
    status.ended = vec![ended(1, task(1, 0, 0), 1, RunOutcome::Done)];
    scheduler.on_worker_status(key, &status, ms(1100));
    let late = ms(2000) + limits().ended_job_retention;
    assert!(scheduler.forget_ended(late).is_empty(), "it is not stored");
    let changes = scheduler.take_changes(10);
    assert!(changes[0].is_final);
    scheduler.on_stored(JobId(1), changes[0].number, 42);
    assert_eq!(scheduler.forget_ended(late), [JobId(1)]);
    let expired = ExpiredRecord {
        job: JobId(1),
        revision: 42,
    };
    assert_eq!(scheduler.take_expired(10), [expired]);
    scheduler.give_back_expired([expired]);
    assert_eq!(scheduler.expired_records(), 1);
}

/// Guards against a job whose record a late write has brought back beside its end: once the
/// end expires, the next scheduler would run the job again.
#[test]
fn record_of_a_job_that_has_ended_is_removed_again() {
    let mut scheduler = scheduler(9, ms(1000));
    let job = record("urgent", 7, vec![step(1, 1000)]);
    let progress = Some((&COMPLETED, 5));
    scheduler
        .restore(JobId(1), &job, progress, ms(1000))
        .expect("the record is valid");
    let changes = scheduler.take_changes(10);
    assert_eq!(changes.len(), 1);
    assert!(changes[0].is_final);
    assert_eq!(changes[0].expected_revision, 5);
    assert_eq!(changes[0].record.phase(), Phase::Completed);
}
