//! Runs that go on after the end of their job, over a change of the scheduler. They count
//! towards the cap of their workspace.

mod common;

use std::{
    sync::Arc,
    time::Duration, //
};

use common::{
    add_worker,
    configuration,
    confirm,
    ended,
    limits,
    ms,
    record,
    report,
    running,
    scheduler as scheduler_without_cap,
    starts,
    status_at,
    step,
    submit,
    task, //
};
use dotterelsill_jobs::{
    Configuration,
    JobChange,
    JobId,
    Resources,
    RunOutcome,
    Scheduler,
    Workspace, //
};
use dotterelsill_proto::jobs::{
    self,
    GrantedWorker,
    JobRecord,
    ProgressRecord, //
};
use prost::Message as _;

fn configuration_with_cap(cpu_milli: u64) -> Arc<Configuration> {
    let workspace = Workspace {
        cap: Resources {
            cpu_milli,
            ..Resources::default()
        },
        ..Workspace::default()
    };
    let mut configuration = Configuration::clone(&configuration());
    configuration.workspaces.insert("red".to_owned(), workspace);
    Arc::new(configuration)
}

fn scheduler(token: u64, cap_milli: u64, now: Duration) -> Scheduler {
    let mut scheduler = scheduler_without_cap(token, now);
    scheduler.configure(configuration_with_cap(cap_milli), Arc::default());
    scheduler
}

fn job(token: u64, steps: Vec<jobs::Step>) -> JobRecord {
    JobRecord {
        workspace: "red".to_owned(),
        ..record("urgent", token, steps)
    }
}

fn granted(index: usize) -> GrantedWorker {
    let report = report(index, "dc");
    GrantedWorker {
        id: report.id,
        address: report.address,
        pool: report.pool,
        data_centre: report.data_centre,
        ..GrantedWorker::default()
    }
}

/// Returns the record of job `id`, which was cancelled under token 3 while four tasks of
/// 1000 millicores ran on worker 0.
fn cancelled_while_running(id: u64) -> ProgressRecord {
    let mut first = scheduler(3, 0, ms(1000));
    let key = add_worker(&mut first, 0, ms(1000));
    submit(&mut first, id, &job(3, vec![step(4, 1000)]), ms(1000));
    let orders = first.plan(ms(1010));
    assert_eq!(starts(&orders).len(), 4);
    confirm(&mut first, &orders, ms(1020));
    first.on_silence(key, ms(1500));
    assert!(first.cancel(JobId(id), ms(2000)));
    only_change(&mut first).record
}

fn only_change(scheduler: &mut Scheduler) -> JobChange {
    let mut changes = scheduler.take_changes(10);
    assert_eq!(changes.len(), 1, "{changes:?}");
    changes.remove(0)
}

/// Returns a scheduler under token 7 that restores ended jobs and worker 0, whose status
/// it has not read. Job 9, of eight tasks of 1000 millicores, waits, and there is room
/// for four of them on worker 1.
fn next_scheduler(cap_milli: u64, ended_jobs: &[(u64, &ProgressRecord)]) -> Scheduler {
    let mut next = scheduler(7, cap_milli, ms(3000));
    for (id, record) in ended_jobs {
        next.restore_ended(JobId(*id), record, 5, ms(3000));
    }
    next.restore_granted_worker(&granted(0), ms(3000));
    next.on_report(report(0, "dc"), ms(3010));
    add_worker(&mut next, 1, ms(3010));
    submit(&mut next, 9, &job(7, vec![step(8, 1000)]), ms(3020));
    next
}

fn starts_at(scheduler: &mut Scheduler, now: Duration) -> usize {
    scheduler.replan();
    let orders = scheduler.plan(now);
    confirm(scheduler, &orders, now);
    starts(&orders).len()
}

/// Guards against more runs of a workspace than its cap permits: those of a cancelled job
/// go on at a worker that is cut off, and the next scheduler does not know of them.
#[test]
fn runs_of_a_cancelled_job_count_until_their_lease_has_ended() {
    let record = cancelled_while_running(1);
    let mut next = next_scheduler(5000, &[(1, &record)]);
    assert_eq!(starts_at(&mut next, ms(3030)), 1);
    assert_eq!(starts_at(&mut next, ms(3000) + limits().takeover_margin), 3);
}

/// Guards against the same while the worker, which is back, has not stopped the runs yet,
/// and against runs that count for longer than they go on.
#[test]
fn adopted_runs_of_a_cancelled_job_count_until_they_end() {
    let record = cancelled_while_running(1);
    let mut next = next_scheduler(4000, &[(1, &record)]);
    assert_eq!(starts_at(&mut next, ms(3030)), 0);
    let (key, _) = next.on_report(report(0, "dc"), ms(3040));
    let mut status = status_at(ms(3100));
    status.running = (0..4)
        .map(|index| running(task(1, 0, index), 1, 10))
        .collect();
    next.on_worker_status(key, &status, ms(3100));
    assert_eq!(starts_at(&mut next, ms(3110)), 0);
    let mut status = status_at(ms(3400));
    let end = |index| {
        ended(
            1 + u64::from(index),
            task(1, 0, index),
            1,
            RunOutcome::Stopped,
        )
    };
    status.ended = (0..4).map(end).collect();
    next.on_worker_status(key, &status, ms(3400));
    assert_eq!(starts_at(&mut next, ms(3410)), 4);
}

