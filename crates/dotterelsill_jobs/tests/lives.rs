//! Facts about a worker that restarts under its identifier: each is about one life.

mod common;

use std::time::Duration;

use common::{
    add_worker,
    confirm,
    ended,
    instance,
    ms,
    record,
    report,
    running,
    scheduler,
    starts,
    status_at,
    step,
    submit,
    task, //
};
use dotterelsill_jobs::{
    Instance,
    InstanceState,
    RunOutcome,
    Scheduler,
    WorkerKey,
    WorkerStatus, //
};

fn second_life(now: Duration) -> WorkerStatus {
    WorkerStatus {
        started_unix_ms: 2,
        ..status_at(now)
    }
}

/// Lists worker 0 in the given state, and worker 1 as up.
fn list(state: InstanceState) -> Vec<Instance> {
    vec![
        instance(0, "work", state),
        instance(1, "work", InstanceState::Up),
    ]
}

/// Returns a scheduler with a worker whose second life, read at 10,500 ms, runs a task,
/// and an idle worker.
fn restarted_with_run() -> (Scheduler, WorkerKey) {
    let mut scheduler = scheduler(7, ms(1000));
    let key = add_worker(&mut scheduler, 0, ms(1000));
    scheduler.on_instances(list(InstanceState::Up), ms(9000), ms(9010));
    scheduler.on_worker_status(key, &second_life(ms(10_500)), ms(10_500));
    let granted = scheduler.granted();
    scheduler.on_granted_stored(&granted);
    submit(
        &mut scheduler,
        1,
        &record("urgent", 7, vec![step(1, 1000)]),
        ms(10_510),
    );
    let orders = scheduler.plan(ms(10_520));
    assert_eq!(starts(&orders), [(task(1, 0, 0), key)]);
    confirm(&mut scheduler, &orders, ms(10_530));
    let idle = add_worker(&mut scheduler, 1, ms(10_540));
    assert_ne!(idle, key);
    (scheduler, key)
}

/// Checks that the run of the second life counts as active.
fn assert_run_goes_on(scheduler: &mut Scheduler, key: WorkerKey, now: Duration) {
    scheduler.expire_leases(now);
    assert_eq!(starts(&scheduler.plan(now)), [], "the task runs twice");
    let mut status = second_life(now + ms(10));
    status.running = vec![running(task(1, 0, 0), 1, 50)];
    scheduler.on_worker_status(key, &status, now + ms(10));
    scheduler.expire_leases(now + ms(20));
    let orders = scheduler.plan(now + ms(20));
    assert!(orders.is_empty(), "{orders:?}");
}

/// Guards against a list of instances that was requested before a worker restarted and
/// arrives later: it ends the runs of the new life, which are started elsewhere.
#[test]
fn late_list_ends_no_later_life() {
    let (mut scheduler, key) = restarted_with_run();
    scheduler.on_instances(list(InstanceState::Down), ms(10_100), ms(10_700));
    assert_run_goes_on(&mut scheduler, key, ms(10_710));
}

/// Guards against a list of instances that still shows the end of the earlier life,
/// because it is slow to show changes.
#[test]
fn lagging_list_ends_no_later_life() {
    let (mut scheduler, key) = restarted_with_run();
    scheduler.on_instances(list(InstanceState::Down), ms(10_600), ms(10_700));
    assert_run_goes_on(&mut scheduler, key, ms(10_710));
}

/// Guards against lists without the worker that are counted although the first one was
/// requested before the present life began.
#[test]
fn lists_from_before_a_life_do_not_count_against_it() {
    let (mut scheduler, key) = restarted_with_run();
    let without = vec![instance(1, "work", InstanceState::Up)];
    scheduler.on_instances(without.clone(), ms(10_100), ms(10_700));
    scheduler.on_instances(without, ms(10_710), ms(10_750));
    assert_run_goes_on(&mut scheduler, key, ms(10_760));
}

/// Guards against a crash that is no longer detected from the list of instances.
#[test]
fn later_list_ends_the_life() {
    let (mut scheduler, key) = restarted_with_run();
    scheduler.on_instances(list(InstanceState::Down), ms(12_100), ms(12_110));
    let orders = scheduler.plan(ms(12_120));
    let started = starts(&orders);
    assert_eq!(started.len(), 1, "{orders:?}");
    assert_ne!(started[0].1, key);
}

/// Guards against an answer of another worker, to a call from before the restart or at
/// an address that the worker has left, that ends the runs of the present life.
#[test]
fn late_answer_of_another_worker_ends_no_later_life() {
    let (mut scheduler, key) = restarted_with_run();
    scheduler.on_other_worker(key, "127.0.0.1:2000", ms(10_400), ms(10_700));
    scheduler.on_other_worker(key, "127.0.0.1:9999", ms(10_700), ms(10_710));
    assert_run_goes_on(&mut scheduler, key, ms(10_720));
    scheduler.on_other_worker(key, "127.0.0.1:2000", ms(10_740), ms(10_750));
    assert_eq!(starts(&scheduler.plan(ms(10_760))).len(), 1);
}

