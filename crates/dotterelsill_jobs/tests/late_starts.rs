//! Starts without an answer for workers that close each connection: a later life may carry
//! them out, also after the run has been confirmed, has ended or was given up.

mod common;

use common::{
    add_worker,
    ended,
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
    Answer,
    JobId,
    ListedEnd,
    ListedRun,
    Order,
    RunOutcome,
    Scheduler,
    WorkerKey,
    WorkerOrder,
    WorkerReport,
    WorkerStatus, //
};
use dotterelsill_proto::jobs::GrantedWorker;

/// Returns a scheduler with a worker that closes its connections, and the start that was
/// repeated to it. The repetition was answered, and the first try may still arrive until
/// 14,020 ms.
fn with_repeated_start() -> (Scheduler, WorkerKey, Order) {
    let mut scheduler = scheduler(7, ms(1000));
    let key = add_worker(&mut scheduler, 0, ms(1000));
    scheduler.on_connection_not_kept(key, 1);
    let granted = scheduler.granted();
    scheduler.on_granted_stored(&granted);
    let job = record("urgent", 7, vec![step(1, 1000)]);
    submit(&mut scheduler, 1, &job, ms(1000));
    let orders = scheduler.plan(ms(1010));
    assert_eq!(starts(&orders), [(task(1, 0, 0), key)]);
    let start = orders[0].order.clone();
    for at in [1020, 1820] {
        assert!(scheduler
            .start_terms(key, task(1, 0, 0), true, ms(at))
            .is_some());
        if at == 1020 {
            scheduler.on_silence(key, ms(1720));
            read(&mut scheduler, key, 1, 1800, vec![], vec![]);
        }
    }
    scheduler.on_answer(key, &start, Answer::Done, true, ms(1830));
    (scheduler, key, start)
}

/// Handles a status of the life that began at `born`.
fn read(
    scheduler: &mut Scheduler,
    key: WorkerKey,
    born: u64,
    at: u64,
    runs: Vec<ListedRun>,
    ends: Vec<ListedEnd>,
) {
    let status = WorkerStatus {
        started_unix_ms: born,
        running: runs,
        ended: ends,
        ..status_at(ms(at))
    };
    scheduler.on_worker_status(key, &status, ms(at));
}

fn register(scheduler: &mut Scheduler, born: u64, at: u64) {
    let restarted = WorkerReport {
        started_unix_ms: born,
        ..report(0, "dc")
    };
    scheduler.on_report(restarted, ms(at));
}

fn store(scheduler: &mut Scheduler) {
    for change in scheduler.take_changes(10) {
        scheduler.on_stored(change.job, change.number, change.expected_revision + 1);
    }
}

/// Takes the orders, which have to be stops of a run.
fn stops(scheduler: &mut Scheduler, start: &Order, at: u64) -> Vec<WorkerOrder> {
    let orders = scheduler.plan(ms(at));
    let (task, attempt) = start.run();
    let stop = Order::Stop { task, attempt };
    assert!(orders.iter().all(|order| order.order == stop), "{orders:?}");
    orders
}

/// Returns a scheduler as [`with_repeated_start`] does, whose run has ended as done.
fn with_ended_run() -> (Scheduler, WorkerKey, Order) {
    let (mut scheduler, key, start) = with_repeated_start();
    let end = ended(1, task(1, 0, 0), start.run().1, RunOutcome::Done);
    read(&mut scheduler, key, 1, 2400, vec![], vec![end]);
    store(&mut scheduler);
    assert_eq!(stops(&mut scheduler, &start, 2410), []);
    (scheduler, key, start)
}

