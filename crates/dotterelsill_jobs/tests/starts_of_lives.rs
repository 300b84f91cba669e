//! Starts that were decided for one life of a worker, and that the next life must not
//! carry out unseen.

mod common;

use common::{
    add_worker,
    confirm,
    instance,
    ms,
    record,
    report,
    running,
    scheduler,
    starts,
    status_at,
    step,
    submit,
    task, //
};
use dotterelsill_jobs::{
    Answer,
    InstanceState,
    JobId,
    ListedRun,
    Order,
    Recipient,
    Scheduler,
    WorkerKey,
    WorkerOrder,
    WorkerReport,
    WorkerStatus, //
};
use dotterelsill_proto::jobs::{
    self,
    GrantedWorker, //
};

/// Returns a scheduler with a start that was decided for the first life of its only
/// worker, which is silent.
fn with_waiting_start() -> (Scheduler, WorkerKey, Order) {
    let mut scheduler = scheduler(7, ms(1000));
    let key = add_worker(&mut scheduler, 0, ms(1000));
    let job = record("urgent", 7, vec![step(1, 1000)]);
    submit(&mut scheduler, 1, &job, ms(1000));
    let orders = scheduler.plan(ms(1010));
    assert_eq!(starts(&orders), [(task(1, 0, 0), key)]);
    scheduler.on_silence(key, ms(1020));
    (scheduler, key, orders[0].order.clone())
}

fn register_second_life(scheduler: &mut Scheduler) {
    let restarted = WorkerReport {
        started_unix_ms: 2,
        ..report(0, "dc")
    };
    scheduler.on_report(restarted, ms(1050));
}

fn read_second_life(scheduler: &mut Scheduler, key: WorkerKey, at_ms: u64, runs: Vec<ListedRun>) {
    let status = WorkerStatus {
        started_unix_ms: 2,
        running: runs,
        ..status_at(ms(at_ms))
    };
    scheduler.on_worker_status(key, &status, ms(at_ms));
}

/// Guards against a start that waits for a silent worker and is sent to its next life,
/// for which it was not decided: that may be of another kind or rack, and its lease is
/// counted by the clock of the life before.
#[test]
fn start_that_was_not_sent_is_decided_again_for_the_next_life() {
    for is_registered in [true, false] {
        let (mut scheduler, key, start) = with_waiting_start();
        if is_registered {
            register_second_life(&mut scheduler);
        } else {
            read_second_life(&mut scheduler, key, 1100, vec![]);
        }
        assert!(!scheduler.may_send(key, &start, false, ms(1110)));
        if is_registered {
            assert_eq!(starts(&scheduler.plan(ms(1120))), [], "it was not read yet");
            read_second_life(&mut scheduler, key, 1130, vec![]);
        }
        let orders = scheduler.plan(ms(1140));
        assert_eq!(starts(&orders), [(task(1, 0, 0), key)]);
        assert!(scheduler.may_send(key, &orders[0].order, false, ms(1150)));
        assert!(scheduler
            .start_terms(key, task(1, 0, 0), true, ms(1150))
            .is_some());
    }
}

/// Guards against a start without an answer that is repeated to the next life, which
/// would run it beside a call that is still under way. It waits for the status of that
/// life, and a stop settles it if it is not listed.
#[test]
fn start_without_answer_is_not_repeated_to_the_next_life() {
    let (mut scheduler, key, start) = with_waiting_start();
    register_second_life(&mut scheduler);
    assert!(scheduler.may_send(key, &start, true, ms(1060)));
    assert_eq!(
        scheduler.start_terms(key, task(1, 0, 0), true, ms(1060)),
        None
    );
    read_second_life(&mut scheduler, key, 1100, vec![]);
    assert!(!scheduler.may_send(key, &start, true, ms(1110)));
    let stops = scheduler.plan(ms(1120));
    let (task, attempt) = start.run();
    let expected = WorkerOrder {
        worker: key,
        order: Order::Stop { task, attempt },
    };
    assert_eq!(stops, [expected]);
    scheduler.on_answer(key, &stops[0].order, Answer::Done, false, ms(1130));
    read_second_life(&mut scheduler, key, 1200, vec![]);
    assert_eq!(starts(&scheduler.plan(ms(1210))), [(task, key)]);
}