/// Guards against runs that a worker no longer has and that hold the workspace back until
/// the leases of the earlier scheduler have ended.
#[test]
fn runs_of_a_cancelled_job_that_are_not_listed_do_not_count() {
    let record = cancelled_while_running(1);
    let mut next = next_scheduler(4000, &[(1, &record)]);
    let (key, _) = next.on_report(report(0, "dc"), ms(3040));
    next.on_worker_status(key, &status_at(ms(3100)), ms(3100));
    assert_eq!(starts_at(&mut next, ms(3110)), 4);
}

/// Guards against runs that no scheduler counts because the job was cancelled by one that
/// had not read their worker since its takeover.
#[test]
fn unread_runs_of_a_cancelled_job_count_at_the_scheduler_after_next() {
    let mut second = scheduler(5, 5000, ms(2000));
    let restored = job(3, vec![step(4, 1000)]);
    second.restore(JobId(1), &restored, None, ms(2000)).unwrap();
    second.restore_granted_worker(&granted(0), ms(2000));
    second.on_report(report(0, "dc"), ms(2010));
    second.open_due_jobs(ms(2010));
    second.plan(ms(2020));
    assert!(second.cancel(JobId(1), ms(2030)));
    let record = only_change(&mut second).record;
    let mut next = next_scheduler(5000, &[(1, &record)]);
    assert_eq!(starts_at(&mut next, ms(3030)), 1);
}

/// Guards against the same for a job that has failed, and whose other tasks go on.
#[test]
fn runs_of_a_failed_job_count_after_a_takeover() {
    let mut first = scheduler(3, 0, ms(1000));
    let key = add_worker(&mut first, 0, ms(1000));
    submit(&mut first, 1, &job(3, vec![step(4, 1000)]), ms(1000));
    let orders = first.plan(ms(1010));
    confirm(&mut first, &orders, ms(1020));
    let mut now = ms(2000);
    let mut attempt = 1;
    for number in 1..=2 {
        let mut status = status_at(now);
        status.running = (1..4)
            .map(|index| running(task(1, 0, index), 1, 10))
            .collect();
        status.ended = vec![ended(number, task(1, 0, 0), attempt, RunOutcome::Failed)];
        first.on_worker_status(key, &status, now);
        let orders = first.plan(now + ms(900));
        if number == 1 {
            assert_eq!(starts(&orders), [(task(1, 0, 0), key)]);
            attempt = orders[0].order.run().1;
        }
        confirm(&mut first, &orders, now + ms(910));
        now += ms(1000);
    }
    let record = only_change(&mut first).record;
    assert_eq!(record.phase(), jobs::Phase::Failed);
    let mut next = next_scheduler(5000, &[(1, &record)]);
    assert_eq!(starts_at(&mut next, ms(3030)), 2);
}

/// Guards against a workspace that is held back by records of jobs that ended long ago:
/// all runs of a worker fit into it, however many records name it.
#[test]
fn records_of_many_ended_jobs_count_at_most_the_size_of_a_worker() {
    let records: Vec<ProgressRecord> = (1..=5).map(cancelled_while_running).collect();
    let ended_jobs: Vec<(u64, &ProgressRecord)> = (1..=5).zip(&records).collect();
    let mut next = next_scheduler(6000, &ended_jobs);
    assert_eq!(starts_at(&mut next, ms(3030)), 2);
}

/// Guards against records that a takeover reads without need: a job without runs leaves
/// no more than its phase.
#[test]
fn record_of_a_job_without_runs_names_none() {
    let mut first = scheduler(3, 0, ms(1000));
    let key = add_worker(&mut first, 0, ms(1000));
    submit(&mut first, 1, &job(3, vec![step(1, 1000)]), ms(1000));
    let orders = first.plan(ms(1010));
    confirm(&mut first, &orders, ms(1020));
    let mut status = status_at(ms(2000));
    status.ended = vec![ended(1, task(1, 0, 0), 1, RunOutcome::Done)];
    first.on_worker_status(key, &status, ms(2000));
    submit(&mut first, 2, &job(3, vec![step(1, 100_000)]), ms(2000));
    first.plan(ms(2010));
    first.cancel(JobId(2), ms(2020));
    for change in first.take_changes(10) {
        assert!(change.is_final);
        assert_eq!(change.record.unended, []);
        assert!(change.record.workspace.is_empty());
        assert!(change.record.encoded_len() <= 8, "{:?}", change.record);
    }
}