/// Guards against a task that begins again after its end was noted: each later life is told
/// to stop the run once it is known, until the start can no longer arrive.
#[test]
fn later_lives_refuse_the_start_of_an_ended_run() {
    for is_registered in [true, false] {
        let (mut scheduler, key, start) = with_ended_run();
        for (born, at) in [(2, 3000), (3, 5000)] {
            assert!(scheduler.is_busy(key), "a new life would not be seen soon");
            if is_registered {
                register(&mut scheduler, born, at);
            } else {
                read(&mut scheduler, key, born, at, vec![], vec![]);
            }
            let ordered = stops(&mut scheduler, &start, at + 10);
            assert_eq!(ordered.len(), 1, "life {born}");
            assert!(scheduler.may_send(key, &ordered[0].order, false, ms(at + 20)));
            scheduler.on_answer(key, &ordered[0].order, Answer::Done, false, ms(at + 30));
            read(&mut scheduler, key, born, at + 100, vec![], vec![]);
            assert_eq!(stops(&mut scheduler, &start, at + 110), []);
        }
        scheduler.expire_leases(ms(14_830));
        assert!(!scheduler.is_busy(key));
        register(&mut scheduler, 4, 14_900);
        assert_eq!(stops(&mut scheduler, &start, 14_910), []);
    }
}

/// Guards against a late start that the next life carries out before it is known: it may be
/// there as soon as the worker is silent.
#[test]
fn silent_worker_is_told_to_refuse_the_start() {
    let (mut scheduler, key, start) = with_ended_run();
    scheduler.on_silence(key, ms(3000));
    let ordered = stops(&mut scheduler, &start, 3010);
    assert_eq!(ordered.len(), 1);
    scheduler.on_silence(key, ms(3100));
    assert_eq!(stops(&mut scheduler, &start, 3110), []);
    // It is not known which life has answered.
    scheduler.on_answer(key, &ordered[0].order, Answer::Done, false, ms(3200));
    read(&mut scheduler, key, 2, 3300, vec![], vec![]);
    assert_eq!(stops(&mut scheduler, &start, 3310).len(), 1);
}

/// Guards against a noted end of a task that a later life has begun again in the meantime: the
/// end is not acknowledged while the start may arrive.
#[test]
fn end_is_acknowledged_once_its_start_cannot_arrive() {
    let (mut scheduler, key, _) = with_ended_run();
    assert_eq!(scheduler.acknowledged(key), 0);
    scheduler.expire_leases(ms(14_700));
    assert_eq!(scheduler.acknowledged(key), 0);
    scheduler.expire_leases(ms(14_830));
    assert_eq!(scheduler.acknowledged(key), 1);
}

/// Guards against a confirmed run that is started elsewhere once its worker has restarted,
/// while the next life may still begin it: that life answers a stop first.
#[test]
fn confirmed_run_is_settled_with_the_next_life() {
    let (mut scheduler, key, start) = with_repeated_start();
    let listed = || vec![running(task(1, 0, 0), start.run().1, 10)];
    read(&mut scheduler, key, 1, 2000, listed(), vec![]);
    add_worker(&mut scheduler, 1, ms(2010));
    read(&mut scheduler, key, 2, 3000, vec![], vec![]);
    let ordered = stops(&mut scheduler, &start, 3010);
    assert_eq!(ordered.len(), 1);
    read(&mut scheduler, key, 2, 3100, vec![], vec![]);
    assert_eq!(stops(&mut scheduler, &start, 3110), []);
    scheduler.on_answer(key, &ordered[0].order, Answer::Done, false, ms(3200));
    read(&mut scheduler, key, 2, 3300, vec![], vec![]);
    assert_eq!(starts(&scheduler.plan(ms(3310))).len(), 1);
    // The life after that knows nothing of the stop.
    read(&mut scheduler, key, 3, 4000, vec![], vec![]);
    let again = scheduler.plan(ms(4010));
    assert!(again.contains(&ordered[0]), "{again:?}");
}

/// Guards against a run that is stopped, or started elsewhere, although the next life has
/// begun it by the late start.
#[test]
fn run_that_the_next_life_has_begun_goes_on() {
    let (mut scheduler, key, start) = with_repeated_start();
    let listed = || vec![running(task(1, 0, 0), start.run().1, 10)];
    read(&mut scheduler, key, 2, 3000, listed(), vec![]);
    read(&mut scheduler, key, 2, 3200, listed(), vec![]);
    assert_eq!(stops(&mut scheduler, &start, 3210), []);
}

