//! Shortest sequences of events that make a worker forget an end that nobody has read,
//! or that start a task again after its end was acknowledged.

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
    Answer,
    JobId,
    Order,
    RunOutcome,
    Scheduler,
    WorkerKey,
    WorkerOrder,
    WorkerStatus, //
};
use dotterelsill_proto::jobs::{
    GrantedWorker,
    JobRecord, //
};

/// Returns the record of a job with one task; job 4 needs most of a worker.
fn record_of(id: u64) -> JobRecord {
    let cpu_milli = if id == 4 { 3000 } else { 1000 };
    record("urgent", 7, vec![step(1, cpu_milli)])
}

/// Stores all changes at once.
fn store(scheduler: &mut Scheduler, revision: u64) {
    for change in scheduler.take_changes(10) {
        scheduler.on_stored(change.job, change.number, revision);
    }
}

/// Returns a scheduler with a worker whose first life has an acknowledged end with the
/// number 1, runs job 2, and has crashed; a stop of that run is outstanding.
fn crashed_with_stop() -> (Scheduler, WorkerKey, WorkerOrder) {
    let mut scheduler = scheduler(7, ms(1000));
    let key = add_worker(&mut scheduler, 0, ms(1000));
    for id in [1, 2] {
        submit(&mut scheduler, id, &record_of(id), ms(1010));
    }
    let orders = scheduler.plan(ms(1020));
    assert_eq!(starts(&orders).len(), 2);
    confirm(&mut scheduler, &orders, ms(1030));
    let mut status = status_at(ms(1100));
    status.ended = vec![ended(1, task(1, 0, 0), 1, RunOutcome::Done)];
    status.running = vec![running(task(2, 0, 0), 1, 10)];
    scheduler.on_worker_status(key, &status, ms(1100));
    store(&mut scheduler, 100);
    assert_eq!(scheduler.acknowledged(key), 1);
    scheduler.cancel(JobId(2), ms(1150));
    let stops = scheduler.plan(ms(1160));
    let [stop] = stops.as_slice() else {
        panic!("expected one stop, got {stops:?}");
    };
    assert!(matches!(stop.order, Order::Stop { .. }));
    // The worker crashes: the status call fails and the stop is not answered.
    scheduler.on_silence(key, ms(1170));
    assert_eq!(scheduler.acknowledged(key), 0);
    (scheduler, key, stop.clone())
}

/// Guards against a status request that carries the number of an end of an earlier life:
/// the next life, whose answer to an order shows no start time, would forget ends that
/// nobody has read.
#[test]
fn answer_to_an_order_allows_no_acknowledgement_to_another_life() {
    let (mut scheduler, key, stop) = crashed_with_stop();
    // The worker restarts under its identifier, and answers the repeated stop.
    scheduler.on_answer(key, &stop.order, Answer::Done, true, ms(1400));
    assert_eq!(scheduler.acknowledged(key), 0);
}

/// Guards against the same in its effect: a task starts again although it was done on
/// the next life, whose end was acknowledged unread.
#[test]
fn task_done_on_a_life_that_was_not_read_starts_once() {
    let (mut scheduler, key, stop) = crashed_with_stop();
    scheduler.on_answer(key, &stop.order, Answer::Done, true, ms(1400));
    submit(&mut scheduler, 3, &record_of(3), ms(1410));
    let orders = scheduler.plan(ms(1420));
    if starts(&orders).is_empty() {
        return;
    }
    assert_eq!(starts(&orders), [(task(3, 0, 0), key)]);
    if scheduler
        .start_terms(key, task(3, 0, 0), true, ms(1430))
        .is_none()
    {
        return;
    }
    scheduler.on_answer(key, &orders[0].order, Answer::Done, false, ms(1440));
    // The run ends done as the first end of the new life, which keeps it listed unless
    // the status request tells it to forget it.
    let end = ended(1, task(3, 0, 0), 1, RunOutcome::Done);
    let is_forgotten = scheduler.acknowledged(key) >= end.number;
    let status = WorkerStatus {
        started_unix_ms: 2,
        ended: if is_forgotten { vec![] } else { vec![end] },
        ..status_at(ms(1600))
    };
    scheduler.on_worker_status(key, &status, ms(1600));
    let again = scheduler.plan(ms(1610));
    assert_eq!(
        starts(&again),
        [],
        "done and acknowledged, and started again"
    );
}

/// Returns a scheduler without authority that believes that job 1 runs on the first of
/// two workers. A later scheduler has read, stored and acknowledged the end `done` of
/// that run, and has not reached the second worker yet.
fn deposed_with_run() -> (Scheduler, WorkerKey, WorkerKey) {
    let mut scheduler = scheduler(7, ms(1000));
    let first = add_worker(&mut scheduler, 0, ms(1000));
    for id in [1, 4] {
        submit(&mut scheduler, id, &record_of(id), ms(1010));
    }
    let orders = scheduler.plan(ms(1020));
    assert_eq!(starts(&orders).len(), 2);
    confirm(&mut scheduler, &orders, ms(1030));
    let second = add_worker(&mut scheduler, 1, ms(1040));
    // The first worker is full. The run on the second one makes it the first choice for
    // the next task.
    submit(&mut scheduler, 2, &record_of(2), ms(1050));
    let orders = scheduler.plan(ms(1060));
    assert_eq!(starts(&orders), [(task(2, 0, 0), second)]);
    confirm(&mut scheduler, &orders, ms(1070));
    scheduler.set_authority(false);
    (scheduler, first, second)
}

