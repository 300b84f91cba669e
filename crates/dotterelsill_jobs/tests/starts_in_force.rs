//! Starts that waited since they were decided, and that what has changed since forbids.

use std::{
    sync::Arc,
    time::Duration, //
};

use dotterelsill_jobs::{
    Answer,
    Configuration,
    JobId,
    Order,
    RunOutcome,
    Scheduler,
    WorkerKey,
    WorkerOrder,
    Workspace, //
};
use dotterelsill_proto::jobs::{
    self,
    JobRecord,
    Phase, //
};

mod common;
use common::*;

/// A change of what is in force.
type Change = fn(&mut Scheduler);

fn set(scheduler: &mut Scheduler, change: impl Fn(&mut Configuration)) {
    let mut changed = with_cap(3000);
    change(&mut changed);
    scheduler.configure(Arc::new(changed), Arc::default());
}

/// Returns the configuration with a workspace that may use the given processor time.
fn with_cap(cpu_milli: u64) -> Configuration {
    let mut configuration = (*configuration()).clone();
    let mut workspace = Workspace {
        weight: 1,
        ..Workspace::default()
    };
    workspace.cap.cpu_milli = cpu_milli;
    configuration
        .workspaces
        .insert("team".to_owned(), workspace);
    configuration
}

fn move_queue_to_another_pool(scheduler: &mut Scheduler) {
    set(scheduler, |changed| {
        changed.queues = with_queue(&changed.queues, "urgent", |queue| {
            queue.pool = "off".to_owned();
        });
    });
}

fn remove_queue(scheduler: &mut Scheduler) {
    set(scheduler, |changed| {
        let kept = changed.queues.iter().filter(|queue| queue.name != "urgent");
        changed.queues = kept.cloned().collect();
    });
}

fn lower_cap(scheduler: &mut Scheduler) {
    set(scheduler, |changed| *changed = with_cap(1900));
}

fn cancel(scheduler: &mut Scheduler) {
    scheduler.cancel(JobId(1), ms(1040));
}

fn job_of_team(count: u32) -> JobRecord {
    JobRecord {
        workspace: "team".to_owned(),
        ..record("urgent", 7, vec![step(count, 1000)])
    }
}

/// Returns a scheduler with a worker that is silent, and starts of two tasks that wait
/// for it.
fn with_waiting_starts() -> (Scheduler, WorkerKey, Vec<WorkerOrder>) {
    let mut scheduler = scheduler(7, ms(1000));
    set(&mut scheduler, |_| {});
    let key = add_worker(&mut scheduler, 0, ms(1000));
    submit(&mut scheduler, 1, &job_of_team(2), ms(1000));
    let orders = scheduler.plan(ms(1010));
    assert_eq!(starts(&orders).len(), 2);
    scheduler.on_silence(key, ms(1020));
    for order in &orders {
        assert!(scheduler.may_send(key, &order.order, false, ms(1030)));
    }
    (scheduler, key, orders)
}

/// Returns how many of the starts may be sent once the worker has answered again.
fn sent_after(
    scheduler: &mut Scheduler,
    key: WorkerKey,
    starts: &[WorkerOrder],
    late: bool,
) -> usize {
    scheduler.on_worker_status(key, &status_at(ms(1100)), ms(1100));
    let may_send = |start: &&WorkerOrder| scheduler.may_send(key, &start.order, late, ms(1110));
    starts.iter().filter(may_send).count()
}

/// Guards against a start that waits for a silent worker, and that is sent although the
/// queue leads to another pool by now or is gone, the tenant's limit was lowered, or the
/// job was cancelled.
#[test]
fn start_that_waited_is_not_sent_against_what_is_in_force() {
    let cases: [(&str, Change, usize); 4] = [
        ("queue moved", move_queue_to_another_pool, 0),
        ("queue removed", remove_queue, 0),
        ("limit lowered", lower_cap, 1),
        ("cancelled", cancel, 0),
    ];
    for (name, change, allowed) in cases {
        for may_come_late in [false, true] {
            let (mut scheduler, key, orders) = with_waiting_starts();
            change(&mut scheduler);
            let sent = sent_after(&mut scheduler, key, &orders, may_come_late);
            // A run that is being stopped still counts towards the limit.
            let allowed = if may_come_late { 0 } else { allowed };
            assert_eq!(sent, allowed, "{name}, late: {may_come_late}");
        }
    }
}

/// Guards against a start that is held by a silent worker although the queue leads to
/// another pool, whose workers are free.
#[test]
fn start_that_may_not_be_sent_waits_again_at_once() {
    let (mut scheduler, key, orders) = with_waiting_starts();
    move_queue_to_another_pool(&mut scheduler);
    let mut elsewhere = report(1, "dc");
    elsewhere.pool = "off".to_owned();
    let (other, _) = scheduler.on_report(elsewhere, ms(1050));
    let granted = scheduler.granted();
    scheduler.on_granted_stored(&granted);
    scheduler.on_worker_status(other, &status_at(ms(1060)), ms(1060));
    for order in &orders {
        assert!(!scheduler.may_send(key, &order.order, false, ms(1070)));
    }
    let again: Vec<WorkerKey> = starts(&scheduler.plan(ms(1080)))
        .into_iter()
        .map(|(_, worker)| worker)
        .collect();
    assert_eq!(again, [other, other]);
}

/// Guards against a start that was sent without an answer and is repeated against what is
/// in force: a stop settles whether the worker runs it.
#[test]
fn start_that_may_come_late_is_stopped() {
    let (mut scheduler, key, orders) = with_waiting_starts();
    move_queue_to_another_pool(&mut scheduler);
    let sent = sent_after(&mut scheduler, key, &orders, true);
    assert_eq!(sent, 0);
    let stops = scheduler.plan(ms(1120));
    let is_stop = |order: &WorkerOrder| matches!(order.order, Order::Stop { .. });
    assert!(stops.len() == 2 && stops.iter().all(is_stop), "{stops:?}");
}

