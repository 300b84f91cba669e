//! Single decisions of the scheduler, each with the failure it guards against.

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
    Wave,
    WorkerKey,
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

/// Guards against a restored job whose lost task is never started again: a run
/// that a worker lists before the first tick opens the occurrence.
#[test]
fn restored_job_is_ready_though_a_run_was_found_first() {
    let mut scheduler = scheduler(7, ms(1000));
    let record = record("urgent", 3, vec![lasting(2)]);
    scheduler
        .restore(JobId(1), &record, None, ms(1000))
        .unwrap();
    let (key, _) = scheduler.on_report(report(0, "dc"), ms(1000));
    let mut look = look_at(ms(1010));
    look.running = vec![running(task(1, 0, 0), 1, 100)];
    scheduler.on_worker_status(key, &look, ms(1010));
    let granted = scheduler.granted();
    scheduler.on_granted_stored(&granted);
    scheduler.open_due_jobs(ms(1050));
    let orders = scheduler.plan(ms(1060));
    assert_eq!(starts(&orders), [(task(1, 0, 1), key)]);
}

/// Guards against runs that are taken over and, since this scheduler has granted
/// nothing yet, count as lapsed at once and are started a second time.
#[test]
fn adopted_run_does_not_lapse_before_the_earlier_bound() {
    let mut scheduler = scheduler(7, ms(1000));
    let record = record("urgent", 3, vec![step(1, 1000)]);
    scheduler
        .restore(JobId(1), &record, None, ms(1000))
        .unwrap();
    let (key, _) = scheduler.on_report(report(0, "dc"), ms(1000));
    let mut look = look_at(ms(1010));
    look.running = vec![running(task(1, 0, 0), 1, 10)];
    scheduler.on_worker_status(key, &look, ms(1010));
    scheduler.open_due_jobs(ms(1020));
    scheduler.expire_leases(ms(3000));
    assert!(scheduler.plan(ms(3010)).is_empty());
}

/// Guards against a failed run that is listed before the occurrence is opened,
/// dropped, and not counted against the attempts.
#[test]
fn failed_end_counts_though_it_is_listed_first() {
    let mut scheduler = scheduler(7, ms(1000));
    let record = record("urgent", 3, vec![step(1, 1000)]);
    scheduler
        .restore(JobId(1), &record, None, ms(1000))
        .unwrap();
    let (key, _) = scheduler.on_report(report(0, "dc"), ms(1000));
    let mut look = look_at(ms(1010));
    look.ended = vec![
        ended(1, task(1, 0, 0), 1, RunOutcome::Failed),
        ended(2, task(1, 0, 0), 2, RunOutcome::Failed),
    ];
    scheduler.on_worker_status(key, &look, ms(1010));
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
    let mut look = look_at(ms(2000));
    look.ended = vec![ended(1, task(1, 0, 0), 1, RunOutcome::Done)];
    scheduler.on_worker_status(key, &look, ms(2000));
    assert_eq!(scheduler.acknowledged(key), 0);
    assert_eq!(scheduler.state(JobId(1)).unwrap().phase, Phase::Open);
    let change = scheduler.take_changes(1).remove(0);
    scheduler.on_stored(change.job, change.number, 5);
    assert_eq!(scheduler.acknowledged(key), 1);
    assert_eq!(scheduler.state(JobId(1)).unwrap().phase, Phase::Completed);
}

/// Guards against a worker whose ends are never acknowledged again since one of
/// them came after the end of its job was stored.
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
        let mut look = look_at(ms(2000));
        look.ended = vec![ended(1, task(1, 0, 0), 1, outcome)];
        scheduler.on_worker_status(key, &look, ms(2000));
        assert_eq!(scheduler.acknowledged(key), 1, "{outcome:?}");
        let state = scheduler.state(JobId(1)).unwrap();
        assert_eq!(state.phase, Phase::Cancelled, "{outcome:?}");
        assert!(scheduler.is_stored(JobId(1)));
    }
}

/// Guards against looks at a crashed worker that extend its lease for ever, so
/// that its tasks are never started elsewhere.
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