/// Checks that a scheduler without authority sends no start of the task of job 1.
fn assert_not_started(scheduler: &mut Scheduler, now: std::time::Duration) {
    let orders = scheduler.plan(now);
    let sent: Vec<_> = starts(&orders)
        .into_iter()
        .filter(|(started, _)| *started == task(1, 0, 0))
        .filter(|(task, key)| scheduler.start_terms(*key, *task, false, now).is_some())
        .collect();
    assert_eq!(sent, [], "a later scheduler may have acknowledged the end");
}

/// Guards against a scheduler without authority that takes the runs of a restarted worker
/// for lost, although a later scheduler acknowledged their ends. The new life knows no
/// fencing token, so it answers the earlier scheduler.
#[test]
fn restart_seen_without_authority_starts_no_task_again() {
    let (mut scheduler, first, _) = deposed_with_run();
    let status = WorkerStatus {
        started_unix_ms: 2,
        ..status_at(ms(3000))
    };
    scheduler.on_silence(first, ms(2900));
    scheduler.on_worker_status(first, &status, ms(3000));
    assert_not_started(&mut scheduler, ms(3010));
}

/// Guards against the same on the list of instances, which shows that the worker is gone.
#[test]
fn instance_gone_without_authority_starts_no_task_again() {
    let (mut scheduler, _, _) = deposed_with_run();
    for at in [3000, 4000, 5000] {
        let list = vec![common::instance(
            1,
            "work",
            dotterelsill_jobs::InstanceState::Up,
        )];
        scheduler.on_instances(list, ms(at), ms(at + 10));
    }
    assert_not_started(&mut scheduler, ms(5020));
}

/// Guards against a list of instances that was requested soon after a restart, and shows
/// what was so before: it does not end a worker that a new scheduler knew from the stored
/// record and read after the restart.
#[test]
fn late_list_does_not_end_a_restored_worker_that_was_read() {
    let mut scheduler = scheduler(7, ms(1000));
    let restored = GrantedWorker {
        id: "w0".to_owned(),
        address: common::report(0, "dc").address,
        pool: "work".to_owned(),
        data_centre: "dc".to_owned(),
        ..GrantedWorker::default()
    };
    scheduler.restore_granted_worker(&restored, ms(1000));
    let others = || {
        vec![common::instance(
            1,
            "work",
            dotterelsill_jobs::InstanceState::Up,
        )]
    };
    // The worker is down, and restarts at 3,400 ms.
    scheduler.on_instances(others(), ms(3000), ms(3010));
    let key = add_worker(&mut scheduler, 0, ms(3500));
    submit(&mut scheduler, 1, &record_of(1), ms(3510));
    let orders = scheduler.plan(ms(3520));
    assert_eq!(starts(&orders), [(task(1, 0, 0), key)]);
    confirm(&mut scheduler, &orders, ms(3530));
    add_worker(&mut scheduler, 1, ms(3540));
    scheduler.on_instances(others(), ms(4000), ms(4010));
    assert_eq!(starts(&scheduler.plan(ms(4020))), [], "the task runs twice");
}

/// Guards against the same for a worker that was found to have ended and answers after
/// that: the list that is still late does not end it again.
#[test]
fn late_list_does_not_end_a_worker_that_answers_again() {
    let mut scheduler = scheduler(7, ms(1000));
    let key = add_worker(&mut scheduler, 0, ms(1000));
    let others = || {
        vec![common::instance(
            1,
            "work",
            dotterelsill_jobs::InstanceState::Up,
        )]
    };
    for at in [3000, 4000] {
        scheduler.on_instances(others(), ms(at), ms(at + 10));
    }
    scheduler.on_report(common::report(0, "dc"), ms(4100));
    scheduler.on_worker_status(key, &status_at(ms(4200)), ms(4200));
    submit(&mut scheduler, 1, &record_of(1), ms(4210));
    let granted = scheduler.granted();
    scheduler.on_granted_stored(&granted);
    let orders = scheduler.plan(ms(4220));
    assert_eq!(starts(&orders), [(task(1, 0, 0), key)]);
    confirm(&mut scheduler, &orders, ms(4230));
    add_worker(&mut scheduler, 1, ms(4240));
    scheduler.on_instances(others(), ms(4300), ms(4310));
    assert_eq!(starts(&scheduler.plan(ms(4320))), [], "the task runs twice");
}

/// Guards against a worker that stays silent for ever, and whose lease lapses, because
/// orders to it fail more often than a status takes to be answered.
#[test]
fn failing_orders_do_not_prolong_a_silence() {
    let mut scheduler = scheduler(7, ms(1000));
    let key = add_worker(&mut scheduler, 0, ms(1000));
    scheduler.on_silence(key, ms(1100));
    scheduler.on_silence(key, ms(1130));
    let status = WorkerStatus {
        sent_at: ms(1120),
        ..status_at(ms(1160))
    };
    scheduler.on_worker_status(key, &status, ms(1160));
    assert!(!scheduler.needs_status(key));
}