/// Guards against a report of an earlier life that is stored late and replaces what is
/// known of the present one.
#[test]
fn late_report_of_an_earlier_life_is_ignored() {
    let (mut scheduler, key) = restarted_with_run();
    scheduler.on_report(report(0, "elsewhere"), ms(10_700));
    assert_eq!(scheduler.worker_data_centre(key), Some("dc"));
    assert_run_goes_on(&mut scheduler, key, ms(10_710));
}

/// Starts tasks on worker 0 and checks that their runs are not taken for ended by the
/// next tick.
fn assert_runs_are_kept(scheduler: &mut Scheduler, key: WorkerKey, status: &WorkerStatus) {
    let now = status.read_at;
    scheduler.on_worker_status(key, status, now);
    let granted = scheduler.granted();
    scheduler.on_granted_stored(&granted);
    add_worker(scheduler, 1, now);
    submit(scheduler, 1, &record("urgent", 7, vec![step(4, 1000)]), now);
    let orders = scheduler.plan(now + ms(10));
    assert_eq!(starts(&orders).len(), 4);
    assert!(starts(&orders).iter().all(|(_, worker)| *worker == key));
    confirm(scheduler, &orders, now + ms(20));
    scheduler.expire_leases(now + ms(70));
    let orders = scheduler.plan(now + ms(80));
    assert!(orders.is_empty(), "the tasks run twice: {orders:?}");
}

/// Guards against a worker whose earlier life ended while the scheduler could not judge
/// leases: the mark of that end stays, and each tick takes the runs of the new life for
/// ended.
#[test]
fn end_of_an_earlier_life_ends_no_runs_of_a_later_one() {
    let mut scheduler = scheduler(7, ms(1000));
    let key = add_worker(&mut scheduler, 0, ms(1000));
    scheduler.on_instances(list(InstanceState::Up), ms(3000), ms(3010));
    scheduler.on_instances(list(InstanceState::Down), ms(4000), ms(4010));
    // The outage of the store ends, and the registration is read before the next tick.
    let mut restarted = report(0, "dc");
    restarted.started_unix_ms = 2;
    assert_eq!(scheduler.on_report(restarted, ms(5000)), (key, false));
    assert_runs_are_kept(&mut scheduler, key, &second_life(ms(5050)));
}

/// Guards against a worker that answers although it was found to have ended, and whose
/// runs are taken for ended at each tick.
#[test]
fn worker_that_answers_after_its_end_goes_on() {
    let mut scheduler = scheduler(7, ms(1000));
    let key = add_worker(&mut scheduler, 0, ms(1000));
    scheduler.on_other_worker(key, "127.0.0.1:2000", ms(3990), ms(4000));
    assert_eq!(scheduler.on_report(report(0, "dc"), ms(4010)), (key, false));
    // A status that was asked for before is no sign of life.
    scheduler.on_worker_status(key, &status_at(ms(3995)), ms(4020));
    assert_eq!(scheduler.unread_workers().collect::<Vec<_>>(), [key]);
    assert_runs_are_kept(&mut scheduler, key, &status_at(ms(4050)));
}

/// Guards against ends of a new life that are skipped as handled, because the worker sends
/// no start time and numbers its ends from 1 again: the task is started once more.
#[test]
fn restart_without_start_time_is_seen_by_the_clock() {
    let without_start = |now: Duration| WorkerStatus {
        started_unix_ms: 0,
        ..status_at(now)
    };
    let mut scheduler = scheduler(7, ms(1000));
    let mut report = report(0, "dc");
    report.started_unix_ms = 0;
    let (key, _) = scheduler.on_report(report, ms(1000));
    let granted = scheduler.granted();
    scheduler.on_granted_stored(&granted);
    scheduler.on_worker_status(key, &without_start(ms(1000)), ms(1000));
    let job = record("urgent", 7, vec![step(1, 1000)]);
    for (id, at) in [(1, 1010), (2, 2010)] {
        submit(&mut scheduler, id, &job, ms(at));
        let orders = scheduler.plan(ms(at + 10));
        assert_eq!(starts(&orders), [(task(id, 0, 0), key)]);
        confirm(&mut scheduler, &orders, ms(at + 20));
        // The worker has restarted before the second job, and its clock with it.
        let mut status = without_start(ms(at + 500));
        status.worker_ms = if id == 1 { 1500 } else { 400 };
        status.ended = vec![ended(1, task(id, 0, 0), 1, RunOutcome::Done)];
        scheduler.on_worker_status(key, &status, ms(at + 500));
        assert_eq!(starts(&scheduler.plan(ms(at + 510))), []);
    }
}
