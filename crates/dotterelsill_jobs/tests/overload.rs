//! Admission of new jobs when more arrive than the scheduler can place.

use std::time::Duration;

use dotterelsill_jobs::Scheduler;

mod common;
use common::*;

/// Submits and starts a task every 10 ms, with the response to each start after
/// `answer_after`. Returns the share of new jobs to refuse at the end, in percent.
fn run_load(scheduler: &mut Scheduler, jobs: std::ops::Range<u64>, answer_after: Duration) -> u32 {
    let mut now = ms(10_000) + ms(10) * jobs.start as u32;
    let mut sent = Vec::new();
    for id in jobs {
        now += ms(10);
        let job = record("urgent", 7, vec![step(1, 10)]);
        submit(scheduler, id, &job, now);
        sent.push((now, scheduler.plan(now)));
        while sent
            .first()
            .is_some_and(|(at, _)| now >= *at + answer_after)
        {
            let (_, orders) = sent.remove(0);
            confirm(scheduler, &orders, now);
        }
        scheduler.refused_percent(now);
    }
    scheduler.refused_percent(now)
}

/// Guards against jobs that are accepted while their tasks start later and later,
/// and against a limit that remains after starts are on time again.
#[test]
fn jobs_are_accepted_beyond_what_is_started() {
    let mut scheduler = scheduler(7, ms(1000));
    for index in 0..40 {
        add_worker(&mut scheduler, index, ms(1000));
    }
    assert_eq!(run_load(&mut scheduler, 0..500, ms(20)), 0);
    let refused = run_load(&mut scheduler, 500..1500, ms(400));
    assert!(refused >= 80, "{refused}% are refused");
    assert!(refused <= 95, "a recovery would go unnoticed");
    assert_eq!(run_load(&mut scheduler, 1500..2800, ms(20)), 0);
}

/// Guards against a limit that is caused by workers that answer late or not at all
/// while others answer in time.
#[test]
fn slow_workers_limit_new_jobs() {
    let mut scheduler = scheduler(7, ms(1000));
    for index in 0..40 {
        add_worker(&mut scheduler, index, ms(1000));
    }
    let mut now = ms(10_000);
    for id in 0..500 {
        now += ms(10);
        let job = record("urgent", 7, vec![step(10, 10)]);
        submit(&mut scheduler, id, &job, now);
        let orders = scheduler.plan(now);
        let (slow, quick) = orders.split_at(7.min(orders.len()));
        confirm(&mut scheduler, quick, now + ms(10));
        confirm(&mut scheduler, slow, now + ms(600));
        assert_eq!(scheduler.refused_percent(now), 0);
    }
}
