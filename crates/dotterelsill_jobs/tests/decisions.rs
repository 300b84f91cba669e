//! Single decisions of the scheduler, each with the failure that the test guards
//! against.

use std::sync::Arc;

use dotterelsill_jobs::{
    Answer,
    Instance,
    InstanceAction,
    InstanceAnswer,
    InstanceState,
    JobId,
    JobSpec,
    OperatorRequests,
    Order,
    RunOutcome,
    Scheduler,
    TaskId,
    Wave,
    WorkerKey,
    WorkerReport,
    FORMAT, //
};
use dotterelsill_proto::jobs::{
    self,
    JobRecord,
    Phase,
    ProgressRecord, //
};

mod common;
use common::*;

/// Guards against a restored job whose lost task is never started again because a
/// run that a worker listed before the first tick already opened the occurrence.
#[test]
fn restored_job_is_ready_though_a_run_was_found_first() {
    let mut scheduler = scheduler(7, ms(1000));
    let record = record("urgent", 3, vec![lasting(2)]);
    scheduler
        .restore(JobId(1), &record, None, ms(1000))
        .unwrap();
    let (key, _) = scheduler.on_report(report(0, "dc"), ms(1000));
    let mut status = status_at(ms(1010));
    status.running = vec![running(task(1, 0, 0), 1, 100)];
    scheduler.on_worker_status(key, &status, ms(1010));
    let granted = scheduler.granted();
    scheduler.on_granted_stored(&granted);
    scheduler.open_due_jobs(ms(1050));
    let orders = scheduler.plan(ms(1060));
    assert_eq!(starts(&orders), [(task(1, 0, 1), key)]);
}

/// Guards against adopted runs that count as lapsed immediately and are started a
/// second time, because this scheduler has not granted a lease yet.
#[test]
fn adopted_run_does_not_lapse_before_the_earlier_bound() {
    let mut scheduler = scheduler(7, ms(1000));
    let record = record("urgent", 3, vec![step(1, 1000)]);
    scheduler
        .restore(JobId(1), &record, None, ms(1000))
        .unwrap();
    let (key, _) = scheduler.on_report(report(0, "dc"), ms(1000));
    let mut status = status_at(ms(1010));
    status.running = vec![running(task(1, 0, 0), 1, 10)];
    scheduler.on_worker_status(key, &status, ms(1010));
    scheduler.open_due_jobs(ms(1020));
    scheduler.expire_leases(ms(3000));
    assert!(scheduler.plan(ms(3010)).is_empty());
}

/// Guards against a failed run that is dropped and not counted as an attempt,
/// because it is listed before the occurrence is opened.
#[test]
fn failed_end_counts_though_it_is_listed_first() {
    let mut scheduler = scheduler(7, ms(1000));
    let record = record("urgent", 3, vec![step(1, 1000)]);
    scheduler
        .restore(JobId(1), &record, None, ms(1000))
        .unwrap();
    let (key, _) = scheduler.on_report(report(0, "dc"), ms(1000));
    let mut status = status_at(ms(1010));
    status.ended = vec![
        ended(1, task(1, 0, 0), 1, RunOutcome::Failed),
        ended(2, task(1, 0, 0), 2, RunOutcome::Failed),
    ];
    scheduler.on_worker_status(key, &status, ms(1010));
    scheduler.open_due_jobs(ms(1050));
    assert!(scheduler.plan(ms(5000)).is_empty());
    let change = scheduler.take_changes(1).remove(0);
    assert_eq!(change.record.phase(), Phase::Failed);
}

/// Guards against an end that is acknowledged before it is stored: the next
/// scheduler would run the task again.
#[test]
fn end_is_acknowledged_once_it_is_stored() {
    let mut scheduler = scheduler(7, ms(1000));
    let key = add_worker(&mut scheduler, 0, ms(1000));
    submit(
        &mut scheduler,
        1,
        &record("urgent", 7, vec![step(1, 1000)]),
        ms(1000),
    );
    let orders = scheduler.plan(ms(1010));
    confirm(&mut scheduler, &orders, ms(1020));
    let mut status = status_at(ms(2000));
    status.ended = vec![ended(1, task(1, 0, 0), 1, RunOutcome::Done)];
    scheduler.on_worker_status(key, &status, ms(2000));
    assert_eq!(scheduler.acknowledged(key), 0);
    assert_eq!(scheduler.state(JobId(1)).unwrap().phase, Phase::Open);
    let change = scheduler.take_changes(1).remove(0);
    scheduler.on_stored(change.job, change.number, 5);
    assert_eq!(scheduler.acknowledged(key), 1);
    assert_eq!(scheduler.state(JobId(1)).unwrap().phase, Phase::Completed);
}

/// Guards against a worker whose ends are never acknowledged again, because one of
/// them arrived after the end of its job was stored.
#[test]
fn late_end_of_a_cancelled_job_blocks_acknowledgements() {
    for outcome in [RunOutcome::Done, RunOutcome::Failed] {
        let mut scheduler = scheduler(7, ms(1000));
        let key = add_worker(&mut scheduler, 0, ms(1000));
        let job = record("urgent", 7, vec![step(1, 1000)]);
        submit(&mut scheduler, 1, &job, ms(1000));
        let orders = scheduler.plan(ms(1010));
        confirm(&mut scheduler, &orders, ms(1020));
        scheduler.cancel(JobId(1), ms(1500));
        let change = scheduler.take_changes(1).remove(0);
        scheduler.on_stored(change.job, change.number, 5);
        // The run ended before the order to stop it arrived.
        let mut status = status_at(ms(2000));
        status.ended = vec![ended(1, task(1, 0, 0), 1, outcome)];
        scheduler.on_worker_status(key, &status, ms(2000));
        assert_eq!(scheduler.acknowledged(key), 1, "{outcome:?}");
        let state = scheduler.state(JobId(1)).unwrap();
        assert_eq!(state.phase, Phase::Cancelled, "{outcome:?}");
        assert!(scheduler.is_stored(JobId(1)));
    }
}

