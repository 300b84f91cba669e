//! Jobs of queues that get another name: callers know a queue by its path.

mod common;

use std::sync::Arc;

use common::{
    add_worker,
    configuration,
    confirm,
    ended,
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
    Configuration,
    JobId,
    Queue,
    RunOutcome,
    Scheduler,
    Submission,
    Submissions,
    WorkerReport,
    WorkerStatus, //
};
use dotterelsill_proto::jobs::{
    self,
    JobRecord, //
};

const URGENT: &str = "host/urgent/";
const PATIENT: &str = "host/patient/";

/// Returns a configuration with queues of the given names, paths below `host` and pools.
fn configured(queues: &[(&str, &str, &str)]) -> Arc<Configuration> {
    let base = configuration();
    let template = base.queues.iter().next().expect("there are queues");
    let queue = |&(name, path, pool): &(&str, &str, &str)| Queue {
        name: name.to_owned(),
        path_prefix: path.to_owned(),
        pool: pool.to_owned(),
        ..template.clone()
    };
    Arc::new(Configuration {
        queues: queues.iter().map(queue).collect(),
        ..Configuration::clone(&base)
    })
}

/// Returns the record of a job of two steps, which was submitted to the queue `urgent`.
fn two_steps(scheduler: &Scheduler) -> JobRecord {
    let second = jobs::Step {
        after: vec![0],
        ..step(1, 1000)
    };
    let mut record = record("urgent", 7, vec![step(1, 1000), second]);
    scheduler.complete_queue(&mut record);
    assert_eq!((&*record.queue_path, &*record.pool), (URGENT, "work"));
    record
}

/// Returns a scheduler with a worker of each of the pools `work` and `other`, and a job
/// whose first step is done once the configuration was changed.
fn with_first_step_done(changed: Arc<Configuration>) -> Scheduler {
    let mut scheduler = scheduler(7, ms(1000));
    let key = add_worker(&mut scheduler, 0, ms(1000));
    let other = WorkerReport {
        pool: "other".to_owned(),
        ..report(1, "dc")
    };
    let (other, _) = scheduler.on_report(other, ms(1000));
    let granted = scheduler.granted();
    scheduler.on_granted_stored(&granted);
    scheduler.on_worker_status(other, &status_at(ms(1000)), ms(1000));
    let record = two_steps(&scheduler);
    submit(&mut scheduler, 1, &record, ms(1000));
    let orders = scheduler.plan(ms(1010));
    assert_eq!(starts(&orders), [(task(1, 0, 0), key)]);
    confirm(&mut scheduler, &orders, ms(1020));
    scheduler.configure(changed, Arc::default());
    let status = WorkerStatus {
        ended: vec![ended(1, task(1, 0, 0), 1, RunOutcome::Done)],
        ..status_at(ms(2000))
    };
    scheduler.on_worker_status(key, &status, ms(2000));
    for change in scheduler.take_changes(10) {
        scheduler.on_stored(change.job, change.number, 5);
    }
    scheduler
}

/// Returns the pool in which the second step starts, if it does.
fn pool_of_second_step(scheduler: &mut Scheduler) -> Option<&str> {
    let started = starts(&scheduler.plan(ms(2010)));
    let (started, key) = *started.first()?;
    assert_eq!(started, task(1, 1, 0));
    let (id, _) = scheduler.worker_address(key)?;
    Some(if id == "w0" { "work" } else { "other" })
}

/// Guards against an accepted job that never goes on because its queue has another name now.
#[test]
fn job_goes_on_when_its_queue_is_renamed() {
    let renamed = configured(&[("urgent-2", "/urgent/", "work")]);
    let mut scheduler = with_first_step_done(renamed);
    assert_eq!(pool_of_second_step(&mut scheduler), Some("work"));
}

/// Guards against a job that follows the name of its queue to another one, whose workers it
/// must not use, or waits although its own queue is there.
#[test]
fn job_does_not_follow_the_name_of_its_queue() {
    let swapped = configured(&[
        ("urgent", "/patient/", "other"),
        ("patient", "/urgent/", "work"),
    ]);
    let mut scheduler = with_first_step_done(swapped);
    assert_eq!(pool_of_second_step(&mut scheduler), Some("work"));
    let moved = configured(&[("urgent", "/patient/", "other")]);
    let mut scheduler = with_first_step_done(moved);
    assert_eq!(pool_of_second_step(&mut scheduler), None);
    let text = scheduler.explain(JobId(1), ms(2020)).expect("it is known");
    assert!(
        text.contains("queue host/urgent/, which is not configured"),
        "{text}"
    );
    // The queue comes back, with yet another name.
    let back = configured(&[("third", "/urgent/", "work")]);
    scheduler.configure(back, Arc::default());
    assert_eq!(pool_of_second_step(&mut scheduler), Some("work"));
}

/// Guards against a takeover after which a job has lost its queue.
#[test]
fn restored_job_is_of_the_queue_with_its_path() {
    let record = two_steps(&scheduler(7, ms(1000)));
    let mut next = scheduler(9, ms(1000));
    next.configure(
        configured(&[
            ("urgent", "/patient/", "other"),
            ("other-name", "/urgent/", "work"),
        ]),
        Arc::default(),
    );
    next.restore(JobId(1), &record, None, ms(1000))
        .expect("the record is valid");
    next.open_due_jobs(ms(1000));
    let key = add_worker(&mut next, 0, ms(1010));
    assert_eq!(starts(&next.plan(ms(1020))), [(task(1, 0, 0), key)]);
}

/// Guards against a job of an earlier version, which noted the name alone, that is lost.
#[test]
fn job_without_a_path_is_of_the_queue_with_its_name() {
    let mut scheduler = scheduler(7, ms(1000));
    let key = add_worker(&mut scheduler, 0, ms(1000));
    let record = record("urgent", 7, vec![step(1, 1000)]);
    submit(&mut scheduler, 1, &record, ms(1000));
    assert_eq!(scheduler.pending(URGENT), 1);
    assert_eq!(scheduler.pending(PATIENT), 0);
    assert_eq!(starts(&scheduler.plan(ms(1010))), [(task(1, 0, 0), key)]);
}

/// Guards against jobs that are counted as pending on the queue that has the name of theirs,
/// and not on their own.
#[test]
fn jobs_are_pending_on_the_path_of_their_queue() {
    let mut scheduler = scheduler(7, ms(1000));
    let record = two_steps(&scheduler);
    submit(&mut scheduler, 1, &record, ms(1000));
    let mut submissions: Submissions<()> = Submissions::default();
    submissions.add(Submission {
        id: JobId(2),
        record,
        is_from_intake: true,
        may_be_stored: false,
        waiting: vec![],
    });
    scheduler.configure(
        configured(&[
            ("urgent", "/patient/", "other"),
            ("patient", "/urgent/", "work"),
        ]),
        Arc::default(),
    );
    assert_eq!(
        (scheduler.pending(URGENT), submissions.accepted_on(URGENT)),
        (1, 1)
    );
    assert_eq!(
        (scheduler.pending(PATIENT), submissions.accepted_on(PATIENT)),
        (0, 0)
    );
    submissions.take(1);
    assert_eq!(submissions.accepted_on(URGENT), 1);
    assert_eq!(submissions.accepted_on(PATIENT), 0);
}
