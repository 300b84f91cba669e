//! Queues whose advisor allows workers to run a step.

use std::{
    sync::Arc,
    time::Duration, //
};

use dotterelsill_jobs::{
    Advisor,
    AdvisorQuery,
    Answer,
    Order,
    Scheduler,
    WorkerKey, //
    WorkerOrder,
};

mod common;
use common::*;

/// Returns a scheduler with three workers and an advised queue.
fn advised() -> (Scheduler, Vec<WorkerKey>) {
    let mut with_advisor = (*configuration()).clone();
    let advisor = Advisor {
        decision: ms(100),
        per_worker: ms(10),
        validity: ms(3000),
    };
    with_advisor.queues = with_queue(&with_advisor.queues, "urgent", |queue| {
        queue.advisor = Some(advisor);
    });
    let mut scheduler = scheduler(7, ms(1000));
    scheduler.configure(Arc::new(with_advisor), Arc::default());
    let add = |index| add_worker(&mut scheduler, index, ms(1000));
    let keys = (0..3).map(add).collect();
    (scheduler, keys)
}

fn ask(scheduler: &mut Scheduler, now: Duration) -> AdvisorQuery {
    scheduler
        .next_advisor_query(now)
        .expect("there is a question")
}

fn approve(scheduler: &mut Scheduler, query: &AdvisorQuery, worker: &str, now: Duration) {
    let rows = [(worker.to_owned(), format!("ticket-{worker}"))];
    scheduler.on_advice(query, Some(&rows), now, now);
}

fn tickets(orders: &[WorkerOrder]) -> Vec<(WorkerKey, String)> {
    let ticket = |addressed: &WorkerOrder| match &addressed.order {
        Order::Start { ticket, .. } => Some((addressed.worker, ticket.to_string())),
        _ => None,
    };
    orders.iter().filter_map(ticket).collect()
}

/// Guards against starts without a ticket, which the workers reject, so that the
/// jobs of such a queue would never run.
#[test]
fn step_runs_only_on_workers_with_a_ticket() {
    let (mut scheduler, keys) = advised();
    let job = record("urgent", 7, vec![step(2, 1000)]);
    submit(&mut scheduler, 1, &job, ms(1000));
    assert_eq!(scheduler.plan(ms(1010)), []);
    let query = ask(&mut scheduler, ms(1010));
    assert_eq!(query.workers.len(), 3);
    assert_eq!(query.answer_time, ms(130));
    approve(&mut scheduler, &query, "w1", ms(1150));
    let placed = tickets(&scheduler.plan(ms(1160)));
    let expected = (keys[1], "ticket-w1".to_owned());
    assert_eq!(placed, [expected.clone(), expected]);
    assert_eq!(scheduler.next_advisor_query(ms(1170)), None);
}

/// Guards against questions on queues without an advisor, and starts that wait
/// for one.
#[test]
fn other_queues_need_no_ticket() {
    let (mut scheduler, _) = advised();
    let job = record("patient", 7, vec![step(2, 1000)]);
    submit(&mut scheduler, 1, &job, ms(1000));
    let placed = tickets(&scheduler.plan(ms(1010)));
    assert!(placed.len() == 2 && placed.iter().all(|(_, ticket)| ticket.is_empty()));
    assert_eq!(scheduler.next_advisor_query(ms(1020)), None);
}

/// Guards against tickets that are used after they have expired or in another
/// life of the worker, and against workers that are asked about again although
/// they were refused.
#[test]
fn expired_tickets_are_asked_for_again() {
    let (mut scheduler, keys) = advised();
    let job = record("urgent", 7, vec![step(8, 1000)]);
    submit(&mut scheduler, 1, &job, ms(1000));
    scheduler.plan(ms(1010));
    let query = ask(&mut scheduler, ms(1010));
    approve(&mut scheduler, &query, "w1", ms(1020));
    // The worker has room for four of the eight tasks; the others are refused.
    let first = scheduler.plan(ms(1030));
    assert_eq!(starts(&first).len(), 4);
    assert_eq!(scheduler.next_advisor_query(ms(1040)), None);
    for addressed in &first {
        let answer = Answer::Ticket;
        scheduler.on_answer(keys[1], &addressed.order, answer, false, ms(1050));
    }
    assert_eq!(scheduler.plan(ms(1060)), []);
    assert_eq!(ask(&mut scheduler, ms(1070)).workers, ["w1"]);
    approve(&mut scheduler, &query, "w1", ms(1080));
    let mut reborn = report(1, "dc");
    reborn.started_unix_ms = 2;
    scheduler.on_report(reborn, ms(1090));
    assert_eq!(
        scheduler.plan(ms(1100)),
        [],
        "the ticket is of another life"
    );
}

/// Guards against a question that is asked in a tight loop while the advisor is
/// away.
#[test]
fn unanswered_question_waits() {
    let (mut scheduler, _) = advised();
    let job = record("urgent", 7, vec![step(2, 1000)]);
    submit(&mut scheduler, 1, &job, ms(1000));
    scheduler.plan(ms(1010));
    let query = ask(&mut scheduler, ms(1010));
    scheduler.on_advice(&query, None, ms(1010), ms(1020));
    assert_eq!(scheduler.next_advisor_query(ms(1030)), None);
    ask(&mut scheduler, ms(1400));
}