/// Guards against status requests to a crashed worker that keep extending its
/// lease, so that its tasks are never started elsewhere.
#[test]
fn lease_of_a_silent_worker_ends() {
    let mut scheduler = scheduler(7, ms(1000));
    let crashed = add_worker(&mut scheduler, 0, ms(1000));
    submit(
        &mut scheduler,
        1,
        &record("urgent", 7, vec![step(1, 1000)]),
        ms(1000),
    );
    let orders = scheduler.plan(ms(1010));
    confirm(&mut scheduler, &orders, ms(1020));
    let other = add_worker(&mut scheduler, 1, ms(1030));
    for at in (1100..8000).step_by(100) {
        scheduler.on_silence(crashed, ms(at));
        assert_eq!(
            scheduler.lease_end(crashed, true, ms(at)),
            scheduler.lease_end(crashed, false, ms(at))
        );
        scheduler.expire_leases(ms(at));
    }
    scheduler.replan();
    let orders = scheduler.plan(ms(8000));
    assert_eq!(starts(&orders), [(task(1, 0, 0), other)]);
}

/// Guards against a second run while an order without a response may still be
/// executed: the refusal of the repeated order does not settle it.
#[test]
fn refused_repetition_is_settled_by_a_stop() {
    let mut scheduler = scheduler(7, ms(1000));
    let key = add_worker(&mut scheduler, 0, ms(1000));
    submit(
        &mut scheduler,
        1,
        &record("urgent", 7, vec![step(1, 1000)]),
        ms(1000),
    );
    let order = scheduler.plan(ms(1010)).remove(0);
    scheduler.on_answer(key, &order.order, Answer::Unhealthy, true, ms(1800));
    let orders = scheduler.plan(ms(1810));
    assert_eq!(starts(&orders), []);
    let stop = orders.first().unwrap().order.clone();
    assert!(matches!(stop, Order::Stop { .. }));
    scheduler.on_answer(key, &stop, Answer::Done, false, ms(1900));
    scheduler.on_worker_status(key, &status_at(ms(2000)), ms(2000));
    scheduler.replan();
    assert_eq!(starts(&scheduler.plan(ms(3000))).len(), 1);
}

/// Guards against a second run after a response that does not tell whether the start
/// takes effect, and against a task that waits on that worker for ever.
#[test]
fn start_with_an_unclear_answer_is_settled_by_a_stop() {
    let mut scheduler = scheduler(7, ms(1000));
    (0..2).for_each(|index| {
        add_worker(&mut scheduler, index, ms(1000));
    });
    submit(
        &mut scheduler,
        1,
        &record("urgent", 7, vec![step(1, 1000)]),
        ms(1000),
    );
    let order = scheduler.plan(ms(1010)).remove(0);
    let chosen = order.worker;
    scheduler.on_answer(chosen, &order.order, Answer::Unclear, false, ms(1100));
    let orders = scheduler.plan(ms(1110));
    assert_eq!(starts(&orders), []);
    let stop = orders.first().expect("the run is stopped").order.clone();
    assert!(matches!(stop, Order::Stop { .. }));
    // A stop without a clear answer settles nothing either.
    assert!(scheduler.on_answer(chosen, &stop, Answer::Unclear, false, ms(1200)));
    assert!(!scheduler.on_answer(chosen, &stop, Answer::Done, true, ms(1300)));
    scheduler.on_worker_status(chosen, &status_at(ms(1400)), ms(1400));
    scheduler.replan();
    let again = starts(&scheduler.plan(ms(1410)));
    assert_eq!(again.len(), 1);
    assert_ne!(again[0].1, chosen, "the worker is left out for a while");
}

/// Guards against a cancelled task that keeps running because its worker refused
/// the stop as unhealthy.
#[test]
fn refused_stop_is_given_again() {
    let mut scheduler = scheduler(7, ms(1000));
    let key = add_worker(&mut scheduler, 0, ms(1000));
    submit(
        &mut scheduler,
        1,
        &record("urgent", 7, vec![step(1, 1000)]),
        ms(1000),
    );
    let orders = scheduler.plan(ms(1010));
    confirm(&mut scheduler, &orders, ms(1020));
    scheduler.cancel(JobId(1), ms(1100));
    let stop = scheduler.plan(ms(1110)).remove(0).order;
    assert!(matches!(stop, Order::Stop { .. }));
    assert!(scheduler.on_answer(key, &stop, Answer::Unhealthy, false, ms(1200)));
    assert!(scheduler.is_wanted(key, &stop));
    assert!(!scheduler.on_answer(key, &stop, Answer::Done, false, ms(1300)));
}

/// Guards against long-running tasks that wait until a burst is over.
#[test]
fn lasting_tasks_go_before_a_burst() {
    let mut scheduler = scheduler(7, ms(1000));
    submit(
        &mut scheduler,
        1,
        &record("patient", 7, vec![lasting(1)]),
        ms(1000),
    );
    for id in 2..20 {
        let burst = record("urgent", 7, vec![step(2, 1000)]);
        submit(&mut scheduler, id, &burst, ms(60_000));
    }
    let key = add_worker(&mut scheduler, 0, ms(60_000));
    let orders = scheduler.plan(ms(60_010));
    assert_eq!(starts(&orders)[0], (task(1, 0, 0), key));
}

