//! Workers on which an earlier scheduler may have started tasks, and whose status no later
//! one has read.

mod common;

use std::sync::Arc;

use common::{
    add_worker,
    instance,
    lasting,
    limits,
    ms,
    record,
    report,
    running,
    starts,
    status_at,
    step,
    submit,
    task,
    with_queue, //
};
use dotterelsill_jobs::{
    Configuration,
    Instance,
    InstanceState,
    JobId,
    Limits,
    OperatorRequests,
    Scheduler,
    Wave,
    WorkerKey,
    WorkerReport,
    WorkerStatus, //
};
use dotterelsill_proto::jobs::{
    GrantedWorker,
    JobRecord,
    ProgressRecord, //
};

/// Time at which the leases that the scheduler before [`elected`] has granted have certainly
/// ended, in milliseconds.
const EARLIER_LEASES_END: u64 = 6600;

fn granted(index: usize) -> GrantedWorker {
    let worker = report(index, "dc");
    GrantedWorker {
        id: worker.id,
        address: worker.address,
        pool: worker.pool,
        data_centre: worker.data_centre,
        closes_connections: false,
    }
}

/// Returns a scheduler, elected at 1000 ms, with one job of an earlier one, which may have
/// started tasks on the first of two workers. The second one was read.
fn elected(token: u64, job: &JobRecord) -> Scheduler {
    let limits = Limits {
        alternation_window: ms(3000),
        ..limits()
    };
    let mut scheduler = Scheduler::new(token, limits, ms(1000));
    scheduler.configure(common::configuration(), Arc::default());
    scheduler.restore_granted_worker(&granted(0), ms(1000));
    scheduler
        .restore(JobId(1), job, None, ms(1000))
        .expect("the record is valid");
    scheduler.open_due_jobs(ms(1000));
    scheduler.on_report(report(0, "dc"), ms(1010));
    add_worker(&mut scheduler, 1, ms(1020));
    scheduler
}

fn list() -> Vec<Instance> {
    let up = |index| instance(index, "work", InstanceState::Up);
    (0..2).map(up).collect()
}

/// Returns a wave of some instances.
fn wave(indices: &[usize]) -> Arc<OperatorRequests> {
    let wave = Wave {
        number: 1,
        instances: indices.iter().map(|index| format!("i{index}")).collect(),
        duration: ms(20_000),
        cap: 2,
    };
    Arc::new(OperatorRequests {
        waves: vec![wave],
        ..OperatorRequests::default()
    })
}

fn ordered(scheduler: &mut Scheduler, at: u64) -> Vec<String> {
    let orders = scheduler.plan_instances(ms(at), ms(at));
    orders.into_iter().map(|order| order.instance).collect()
}

fn is_granted(scheduler: &Scheduler, index: usize) -> bool {
    let id = report(index, "dc").id;
    scheduler.granted().iter().any(|worker| worker.id == id)
}

/// Guards against a task that runs twice because the record of workers that may run tasks
/// loses one that nobody has read: nothing is booked there, and its instance was ordered to
/// do something that ends it, but the order may not be carried out.
#[test]
fn ordered_instance_of_an_unread_worker_stays_in_the_record() {
    let job = record("urgent", 7, vec![step(1, 1000)]);
    let mut scheduler = elected(8, &job);
    scheduler.configure(common::configuration(), wave(&[0]));
    scheduler.on_instances(list(), ms(1200), ms(1200));
    let mut orders = Vec::new();
    for at in (1300..6600).step_by(100) {
        orders.extend(ordered(&mut scheduler, at));
        assert!(is_granted(&scheduler, 0), "at {at} ms");
        assert!(!scheduler.has_granted_change(), "at {at} ms");
    }
    assert_eq!(orders, ["i0"]);
    // The next scheduler waits for the worker as this one does.
    let mut next = elected(9, &job);
    assert_eq!(starts(&next.plan(ms(1100))), []);
}

