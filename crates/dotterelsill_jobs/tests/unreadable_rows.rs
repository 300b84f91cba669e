//! Statuses of workers with rows that cannot be read.

mod common;

use common::{
    add_worker,
    confirm,
    ended,
    ms,
    record,
    running,
    scheduler,
    starts,
    status_at,
    step,
    submit,
    task, //
};
use dotterelsill_jobs::{
    ListedEnd,
    RunOutcome,
    Scheduler,
    WorkerKey,
    WorkerStatus, //
};

/// Returns a scheduler with a worker that has confirmed four tasks of job 1.
fn four_runs() -> (Scheduler, WorkerKey) {
    let mut scheduler = scheduler(7, ms(1000));
    let key = add_worker(&mut scheduler, 0, ms(1000));
    submit(
        &mut scheduler,
        1,
        &record("urgent", 7, vec![step(4, 1000)]),
        ms(1010),
    );
    let orders = scheduler.plan(ms(1020));
    assert_eq!(starts(&orders).len(), 4);
    confirm(&mut scheduler, &orders, ms(1030));
    (scheduler, key)
}

/// Returns the end of the task with an index, which is listed under the next number.
fn done(index: u32) -> ListedEnd {
    ended(u64::from(index) + 1, task(1, 0, index), 1, RunOutcome::Done)
}

/// Handles a status with ends, in which the tasks after them run, and stores all changes.
fn read(
    scheduler: &mut Scheduler,
    key: WorkerKey,
    at: u64,
    ends: &[ListedEnd],
    unreadable: Option<u64>,
) {
    let numbers = ends.iter().map(|end| end.number).chain(unreadable);
    let last = numbers.max().unwrap_or_default();
    let mut status = WorkerStatus {
        ended: ends.to_vec(),
        running: (last..4)
            .map(|index| running(task(1, 0, index as u32), 1, 10))
            .collect(),
        ..status_at(ms(at))
    };
    if let Some(number) = unreadable {
        status.on_unreadable_end(number);
    }
    scheduler.on_worker_status(key, &status, ms(at));
    for change in scheduler.take_changes(10) {
        scheduler.on_stored(change.job, change.number, at);
    }
}

/// Guards against runs that are given up although a row that may be theirs could not be
/// read.
#[test]
fn unreadable_row_gives_up_no_run() {
    let (mut scheduler, key) = four_runs();
    let status = WorkerStatus {
        has_unreadable_rows: true,
        ..status_at(ms(1100))
    };
    scheduler.on_worker_status(key, &status, ms(1100));
    assert_eq!(starts(&scheduler.plan(ms(1110))), []);
}

/// Guards against an end that the worker discards before it was read, because the ends
/// after it were acknowledged.
#[test]
fn no_end_after_an_unreadable_one_is_acknowledged() {
    let (mut scheduler, key) = four_runs();
    let ends: Vec<ListedEnd> = (0..4).map(done).collect();
    read(&mut scheduler, key, 1100, &ends[..1], None);
    assert_eq!(scheduler.acknowledged(key), 1);
    read(&mut scheduler, key, 1200, &ends[2..3], Some(2));
    assert_eq!(scheduler.acknowledged(key), 1);
    read(&mut scheduler, key, 1300, &ends[2..], Some(2));
    assert_eq!(scheduler.acknowledged(key), 1);
    assert_eq!(starts(&scheduler.plan(ms(1310))), []);
    read(&mut scheduler, key, 1400, &ends[1..], None);
    assert_eq!(scheduler.acknowledged(key), 4);
    assert_eq!(scheduler.processed_ends(key).number, 4);
    let state = scheduler.state(dotterelsill_jobs::JobId(1));
    let phase = state.map(|state| state.phase);
    assert_eq!(phase, Some(dotterelsill_proto::jobs::Phase::Completed));
}

/// Guards against an end that is acknowledged before its effect is stored: it is read
/// after ends with higher numbers, which are stored.
#[test]
fn end_that_is_read_late_is_acknowledged_in_its_turn() {
    let (mut scheduler, key) = four_runs();
    let ends: Vec<ListedEnd> = (0..4).map(done).collect();
    read(&mut scheduler, key, 1100, &ends[1..2], Some(1));
    assert_eq!(scheduler.acknowledged(key), 0);
    let status = WorkerStatus {
        ended: ends[..2].to_vec(),
        ..status_at(ms(1200))
    };
    scheduler.on_worker_status(key, &status, ms(1200));
    assert_eq!(scheduler.acknowledged(key), 0, "end 1 is not stored");
    read(&mut scheduler, key, 1300, &ends[..2], None);
    assert_eq!(scheduler.acknowledged(key), 2);
}

/// Guards against failures that are counted each time that they are listed, as long as
/// an end before them cannot be read: the job would fail.
#[test]
fn failure_after_an_unreadable_end_counts_once() {
    let (mut scheduler, key) = four_runs();
    let failed = ended(2, task(1, 0, 1), 1, RunOutcome::Failed);
    for at in [1100, 1200, 1300] {
        read(
            &mut scheduler,
            key,
            at,
            std::slice::from_ref(&failed),
            Some(1),
        );
    }
    scheduler.replan();
    assert_eq!(starts(&scheduler.plan(ms(5000))), [(task(1, 0, 1), key)]);
}

/// Guards against a scheduler that ends, or takes a lease for one that has ended, because of
/// a clock reading near the largest number.
#[test]
fn largest_clock_reading_ends_no_lease() {
    let mut scheduler = scheduler(7, ms(1000));
    let key = add_worker(&mut scheduler, 0, ms(1000));
    let status = WorkerStatus {
        worker_ms: u64::MAX - 1,
        running: vec![running(task(9, 0, 0), 1, 10)],
        ..status_at(ms(1100))
    };
    scheduler.on_worker_status(key, &status, ms(1100));
    assert_eq!(scheduler.lease_end(key, true, ms(1200)), Some(u64::MAX));
    scheduler.expire_leases(ms(1200));
    assert!(scheduler.is_busy(key));
}
