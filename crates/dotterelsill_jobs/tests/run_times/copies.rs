//! Second runs of tasks of speculative steps.

use dotterelsill_jobs::{
    JobId,
    RunOutcome,
    WorkerOrder,
    WorkerStatus, //
};
use dotterelsill_proto::jobs::{
    Phase,
    Step, //
};

use crate::{
    common::{
        add_worker,
        confirm,
        ended,
        ms,
        record,
        running,
        scheduler,
        starts,
        status_at,
        step,
        submit,
        task, //
    },
    sim::Sim, //
};

fn speculative(count: u32) -> Step {
    Step {
        is_speculative: true,
        ..step(count, 1000)
    }
}

/// Guards against jobs that wait for a straggler of 7 times the usual run time, against
/// copies of other tasks, and against more than two runs of a task.
#[test]
fn stragglers_are_copied() {
    let mut sim = Sim::new(20);
    sim.straggles = |number, _| if number % 20 == 7 { 7 } else { 1 };
    sim.submit(1, &record("urgent", 7, vec![speculative(60)]));
    sim.run_until(ms(5000));
    assert_eq!(sim.done_at.len(), 60);
    // Three runs straggle. They end at the earliest 7 s after their start.
    assert_eq!(sim.tasks_started_again(), 3, "{:?}", sim.starts);
    let counts = sim.scheduler.take_run_counts();
    assert_eq!((counts.copies_started, counts.copies_ended_first), (3, 3));
    assert_eq!(sim.stops.len(), 3, "the other runs are stopped");
    assert_eq!(
        sim.scheduler.state(JobId(1)).map(|state| state.phase),
        Some(Phase::Completed)
    );
}

/// Guards against second runs of tasks whose step does not allow them, or whose runs
/// are not measured.
#[test]
fn only_speculative_steps_are_copied() {
    let copies_of = |step: Step| {
        let mut sim = Sim::new(20);
        // The other runs take twice as long as expected, so that none ends meanwhile.
        sim.straggles = |number, _| if number == 7 { 20 } else { 2 };
        sim.are_fillers = step.is_filler;
        sim.submit(1, &record("urgent", 7, vec![step]));
        sim.run_until(ms(2900));
        assert_eq!(sim.starts.len() - sim.tasks_started_again(), 60);
        sim.scheduler.take_run_counts().copies_started
    };
    assert_eq!(copies_of(speculative(60)), 1);
    assert_eq!(copies_of(step(60, 1000)), 0);
    let gang = Step {
        is_gang: true,
        ..speculative(60)
    };
    assert_eq!(copies_of(gang), 0);
    let filler = Step {
        is_filler: true,
        ..speculative(60)
    };
    assert_eq!(copies_of(filler), 0);
    let lasting = Step {
        is_lasting: true,
        ..speculative(60)
    };
    assert_eq!(copies_of(lasting), 0);
}

/// Guards against copies that take the room of waiting tasks.
#[test]
fn copies_are_started_only_after_all_waiting_tasks() {
    let mut sim = Sim::new(2);
    sim.straggles = |number, _| if number == 0 { 20 } else { 1 };
    sim.submit(1, &record("urgent", 7, vec![speculative(1)]));
    sim.submit(2, &record("patient", 7, vec![step(42, 1000)]));
    sim.run_until(ms(5900));
    assert!(sim.starts.len() < 43, "some tasks wait for room");
    assert_eq!(sim.scheduler.take_run_counts().copies_started, 0);
    sim.run_until(ms(10_500));
    assert_eq!(sim.scheduler.take_run_counts().copies_started, 1);
}

/// Guards against copies in room that is too small for a waiting task, which would then
/// wait longer.
#[test]
fn copies_leave_room_for_a_large_task() {
    let mut sim = Sim::new(3);
    sim.straggles = |number, _| match number {
        0 => 20,
        1..10 => 4,
        _ => 1,
    };
    sim.submit(1, &record("urgent", 7, vec![speculative(1)]));
    let mut long = step(9, 1000);
    long.estimated_ms = 4000;
    sim.submit(2, &record("urgent", 7, vec![long]));
    sim.run_until(ms(1010));
    sim.submit(3, &record("urgent", 7, vec![step(1, 4000)]));
    sim.run_until(ms(4900));
    assert_eq!(sim.starts.len(), 10, "the large task waits");
    sim.run_until(ms(6000));
    assert_eq!(sim.starts_of(task(3, 0, 0)).len(), 1);
    assert_eq!(sim.starts_of(task(1, 0, 0)).len(), 2);
}

/// Guards against more failed runs of a task than its queue allows: both runs may fail.
#[test]
fn nothing_is_copied_after_a_failed_run_if_two_may_fail() {
    let mut scheduler = scheduler(7, ms(1000));
    let first = add_worker(&mut scheduler, 0, ms(1000));
    let other = add_worker(&mut scheduler, 1, ms(1000));
    let job = record("urgent", 7, vec![speculative(1)]);
    submit(&mut scheduler, 1, &job, ms(1000));
    let task = task(1, 0, 0);
    let orders = scheduler.plan(ms(1010));
    confirm(&mut scheduler, &orders, ms(1010));
    let failed = WorkerStatus {
        ended: vec![ended(1, task, 1, RunOutcome::Failed)],
        ..status_at(ms(1100))
    };
    scheduler.on_worker_status(first, &failed, ms(1100));
    scheduler.replan();
    let orders = scheduler.plan(ms(1200));
    assert_eq!(starts(&orders), [(task, other)]);
    confirm(&mut scheduler, &orders, ms(1200));
    let slow = WorkerStatus {
        running: vec![running(task, 2, 5)],
        ..status_at(ms(2000))
    };
    scheduler.on_worker_status(other, &slow, ms(2000));
    assert_eq!(scheduler.plan(ms(2010)), []);
}

