//! Tasks whose runs were given up without authority, and that wait for it.

mod common;

use common::{
    add_worker,
    confirm,
    ms,
    record,
    scheduler,
    starts,
    status_at,
    step,
    submit,
    task, //
};
use dotterelsill_jobs::{
    Scheduler,
    WorkerKey,
    WorkerStatus, //
};

/// Returns a scheduler without authority whose only worker has restarted, so that the run
/// of job 1 there was given up.
fn given_up_without_authority() -> (Scheduler, WorkerKey) {
    let mut scheduler = scheduler(7, ms(1000));
    let key = add_worker(&mut scheduler, 0, ms(1000));
    let job = record("urgent", 7, vec![step(1, 1000)]);
    submit(&mut scheduler, 1, &job, ms(1010));
    let orders = scheduler.plan(ms(1020));
    assert_eq!(starts(&orders), [(task(1, 0, 0), key)]);
    confirm(&mut scheduler, &orders, ms(1030));
    scheduler.set_authority(false);
    let status = WorkerStatus {
        started_unix_ms: 2,
        ..status_at(ms(3000))
    };
    scheduler.on_worker_status(key, &status, ms(3000));
    assert_eq!(starts(&scheduler.plan(ms(3010))), []);
    (scheduler, key)
}

/// Guards against a task that waits for ever: it starts once the scheduler's lease is
/// known to be valid again.
#[test]
fn task_starts_once_authority_is_back() {
    let (mut scheduler, key) = given_up_without_authority();
    scheduler.set_authority(true);
    scheduler.replan();
    let orders = scheduler.plan(ms(4000));
    assert_eq!(starts(&orders), [(task(1, 0, 0), key)]);
}

/// Guards against a start that is sent after the authority was lost between the plan and
/// the sending, and against a task that loses its mark when that start is withdrawn.
#[test]
fn start_is_withdrawn_when_authority_is_lost_before_it_is_sent() {
    let (mut scheduler, key) = given_up_without_authority();
    scheduler.set_authority(true);
    scheduler.replan();
    let orders = scheduler.plan(ms(4000));
    scheduler.set_authority(false);
    assert!(!scheduler.may_send(key, &orders[0].order, false, ms(4010)));
    scheduler.replan();
    assert_eq!(starts(&scheduler.plan(ms(4020))), []);
    scheduler.set_authority(true);
    scheduler.replan();
    assert_eq!(starts(&scheduler.plan(ms(4030))), [(task(1, 0, 0), key)]);
}
