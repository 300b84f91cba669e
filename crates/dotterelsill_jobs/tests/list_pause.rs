//! Intervals between lists of instances after a takeover.

use std::time::Duration;

use dotterelsill_jobs::{
    InstanceState,
    JobId,
    Scheduler, //
};
use dotterelsill_proto::jobs::GrantedWorker;

mod common;
use common::*;

/// Returns a scheduler that takes over one job while a worker of the earlier scheduler
/// is neither registered nor read.
fn takeover(now: Duration) -> Scheduler {
    let mut scheduler = scheduler(9, now);
    let job = record("urgent", 7, vec![step(1, 1000)]);
    let restored = scheduler.restore(JobId(1), &job, None, now);
    restored.expect("the job is usable");
    scheduler.open_due_jobs(now);
    let gone = GrantedWorker {
        id: "w5".to_owned(),
        address: "127.0.0.1:2005".to_owned(),
        pool: "work".to_owned(),
        data_centre: "dc".to_owned(),
        ..GrantedWorker::default()
    };
    scheduler.restore_granted_worker(&gone, now);
    add_worker(&mut scheduler, 0, now);
    scheduler
}

/// Lists the instances whenever the scheduler asks for it, until a task starts; returns
/// the time since the takeover and the number of lists.
fn time_to_start(scheduler: &mut Scheduler, begin: Duration) -> (Duration, u32) {
    let mut now = begin;
    let (worker, _) = scheduler.on_report(report(0, "dc"), begin);
    for lists in 1..100 {
        let list = vec![instance(0, "work", InstanceState::Up)];
        scheduler.on_instances(list, now, now + ms(5));
        scheduler.on_worker_status(worker, &status_at(now + ms(5)), now + ms(5));
        scheduler.expire_leases(now + ms(6));
        scheduler.replan();
        if !starts(&scheduler.plan(now + ms(6))).is_empty() {
            return (now - begin, lists);
        }
        now += ms(5) + scheduler.list_pause(now, now + ms(5));
    }
    panic!("not started: {:?}", scheduler.explain(JobId(1), now));
}

/// Guards against restored jobs that wait seconds longer than needed, as the lists that
/// show the end of a worker are requested at fixed intervals of one second.
#[test]
fn lists_follow_closely_until_a_lost_worker_is_shown() {
    let begin = ms(10_000);
    let mut scheduler = takeover(begin);
    let (waited, lists) = time_to_start(&mut scheduler, begin);
    // A list shows the present after 1.5 s, and two in a row have to miss the worker.
    assert!(waited <= ms(1800), "the task waited for {waited:?}");
    assert!(lists <= 4, "{lists} lists were requested");
}

/// Guards against frequent lists for a worker that is only unreachable, and after the
/// last worker is known.
#[test]
fn lists_are_a_second_apart_otherwise() {
    let begin = ms(10_000);
    let mut cut_off = takeover(begin);
    let list = || {
        vec![
            instance(0, "work", InstanceState::Up),
            instance(5, "work", InstanceState::Up),
        ]
    };
    let asked_at = begin + ms(1600);
    cut_off.on_instances(list(), asked_at, asked_at + ms(5));
    assert_eq!(cut_off.list_pause(asked_at, asked_at + ms(5)), ms(1000));
    let mut settled = takeover(begin);
    time_to_start(&mut settled, begin);
    let now = begin + ms(3000);
    assert_eq!(settled.list_pause(now, now + ms(5)), ms(1000));
}