/// Guards against a copy because of a status that is old: the run may have ended.
#[test]
fn nothing_is_copied_while_the_worker_is_not_read() {
    let mut sim = Sim::new(4);
    sim.straggles = |number, _| if number == 0 { 20 } else { 1 };
    sim.submit(1, &record("urgent", 7, vec![speculative(1)]));
    // The first status would be read at 2,500 ms.
    sim.run_until(ms(2400));
    sim.workers[0].is_silent = true;
    sim.run_until(ms(6000));
    assert_eq!(sim.starts.len(), 1);
    sim.workers[0].is_silent = false;
    sim.run_until(ms(6500));
    assert_eq!(sim.starts.len(), 2);
}

/// Guards against a takeover after which a copy is stopped, a third run is started, or
/// the other copy goes on after one has ended.
#[test]
fn takeover_keeps_both_runs() {
    let mut sim = Sim::new(4);
    // The copy straggles as well.
    sim.straggles = |_, _| 5;
    let job = record("urgent", 7, vec![speculative(1)]);
    sim.submit(1, &job);
    sim.run_until(ms(3500));
    let both = sim.runs_on(task(1, 0, 0));
    assert_eq!(both.len(), 2);
    sim.take_over(9, &[(1, job)]);
    sim.run_until(ms(5900));
    assert_eq!(sim.runs_on(task(1, 0, 0)), both);
    assert!(sim.stops.is_empty());
    sim.run_until(ms(6700));
    assert_eq!(sim.done_at.len(), 1);
    assert_eq!(sim.stops.len(), 1);
    assert_eq!(sim.runs_on(task(1, 0, 0)), [0_usize; 0]);
    assert_eq!(sim.starts.len(), 2);
}

/// Guards against a start that is carried out after the end `done` of the other run was
/// acknowledged: it was sent before, and its answer was lost.
#[test]
fn end_is_acknowledged_after_the_start_of_a_copy_is_settled() {
    let mut scheduler = scheduler(7, ms(1000));
    let first = add_worker(&mut scheduler, 0, ms(1000));
    let other = add_worker(&mut scheduler, 1, ms(1000));
    submit(
        &mut scheduler,
        1,
        &record("urgent", 7, vec![speculative(1)]),
        ms(1000),
    );
    let task = task(1, 0, 0);
    let orders = scheduler.plan(ms(1010));
    assert_eq!(starts(&orders), [(task, first)]);
    confirm(&mut scheduler, &orders, ms(1010));
    let status = WorkerStatus {
        running: vec![running(task, 1, 5)],
        ..status_at(ms(1600))
    };
    scheduler.on_worker_status(first, &status, ms(1600));
    let copy = scheduler.plan(ms(1610));
    assert_eq!(starts(&copy), [(task, other)]);
    // The copy is sent, and not answered. The first run ends.
    let status = WorkerStatus {
        ended: vec![ended(1, task, 1, RunOutcome::Done)],
        ..status_at(ms(1700))
    };
    scheduler.on_worker_status(first, &status, ms(1700));
    for change in scheduler.take_changes(10) {
        scheduler.on_stored(change.job, change.number, change.expected_revision + 1);
    }
    assert_eq!(scheduler.acknowledged(first), 0);
    let stops: Vec<WorkerOrder> = scheduler.plan(ms(1710));
    assert_eq!(stops.len(), 1);
    confirm(&mut scheduler, &stops, ms(1720));
    scheduler.on_worker_status(first, &status, ms(1730));
    assert_eq!(scheduler.acknowledged(first), 1);
}

/// Guards against a copy that a scheduler orders whose lease has ended: a later one may
/// have seen the task end.
#[test]
fn copies_need_authority() {
    let mut sim = Sim::new(4);
    sim.straggles = |number, _| if number == 0 { 20 } else { 1 };
    sim.submit(1, &record("urgent", 7, vec![speculative(1)]));
    sim.scheduler.set_authority(false);
    sim.run_until(ms(4000));
    assert_eq!(sim.starts.len(), 1);
    sim.scheduler.set_authority(true);
    sim.run_until(ms(4100));
    assert_eq!(sim.starts.len(), 2);
}

/// Guards against a straggler that is found only by the next regular status call, and
/// against calls that are shortened again and again for the same run.
#[test]
fn status_is_requested_once_a_run_is_overdue() {
    let mut sim = Sim::new(1);
    sim.straggles = |_, _| 20;
    let mut short = step(1, 1000);
    short.estimated_ms = 400;
    sim.submit(1, &record("urgent", 7, vec![short]));
    sim.run_until(ms(1010));
    let wait = |sim: &Sim| {
        let worker = sim.workers[0].key;
        sim.scheduler.status_wait(worker, ms(1500), sim.now)
    };
    // The run is overdue 600 ms after its start.
    assert_eq!(wait(&sim), ms(600));
    sim.run_until(ms(1500));
    assert_eq!(wait(&sim), ms(250), "a call has a cost");
    // It is measured at 2,500 ms.
    sim.run_until(ms(2500));
    assert_eq!(wait(&sim), ms(1500));
}

/// Guards against a copy that operators cannot tell from the run that is copied.
#[test]
fn explanation_names_copies() {
    let mut sim = Sim::new(4);
    sim.straggles = |number, _| if number == 0 { 20 } else { 1 };
    sim.submit(1, &record("urgent", 7, vec![speculative(1)]));
    sim.run_until(ms(2600));
    let text = sim.scheduler.explain(JobId(1), sim.now);
    insta::assert_snapshot!(text.expect("the job is known"));
}