/// Guards against stops and held acknowledgements for starts of which each try was answered.
#[test]
fn answered_start_is_not_late() {
    let mut scheduler = scheduler(7, ms(1000));
    let key = add_worker(&mut scheduler, 0, ms(1000));
    scheduler.on_connection_not_kept(key, 1);
    let granted = scheduler.granted();
    scheduler.on_granted_stored(&granted);
    let job = record("urgent", 7, vec![step(1, 1000)]);
    submit(&mut scheduler, 1, &job, ms(1000));
    let orders = scheduler.plan(ms(1010));
    let terms = scheduler.start_terms(key, task(1, 0, 0), true, ms(1020));
    assert!(terms.is_some());
    scheduler.on_answer(key, &orders[0].order, Answer::Done, false, ms(1030));
    let end = ended(1, task(1, 0, 0), 1, RunOutcome::Done);
    read(&mut scheduler, key, 1, 2000, vec![], vec![end]);
    store(&mut scheduler);
    assert_eq!(scheduler.acknowledged(key), 1);
    assert!(!scheduler.is_busy(key));
    register(&mut scheduler, 2, 2100);
    assert_eq!(scheduler.plan(ms(2110)), []);
}

/// Guards against a record that does not tell the next scheduler of starts that may still
/// arrive, although the present life of the worker keeps its connections.
#[test]
fn record_tells_of_late_starts() {
    let (mut scheduler, key, _) = with_ended_run();
    read(&mut scheduler, key, 2, 3000, vec![], vec![]);
    assert!(scheduler.granted()[0].closes_connections);
    scheduler.expire_leases(ms(14_830));
    assert!(!scheduler.granted()[0].closes_connections);
}

/// Returns a scheduler, elected at 1000 ms, with a job of an earlier one, which may have sent
/// its start to the first of two workers. That one closes its connections and has been read.
fn elected() -> (Scheduler, WorkerKey) {
    let mut scheduler = scheduler(9, ms(1000));
    let worker = report(0, "dc");
    let granted = GrantedWorker {
        id: worker.id.clone(),
        address: worker.address.clone(),
        pool: worker.pool.clone(),
        data_centre: worker.data_centre.clone(),
        closes_connections: true,
    };
    scheduler.restore_granted_worker(&granted, ms(1000));
    let job = record("urgent", 7, vec![step(1, 1000)]);
    scheduler
        .restore(JobId(1), &job, None, ms(1000))
        .expect("the record is valid");
    scheduler.open_due_jobs(ms(1000));
    let (first, _) = scheduler.on_report(worker, ms(1010));
    read(&mut scheduler, first, 1, 1020, vec![], vec![]);
    assert!(
        scheduler.is_busy(first),
        "a new life would not be seen soon"
    );
    (scheduler, first)
}

/// Guards against a task of a restored job that is started elsewhere while a later life of
/// the worker may begin it: a start of the earlier scheduler is fenced off by the lives that
/// were read alone.
#[test]
fn silent_worker_may_have_a_life_that_knows_no_token() {
    let (mut scheduler, first) = elected();
    add_worker(&mut scheduler, 1, ms(1030));
    scheduler.on_silence(first, ms(1040));
    assert_eq!(starts(&scheduler.plan(ms(1050))), []);
    // The next life has seen the token.
    read(&mut scheduler, first, 2, 2000, vec![], vec![]);
    assert_eq!(starts(&scheduler.plan(ms(2010))).len(), 1);
}

/// Guards against a noted end of a restored task that a later life of another worker has begun
/// again in the meantime, by a start of the earlier scheduler.
#[test]
fn end_of_a_restored_task_waits_for_earlier_starts() {
    let (mut scheduler, _) = elected();
    let second = add_worker(&mut scheduler, 1, ms(1030));
    let orders = scheduler.plan(ms(1050));
    let attempt = orders[0].order.run().1;
    common::confirm(&mut scheduler, &orders, ms(1060));
    let key = orders[0].worker;
    let end = ended(1, task(1, 0, 0), attempt, RunOutcome::Done);
    read(&mut scheduler, key, 1, 2000, vec![], vec![end]);
    store(&mut scheduler);
    scheduler.expire_leases(ms(13_900));
    assert_eq!(scheduler.acknowledged(key), 0);
    scheduler.expire_leases(ms(14_000));
    assert_eq!(scheduler.acknowledged(key), 1);
    assert!(!scheduler.is_busy(second));
}
