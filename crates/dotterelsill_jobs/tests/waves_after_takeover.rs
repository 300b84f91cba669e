//! Maintenance waves that a new scheduler continues.

use std::sync::Arc;

use dotterelsill_jobs::{
    Instance,
    InstanceAction,
    InstanceState,
    JobId,
    Limits,
    OperatorRequests,
    Scheduler,
    Wave,
    WaveProgress, //
};
use dotterelsill_proto::jobs;

mod common;
use common::*;

/// Creates a scheduler, elected at 1000 ms, that continues a wave on some instances.
fn elected(instances: usize, cap: u32, ordered: &[&str], done: &[&str]) -> Scheduler {
    let limits = Limits {
        alternation_window: ms(3000),
        ..limits()
    };
    let names = |names: &[&str]| -> Vec<String> { names.iter().map(|&name| name.into()).collect() };
    let mut scheduler = Scheduler::new(8, limits, ms(1000));
    scheduler.restore_ordered_instances(&names(ordered));
    scheduler.restore_wave(1, ms(900), &names(done));
    scheduler.configure(configuration(), requests(&[1], instances, cap));
    scheduler
}

/// Returns waves with the given numbers on the same instances.
fn requests(numbers: &[u64], instances: usize, cap: u32) -> Arc<OperatorRequests> {
    let wave = |&number: &u64| Wave {
        number,
        instances: (0..instances).map(|index| format!("i{index}")).collect(),
        duration: ms(20_000),
        cap,
    };
    Arc::new(OperatorRequests {
        waves: numbers.iter().map(wave).collect(),
        ..OperatorRequests::default()
    })
}

fn list(instances: usize, pool: &str) -> Vec<Instance> {
    let up = |index| instance(index, pool, InstanceState::Up);
    (0..instances).map(up).collect()
}

/// Returns the instances of which the maintenance is ordered.
fn maintained(scheduler: &mut Scheduler, at: u64) -> Vec<String> {
    let orders = scheduler.plan_instances(ms(at), ms(at));
    let is_maintenance =
        |action: &InstanceAction| matches!(action, InstanceAction::Maintain { .. });
    let orders = orders
        .into_iter()
        .filter(|order| is_maintenance(&order.action));
    orders.map(|order| order.instance).collect()
}

/// Restores a long-running step with one available task on each instance, of which one
/// may be missed.
fn with_lasting_tasks(mut scheduler: Scheduler, instances: usize) -> Scheduler {
    let one_each = jobs::Step {
        max_per_worker: 1,
        ..lasting(instances as u32)
    };
    let job = record("urgent", 7, vec![one_each]);
    scheduler
        .restore(JobId(1), &job, None, ms(1000))
        .expect("the job is usable");
    for index in 0..instances {
        let key = add_worker(&mut scheduler, index, ms(1100));
        let mut status = status_at(ms(1200));
        status.running = vec![running(task(1, 0, index as u32), 1, 100)];
        scheduler.on_worker_status(key, &status, ms(1200));
    }
    scheduler.on_instances(list(instances, "work"), ms(1200), ms(1200));
    scheduler
}

/// Guards against a new scheduler that exceeds a disruption budget, since an order of its
/// predecessor may still end a task that appears to be available.
#[test]
fn tasks_that_an_earlier_order_may_end_are_not_available() {
    let mut scheduler = with_lasting_tasks(elected(2, 2, &["i0"], &[]), 2);
    for at in [1300, 3600, 5400] {
        assert_eq!(maintained(&mut scheduler, at), [""; 0], "at {at} ms");
    }
    assert_eq!(maintained(&mut scheduler, 5600).len(), 1);
}

/// Guards against an instance that one wave has maintained and that counts as available
/// while the predecessor's order of another wave may still end its tasks.
#[test]
fn maintenance_of_an_earlier_wave_does_not_settle_an_order() {
    let mut scheduler = elected(3, 2, &["i0"], &["i0", "i1"]);
    scheduler.configure(configuration(), requests(&[1, 2], 3, 2));
    let mut scheduler = with_lasting_tasks(scheduler, 2);
    // The first wave is not completed.
    let mut list = list(3, "work");
    list[2].state = InstanceState::Moving;
    list[2].worker.clear();
    scheduler.on_instances(list, ms(1200), ms(1200));
    for at in [1300, 3600, 5400] {
        assert_eq!(maintained(&mut scheduler, at), [""; 0], "at {at} ms");
    }
    assert_eq!(maintained(&mut scheduler, 5600).len(), 1);
}

/// Guards against a new scheduler that ends long-running tasks while stops of its
/// predecessor may end others, and against one that waits for longer than these take.
#[test]
fn long_running_tasks_are_ended_once_earlier_stops_are_over() {
    let mut scheduler = with_lasting_tasks(elected(2, 2, &[], &[]), 2);
    for at in [1300, 3400] {
        assert_eq!(maintained(&mut scheduler, at), [""; 0], "at {at} ms");
    }
    assert_eq!(maintained(&mut scheduler, 3600).len(), 1);
}

/// Guards against more instances in maintenance than the cap after an election, and
/// against a wave that waits for instances whose maintenance is certainly over.
#[test]
fn maintained_instances_count_as_down_until_their_maintenance_is_over() {
    let mut scheduler = elected(3, 1, &["i0"], &["i0"]);
    for at in [1100, 3200] {
        let mut list = list(3, "off");
        list.iter_mut().for_each(|entry| entry.worker.clear());
        scheduler.on_instances(list, ms(at), ms(at));
        assert_eq!(maintained(&mut scheduler, at), [""; 0], "at {at} ms");
    }
    let orders = maintained(&mut scheduler, 3400);
    assert_eq!(orders.len(), 1, "{orders:?}");
    assert_ne!(orders[0], "i0");
}

/// Guards against long-running tasks that are stopped once more, since they were started
/// on an instance that the wave is yet to maintain.
#[test]
fn long_running_tasks_start_where_no_maintenance_is_due() {
    let mut scheduler = elected(1, 1, &["i0"], &[]);
    let keys = [0, 1].map(|index| add_worker(&mut scheduler, index, ms(1100)));
    scheduler.on_instances(list(2, "work"), ms(1200), ms(1200));
    assert_eq!(maintained(&mut scheduler, 1300), [""; 0], "it is held");
    submit(
        &mut scheduler,
        1,
        &record("urgent", 8, vec![step(1, 1000)]),
        ms(1300),
    );
    let orders = scheduler.plan(ms(1310));
    assert_eq!(starts(&orders), [(task(1, 0, 0), keys[0])]);
    confirm(&mut scheduler, &orders, ms(1320));
    // Without the wave, the fuller one of the two is preferred.
    submit(
        &mut scheduler,
        2,
        &record("urgent", 8, vec![lasting(1)]),
        ms(1400),
    );
    let orders = scheduler.plan(ms(1410));
    assert_eq!(starts(&orders), [(task(2, 0, 0), keys[1])]);
}

/// Guards against a report on a wave that counts its time from the election, or the
/// instances whose maintenance has begun as left.
#[test]
fn progress_is_that_of_the_whole_wave() {
    let mut scheduler = elected(3, 1, &["i0"], &["i0"]);
    scheduler.on_instances(list(3, "off"), ms(1100), ms(1100));
    scheduler.plan_instances(ms(1100), ms(1900));
    let progress = WaveProgress {
        number: 1,
        instances_left: 2,
        time_left: ms(19_000),
    };
    assert_eq!(scheduler.wave_progress(ms(1900)), [progress]);
    let after = scheduler.wave_progress(ms(30_000));
    assert_eq!(after[0].time_left, ms(0));
}
