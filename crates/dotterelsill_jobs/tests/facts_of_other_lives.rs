//! Facts about one life of a worker that decide about another one: lists of instances,
//! orders that are carried out late, and start times by a clock that was set back.

mod common;

use common::{
    add_worker,
    confirm,
    ended,
    instance,
    limits,
    ms,
    record,
    report,
    scheduler,
    starts,
    status_at,
    step,
    submit,
    task, //
};
use dotterelsill_jobs::{
    InstanceState,
    JobId,
    RunOutcome,
    WorkerStatus, //
};
use dotterelsill_proto::jobs::{
    GrantedWorker,
    JobRecord, //
};

fn small_job() -> JobRecord {
    record("urgent", 7, vec![step(1, 1000)])
}

/// Guards against a list of instances that ends runs which the next life has confirmed. An
/// idle worker restarts under its identifier, and answers a start before its registration
/// is read. A list that was requested right after shows what was so before the restart:
/// it tells about the life before, and not about a run that was confirmed within the
/// list's delay.
#[test]
fn late_list_does_not_end_a_run_that_was_just_confirmed() {
    let mut scheduler = scheduler(7, ms(1000));
    let first = add_worker(&mut scheduler, 0, ms(1000));
    let up = |index| instance(index, "work", InstanceState::Up);
    scheduler.on_instances(vec![up(0), up(1)], ms(1100), ms(1110));
    // The worker restarts at 10,000 ms. The start reaches the new life.
    submit(&mut scheduler, 1, &small_job(), ms(10_100));
    let orders = scheduler.plan(ms(10_110));
    assert_eq!(starts(&orders), [(task(1, 0, 0), first)]);
    confirm(&mut scheduler, &orders, ms(10_120));
    add_worker(&mut scheduler, 1, ms(10_130));
    let down = instance(0, "work", InstanceState::Down);
    scheduler.on_instances(vec![down, up(1)], ms(10_200), ms(10_210));
    assert_eq!(
        starts(&scheduler.plan(ms(10_220))),
        [],
        "the task runs twice"
    );
}

/// Guards against the same when the status request that follows the start fails, because
/// its connection led to the life before: until the next one is answered, which life has
/// confirmed the start is not known.
#[test]
fn late_list_does_not_end_a_run_of_a_life_that_is_not_read_yet() {
    let mut scheduler = scheduler(7, ms(1000));
    let first = add_worker(&mut scheduler, 0, ms(1000));
    let up = |index| instance(index, "work", InstanceState::Up);
    scheduler.on_instances(vec![up(0), up(1)], ms(1100), ms(1110));
    // The worker restarts at 10,000 ms. The start reaches the new life.
    submit(&mut scheduler, 1, &small_job(), ms(10_100));
    let orders = scheduler.plan(ms(10_110));
    assert_eq!(starts(&orders), [(task(1, 0, 0), first)]);
    confirm(&mut scheduler, &orders, ms(10_120));
    scheduler.on_silence(first, ms(10_130));
    add_worker(&mut scheduler, 1, ms(10_140));
    let down = instance(0, "work", InstanceState::Down);
    scheduler.on_instances(vec![down, up(1)], ms(10_200), ms(10_210));
    assert_eq!(
        starts(&scheduler.plan(ms(10_220))),
        [],
        "the task runs twice"
    );
}

/// Guards against a list of instances that ends a worker which a new scheduler has not
/// read yet: it may show a restart from before the takeover, after which the earlier
/// scheduler started the task there.
#[test]
fn late_list_does_not_end_a_restored_worker_that_was_not_read() {
    let mut scheduler = scheduler(8, ms(1000));
    let granted = GrantedWorker {
        id: "w0".to_owned(),
        address: report(0, "dc").address,
        pool: "work".to_owned(),
        data_centre: "dc".to_owned(),
        ..GrantedWorker::default()
    };
    scheduler
        .restore(JobId(1), &small_job(), None, ms(1000))
        .expect("the job is usable");
    scheduler.restore_granted_worker(&granted, ms(1000));
    scheduler.open_due_jobs(ms(1000));
    add_worker(&mut scheduler, 1, ms(1050));
    let up = |index| instance(index, "work", InstanceState::Up);
    let down = instance(0, "work", InstanceState::Down);
    // Both lists show what was so before the takeover; their delay is up to 1.5 s.
    scheduler.on_instances(vec![up(0), up(1)], ms(1100), ms(1110));
    scheduler.on_instances(vec![down, up(1)], ms(1400), ms(1410));
    scheduler.expire_leases(ms(1420));
    assert_eq!(starts(&scheduler.plan(ms(1430))), [], "the task runs twice");
}