/// Guards against a lease of a worker that has left the record because it was idle, and then
/// lists a run.
#[test]
fn worker_that_left_the_record_gets_no_lease() {
    let job = record("urgent", 7, vec![step(1, 1000)]);
    let mut scheduler = elected(8, &job);
    let key = scheduler.unread_workers().next().expect("one is unread");
    scheduler.on_worker_status(key, &status_at(ms(1100)), ms(1100));
    scheduler.configure(common::configuration(), wave(&[0]));
    scheduler.on_instances(list(), ms(1200), ms(1200));
    let orders: Vec<String> = (1300..6600)
        .step_by(100)
        .flat_map(|at| ordered(&mut scheduler, at))
        .collect();
    assert_eq!(orders, ["i0"]);
    assert!(scheduler.has_granted_change() && !is_granted(&scheduler, 0));
    let granted = scheduler.granted();
    scheduler.on_granted_stored(&granted);
    let before = scheduler.lease_end(key, true, ms(6700));
    assert_eq!(scheduler.lease_end(key, true, ms(7700)), before);
    let status = WorkerStatus {
        running: vec![running(task(1, 0, 0), 5, 10)],
        ..status_at(ms(7800))
    };
    scheduler.on_worker_status(key, &status, ms(7800));
    assert_eq!(scheduler.lease_end(key, true, ms(7900)), before);
    assert!(scheduler.has_granted_change() && is_granted(&scheduler, 0));
}

/// Returns when the maintenance of the unread worker's instance is ordered.
fn ordered_at(scheduler: &mut Scheduler) -> Option<u64> {
    let mut times = (1300..9000).step_by(100);
    times.find(|&at| ordered(scheduler, at).contains(&"i0".to_owned()))
}

/// Guards against a wave that takes an unread worker for an idle one: it may run tasks whose
/// disruption budget the wave would exceed. Without such tasks the wave does not wait.
#[test]
fn instance_of_an_unread_worker_may_run_budgeted_tasks() {
    for (step, waits) in [(lasting(1), true), (step(1, 1000), false)] {
        let mut scheduler = elected(8, &record("urgent", 7, vec![step]));
        scheduler.configure(common::configuration(), wave(&[0]));
        scheduler.on_instances(list(), ms(1200), ms(1200));
        let at = ordered_at(&mut scheduler).expect("the wave goes on");
        assert_eq!(at >= EARLIER_LEASES_END, waits, "{at} ms");
    }
}

/// Guards against a wave that ends the runs of an unread worker while it could maintain an
/// idle one.
#[test]
fn instance_of_an_unread_worker_is_drained_last() {
    let mut scheduler = elected(8, &record("urgent", 7, vec![step(1, 1000)]));
    scheduler.on_instances(list(), ms(3700), ms(3700));
    scheduler.configure(common::configuration(), wave(&[0, 1]));
    let mut times = (3800..9000).step_by(100);
    let first = times.find_map(|at| ordered(&mut scheduler, at).pop());
    assert_eq!(first.as_deref(), Some("i1"));
}

/// Returns a configuration in which the queues `urgent` and `patient` have another pool.
fn repointed() -> Arc<Configuration> {
    let mut configuration = Configuration::clone(&common::configuration());
    for name in ["urgent", "patient"] {
        configuration.queues = with_queue(&configuration.queues, name, |queue| {
            queue.pool = "other".to_owned();
        });
    }
    Arc::new(configuration)
}

fn report_of_other_pool(index: usize) -> WorkerReport {
    WorkerReport {
        pool: "other".to_owned(),
        ..report(index, "dc")
    }
}

/// Adds a worker of another pool, which was read.
fn add_worker_of_other_pool(scheduler: &mut Scheduler, index: usize) -> WorkerKey {
    let (key, _) = scheduler.on_report(report_of_other_pool(index), ms(1030));
    let granted = scheduler.granted();
    scheduler.on_granted_stored(&granted);
    scheduler.on_worker_status(key, &status_at(ms(1030)), ms(1030));
    key
}

fn accepted_in(pool: &str) -> JobRecord {
    JobRecord {
        pool: pool.to_owned(),
        ..record("urgent", 7, vec![step(1, 1000)])
    }
}

/// Stores all changes; returns the last record.
fn store(scheduler: &mut Scheduler) -> Option<ProgressRecord> {
    let mut last = None;
    for change in scheduler.take_changes(10) {
        scheduler.on_stored(change.job, change.number, change.expected_revision + 1);
        last = Some(change.record);
    }
    last
}

/// Plans and stores all changes every 50 ms; returns when tasks start, and on which worker.
fn first_start(scheduler: &mut Scheduler, until: u64) -> Option<(u64, WorkerKey)> {
    (1100..until).step_by(50).find_map(|at| {
        scheduler.expire_leases(ms(at));
        scheduler.replan();
        let started = starts(&scheduler.plan(ms(at)));
        store(scheduler);
        started.first().map(|start| (at, start.1))
    })
}