/// Guards against a second run while an order that was not answered may still be
/// carried out: a refusal of the repeated order does not settle it.
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
    scheduler.on_worker_status(key, &look_at(ms(2000)), ms(2000));
    scheduler.replan();
    assert_eq!(starts(&scheduler.plan(ms(3000))).len(), 1);
}

/// Guards against a cancelled task that runs on since its worker refused the stop
/// as unhealthy.
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

/// Guards against lasting tasks that wait behind a burst for as long as it
/// lasts.
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
/// answer: those whose home lies elsewhere cannot have run there.
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
    scheduler.on_worker_status(north, &look_at(ms(1010)), ms(1010));
    let orders = scheduler.plan(ms(1020));
    assert_eq!(starts(&orders), [(task(1, 0, 0), north)]);
}

/// Guards against a job that leaves its home before that is stored: the next
/// scheduler would look for its runs in the wrong place.
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

/// Guards against a new life of a worker whose ends are acknowledged with the
/// numbers of the life before, and whose runs count as lost although an order
/// for the life before reached it.
#[test]
fn new_life_of_a_worker_is_read_before_its_runs_are_lost() {
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
    let mut born_again = report(if worker == key { 0 } else { 1 }, "dc");
    born_again.started_unix_ms = 2;
    scheduler.on_report(born_again, ms(1500));
    assert!(scheduler.plan(ms(1510)).is_empty());
    let mut look = look_at(ms(1600));
    look.started_unix_ms = 2;
    look.running = vec![running(started, 1, 10)];
    scheduler.on_worker_status(worker, &look, ms(1600));
    scheduler.expire_leases(ms(1700));
    scheduler.replan();
    assert!(scheduler.plan(ms(1710)).is_empty());
}

/// Runs a lasting job with one task on each worker and brings it to work.
fn with_lasting(workers: usize) -> (Scheduler, Vec<WorkerKey>) {
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
        let mut look = look_at(ms(2000));
        look.running = vec![running(started, 1, 100)];
        scheduler.on_worker_status(worker, &look, ms(2000));
    }
    (scheduler, keys)
}