/// Guards against a lease that counts as lapsed too early: a start for the life before
/// that is carried out by the next life after its first status was read grants a lease of
/// the maximum length from then on, as its end is by the clock of the life before.
#[test]
fn late_start_for_the_earlier_life_extends_the_lease_of_the_next_one() {
    let mut scheduler = scheduler(7, ms(1000));
    let key = add_worker(&mut scheduler, 0, ms(100_000));
    submit(&mut scheduler, 1, &small_job(), ms(100_010));
    let orders = scheduler.plan(ms(100_020));
    assert_eq!(starts(&orders), [(task(1, 0, 0), key)]);
    assert!(scheduler
        .start_terms(key, task(1, 0, 0), true, ms(100_030))
        .is_some());
    // The start gets no answer. The worker restarts, and its status is read.
    scheduler.on_silence(key, ms(100_050));
    let status = |sent_at, worker_ms, running| WorkerStatus {
        started_unix_ms: 2,
        sent_at: ms(sent_at),
        read_at: ms(sent_at + 1),
        worker_ms,
        running,
        ..WorkerStatus::default()
    };
    scheduler.on_worker_status(key, &status(100_200, 100, vec![]), ms(100_201));
    // The start is carried out 2 s later, at 2,100 ms by the new life's clock. Its lease
    // ends at 105,030 ms by the clock of the life before, and is shortened to the maximum.
    let executed_at = 102_200;
    let listed = common::running(task(1, 0, 0), 1, 1);
    scheduler.on_worker_status(key, &status(102_201, 2101, vec![listed]), ms(102_202));
    // The worker is out of reach from here on; its runs go on until the lease ends.
    scheduler.on_silence(key, ms(102_300));
    add_worker(&mut scheduler, 1, ms(102_400));
    let lease_ends_at = ms(executed_at) + limits().max_lease;
    let now = lease_ends_at - ms(100);
    scheduler.expire_leases(now);
    assert_eq!(starts(&scheduler.plan(now)), [], "the task runs twice");
}

/// Guards against ends of a life that nobody reads because it began, by its own clock,
/// before the life known so far: its status was requested after that of the other life
/// was read, so it is a later life on an instance whose clock was set back.
#[test]
fn life_with_an_earlier_start_time_is_read() {
    let mut scheduler = scheduler(7, ms(1000));
    let status = |started_unix_ms, at| WorkerStatus {
        started_unix_ms,
        ..status_at(ms(at))
    };
    let (key, _) = scheduler.on_report(
        dotterelsill_jobs::WorkerReport {
            started_unix_ms: 9000,
            ..report(0, "dc")
        },
        ms(1000),
    );
    let granted = scheduler.granted();
    scheduler.on_granted_stored(&granted);
    scheduler.on_worker_status(key, &status(9000, 1010), ms(1010));
    submit(&mut scheduler, 1, &small_job(), ms(1020));
    let orders = scheduler.plan(ms(1030));
    assert_eq!(starts(&orders), [(task(1, 0, 0), key)]);
    // The worker restarts while its clock is set back by 4 s, and carries out the start.
    confirm(&mut scheduler, &orders, ms(1040));
    let done = WorkerStatus {
        ended: vec![ended(1, task(1, 0, 0), 1, RunOutcome::Done)],
        ..status(5000, 1500)
    };
    scheduler.on_worker_status(key, &done, ms(1500));
    add_worker(&mut scheduler, 1, ms(1510));
    let now = ms(1500) + limits().max_lease * 2;
    scheduler.expire_leases(now);
    let orders = scheduler.plan(now);
    assert_eq!(
        starts(&orders),
        [],
        "the end was listed, and the task starts again"
    );
}