/// Guards against a run that is stopped or started again although the next life lists it:
/// the start without an answer has reached that life.
#[test]
fn start_that_reached_the_next_life_goes_on() {
    let (mut scheduler, key, start) = with_waiting_start();
    let listed = || vec![running(task(1, 0, 0), 1, 10)];
    read_second_life(&mut scheduler, key, 1100, listed());
    assert!(scheduler.may_send(key, &start, true, ms(1110)));
    assert!(scheduler.plan(ms(1120)).is_empty());
    scheduler.on_answer(key, &start, Answer::Done, true, ms(1130));
    read_second_life(&mut scheduler, key, 1200, listed());
    scheduler.expire_leases(ms(1250));
    assert!(scheduler.plan(ms(1260)).is_empty());
    // The run is that of the second life, which shows that it has ended.
    scheduler.set_authority(false);
    read_second_life(&mut scheduler, key, 1300, vec![]);
    assert_eq!(starts(&scheduler.plan(ms(1310))), [(task(1, 0, 0), key)]);
}

/// Guards against starts on the next life that are taken for those of the life before, and
/// withdrawn.
#[test]
fn starts_for_the_present_life_are_sent() {
    let (mut scheduler, key, start) = with_waiting_start();
    read_second_life(&mut scheduler, key, 1100, vec![]);
    assert!(!scheduler.may_send(key, &start, false, ms(1110)));
    let orders = scheduler.plan(ms(1120));
    assert!(scheduler.may_send(key, &orders[0].order, false, ms(1130)));
    scheduler.on_silence(key, ms(1140));
    read_second_life(&mut scheduler, key, 1200, vec![]);
    assert!(scheduler.may_send(key, &orders[0].order, true, ms(1210)));
    confirm(&mut scheduler, &orders, ms(1220));
}

/// Returns a scheduler with two workers, and the start that it has sent to the first one
/// without an answer, before that worker's life ended.
fn with_start_sent_to_an_ended_life(keeps_connections: bool) -> (Scheduler, WorkerKey, Order) {
    let mut scheduler = scheduler(7, ms(1000));
    let key = add_worker(&mut scheduler, 0, ms(1000));
    if !keeps_connections {
        scheduler.on_connection_not_kept(key, 1);
        // The next scheduler has to know it before a start is sent.
        assert!(scheduler.has_granted_change());
        let granted = scheduler.granted();
        assert!(granted[0].closes_connections);
        scheduler.on_granted_stored(&granted);
    }
    submit(
        &mut scheduler,
        1,
        &record("urgent", 7, vec![step(1, 1000)]),
        ms(1000),
    );
    let orders = scheduler.plan(ms(1010));
    assert_eq!(starts(&orders), [(task(1, 0, 0), key)]);
    let terms = scheduler.start_terms(key, task(1, 0, 0), true, ms(1020));
    let expected = if keeps_connections {
        Recipient::Life { started_unix_ms: 1 }
    } else {
        Recipient::AnyLife
    };
    assert_eq!(terms.map(|terms| terms.recipient), Some(expected));
    add_worker(&mut scheduler, 1, ms(1030));
    scheduler.on_silence(key, ms(1720));
    let list = |first| {
        let second = instance(1, "work", InstanceState::Up);
        vec![instance(0, "work", first), second]
    };
    scheduler.on_instances(list(InstanceState::Up), ms(1800), ms(1810));
    scheduler.on_instances(list(InstanceState::Down), ms(3000), ms(3010));
    (scheduler, key, orders[0].order.clone())
}

/// Guards against a task of a lost worker that waits although its start was sent over a
/// connection to the life that has ended, and can reach no other one.
#[test]
fn start_that_reaches_one_life_alone_holds_up_no_task() {
    let (mut scheduler, key, _) = with_start_sent_to_an_ended_life(true);
    let started = starts(&scheduler.plan(ms(3020)));
    assert_eq!(started.len(), 1);
    assert_ne!(started[0].1, key);
}