/// Guards against a takeover in which every job waits for workers that do not
/// answer. Jobs with a home in another data centre cannot have run there.
#[test]
fn restored_jobs_with_another_home_do_not_wait() {
    let mut scheduler = scheduler(7, ms(1000));
    for (id, home) in [(1, "north"), (2, "south")] {
        let record = JobRecord {
            home: home.to_owned(),
            ..record("urgent", 3, vec![step(1, 1000)])
        };
        scheduler
            .restore(JobId(id), &record, None, ms(1000))
            .unwrap();
    }
    scheduler.open_due_jobs(ms(1000));
    let (north, _) = scheduler.on_report(report(0, "north"), ms(1000));
    scheduler.on_report(report(1, "south"), ms(1000));
    let granted = scheduler.granted();
    scheduler.on_granted_stored(&granted);
    scheduler.on_worker_status(north, &status_at(ms(1010)), ms(1010));
    let orders = scheduler.plan(ms(1020));
    assert_eq!(starts(&orders), [(task(1, 0, 0), north)]);
}

/// Guards against a job that leaves its home before this is stored: the next
/// scheduler would look for its runs in the wrong data centre.
#[test]
fn job_leaves_its_home_once_that_is_stored() {
    let mut scheduler = scheduler(7, ms(1000));
    let key = add_worker(&mut scheduler, 0, ms(1000));
    let record = JobRecord {
        home: "elsewhere".to_owned(),
        ..record("urgent", 7, vec![step(1, 1000)])
    };
    submit(&mut scheduler, 1, &record, ms(1000));
    assert_eq!(starts(&scheduler.plan(ms(1010))), []);
    let change = scheduler.take_changes(1).remove(0);
    assert!(change.record.is_spread);
    scheduler.on_stored(change.job, change.number, 5);
    assert_eq!(starts(&scheduler.plan(ms(1020))), [(task(1, 0, 0), key)]);
}

/// Guards against a new incarnation of a worker whose ends are acknowledged with
/// the numbers of the previous one, and whose runs count as lost although an order
/// for the previous one reached it.
#[test]
fn new_incarnation_is_read_before_its_runs_are_lost() {
    let mut scheduler = scheduler(7, ms(1000));
    let key = add_worker(&mut scheduler, 0, ms(1000));
    let other = add_worker(&mut scheduler, 1, ms(1000));
    submit(
        &mut scheduler,
        1,
        &record("urgent", 7, vec![step(1, 1000)]),
        ms(1000),
    );
    let orders = scheduler.plan(ms(1010));
    let (started, worker) = starts(&orders)[0];
    assert!(worker == key || worker == other);
    confirm(&mut scheduler, &orders, ms(1020));
    let mut restarted = report(if worker == key { 0 } else { 1 }, "dc");
    restarted.started_unix_ms = 2;
    scheduler.on_report(restarted, ms(1500));
    assert!(scheduler.plan(ms(1510)).is_empty());
    let mut status = status_at(ms(1600));
    status.started_unix_ms = 2;
    status.running = vec![running(started, 1, 10)];
    scheduler.on_worker_status(worker, &status, ms(1600));
    scheduler.expire_leases(ms(1700));
    scheduler.replan();
    assert!(scheduler.plan(ms(1710)).is_empty());
}

/// Starts a long-running job with one task on each worker, and reports all tasks as
/// available.
fn with_lasting_job(workers: usize) -> (Scheduler, Vec<WorkerKey>) {
    let mut scheduler = scheduler(7, ms(1000));
    let keys: Vec<WorkerKey> = (0..workers)
        .map(|index| add_worker(&mut scheduler, index, ms(1000)))
        .collect();
    let mut one_each = lasting(workers as u32);
    one_each.max_per_worker = 1;
    let job = record("urgent", 7, vec![one_each]);
    submit(&mut scheduler, 1, &job, ms(1000));
    let orders = scheduler.plan(ms(1010));
    confirm(&mut scheduler, &orders, ms(1020));
    for &(started, worker) in &starts(&orders) {
        let mut status = status_at(ms(2000));
        status.running = vec![running(started, 1, 100)];
        scheduler.on_worker_status(worker, &status, ms(2000));
    }
    (scheduler, keys)
}

fn request_wave(scheduler: &mut Scheduler, instances: usize, cap: u32) {
    let wave = Wave {
        number: 1,
        instances: (0..instances).map(|index| format!("i{index}")).collect(),
        duration: ms(1000),
        cap,
    };
    let requests = OperatorRequests {
        waves: vec![wave],
        ..OperatorRequests::default()
    };
    scheduler.configure(configuration(), Arc::new(requests));
}

/// Guards against a wave that makes more tasks of a step unavailable than its
/// disruption budget allows, and against more instances in maintenance than the
/// wave's cap.
#[test]
fn wave_keeps_what_a_step_may_miss() {
    let (mut scheduler, _) = with_lasting_job(4);
    let list = (0..4).map(|index| instance(index, "work", InstanceState::Up));
    scheduler.on_instances(list.collect(), ms(2000), ms(2000));
    request_wave(&mut scheduler, 4, 3);
    let orders = scheduler.plan_instances(ms(4000), ms(4000));
    let maintained = |order: &&dotterelsill_jobs::InstanceOrder| {
        matches!(order.action, InstanceAction::Maintain { wave: 1 })
    };
    assert_eq!(orders.iter().filter(maintained).count(), 1, "{orders:?}");
    assert!(scheduler.plan_instances(ms(4100), ms(4100)).is_empty());
}

/// Guards against tasks that count as available on a crashed worker whose lease has
/// not ended yet.
#[test]
fn runs_of_a_silent_worker_count_as_away() {
    let (mut scheduler, keys) = with_lasting_job(4);
    let list = (0..4).map(|index| instance(index, "work", InstanceState::Up));
    scheduler.on_instances(list.collect(), ms(2000), ms(2000));
    scheduler.on_silence(keys[3], ms(3500));
    request_wave(&mut scheduler, 3, 3);
    assert_eq!(scheduler.plan_instances(ms(4000), ms(4000)), []);
}

