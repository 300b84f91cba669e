//! Facts about one life of a worker that decide about another one: lists of instances,
//! orders that are carried out late, and start times by a clock that was set back.

mod common;

use common::{
    add_worker,
    confirm,
    ended,
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
    RunOutcome,
    WorkerStatus, //
};
use dotterelsill_proto::jobs::JobRecord;

fn small_job() -> JobRecord {
    record("urgent", 7, vec![step(1, 1000)])
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