fn ask_wave(scheduler: &mut Scheduler, instances: usize, cap: u32) {
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

/// Guards against a wave that takes more tasks of a step away than it may miss,
/// and against more instances in maintenance than the wave allows.
#[test]
fn wave_keeps_what_a_step_may_miss() {
    let (mut scheduler, _) = with_lasting(4);
    let list = (0..4).map(|index| instance(index, "work", InstanceState::Up));
    scheduler.on_instances(list.collect(), ms(2000), ms(2000));
    ask_wave(&mut scheduler, 4, 3);
    let orders = scheduler.plan_instances(ms(4000), ms(4000));
    let maintained = |order: &&dotterelsill_jobs::InstanceOrder| {
        matches!(order.action, InstanceAction::Maintain { wave: 1 })
    };
    assert_eq!(orders.iter().filter(maintained).count(), 1, "{orders:?}");
    assert!(scheduler.plan_instances(ms(4100), ms(4100)).is_empty());
}

/// Guards against tasks that count as at work on a worker that has crashed and
/// whose lease has not ended yet.
#[test]
fn runs_of_a_silent_worker_count_as_away() {
    let (mut scheduler, keys) = with_lasting(4);
    let list = (0..4).map(|index| instance(index, "work", InstanceState::Up));
    scheduler.on_instances(list.collect(), ms(2000), ms(2000));
    scheduler.on_silence(keys[3], ms(3500));
    ask_wave(&mut scheduler, 3, 3);
    assert_eq!(scheduler.plan_instances(ms(4000), ms(4000)), []);
}

/// Guards against a wave that is reported as completed while an instance of it
/// has not begun its maintenance.
#[test]
fn wave_is_completed_once_all_have_begun() {
    let mut scheduler = scheduler(7, ms(1000));
    let list = (0..2).map(|index| instance(index, "off", InstanceState::Up));
    scheduler.on_instances(list.collect(), ms(2000), ms(2000));
    ask_wave(&mut scheduler, 2, 1);
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

/// Guards against tasks that run twice because the entry of their worker's instance
/// cannot be read for a while.
#[test]
fn worker_goes_on_while_its_instance_is_unreadable() {
    let (mut scheduler, keys) = with_lasting(2);
    let up = |index| instance(index, "work", InstanceState::Up);
    scheduler.on_instances(vec![up(0), up(1)], ms(3000), ms(3000));
    for at in [4000, 5000, 6000, 7000] {
        let mut odd = instance(0, "", InstanceState::Unknown);
        odd.worker.clear();
        scheduler.on_instances(vec![odd, up(1)], ms(at), ms(at));
        assert!(scheduler.is_busy(keys[0]), "after {at} ms");
    }
}

/// Guards against a crashed worker whose tasks wait until its lease ends although
/// its instance is known to be down, and against a worker that is only cut off
/// and counted as ended.
#[test]
fn worker_ends_with_its_instance() {
    let (mut scheduler, keys) = with_lasting(2);
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

/// Guards against a stored form that another version reads wrongly.
#[test]
fn record_of_another_format_is_refused() {
    let mut other = record("urgent", 1, vec![step(1, 1)]);
    other.format = FORMAT + 1;
    assert!(JobSpec::try_from(&other).is_err());
}

/// Guards against progress that is lost between the stored form and memory.
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
    let mut look = look_at(ms(2000));
    look.ended = vec![
        ended(1, task(1, 0, 0), 1, RunOutcome::Done),
        ended(2, task(1, 0, 1), 1, RunOutcome::Failed),
    ];
    first.on_worker_status(key, &look, ms(2000));
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
    let mut look = look_at(ms(4000));
    let (_, attempt) = orders[0].order.run();
    look.ended = vec![ended(3, task(1, 0, 1), attempt, RunOutcome::Failed)];
    second.on_worker_status(key, &look, ms(4000));
    let change = second.take_changes(1).remove(0);
    assert_eq!(change.record.phase(), Phase::Failed, "two runs have failed");
}

/// Guards against a scheduler that waits for the leases of workers which its
/// predecessor knew to have ended: these leave the stored record.
#[test]
fn ended_workers_leave_the_record() {
    let mut first = scheduler(7, ms(1000));
    let (gone, stays) = (add_worker(&mut first, 0, ms(1000)), report(1, "dc"));
    add_worker(&mut first, 1, ms(1000));
    assert!(!first.has_granted_change());
    first.on_other_worker(gone, ms(2000));
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
    second.on_worker_status(key, &look_at(ms(3020)), ms(3020));
    second.on_granted_stored(&record);
    let orders = second.plan(ms(3030));
    assert_eq!(starts(&orders), [(task(1, 0, 0), key)]);
}

fn record_of_seven() -> JobRecord {
    record("urgent", 7, vec![step(1, 1000)])
}

/// Guards against an explanation that names another reason than the one for which
/// a plan left the tasks out.
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
    let mut look = look_at(ms(1100));
    look.ended = vec![ended(1, task(1, 0, 3), 1, RunOutcome::Failed)];
    look.running = (0..3)
        .map(|index| running(task(1, 0, index), 1, 40))
        .collect();
    scheduler.on_worker_status(key, &look, ms(1100));
    scheduler.plan(ms(1110));
    insta::assert_snapshot!(scheduler.explain(JobId(1), ms(1120)).unwrap());
}

/// Guards against a new scheduler that begins the maintenance of an instance
/// whose runs it has not read, or ends lasting tasks while orders of its
/// predecessor may end others of their step.
#[test]
fn new_scheduler_maintains_only_what_surely_runs_nothing() {
    let limits = dotterelsill_jobs::Limits {
        alternation_window: ms(3000),
        ..limits()
    };
    let mut scheduler = Scheduler::new(8, limits, ms(1000));
    ask_wave(&mut scheduler, 4, 4);
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
    // No worker is known yet, though the list names one for each instance.
    let orders = scheduler.plan_instances(ms(1100), ms(1100));
    assert!(maintained(&orders).is_empty(), "{orders:?}");
    let lasting_job = record("urgent", 7, vec![lasting(1)]);
    scheduler
        .restore(JobId(1), &lasting_job, None, ms(1100))
        .unwrap();
    let busy = add_worker(&mut scheduler, 0, ms(1200));
    let mut look = look_at(ms(1300));
    look.running = vec![running(task(1, 0, 0), 1, 100)];
    scheduler.on_worker_status(busy, &look, ms(1300));
    add_worker(&mut scheduler, 1, ms(1300));
    let orders = scheduler.plan_instances(ms(1400), ms(1400));
    assert_eq!(maintained(&orders), ["i1"]);
    // After a turn and the time of a call the lasting task may be missed.
    let orders = scheduler.plan_instances(ms(5600), ms(5600));
    assert!(maintained(&orders).contains(&"i0".to_owned()), "{orders:?}");
}

/// Guards against maintenance that ends lasting tasks which began to work after
/// the last look at their worker.
#[test]
fn starting_tasks_count_as_at_work_when_they_end() {
    let mut scheduler = scheduler(7, ms(1000));
    add_worker(&mut scheduler, 0, ms(1000));
    let job = record("urgent", 7, vec![lasting(2)]);
    submit(&mut scheduler, 1, &job, ms(1000));
    let orders = scheduler.plan(ms(1010));
    assert_eq!(starts(&orders).len(), 2);
    confirm(&mut scheduler, &orders, ms(1020));
    // Both may have come to work since: one of them may be missed, not two.
    let list = vec![instance(0, "work", InstanceState::Up)];
    scheduler.on_instances(list, ms(1400), ms(1400));
    ask_wave(&mut scheduler, 1, 1);
    assert_eq!(scheduler.plan_instances(ms(1500), ms(1500)), []);
    assert_eq!(scheduler.plan_instances(ms(5500), ms(5500)), []);
}

/// Orders the maintenance of one of four instances with a lasting task each, beside
/// an idle one, and has it answered as done at 4010 ms.
fn with_maintenance_done() -> (Scheduler, usize) {
    let (mut scheduler, _) = with_lasting(4);
    add_worker(&mut scheduler, 4, ms(2000));
    scheduler.on_instances(all_up(), ms(2000), ms(2000));
    ask_wave(&mut scheduler, 4, 1);
    let orders = scheduler.plan_instances(ms(4000), ms(4000));
    assert_eq!(orders.len(), 1, "{orders:?}");
    scheduler.on_instance_answer(&orders[0], InstanceAnswer::Done, ms(4010));
    let place = orders[0].instance[1..]
        .parse::<usize>()
        .expect("instances are numbered");
    (scheduler, place)
}

fn all_up() -> Vec<Instance> {
    (0..5)
        .map(|index| instance(index, "work", InstanceState::Up))
        .collect()
}

/// Guards against runs that are taken for ended, and started again, when an order
/// of maintenance is answered as done although an earlier scheduler had it done
/// before: the worker goes on.
#[test]
fn maintenance_that_was_done_before_ends_no_runs() {
    let (mut scheduler, place) = with_maintenance_done();
    // The worker lives and answers; its task must not be started elsewhere.
    scheduler.on_report(report(place, "dc"), ms(4020));
    assert_eq!(starts(&scheduler.plan(ms(4030))), []);
    scheduler.on_instances(all_up(), ms(4040), ms(4050));
    assert_eq!(starts(&scheduler.plan(ms(4060))), []);
}

/// Guards against a worker that gets no more tasks because its instance was
/// ordered a maintenance that it had before.
#[test]
fn worker_is_used_again_after_maintenance_that_was_done_before() {
    let (mut scheduler, place) = with_maintenance_done();
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
    // A list may lag behind; one that was asked for later does not.
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
    assert_eq!(ids, [format!("w{place}")]);
}

/// Guards against lasting tasks that stay away after maintenance which has ended
/// them, and against a list from before the order that is taken for a sign of it.
#[test]
fn maintenance_ends_runs_once_a_list_shows_it() {
    for (state, worker) in [
        (InstanceState::Maintenance, ""),
        (InstanceState::Down, ""),
        (InstanceState::Up, "another"),
    ] {
        let (mut scheduler, place) = with_maintenance_done();
        let mut list = all_up();
        list[place].state = state;
        worker.clone_into(&mut list[place].worker);
        scheduler.on_instances(list.clone(), ms(4000), ms(4020));
        assert_eq!(starts(&scheduler.plan(ms(4030))), [], "{state:?}");
        scheduler.on_instances(list, ms(4040), ms(4050));
        assert_eq!(starts(&scheduler.plan(ms(4060))).len(), 1, "{state:?}");
    }
}