/// Guards against a long-running task that never runs again: the wave stopped it on an
/// instance that waits for the step's disruption budget to stop the next one, no other
/// worker has the room, and the instance gets no tasks.
#[test]
fn draining_instance_returns_for_a_task_that_only_it_has_room_for() {
    let mut scheduler = scheduler(7, ms(1000));
    let keys = [0, 1].map(|index| add_worker(&mut scheduler, index, ms(1000)));
    let two_each = jobs::Step {
        max_per_worker: 2,
        may_miss: 1,
        is_lasting: true,
        ..step(4, 2000)
    };
    submit(
        &mut scheduler,
        1,
        &record("urgent", 7, vec![two_each]),
        ms(1000),
    );
    let orders = scheduler.plan(ms(1010));
    assert_eq!(starts(&orders).len(), 4);
    confirm(&mut scheduler, &orders, ms(1020));
    let of = |key| {
        starts(&orders)
            .into_iter()
            .filter(move |start| start.1 == key)
    };
    let mut status = status_at(ms(2000));
    for key in keys {
        status.running = of(key).map(|(task, _)| running(task, 1, 100)).collect();
        scheduler.on_worker_status(key, &status, ms(2000));
    }
    let list = [0, 1].map(|index| instance(index, "work", InstanceState::Up));
    scheduler.on_instances(list.to_vec(), ms(2000), ms(2000));
    request_wave(&mut scheduler, 1, 1);
    assert_eq!(scheduler.plan_instances(ms(2100), ms(2100)), []);
    let stops = scheduler.plan(ms(2110));
    let (stopped, attempt) = stops[0].order.run();
    assert_eq!((stops.len(), stops[0].worker), (1, keys[0]));
    assert!(matches!(stops[0].order, Order::Stop { .. }), "{stops:?}");
    confirm(&mut scheduler, &stops, ms(2150));
    let mut status = status_at(ms(2200));
    status.running = of(keys[0])
        .filter(|(task, _)| *task != stopped)
        .map(|(task, _)| running(task, 1, 100))
        .collect();
    status.ended = vec![ended(1, stopped, attempt, RunOutcome::Stopped)];
    scheduler.on_worker_status(keys[0], &status, ms(2200));
    // The other instance is full, and this one is still to be maintained.
    for now in [2300, 3300, 4100] {
        assert_eq!(scheduler.plan_instances(ms(now), ms(now)), []);
        assert_eq!(scheduler.plan(ms(now)), []);
    }
    assert_eq!(scheduler.plan_instances(ms(4300), ms(4300)), []);
    assert_eq!(
        starts(&scheduler.plan(ms(4310))),
        [(stopped, keys[0])],
        "the task runs again within 3 s of its end"
    );
    // The wave goes on later.
    assert!(!scheduler.wave_changes()[0].is_completed);
}

/// Guards against a wave that is reported as completed before the maintenance of
/// all of its instances has begun.
#[test]
fn wave_is_completed_once_all_have_begun() {
    let mut scheduler = scheduler(7, ms(1000));
    let list = (0..2).map(|index| instance(index, "off", InstanceState::Up));
    scheduler.on_instances(list.collect(), ms(2000), ms(2000));
    request_wave(&mut scheduler, 2, 1);
    let orders = scheduler.plan_instances(ms(4000), ms(4000));
    assert_eq!(orders.len(), 1);
    assert!(!scheduler.wave_changes()[0].is_completed);
    scheduler.on_instance_answer(&orders[0], InstanceAnswer::Done, ms(4010));
    assert_eq!(scheduler.plan_instances(ms(4100), ms(4100)), []);
    assert!(!scheduler.wave_changes()[0].is_completed);
    let mut list: Vec<Instance> = (0..2)
        .map(|index| instance(index, "off", InstanceState::Up))
        .collect();
    list.iter_mut().for_each(|instance| instance.worker.clear());
    scheduler.on_instances(list, ms(6400), ms(6400));
    let orders = scheduler.plan_instances(ms(6500), ms(6500));
    assert_eq!(orders.len(), 1);
    scheduler.on_instance_answer(&orders[0], InstanceAnswer::Done, ms(6510));
    scheduler.plan_instances(ms(6600), ms(6600));
    assert!(scheduler.wave_changes()[0].is_completed);
}

/// Guards against tasks that run twice because the list entry of their worker's
/// instance cannot be parsed for a while.
#[test]
fn worker_goes_on_while_its_instance_is_unreadable() {
    let (mut scheduler, keys) = with_lasting_job(2);
    let up = |index| instance(index, "work", InstanceState::Up);
    scheduler.on_instances(vec![up(0), up(1)], ms(3000), ms(3000));
    for at in [4000, 5000, 6000, 7000] {
        let mut odd = instance(0, "", InstanceState::Unknown);
        odd.worker.clear();
        scheduler.on_instances(vec![odd, up(1)], ms(at), ms(at));
        assert!(scheduler.is_busy(keys[0]), "after {at} ms");
    }
}

/// Guards against tasks of a crashed worker that wait until its lease ends although
/// its instance is known to be down, and against a worker that counts as ended
/// although it is only unreachable.
#[test]
fn worker_ends_with_its_instance() {
    let (mut scheduler, keys) = with_lasting_job(2);
    let up = |index| instance(index, "work", InstanceState::Up);
    scheduler.on_instances(vec![up(0), up(1)], ms(3000), ms(3000));
    scheduler.on_silence(keys[0], ms(3500));
    scheduler.on_silence(keys[1], ms(3500));
    let down = Instance {
        worker: String::new(),
        ..instance(0, "work", InstanceState::Down)
    };
    scheduler.on_instances(vec![down, up(1)], ms(4000), ms(4000));
    assert!(!scheduler.is_busy(keys[0]));
    assert!(scheduler.is_busy(keys[1]));
}

/// Guards against a record in another format that is misread.
#[test]
fn record_of_another_format_is_refused() {
    let mut other = record("urgent", 1, vec![step(1, 1)]);
    other.format = FORMAT + 1;
    assert!(JobSpec::try_from(&other).is_err());
}

