//! Gangs of which some starts are pending while their worker restarts.

mod common;

use std::collections::BTreeSet;

use common::{
    add_worker,
    confirm,
    ended,
    ms,
    record,
    scheduler,
    starts,
    status_at,
    step,
    submit,
    task, //
};
use dotterelsill_jobs::{
    Answer,
    RunOutcome,
    WorkerOrder,
    WorkerStatus, //
};
use dotterelsill_proto::jobs;

/// Guards against members of a gang that are started one by one, or with different
/// attempts, so that they end alone again and again: the starts of two members are carried
/// out by the next life of their worker, after the others have ended alone.
#[test]
fn gang_starts_together_after_pending_starts_came_late() {
    let mut scheduler = scheduler(7, ms(1000));
    let late = add_worker(&mut scheduler, 0, ms(1000));
    let other = add_worker(&mut scheduler, 1, ms(1000));
    let gang = jobs::Step {
        is_gang: true,
        ..step(4, 2000)
    };
    submit(
        &mut scheduler,
        1,
        &record("urgent", 7, vec![gang]),
        ms(1000),
    );
    let orders = scheduler.plan(ms(1010));
    assert_eq!(starts(&orders).len(), 4);
    let (pending, sent): (Vec<WorkerOrder>, Vec<WorkerOrder>) =
        orders.into_iter().partition(|order| order.worker == late);
    assert_eq!((pending.len(), sent.len()), (2, 2));
    confirm(&mut scheduler, &sent, ms(1020));
    scheduler.on_silence(late, ms(1700));
    // There is room for the whole gang elsewhere.
    for index in 2..4 {
        add_worker(&mut scheduler, index, ms(1800));
    }
    let alone = |orders: &[WorkerOrder]| {
        let end = |(order, number): (&WorkerOrder, u64)| {
            let (task, attempt) = order.order.run();
            ended(number, task, attempt, RunOutcome::Alone)
        };
        orders.iter().zip(1..).map(end).collect::<Vec<_>>()
    };
    let status = WorkerStatus {
        ended: alone(&sent),
        ..status_at(ms(4100))
    };
    scheduler.on_worker_status(other, &status, ms(4100));
    assert_eq!(starts(&scheduler.plan(ms(4110))), [], "some members wait");
    // The next life is read, and carries the repeated starts out.
    let next_life = |now| WorkerStatus {
        started_unix_ms: 2,
        ..status_at(now)
    };
    scheduler.on_worker_status(late, &next_life(ms(4200)), ms(4200));
    let granted = scheduler.granted();
    scheduler.on_granted_stored(&granted);
    assert_eq!(starts(&scheduler.plan(ms(4210))), [], "some members wait");
    for order in &pending {
        scheduler.on_answer(late, &order.order, Answer::Done, true, ms(4220));
    }
    assert_eq!(starts(&scheduler.plan(ms(4230))), [], "some members run");
    let status = WorkerStatus {
        ended: alone(&pending),
        ..next_life(ms(7300))
    };
    scheduler.on_worker_status(late, &status, ms(7300));
    let orders = scheduler.plan(ms(7310));
    let started: BTreeSet<_> = starts(&orders).into_iter().map(|(task, _)| task).collect();
    assert_eq!(started, (0..4).map(|index| task(1, 0, index)).collect());
    let attempts: BTreeSet<u64> = orders.iter().map(|order| order.order.run().1).collect();
    assert_eq!(attempts, [2].into());
}