/// Guards against a task that runs twice because its queue has another pool now: an earlier
/// scheduler may have started it on an unread worker of the pool that the queue had. Jobs
/// that were accepted for the present pool do not wait for that worker.
#[test]
fn unread_worker_of_the_pool_that_the_queue_had() {
    for (pool, expected) in [
        ("work", EARLIER_LEASES_END),
        // Stored by a version that did not note the pool.
        ("", EARLIER_LEASES_END),
        ("other", 1100),
    ] {
        let mut scheduler = elected(8, &accepted_in(pool));
        scheduler.configure(repointed(), Arc::default());
        let key = add_worker_of_other_pool(&mut scheduler, 2);
        let (at, worker) = first_start(&mut scheduler, 9000).expect("the task starts");
        assert_eq!(worker, key);
        assert!(
            (expected..expected + 200).contains(&at),
            "{pool:?}: {at} ms"
        );
    }
}

/// Guards against a task that runs twice because its queue was not configured, or had
/// another pool, when an earlier scheduler took over: the pools stay with the job.
#[test]
fn pool_of_a_job_is_stored_before_a_task_starts_there() {
    let mut scheduler = common::scheduler(7, ms(1000));
    scheduler.configure(repointed(), Arc::default());
    let key = add_worker_of_other_pool(&mut scheduler, 0);
    submit(&mut scheduler, 1, &accepted_in("work"), ms(1040));
    assert_eq!(starts(&scheduler.plan(ms(1050))), []);
    let progress = store(&mut scheduler).expect("the pool is stored");
    assert_eq!(starts(&scheduler.plan(ms(1060))), [(task(1, 0, 0), key)]);
    // The next one does not read the worker in which the task runs.
    let mut next = Scheduler::new(8, limits(), ms(1000));
    next.configure(common::configuration(), Arc::default());
    next.restore_granted_worker(
        &GrantedWorker {
            pool: "other".to_owned(),
            ..granted(0)
        },
        ms(1000),
    );
    next.restore(
        JobId(1),
        &accepted_in("work"),
        Some((&progress, 5)),
        ms(1000),
    )
    .expect("the record is valid");
    next.open_due_jobs(ms(1000));
    add_worker(&mut next, 1, ms(1020));
    let (at, _) = first_start(&mut next, 9000).expect("the task starts");
    assert!(at >= EARLIER_LEASES_END, "{at} ms");
}

/// Guards against starts of one job that wait, once its queue has another pool, for the
/// store to note that pool for jobs which have no room there.
#[test]
fn pool_is_stored_for_jobs_with_room() {
    let mut scheduler = common::scheduler(7, ms(1000));
    scheduler.configure(repointed(), Arc::default());
    add_worker_of_other_pool(&mut scheduler, 0);
    for id in 1..=20 {
        submit(&mut scheduler, id, &accepted_in("work"), ms(1040));
    }
    scheduler.plan(ms(1050));
    // The worker has room for four tasks.
    assert_eq!(scheduler.take_changes(100).len(), 4);
}

/// Guards against a task that runs twice because the worker that runs it is registered for
/// another pool or data centre now.
#[test]
fn unread_worker_that_changed_its_place() {
    let data_centre = WorkerReport {
        data_centre: "dc-2".to_owned(),
        ..report(0, "dc")
    };
    for registered in [report_of_other_pool(0), data_centre] {
        let job = JobRecord {
            home: "dc".to_owned(),
            ..accepted_in("work")
        };
        let mut scheduler = elected(8, &job);
        scheduler.on_report(registered.clone(), ms(1040));
        let (at, _) = first_start(&mut scheduler, 9000).expect("the task starts");
        assert!(at >= EARLIER_LEASES_END, "{registered:?}: {at} ms");
    }
}

/// Guards against a record that names the new place alone of a worker which may run tasks.
#[test]
fn worker_that_changes_its_place_has_an_unknown_one() {
    let mut scheduler = common::scheduler(7, ms(1000));
    add_worker(&mut scheduler, 0, ms(1000));
    assert!(!scheduler.has_granted_change());
    scheduler.on_report(report_of_other_pool(0), ms(1100));
    assert!(scheduler.has_granted_change());
    let granted = scheduler.granted();
    assert_eq!((&*granted[0].pool, &*granted[0].data_centre), ("", ""));
}