/// Guards against a task that is started elsewhere while the next life may still begin it,
/// as its start was sent over a connection that may lead there. That life answers a stop
/// first.
#[test]
fn start_that_may_reach_the_next_life_is_settled_by_a_stop() {
    let (mut scheduler, key, start) = with_start_sent_to_an_ended_life(false);
    scheduler.expire_leases(ms(3020));
    assert_eq!(starts(&scheduler.plan(ms(3020))), []);
    assert!(scheduler.has_worker(key));
    let restarted = WorkerReport {
        started_unix_ms: 2,
        ..report(0, "dc")
    };
    scheduler.on_report(restarted, ms(3050));
    read_second_life(&mut scheduler, key, 3100, vec![]);
    assert!(!scheduler.may_send(key, &start, true, ms(3110)));
    let stops = scheduler.plan(ms(3120));
    assert!(matches!(stops[0].order, Order::Stop { .. }), "{stops:?}");
    scheduler.on_answer(key, &stops[0].order, Answer::Done, false, ms(3130));
    read_second_life(&mut scheduler, key, 3200, vec![]);
    assert_eq!(starts(&scheduler.plan(ms(3210))).len(), 1);
}

/// Guards against a task that never runs again because its worker, to which a start was sent
/// that any life may get, does not come back. The worker stays in the record of those that
/// may run tasks until the start can no longer be carried out.
#[test]
fn start_that_may_reach_a_later_life_is_given_up_once_it_cannot_come() {
    let (mut scheduler, key, _) = with_start_sent_to_an_ended_life(false);
    scheduler.expire_leases(ms(14_000));
    assert_eq!(starts(&scheduler.plan(ms(14_000))), []);
    assert!(scheduler
        .granted()
        .iter()
        .any(|worker| worker.id == report(0, "dc").id));
    assert_eq!(scheduler.expire_leases(ms(14_100)), [key]);
    let started = starts(&scheduler.plan(ms(14_100)));
    assert_eq!(started.len(), 1);
    assert_ne!(started[0].1, key);
}

/// Guards against a task of a restored job that is started elsewhere while a start of the
/// earlier scheduler may still begin it, on a later life of a worker that closes each
/// connection. Other workers that have ended hold up nothing.
#[test]
fn start_of_an_earlier_scheduler_may_reach_a_later_life() {
    for closes_connections in [false, true] {
        let mut scheduler = scheduler(9, ms(1000));
        let worker = report(0, "dc");
        let granted = GrantedWorker {
            id: worker.id,
            address: worker.address,
            pool: worker.pool,
            data_centre: worker.data_centre,
            closes_connections,
        };
        scheduler.restore_granted_worker(&granted, ms(1000));
        let job = record("urgent", 7, vec![step(1, 1000)]);
        scheduler
            .restore(JobId(1), &job, None, ms(1000))
            .expect("the record is valid");
        scheduler.open_due_jobs(ms(1000));
        add_worker(&mut scheduler, 1, ms(1030));
        let list = |first| {
            vec![
                instance(0, "work", first),
                instance(1, "work", InstanceState::Up),
            ]
        };
        scheduler.on_instances(list(InstanceState::Up), ms(1800), ms(1810));
        scheduler.on_instances(list(InstanceState::Down), ms(3000), ms(3010));
        let mut started_at = None;
        for at in (3050..15_000).step_by(50) {
            scheduler.expire_leases(ms(at));
            scheduler.replan();
            if !starts(&scheduler.plan(ms(at))).is_empty() {
                started_at.get_or_insert(at);
            }
        }
        let expected = if closes_connections { 14_000 } else { 3050 };
        assert_eq!(started_at, Some(expected));
    }
}

/// Guards against a task that needs a label and is started on a worker that has restarted as
/// one of another kind, by the registration of the life before. Tasks without such a need do
/// not wait for the new one.
#[test]
fn restarted_worker_gets_tasks_for_a_label_once_it_has_registered() {
    let mut scheduler = scheduler(7, ms(1000));
    let key = add_worker(&mut scheduler, 0, ms(1000));
    let labelled = jobs::Step {
        required_label: "a".to_owned(),
        ..step(1, 1000)
    };
    read_second_life(&mut scheduler, key, 1100, vec![]);
    submit(
        &mut scheduler,
        1,
        &record("urgent", 7, vec![labelled]),
        ms(1200),
    );
    submit(
        &mut scheduler,
        2,
        &record("urgent", 7, vec![step(1, 1000)]),
        ms(1200),
    );
    assert_eq!(starts(&scheduler.plan(ms(1210))), [(task(2, 0, 0), key)]);
    register_second_life(&mut scheduler);
    assert_eq!(starts(&scheduler.plan(ms(1310))), [(task(1, 0, 0), key)]);
}
