//! Moves of instances between pools, each with the load pattern that it is for.

use std::sync::Arc;

use dotterelsill_jobs::{
    Configuration,
    Instance,
    InstanceAction,
    InstanceAnswer,
    InstanceOrder,
    InstanceState,
    JobId,
    Limits,
    Pool,
    Scheduler, //
};
use dotterelsill_proto::jobs::GrantedWorker;

mod common;
use common::*;

/// Returns a scheduler with idle workers in the pool `work`, and its instances, of
/// which `off` are switched off.
fn fleet(working: usize, off: usize) -> (Scheduler, Vec<Instance>) {
    fleet_of(scheduler(7, ms(1000)), working, off)
}

fn fleet_of(mut scheduler: Scheduler, working: usize, off: usize) -> (Scheduler, Vec<Instance>) {
    let mut list = Vec::new();
    for index in 0..working {
        add_worker(&mut scheduler, index, ms(1000));
        list.push(instance(index, "work", InstanceState::Up));
    }
    for index in working..working + off {
        let mut switched_off = instance(index, "off", InstanceState::Up);
        switched_off.worker.clear();
        list.push(switched_off);
    }
    scheduler.on_instances(list.clone(), ms(1000), ms(1000));
    (scheduler, list)
}

/// Returns a configuration in which the queue `patient` has its own pool.
fn two_pools() -> Arc<Configuration> {
    let mut two_pools = (*configuration()).clone();
    two_pools.pools.insert("other".to_owned(), Pool::default());
    two_pools.queues = with_queue(&two_pools.queues, "patient", |queue| {
        queue.pool = "other".to_owned();
    });
    Arc::new(two_pools)
}

fn moves_to(orders: &[InstanceOrder], pool: &str) -> usize {
    let is_there = |order: &&InstanceOrder| matches!(&order.action, InstanceAction::Move { pool: to } if to == pool);
    orders.iter().filter(is_there).count()
}

/// Guards against a burst that is noticed only when the pool is full, although an
/// instance takes two seconds to arrive. Until then no tasks wait, so moves cannot
/// rely on waiting tasks.
#[test]
fn burst_is_met_before_the_pool_is_full() {
    let (mut scheduler, _) = fleet(4, 8);
    // Two steps of 4 tasks on one core, four jobs within 300 ms: 32 core-seconds,
    // of which 16 cores run at once in a pool of 16.
    let mut second = step(4, 1000);
    second.after = vec![0];
    let job = record("urgent", 7, vec![step(4, 1000), second]);
    for id in 0..4 {
        let now = ms(1000 + 100 * id);
        submit(&mut scheduler, id, &job, now);
        let orders = scheduler.plan(now);
        assert_eq!(
            starts(&orders).len(),
            4,
            "the pool has resources for the first steps"
        );
    }
    let orders = scheduler.plan_instances(ms(1310), ms(1310));
    // 32 core-seconds within 600 ms are 53 cores; the pool has 16, an instance 4.
    assert!(moves_to(&orders, "work") >= 8, "{orders:?}");
}

/// Guards against a single large job that is taken for a burst.
#[test]
fn single_job_calls_no_instances() {
    let (mut scheduler, _) = fleet(4, 8);
    let job = record("urgent", 7, vec![step(16, 1000)]);
    submit(&mut scheduler, 1, &job, ms(1000));
    scheduler.plan(ms(1000));
    assert_eq!(scheduler.plan_instances(ms(1010), ms(1010)), []);
}

/// Guards against idle instances that stay in a pool after its burst while tasks of
/// another pool wait.
#[test]
fn idle_instances_leave_for_work_that_waits() {
    let (mut scheduler, list) = fleet(12, 0);
    scheduler.configure(two_pools(), Arc::default());
    scheduler.plan_instances(ms(1000), ms(1000));
    let job = record("patient", 7, vec![step(40, 1000)]);
    submit(&mut scheduler, 1, &job, ms(3000));
    scheduler.plan(ms(3000));
    scheduler.on_instances(list, ms(3000), ms(3000));
    let orders = scheduler.plan_instances(ms(3010), ms(3010));
    // 40 cores wait and an instance has 4; one instance stays.
    assert_eq!(moves_to(&orders, "other"), 10, "{orders:?}");
}