/// Guards against progress that is lost between memory and the stored record.
#[test]
fn progress_survives_a_takeover() {
    let mut first = scheduler(3, ms(1000));
    let key = add_worker(&mut first, 0, ms(1000));
    let two_steps = vec![
        step(2, 1000),
        jobs::Step {
            after: vec![0],
            ..step(1, 1000)
        },
    ];
    let record = record("urgent", 3, two_steps);
    submit(&mut first, 1, &record, ms(1000));
    let orders = first.plan(ms(1010));
    confirm(&mut first, &orders, ms(1020));
    let mut status = status_at(ms(2000));
    status.ended = vec![
        ended(1, task(1, 0, 0), 1, RunOutcome::Done),
        ended(2, task(1, 0, 1), 1, RunOutcome::Failed),
    ];
    first.on_worker_status(key, &status, ms(2000));
    let stored: ProgressRecord = first.take_changes(1).remove(0).record;
    let mut second = scheduler(7, ms(3000));
    second
        .restore(JobId(1), &record, Some((&stored, 9)), ms(3000))
        .unwrap();
    second.open_due_jobs(ms(3000));
    let key = add_worker(&mut second, 0, ms(3000));
    let orders = second.plan(ms(3010));
    assert_eq!(starts(&orders), [(task(1, 0, 1), key)]);
    confirm(&mut second, &orders, ms(3020));
    let mut status = status_at(ms(4000));
    let (_, attempt) = orders[0].order.run();
    status.ended = vec![ended(3, task(1, 0, 1), attempt, RunOutcome::Failed)];
    second.on_worker_status(key, &status, ms(4000));
    let change = second.take_changes(1).remove(0);
    assert_eq!(change.record.phase(), Phase::Failed, "two runs have failed");
}

/// Guards against jobs that are reported as running although each worker has refused
/// to start their tasks.
#[test]
fn refused_start_does_not_begin_a_job() {
    let mut scheduler = scheduler(7, ms(1000));
    let key = add_worker(&mut scheduler, 0, ms(1000));
    submit(
        &mut scheduler,
        1,
        &record("urgent", 7, vec![step(1, 1000)]),
        ms(1000),
    );
    let orders = scheduler.plan(ms(1010));
    assert_eq!(orders.len(), 1);
    for answer in [Answer::Unhealthy, Answer::NoRoom, Answer::Late] {
        scheduler.on_answer(key, &orders[0].order, answer, false, ms(1020));
        assert_eq!(scheduler.pending("urgent"), 1, "{answer:?}");
    }
    assert!(scheduler
        .state(JobId(1))
        .is_some_and(|state| !state.has_begun));
}

/// Guards against a task that is started more often than its queue allows, because its
/// last run failed while the queue was not configured, and against other steps of its
/// job that start in the plan that fails the job.
#[test]
fn attempts_are_limited_though_the_queue_was_away() {
    let mut scheduler = scheduler(7, ms(1000));
    let key = add_worker(&mut scheduler, 0, ms(1000));
    submit(
        &mut scheduler,
        1,
        &record("urgent", 7, vec![step(1, 1000), step(1, 9000)]),
        ms(1000),
    );
    for (number, now) in [(1, 1000), (2, 3000)] {
        let orders = scheduler.plan(ms(now + 10));
        assert_eq!(starts(&orders), [(task(1, 0, 0), key)]);
        confirm(&mut scheduler, &orders, ms(now + 20));
        if number == 2 {
            scheduler.configure(Arc::default(), Arc::default());
        }
        let mut status = status_at(ms(now + 100));
        status.ended = vec![ended(number, task(1, 0, 0), number, RunOutcome::Failed)];
        scheduler.on_worker_status(key, &status, ms(now + 100));
    }
    scheduler.configure(configuration(), Arc::default());
    // The second step fits on a further worker alone.
    let mut larger = report(1, "dc");
    larger.capacity.cpu_milli = 9000;
    let (other, _) = scheduler.on_report(larger, ms(5900));
    let granted = scheduler.granted();
    scheduler.on_granted_stored(&granted);
    scheduler.on_worker_status(other, &status_at(ms(5950)), ms(5950));
    let orders = scheduler.plan(ms(6000));
    assert!(orders.is_empty(), "{orders:?}");
    let changes = scheduler.take_changes(10);
    assert_eq!(changes[0].record.phase(), Phase::Failed);
}

/// Guards against members of a gang that resume from different checkpoints, and so never
/// get together: after the loss of one member, the others end with newer ones.
#[test]
fn members_of_a_gang_resume_from_one_checkpoint() {
    let mut scheduler = scheduler(7, ms(1000));
    let keys = [0, 1].map(|index| add_worker(&mut scheduler, index, ms(1000)));
    let gang = jobs::Step {
        is_gang: true,
        max_per_worker: 1,
        ..step(2, 1000)
    };
    submit(
        &mut scheduler,
        1,
        &record("urgent", 7, vec![gang]),
        ms(1000),
    );
    let orders = scheduler.plan(ms(1010));
    confirm(&mut scheduler, &orders, ms(1020));
    let index_on = |key| {
        let started = starts(&orders);
        let on_it = started.iter().find(|(_, worker)| *worker == key);
        on_it
            .map(|(task, _)| task.index)
            .expect("each worker has a member")
    };
    let (lost, broken) = (index_on(keys[0]), index_on(keys[1]));
    let mut status = status_at(ms(1100));
    status.running = vec![running(task(1, 0, lost), 1, 40)];
    status.running[0].checkpoint = "older".to_owned();
    scheduler.on_worker_status(keys[0], &status, ms(1100));
    scheduler.on_other_worker(keys[0], "127.0.0.1:2000", ms(1190), ms(1200));
    let mut status = status_at(ms(1300));
    status.ended = vec![ended(1, task(1, 0, broken), 1, RunOutcome::Broken)];
    status.ended[0].checkpoint = "newer".to_owned();
    scheduler.on_worker_status(keys[1], &status, ms(1300));
    add_worker(&mut scheduler, 2, ms(1400));
    let orders = scheduler.plan(ms(2000));
    let checkpoints = orders.iter().map(|order| match &order.order {
        Order::Start { checkpoint, .. } => checkpoint.as_str(),
        other => panic!("not a start: {other:?}"),
    });
    assert_eq!(checkpoints.collect::<Vec<_>>(), ["newer", "newer"]);
}