/// Guards against a tenant that is kept at its limit by starts of a cancelled job, which
/// were never sent to a worker that stays silent.
#[test]
fn cancelled_start_that_was_not_sent_frees_its_share_at_once() {
    let (mut scheduler, key, orders) = with_waiting_starts();
    cancel(&mut scheduler);
    for order in &orders {
        assert!(!scheduler.may_send(key, &order.order, false, ms(1050)));
    }
    let other = add_worker(&mut scheduler, 1, ms(1060));
    submit(&mut scheduler, 2, &job_of_team(3), ms(1070));
    let orders = scheduler.plan(ms(1080));
    let started = starts(&orders);
    assert_eq!(started.len(), 3, "{orders:?}");
    assert!(started.iter().all(|(_, worker)| *worker == other));
}

/// Guards against a start that waits while the number of attempts of its queue is lowered
/// to that of the runs which have failed: the job has failed.
#[test]
fn start_beyond_a_lowered_number_of_attempts_is_not_sent() {
    let mut scheduler = scheduler(7, ms(1000));
    let key = add_worker(&mut scheduler, 0, ms(1000));
    let job = record("urgent", 7, vec![step(1, 1000)]);
    submit(&mut scheduler, 1, &job, ms(1000));
    let orders = scheduler.plan(ms(1010));
    confirm(&mut scheduler, &orders, ms(1020));
    let mut status = status_at(ms(1100));
    status.ended = vec![ended(1, task(1, 0, 0), 1, RunOutcome::Failed)];
    scheduler.on_worker_status(key, &status, ms(1100));
    let orders = scheduler.plan(ms(2000));
    assert_eq!(starts(&orders), [(task(1, 0, 0), key)]);
    set(&mut scheduler, |changed| {
        changed.queues = with_queue(&changed.queues, "urgent", |queue| queue.max_attempts = 1);
    });
    assert!(!scheduler.may_send(key, &orders[0].order, false, ms(2010)));
    assert!(scheduler.plan(ms(2020)).is_empty());
    let change = scheduler.take_changes(1).remove(0);
    assert_eq!(change.record.phase(), Phase::Failed);
}

/// Starts a gang of two on two workers, and returns the starts.
fn with_gang() -> (Scheduler, Vec<WorkerOrder>) {
    let mut scheduler = scheduler(7, ms(1000));
    for index in [0, 1] {
        add_worker(&mut scheduler, index, ms(1000));
    }
    let gang = jobs::Step {
        is_gang: true,
        max_per_worker: 1,
        ..step(2, 1000)
    };
    let job = record("urgent", 7, vec![gang]);
    submit(&mut scheduler, 1, &job, ms(1000));
    let orders = scheduler.plan(ms(1010));
    assert_eq!(starts(&orders).len(), 2);
    (scheduler, orders)
}

/// Checks that the gang starts whole again, once its running member is stopped.
fn assert_gang_starts_again(scheduler: &mut Scheduler, runs: Option<&WorkerOrder>, now: Duration) {
    let mut orders = scheduler.plan(now);
    if let Some(start) = runs {
        let (task, attempt) = start.order.run();
        let stop = Order::Stop { task, attempt };
        let expected = WorkerOrder {
            worker: start.worker,
            order: stop.clone(),
        };
        assert_eq!(orders, [expected], "the other member is stopped");
        scheduler.on_answer(start.worker, &stop, Answer::Done, false, now + ms(10));
        let mut status = status_at(now + ms(100));
        status.ended = vec![ended(1, task, attempt, RunOutcome::Stopped)];
        scheduler.on_worker_status(start.worker, &status, now + ms(100));
        scheduler.replan();
        orders = scheduler.plan(now + ms(1000));
    }
    assert_eq!(starts(&orders).len(), 2, "{orders:?}");
}

/// Guards against a member of a gang that waits alone for one whose start was withdrawn.
#[test]
fn gang_is_stopped_when_the_start_of_a_member_is_withdrawn() {
    for is_other_sent in [false, true] {
        let (mut scheduler, orders) = with_gang();
        let [first, second] = orders.as_slice() else {
            panic!("the gang has two members");
        };
        if is_other_sent {
            confirm(&mut scheduler, std::slice::from_ref(second), ms(1020));
        }
        let mut draining = report(usize::from(first.worker.0 == 1), "dc");
        draining.is_draining = true;
        scheduler.on_report(draining.clone(), ms(1030));
        assert!(!scheduler.may_send(first.worker, &first.order, false, ms(1040)));
        if !is_other_sent {
            assert!(!scheduler.may_send(second.worker, &second.order, false, ms(1040)));
        }
        add_worker(&mut scheduler, 2, ms(1050));
        let runs = is_other_sent.then_some(second);
        assert_gang_starts_again(&mut scheduler, runs, ms(1060));
    }
}

/// Guards against the same when the worker refuses the start of a member.
#[test]
fn gang_is_stopped_when_the_start_of_a_member_is_refused() {
    let (mut scheduler, orders) = with_gang();
    let [first, second] = orders.as_slice() else {
        panic!("the gang has two members");
    };
    confirm(&mut scheduler, std::slice::from_ref(second), ms(1020));
    scheduler.on_answer(
        first.worker,
        &first.order,
        Answer::Unhealthy,
        false,
        ms(1030),
    );
    add_worker(&mut scheduler, 2, ms(1050));
    assert_gang_starts_again(&mut scheduler, Some(second), ms(1060));
}