/// Guards against long-running tasks that occupy one instance each, so that none of
/// these can be switched off or moved, and against a step that loses all of its
/// tasks when one worker ends.
#[test]
fn lasting_tasks_share_two_workers() {
    let (mut scheduler, _) = fleet(6, 0);
    let job = record("urgent", 7, vec![lasting(4)]);
    submit(&mut scheduler, 1, &job, ms(1000));
    let orders = scheduler.plan(ms(1000));
    let mut workers: Vec<_> = starts(&orders).iter().map(|(_, worker)| *worker).collect();
    workers.sort_unstable();
    let counts: Vec<usize> = workers.chunk_by(|a, b| a == b).map(<[_]>::len).collect();
    assert_eq!(counts, [2, 2]);
}

/// Guards against idle instances that stay because a few tasks of their pool wait
/// for something other than resources, here for a worker that is unreachable.
#[test]
fn waiting_restored_tasks_keep_only_what_they_need() {
    let mut successor = scheduler(8, ms(1000));
    successor.configure(two_pools(), Arc::default());
    let cut_off = GrantedWorker {
        id: "w99".to_owned(),
        address: "127.0.0.1:2099".to_owned(),
        pool: "work".to_owned(),
        data_centre: "dc".to_owned(),
        ..GrantedWorker::default()
    };
    successor.restore_granted_worker(&cut_off, ms(1000));
    let restored = record("urgent", 7, vec![step(6, 1000)]);
    successor
        .restore(JobId(1), &restored, None, ms(1000))
        .unwrap();
    successor.open_due_jobs(ms(1000));
    let (mut successor, list) = fleet_of(successor, 12, 0);
    successor.configure(two_pools(), Arc::default());
    successor.plan_instances(ms(1000), ms(1000));
    let job = record("patient", 8, vec![step(40, 1000)]);
    submit(&mut successor, 2, &job, ms(3000));
    assert!(successor.plan(ms(3000)).is_empty());
    successor.on_instances(list, ms(3000), ms(3000));
    let orders = successor.plan_instances(ms(3010), ms(3010));
    // 6 cores wait, for which two of the 12 instances are kept.
    assert_eq!(moves_to(&orders, "other"), 10, "{orders:?}");
}

/// Guards against two schedulers that give alternating orders to one instance, and
/// against a new scheduler that moves nothing for the whole alternation window:
/// only the instances that its predecessor recently gave orders to are held.
#[test]
fn only_instances_ordered_lately_are_held_after_an_election() {
    let limits = Limits {
        alternation_window: ms(3000),
        ..limits()
    };
    let mut successor = Scheduler::new(8, limits, ms(1000));
    successor.configure(configuration(), Arc::default());
    successor.restore_ordered_instances(&["i2".to_owned()]);
    let (mut successor, _) = fleet_of(successor, 1, 3);
    let job = record("urgent", 8, vec![step(16, 1000)]);
    submit(&mut successor, 1, &job, ms(1000));
    successor.plan(ms(1000));
    let named = |orders: &[InstanceOrder]| -> Vec<String> {
        orders.iter().map(|order| order.instance.clone()).collect()
    };
    let first = successor.plan_instances(ms(1100), ms(1100));
    assert_eq!(named(&first), ["i1", "i3"]);
    // Instances that are held here must be held by the next scheduler too.
    assert_eq!(successor.ordered_instances(ms(1100)), ["i1", "i2", "i3"]);
    // The alternation window, plus the time of a call that was in flight.
    assert_eq!(successor.plan_instances(ms(5400), ms(5400)), []);
    let second = successor.plan_instances(ms(5600), ms(5600));
    assert_eq!(named(&second), ["i2"]);
}

/// Guards against a record of ordered instances that drops one too early: it must
/// contain instances whose order is outstanding or was answered within the
/// alternation window.
#[test]
fn ordered_instances_are_kept_for_the_alternation_window() {
    let limits = Limits {
        alternation_window: ms(3000),
        ..limits()
    };
    let mut holder = Scheduler::new(8, limits, ms(1000));
    holder.configure(configuration(), Arc::default());
    let (mut holder, list) = fleet_of(holder, 0, 1);
    let job = record("urgent", 8, vec![step(1, 1000)]);
    submit(&mut holder, 1, &job, ms(1000));
    holder.plan(ms(1000));
    let orders = holder.plan_instances(ms(1100), ms(1100));
    assert_eq!(
        holder.ordered_instances(ms(9000)),
        ["i0"],
        "the order is open"
    );
    holder.on_instance_answer(&orders[0], InstanceAnswer::Done, ms(9000));
    holder.on_instances(list, ms(9100), ms(9100));
    assert_eq!(holder.ordered_instances(ms(11_900)), ["i0"]);
    assert!(holder.ordered_instances(ms(12_000)).is_empty());
}