/// Guards against starts that wait for a silent worker and are sent although the worker
/// was evacuated, or has begun to drain, since they were decided.
#[test]
fn start_that_waited_is_not_sent_to_a_worker_that_is_emptied() {
    let excluded = dotterelsill_jobs::OperatorRequests {
        excluded_data_centres: ["dc".to_owned()].into(),
        ..dotterelsill_jobs::OperatorRequests::default()
    };
    let draining = WorkerReport {
        is_draining: true,
        ..report(0, "dc")
    };
    for (is_evacuated, may_come_late) in [(true, false), (true, true), (false, false)] {
        let mut scheduler = scheduler(7, ms(1000));
        let key = add_worker(&mut scheduler, 0, ms(1000));
        submit(
            &mut scheduler,
            1,
            &record("urgent", 7, vec![step(1, 1000)]),
            ms(1000),
        );
        let orders = scheduler.plan(ms(1010));
        let start = &orders[0].order;
        scheduler.on_silence(key, ms(1020));
        assert!(scheduler.may_send(key, start, may_come_late, ms(1030)));
        if is_evacuated {
            scheduler.configure(configuration(), Arc::new(excluded.clone()));
        } else {
            scheduler.on_report(draining.clone(), ms(1040));
        }
        scheduler.on_worker_status(key, &status_at(ms(1100)), ms(1100));
        assert!(!scheduler.may_send(key, start, may_come_late, ms(1110)));
        let (elsewhere, _) = scheduler.on_report(report(1, "other"), ms(1120));
        let granted = scheduler.granted();
        scheduler.on_granted_stored(&granted);
        scheduler.on_worker_status(elsewhere, &status_at(ms(1130)), ms(1130));
        let orders = scheduler.plan(ms(1140));
        if may_come_late {
            // The stop must settle first that the worker does not run the task.
            assert!(matches!(orders[0].order, Order::Stop { .. }), "{orders:?}");
            assert_eq!(starts(&orders), []);
            scheduler.on_answer(key, &orders[0].order, Answer::Old, false, ms(1150));
            scheduler.on_worker_status(key, &status_at(ms(1170)), ms(1170));
            assert_eq!(starts(&scheduler.plan(ms(1180))).len(), 1);
        } else {
            assert_eq!(starts(&orders), [(task(1, 0, 0), elsewhere)]);
        }
    }
}

/// Guards against a job whose begin is not noticed, because the worker lists the end
/// of its task before the answer to the start arrives.
#[test]
fn listed_end_begins_a_job() {
    let mut scheduler = scheduler(7, ms(1000));
    let key = add_worker(&mut scheduler, 0, ms(1000));
    submit(
        &mut scheduler,
        1,
        &record("urgent", 7, vec![step(1, 1000)]),
        ms(1000),
    );
    scheduler.plan(ms(1010));
    let mut status = status_at(ms(1100));
    status.ended = vec![ended(1, task(1, 0, 0), 1, RunOutcome::Failed)];
    scheduler.on_worker_status(key, &status, ms(1100));
    assert_eq!(scheduler.pending("urgent"), 0);
}

/// Guards against a scheduler that waits for the leases of workers that its
/// predecessor knew to have ended: these must leave the stored record.
#[test]
fn ended_workers_leave_the_record() {
    let mut first = scheduler(7, ms(1000));
    let (gone, stays) = (add_worker(&mut first, 0, ms(1000)), report(1, "dc"));
    add_worker(&mut first, 1, ms(1000));
    assert!(!first.has_granted_change());
    first.on_other_worker(gone, "127.0.0.1:2000", ms(1990), ms(2000));
    first.expire_leases(ms(2050));
    assert!(first.has_granted_change());
    let record = first.granted();
    first.on_granted_stored(&record);
    assert!(!first.has_granted_change());

    let mut second = scheduler(8, ms(3000));
    for worker in &record {
        second.restore_granted_worker(worker, ms(3000));
    }
    let job = record_of_seven();
    second.restore(JobId(1), &job, None, ms(3000)).unwrap();
    second.open_due_jobs(ms(3000));
    let (key, _) = second.on_report(stays, ms(3010));
    second.on_worker_status(key, &status_at(ms(3020)), ms(3020));
    second.on_granted_stored(&record);
    let orders = second.plan(ms(3030));
    assert_eq!(starts(&orders), [(task(1, 0, 0), key)]);
}

fn record_of_seven() -> JobRecord {
    record("urgent", 7, vec![step(1, 1000)])
}

/// Guards against an explanation that names another reason than the one for which
/// the plan skipped the tasks.
#[test]
fn explanation_names_what_a_step_waits_for() {
    let mut scheduler = scheduler(7, ms(1000));
    let key = add_worker(&mut scheduler, 0, ms(1000));
    let mut second = step(1, 1000);
    second.after = vec![0];
    let job = record("urgent", 7, vec![step(5, 1000), second]);
    submit(&mut scheduler, 1, &job, ms(1000));
    let orders = scheduler.plan(ms(1010));
    confirm(&mut scheduler, &orders, ms(1020));
    let mut status = status_at(ms(1100));
    status.ended = vec![ended(1, task(1, 0, 3), 1, RunOutcome::Failed)];
    status.running = (0..3)
        .map(|index| running(task(1, 0, index), 1, 40))
        .collect();
    scheduler.on_worker_status(key, &status, ms(1100));
    scheduler.plan(ms(1110));
    insta::assert_snapshot!(scheduler.explain(JobId(1), ms(1120)).unwrap());
}

