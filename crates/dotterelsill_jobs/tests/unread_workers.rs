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
    task, //
};
use dotterelsill_jobs::{
    Instance,
    InstanceState,
    JobId,
    Limits,
    OperatorRequests,
    Scheduler,
    Wave,
    WorkerStatus, //
};
use dotterelsill_proto::jobs::{
    GrantedWorker,
    JobRecord, //
};

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
        // The leases of the earlier scheduler have certainly ended at 6600 ms.
        assert_eq!(at >= 6600, waits, "{at} ms");
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
