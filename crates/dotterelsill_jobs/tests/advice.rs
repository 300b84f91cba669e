//! Queues with an advisor that must permit workers to run a step.

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
    WorkerKey,
    WorkerOrder,
    WorkerStatus, //
};

mod common;
use common::*;

/// Returns a scheduler with three workers in which the queue `urgent` has an
/// advisor.
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

fn next_query(scheduler: &mut Scheduler, now: Duration) -> AdvisorQuery {
    scheduler
        .next_advisor_query(now)
        .expect("an advisor query is due")
}

fn approve(scheduler: &mut Scheduler, query: &AdvisorQuery, worker: &str, now: Duration) {
    let rows = [(worker.to_owned(), format!("ticket-{worker}"))];
    scheduler.on_advice(query, Some(&rows), now, now);
}

fn tickets(orders: &[WorkerOrder]) -> Vec<(WorkerKey, String)> {
    let ticket = |worker_order: &WorkerOrder| match &worker_order.order {
        Order::Start { ticket, .. } => Some((worker_order.worker, ticket.to_string())),
        _ => None,
    };
    orders.iter().filter_map(ticket).collect()
}

/// Guards against starts without a ticket: workers reject these, so the jobs of
/// such a queue would never run.
#[test]
fn step_runs_only_on_workers_with_a_ticket() {
    let (mut scheduler, keys) = advised();
    let job = record("urgent", 7, vec![step(2, 1000)]);
    submit(&mut scheduler, 1, &job, ms(1000));
    assert_eq!(scheduler.plan(ms(1010)), []);
    let query = next_query(&mut scheduler, ms(1010));
    assert_eq!(query.workers.len(), 3);
    assert_eq!(query.answer_time, ms(130));
    approve(&mut scheduler, &query, "w1", ms(1150));
    let placed = tickets(&scheduler.plan(ms(1160)));
    let expected = (keys[1], "ticket-w1".to_owned());
    assert_eq!(placed, [expected.clone(), expected]);
    assert_eq!(scheduler.next_advisor_query(ms(1170)), None);
}

/// Guards against advisor queries for queues without an advisor, and against starts
/// that wait for an answer there.
#[test]
fn other_queues_need_no_ticket() {
    let (mut scheduler, _) = advised();
    let job = record("patient", 7, vec![step(2, 1000)]);
    submit(&mut scheduler, 1, &job, ms(1000));
    let placed = tickets(&scheduler.plan(ms(1010)));
    assert!(placed.len() == 2 && placed.iter().all(|(_, ticket)| ticket.is_empty()));
    assert_eq!(scheduler.next_advisor_query(ms(1020)), None);
}

/// Guards against tickets that are used after the worker rejected them or for a new
/// incarnation of the worker, and against repeated queries about workers that the
/// advisor refused.
#[test]
fn expired_tickets_are_asked_for_again() {
    let (mut scheduler, keys) = advised();
    let job = record("urgent", 7, vec![step(8, 1000)]);
    submit(&mut scheduler, 1, &job, ms(1000));
    scheduler.plan(ms(1010));
    let query = next_query(&mut scheduler, ms(1010));
    approve(&mut scheduler, &query, "w1", ms(1020));
    // The worker has resources for four of the eight tasks; the advisor refused the
    // other workers.
    let first = scheduler.plan(ms(1030));
    assert_eq!(starts(&first).len(), 4);
    assert_eq!(scheduler.next_advisor_query(ms(1040)), None);
    for worker_order in &first {
        let answer = Answer::Ticket;
        scheduler.on_answer(keys[1], &worker_order.order, answer, false, ms(1050));
    }
    assert_eq!(scheduler.plan(ms(1060)), []);
    assert_eq!(next_query(&mut scheduler, ms(1070)).workers, ["w1"]);
    approve(&mut scheduler, &query, "w1", ms(1080));
    let mut restarted = report(1, "dc");
    restarted.started_unix_ms = 2;
    scheduler.on_report(restarted, ms(1090));
    assert_eq!(
        scheduler.plan(ms(1100)),
        [],
        "the ticket is for another incarnation"
    );
}

/// Guards against a step that never runs, because a refusal of one life of a worker
/// counts for the next, which may be of another kind.
#[test]
fn refused_worker_is_asked_for_again_after_a_restart() {
    let (mut scheduler, _) = advised();
    let job = record("urgent", 7, vec![step(2, 1000)]);
    submit(&mut scheduler, 1, &job, ms(1000));
    scheduler.plan(ms(1010));
    let query = next_query(&mut scheduler, ms(1010));
    scheduler.on_advice(&query, Some(&[]), ms(1010), ms(1020));
    assert_eq!(scheduler.next_advisor_query(ms(1030)), None);
    restart(&mut scheduler, 1, ms(1040));
    assert_eq!(next_query(&mut scheduler, ms(1060)).workers, ["w1"]);
}

/// Guards against an answer about one life of a worker that counts for the next, which
/// began while the advisor was asked.
#[test]
fn answer_about_an_earlier_life_is_ignored() {
    for is_approved in [true, false] {
        let (mut scheduler, _) = advised();
        let job = record("urgent", 7, vec![step(2, 1000)]);
        submit(&mut scheduler, 1, &job, ms(1000));
        scheduler.plan(ms(1010));
        let query = next_query(&mut scheduler, ms(1010));
        restart(&mut scheduler, 1, ms(1040));
        let rows = [("w1".to_owned(), "ticket-w1".to_owned())];
        let approved = &rows[..usize::from(is_approved)];
        scheduler.on_advice(&query, Some(approved), ms(1010), ms(1100));
        assert_eq!(starts(&scheduler.plan(ms(1110))), []);
        assert_eq!(next_query(&mut scheduler, ms(1120)).workers, ["w1"]);
    }
}

/// Lets a worker restart under its identifier, and reads its status.
fn restart(scheduler: &mut Scheduler, index: usize, now: Duration) {
    let mut restarted = report(index, "dc");
    restarted.started_unix_ms = 2;
    let (key, _) = scheduler.on_report(restarted, now);
    let status = WorkerStatus {
        started_unix_ms: 2,
        ..status_at(now + ms(10))
    };
    scheduler.on_worker_status(key, &status, now + ms(10));
}

/// Guards against queries that are repeated in a tight loop while the advisor does
/// not answer.
#[test]
fn unanswered_question_waits() {
    let (mut scheduler, _) = advised();
    let job = record("urgent", 7, vec![step(2, 1000)]);
    submit(&mut scheduler, 1, &job, ms(1000));
    scheduler.plan(ms(1010));
    let query = next_query(&mut scheduler, ms(1010));
    scheduler.on_advice(&query, None, ms(1010), ms(1020));
    assert_eq!(scheduler.next_advisor_query(ms(1030)), None);
    next_query(&mut scheduler, ms(1400));
}
