//! Reports on the work that a scheduler has pending.

mod common;

use std::time::Duration;

use dotterelsill_jobs::{
    Backlog,
    HeldBack,
    HoldReason,
    JobId,
    Resources,
    RunOutcome,
    Scheduler,
    WaitingLasting,
    WorkerKey, //
};
use dotterelsill_proto::jobs::GrantedWorker;

use common::{
    add_worker,
    confirm,
    ended,
    lasting,
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

/// Adds a worker that an earlier scheduler may have given tasks to.
fn add_granted_worker(scheduler: &mut Scheduler, index: usize, now: Duration) -> WorkerKey {
    let report = report(index, "dc");
    let granted = GrantedWorker {
        id: report.id.clone(),
        address: report.address.clone(),
        pool: report.pool.clone(),
        data_centre: report.data_centre.clone(),
        ..GrantedWorker::default()
    };
    scheduler.restore_granted_worker(&granted, now);
    scheduler.on_report(report, now).0
}

/// Guards against progress that counts as stored while its write is in flight.
#[test]
fn progress_counts_until_it_is_stored() {
    let mut scheduler = scheduler(7, ms(1000));
    let key = add_worker(&mut scheduler, 0, ms(1000));
    let job = record("urgent", 7, vec![step(2, 1000)]);
    submit(&mut scheduler, 1, &job, ms(1000));
    let orders = scheduler.plan(ms(1010));
    confirm(&mut scheduler, &orders, ms(1020));
    let running = Backlog {
        open_jobs: 1,
        runs: 2,
        workers: 1,
        workers_known: 1,
        ..Backlog::default()
    };
    assert_eq!(
        scheduler.backlog(ms(1030)),
        Backlog {
            ready_steps: 1,
            ..running
        }
    );
    scheduler.plan(ms(1990));
    let mut status = status_at(ms(2000));
    status.running = vec![common::running(task(1, 0, 1), 1, 50)];
    status.ended = vec![ended(1, task(1, 0, 0), 1, RunOutcome::Done)];
    scheduler.on_worker_status(key, &status, ms(2000));
    let change = scheduler.take_changes(1).remove(0);
    scheduler.on_silence(key, ms(2300));
    let backlog = scheduler.backlog(ms(2490));
    assert_eq!(
        backlog,
        Backlog {
            ready_steps: backlog.ready_steps,
            runs: 1,
            workers_silent: 1,
            unstored: 1,
            oldest_unstored: ms(500),
            ..running
        }
    );
    scheduler.on_stored(change.job, change.number, 5);
    assert_eq!(scheduler.backlog(ms(2500)).unstored, 0);
}

#[test]
fn workers_of_an_earlier_scheduler_count_until_they_are_read() {
    let mut scheduler = scheduler(7, ms(1000));
    let job = record("urgent", 3, vec![step(1, 1000)]);
    scheduler.restore(JobId(1), &job, None, ms(1000)).unwrap();
    scheduler.open_due_jobs(ms(1000));
    let key = add_granted_worker(&mut scheduler, 0, ms(1000));
    let unread = Backlog {
        open_jobs: 1,
        ready_steps: 1,
        workers: 1,
        workers_unread: 1,
        ..Backlog::default()
    };
    assert_eq!(scheduler.backlog(ms(1010)), unread);
    scheduler.on_worker_status(key, &status_at(ms(1020)), ms(1020));
    let read = Backlog {
        workers_known: 1,
        workers_unread: 0,
        ..unread
    };
    assert_eq!(scheduler.backlog(ms(1030)), read);
}

fn held(reason: HoldReason, usable_workers: usize, unread_workers: usize) -> HeldBack {
    HeldBack {
        pool: "work".to_owned(),
        reason,
        steps: 1,
        oldest: ms(1000),
        usable_workers,
        unread_workers,
    }
}

/// Guards against a takeover that silently holds back restored jobs, as if the pool
/// were full.
#[test]
fn held_back_steps_are_told_with_their_reason() {
    let mut scheduler = scheduler(7, ms(1000));
    let job = record("urgent", 3, vec![step(1, 1000)]);
    scheduler.restore(JobId(1), &job, None, ms(1000)).unwrap();
    scheduler.open_due_jobs(ms(1000));
    let silent = add_granted_worker(&mut scheduler, 0, ms(1000));
    assert!(scheduler.plan(ms(2000)).is_empty());
    assert_eq!(
        scheduler.held_back(ms(2000)),
        [held(HoldReason::NoWorker, 0, 1)]
    );
    add_worker(&mut scheduler, 1, ms(2000));
    assert!(scheduler.plan(ms(2000)).is_empty());
    assert_eq!(
        scheduler.held_back(ms(2000)),
        [held(HoldReason::UnreadWorkers, 1, 1)]
    );
    scheduler.on_worker_status(silent, &status_at(ms(2000)), ms(2000));
    assert_eq!(scheduler.held_back(ms(2000)), []);
    assert_eq!(starts(&scheduler.plan(ms(2000))).len(), 1);
    assert_eq!(scheduler.held_back(ms(2000)), []);
}

#[test]
fn steps_without_room_are_told_apart() {
    let mut scheduler = scheduler(7, ms(1000));
    add_worker(&mut scheduler, 0, ms(1000));
    let job = record("urgent", 7, vec![step(3, 2000)]);
    submit(&mut scheduler, 1, &job, ms(1000));
    assert_eq!(starts(&scheduler.plan(ms(1010))).len(), 2);
    assert_eq!(
        scheduler.held_back(ms(2000)),
        [held(HoldReason::NoRoom, 1, 0)]
    );
    let job = record("unknown", 7, vec![step(1, 100)]);
    submit(&mut scheduler, 2, &job, ms(1000));
    let unknown = HeldBack {
        pool: String::new(),
        ..held(HoldReason::UnknownQueue, 0, 0)
    };
    assert_eq!(
        scheduler.held_back(ms(2000)),
        [unknown, held(HoldReason::NoRoom, 1, 0)]
    );
}

/// Guards against a long-running task whose wait cannot be told from that of others: the
/// pool has room for it if no further short tasks are started there.
#[test]
fn waiting_lasting_tasks_are_told_with_what_they_wait_for() {
    let mut scheduler = scheduler(7, ms(1000));
    add_worker(&mut scheduler, 0, ms(1000));
    let job = record("urgent", 7, vec![step(4, 1000)]);
    submit(&mut scheduler, 1, &job, ms(1000));
    assert_eq!(starts(&scheduler.plan(ms(1010))).len(), 4);
    let job = record("urgent", 7, vec![lasting(1)]);
    submit(&mut scheduler, 2, &job, ms(2000));
    assert!(scheduler.plan(ms(2010)).is_empty());
    assert_eq!(scheduler.waiting_lasting(ms(2000), ms(3999)), []);
    assert_eq!(
        scheduler.waiting_lasting(ms(2000), ms(4000)),
        [WaitingLasting {
            step: task(2, 0, 0).step,
            tasks: 1,
            longest: ms(2000),
            resources: Resources {
                cpu_milli: 1000,
                memory_mb: 100,
                accelerators: 0,
            },
            pool: "work".to_owned(),
            usable_workers: 1,
            reservable_workers: 1,
            cordoned_with_room: 0,
            reason: "room: 1 workers of pool work take tasks, 0 of them have the room, \
                     0 of these may run the step"
                .to_owned(),
        }]
    );
}