/// Guards against a new scheduler that starts the maintenance of an instance before
/// reading which runs it has, or that ends long-running tasks while orders of its
/// predecessor may end others of the same step.
#[test]
fn new_scheduler_maintains_only_what_surely_runs_nothing() {
    let limits = dotterelsill_jobs::Limits {
        alternation_window: ms(3000),
        ..limits()
    };
    let mut scheduler = Scheduler::new(8, limits, ms(1000));
    request_wave(&mut scheduler, 4, 4);
    let list: Vec<Instance> = (0..4)
        .map(|index| instance(index, "work", InstanceState::Up))
        .collect();
    scheduler.on_instances(list, ms(1000), ms(1000));
    let maintained = |orders: &[dotterelsill_jobs::InstanceOrder]| -> Vec<String> {
        let is_wave = |o: &&dotterelsill_jobs::InstanceOrder| {
            matches!(o.action, InstanceAction::Maintain { .. })
        };
        let orders = orders.iter().filter(is_wave);
        orders.map(|order| order.instance.clone()).collect()
    };
    // No worker is known yet, although the list names one for each instance.
    let orders = scheduler.plan_instances(ms(1100), ms(1100));
    assert!(maintained(&orders).is_empty(), "{orders:?}");
    let lasting_job = record("urgent", 7, vec![lasting(1)]);
    scheduler
        .restore(JobId(1), &lasting_job, None, ms(1100))
        .unwrap();
    let busy = add_worker(&mut scheduler, 0, ms(1200));
    let mut status = status_at(ms(1300));
    status.running = vec![running(task(1, 0, 0), 1, 100)];
    scheduler.on_worker_status(busy, &status, ms(1300));
    add_worker(&mut scheduler, 1, ms(1300));
    let orders = scheduler.plan_instances(ms(1400), ms(1400));
    assert_eq!(maintained(&orders), ["i1"]);
    // After the alternation window and the time of a call, the disruption budget
    // covers the long-running task again.
    let orders = scheduler.plan_instances(ms(5600), ms(5600));
    assert!(maintained(&orders).contains(&"i0".to_owned()), "{orders:?}");
}

/// Guards against maintenance that ends long-running tasks which became available
/// after the worker's last status.
#[test]
fn starting_tasks_count_as_at_work_when_they_end() {
    let mut scheduler = scheduler(7, ms(1000));
    add_worker(&mut scheduler, 0, ms(1000));
    let job = record("urgent", 7, vec![lasting(2)]);
    submit(&mut scheduler, 1, &job, ms(1000));
    let orders = scheduler.plan(ms(1010));
    assert_eq!(starts(&orders).len(), 2);
    confirm(&mut scheduler, &orders, ms(1020));
    // Both tasks may have become available since; the disruption budget covers one
    // of them, not two.
    let list = vec![instance(0, "work", InstanceState::Up)];
    scheduler.on_instances(list, ms(1400), ms(1400));
    request_wave(&mut scheduler, 1, 1);
    assert_eq!(scheduler.plan_instances(ms(1500), ms(1500)), []);
    assert_eq!(scheduler.plan_instances(ms(5500), ms(5500)), []);
}

/// Creates four instances with one long-running task each and one idle instance,
/// and orders the maintenance of one of the four, which is answered as done at 4010
/// ms.
fn with_maintenance_done() -> (Scheduler, usize) {
    let (mut scheduler, _) = with_lasting_job(4);
    add_worker(&mut scheduler, 4, ms(2000));
    scheduler.on_instances(all_up(), ms(2000), ms(2000));
    request_wave(&mut scheduler, 4, 1);
    let orders = scheduler.plan_instances(ms(4000), ms(4000));
    assert_eq!(orders.len(), 1, "{orders:?}");
    scheduler.on_instance_answer(&orders[0], InstanceAnswer::Done, ms(4010));
    let index = orders[0].instance[1..]
        .parse::<usize>()
        .expect("instances are numbered");
    (scheduler, index)
}

fn all_up() -> Vec<Instance> {
    (0..5)
        .map(|index| instance(index, "work", InstanceState::Up))
        .collect()
}

/// Guards against runs that count as ended, and are started again, when a
/// maintenance order is answered as done although the maintenance had been executed
/// for an earlier scheduler. The worker keeps running in this case.
#[test]
fn maintenance_that_was_done_before_ends_no_runs() {
    let (mut scheduler, index) = with_maintenance_done();
    // The worker is alive and answers; its task must not be started elsewhere.
    scheduler.on_report(report(index, "dc"), ms(4020));
    assert_eq!(starts(&scheduler.plan(ms(4030))), []);
    scheduler.on_instances(all_up(), ms(4040), ms(4050));
    assert_eq!(starts(&scheduler.plan(ms(4060))), []);
}

/// Guards against a worker that gets no more tasks because its instance was ordered
/// a maintenance that it already had.
#[test]
fn worker_is_used_again_after_maintenance_that_was_done_before() {
    let (mut scheduler, index) = with_maintenance_done();
    let wide = jobs::Step {
        max_per_worker: 1,
        ..step(5, 500)
    };
    submit(
        &mut scheduler,
        2,
        &record("urgent", 7, vec![wide]),
        ms(4020),
    );
    let orders = scheduler.plan(ms(4030));
    assert_eq!(starts(&orders).len(), 4, "{orders:?}");
    // A list may be outdated; one requested later is not.
    scheduler.on_instances(all_up(), ms(4100), ms(4110));
    assert_eq!(starts(&scheduler.plan(ms(4120))), []);
    scheduler.on_instances(all_up(), ms(5600), ms(5610));
    let granted = scheduler.granted();
    scheduler.on_granted_stored(&granted);
    let orders = scheduler.plan(ms(5620));
    let started = starts(&orders);
    let ids: Vec<&str> = started
        .iter()
        .filter_map(|(_, key)| Some(scheduler.worker_address(*key)?.0))
        .collect();
    assert_eq!(ids, [format!("w{index}")]);
}

/// Guards against long-running tasks that stay unavailable after maintenance ended
/// them, and against a list requested before the order that counts as evidence of
/// it.
#[test]
fn maintenance_ends_runs_once_a_list_shows_it() {
    for (state, worker) in [
        (InstanceState::Maintenance, ""),
        (InstanceState::Down, ""),
        (InstanceState::Up, "another"),
    ] {
        let (mut scheduler, index) = with_maintenance_done();
        let mut list = all_up();
        list[index].state = state;
        worker.clone_into(&mut list[index].worker);
        scheduler.on_instances(list.clone(), ms(4000), ms(4020));
        assert_eq!(starts(&scheduler.plan(ms(4030))), [], "{state:?}");
        scheduler.on_instances(list, ms(4040), ms(4050));
        assert_eq!(starts(&scheduler.plan(ms(4060))).len(), 1, "{state:?}");
    }
}

/// Guards against a worker that goes on after a maintenance order, and whose runs are
/// started elsewhere for a list of instances that was requested before its last answer, or
/// so soon after that it may show what was so before.
#[test]
fn late_list_after_a_maintenance_order_ends_no_worker_that_answered_since() {
    let (mut scheduler, index) = with_maintenance_done();
    let (key, _) = scheduler.on_report(report(index, "dc"), ms(4020));
    let mut status = status_at(ms(4500));
    status.running = vec![running(task(1, 0, index as u32), 1, 100)];
    scheduler.on_worker_status(key, &status, ms(4500));
    let orders = scheduler.plan(ms(4510));
    assert!(orders.is_empty(), "{orders:?}");
    let mut list = all_up();
    list[index].state = InstanceState::Maintenance;
    list[index].worker.clear();
    for requested_at in [4400, 5900] {
        scheduler.on_instances(list.clone(), ms(requested_at), ms(requested_at + 200));
        let orders = scheduler.plan(ms(requested_at + 210));
        assert_eq!(starts(&orders), [], "requested at {requested_at} ms");
    }
    scheduler.on_instances(list, ms(6100), ms(6110));
    assert_eq!(starts(&scheduler.plan(ms(6120))).len(), 1);
}

/// Guards against a long-running task that never starts while its pool is full: what
/// short tasks leave free is smaller than what it needs, and goes to further short tasks
/// each time.
#[test]
fn room_is_held_back_for_a_waiting_long_running_task() {
    let mut scheduler = scheduler(7, ms(1000));
    let keys = [0, 1].map(|index| add_worker(&mut scheduler, index, ms(1000)));
    let job = record("urgent", 7, vec![step(100, 1000)]);
    submit(&mut scheduler, 1, &job, ms(1000));
    let mut running_now = starts(&scheduler.plan(ms(1010)));
    assert_eq!(running_now.len(), 8);
    let large = jobs::Step {
        is_lasting: true,
        ..step(1, 3000)
    };
    submit(
        &mut scheduler,
        2,
        &record("patient", 7, vec![large]),
        ms(1020),
    );
    // One short task ends every 250 ms, on each of the two workers in turn.
    let mut number = [0, 0];
    for round in 1..=12_u64 {
        let now = ms(1100 + 250 * round);
        let worker = round as usize % 2;
        let ends_on = |start: &(TaskId, WorkerKey)| start.1 == keys[worker];
        if let Some(position) = running_now.iter().position(ends_on) {
            let (task, _) = running_now.remove(position);
            number[worker] += 1;
            let mut status = status_at(now);
            status.ended = vec![ended(number[worker], task, 1, RunOutcome::Done)];
            let of_worker = running_now.iter().filter(|start| ends_on(start));
            status.running = of_worker.map(|start| running(start.0, 1, 50)).collect();
            scheduler.on_worker_status(keys[worker], &status, now);
        }
        let orders = scheduler.plan(now);
        confirm(&mut scheduler, &orders, now);
        let started = starts(&orders);
        if started.iter().any(|start| start.0 == task(2, 0, 0)) {
            // The other worker was in use all the while.
            assert!(running_now.iter().any(|start| start.1 != keys[worker]));
            return;
        }
        running_now.extend(started);
    }
    panic!("the task has not started within 3 s: {running_now:?}");
}

/// Guards against a job of many long-running tasks that keeps the room of all workers
/// from the tasks of others, and against the time that a plan takes for that.
#[test]
fn room_is_held_back_for_few_long_running_tasks_at_a_time() {
    let mut scheduler = scheduler(7, ms(1000));
    let keys: Vec<WorkerKey> = (0..8)
        .map(|index| add_worker(&mut scheduler, index, ms(1000)))
        .collect();
    let job = record("urgent", 7, vec![step(200, 1000)]);
    submit(&mut scheduler, 1, &job, ms(1000));
    let running_now = starts(&scheduler.plan(ms(1010)));
    assert_eq!(running_now.len(), 32);
    let large = jobs::Step {
        is_lasting: true,
        ..step(1000, 3000)
    };
    let job = record("patient", 7, vec![large]);
    submit(&mut scheduler, 2, &job, ms(1020));
    for key in keys {
        let mut here = running_now.iter().filter(|start| start.1 == key);
        let first = here.next().expect("the worker runs tasks").0;
        let mut status = status_at(ms(1300));
        status.ended = vec![ended(1, first, 1, RunOutcome::Done)];
        status.running = here.map(|start| running(start.0, 1, 50)).collect();
        scheduler.on_worker_status(key, &status, ms(1300));
    }
    let started = starts(&scheduler.plan(ms(1310)));
    assert_eq!(started.len(), 4, "{started:?}");
}
