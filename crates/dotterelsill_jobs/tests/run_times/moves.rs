//! Runs that are stopped on a slow worker and started on another one.

use std::collections::BTreeSet;

use dotterelsill_jobs::{
    JobId,
    TaskId, //
};
use dotterelsill_proto::jobs::Step;

use crate::{
    common::{
        ms,
        record,
        step, //
    },
    sim::Sim, //
};

/// Returns 20 workers of which the first is slow, with 40 tasks on the first ten.
fn one_slow_worker(step: Step) -> Sim {
    let mut sim = Sim::new(20);
    sim.workers[0].factor = 6;
    sim.submit(1, &record("urgent", 7, vec![step]));
    sim
}

/// Guards against jobs that wait for the runs of a slow worker although others have room,
/// and against a start before the old run has ended, which the simulation checks.
#[test]
fn runs_of_a_slow_worker_are_moved() {
    let mut sim = one_slow_worker(step(40, 1000));
    sim.run_until(ms(4300));
    assert_eq!(sim.done_at.len(), 40, "they would end at 7,000 ms");
    assert_eq!(sim.scheduler.take_run_counts().runs_moved, 4);
    let moved = &sim.starts[40..];
    assert_eq!(moved.len(), 4);
    assert!(moved.iter().all(|start| start.worker != 0), "{moved:?}");
    assert!(moved.iter().all(|start| start.attempt == 2));
}

/// Guards against a task that is stopped again and again while one worker after the other
/// is slow.
#[test]
fn task_is_moved_once() {
    let mut sim = one_slow_worker(step(40, 1000));
    sim.run_until(ms(3000));
    let moved: BTreeSet<TaskId> = sim.stops.iter().copied().collect();
    assert_eq!(moved.len(), 4);
    for worker in sim.starts[40..].iter().map(|start| start.worker) {
        sim.workers[worker].factor = 6;
    }
    // Other runs keep most workers at their usual speed.
    sim.submit(2, &record("urgent", 7, vec![step(20, 1000)]));
    sim.run_until(ms(12_000));
    let again = sim.stops[4..].iter().filter(|task| moved.contains(task));
    assert_eq!(again.count(), 0);
    assert_eq!(sim.done_at.len(), 60);
}

/// Guards against stops when all workers are slow, or the expectation is wrong: no run
/// would end earlier elsewhere.
#[test]
fn nothing_is_stopped_while_all_workers_are_slow() {
    let mut sim = Sim::new(20);
    for worker in &mut sim.workers {
        worker.factor = 6;
    }
    for id in 1..6 {
        sim.submit(id, &record("urgent", 7, vec![step(10, 1000)]));
        let end = sim.now + ms(400);
        sim.run_until(end);
    }
    sim.run_until(ms(12_000));
    assert!(sim.stops.is_empty(), "{:?}", sim.stops);
    assert_eq!(sim.done_at.len(), 50);
}

/// Guards against stops of runs whose step is left alone: gangs, fillers and
/// long-running tasks; speculative ones are copied.
#[test]
fn only_plain_runs_are_moved() {
    let others = vec![step(60, 1000)];
    let moved = |step: Step| {
        let mut sim = Sim::new(20);
        sim.workers[0].factor = 6;
        sim.workers[1].factor = 6;
        sim.are_fillers = step.is_filler;
        sim.submit(1, &record("urgent", 7, vec![step]));
        sim.run_until(ms(1010));
        sim.submit(2, &record("urgent", 7, others.clone()));
        sim.run_until(ms(1980));
        assert!(sim.stops.is_empty(), "nothing is known yet");
        sim.run_until(ms(2900));
        let stops = sim.stops.iter();
        stops.filter(|task| task.step.job == JobId(1)).count()
    };
    assert_eq!(moved(step(4, 1000)), 4);
    let gang = Step {
        is_gang: true,
        ..step(4, 1000)
    };
    assert_eq!(moved(gang), 0);
    let filler = Step {
        is_filler: true,
        ..step(4, 1000)
    };
    assert_eq!(moved(filler), 0);
    let lasting = Step {
        is_lasting: true,
        ..step(4, 1000)
    };
    assert_eq!(moved(lasting), 0);
    let speculative = Step {
        is_speculative: true,
        ..step(4, 1000)
    };
    assert_eq!(moved(speculative), 0);
}

/// Guards against a stop that costs more than it saves: little is left of the runs when
/// the worker is found to be slow.
#[test]
fn runs_that_end_soon_are_left_alone() {
    let mut sim = one_slow_worker(step(40, 1000));
    sim.workers[0].factor = 1;
    // The worker gets slow after three quarters of the runs; 1.5 s are left.
    sim.run_until(ms(1750));
    sim.workers[0].factor = 6;
    sim.run_until(ms(6000));
    assert!(sim.stops.is_empty(), "{:?}", sim.stops);
    assert_eq!(sim.done_at.len(), 40);
}

/// Guards against runs that are stopped while other tasks wait for the room.
#[test]
fn nothing_is_moved_while_tasks_wait() {
    let mut sim = Sim::new(4);
    sim.workers[0].factor = 6;
    sim.submit(1, &record("urgent", 7, vec![step(70, 1000)]));
    sim.run_until(ms(5500));
    assert!(sim.starts.len() < 70, "some tasks wait");
    assert!(sim.stops.is_empty(), "{:?}", sim.stops);
}

/// Guards against a second move of a task that an earlier scheduler has moved.
#[test]
fn runs_of_an_earlier_scheduler_are_not_moved() {
    let job = record("urgent", 7, vec![step(40, 1000)]);
    let mut sim = one_slow_worker(step(40, 1000));
    sim.run_until(ms(1500));
    sim.take_over(9, &[(1, job)]);
    sim.run_until(ms(8000));
    assert!(sim.stops.is_empty(), "{:?}", sim.stops);
    assert_eq!(sim.done_at.len(), 40);
}

/// Guards against a stop of a straggler on a worker whose other runs have their usual
/// speed: the task itself may be slow.
#[test]
fn lone_straggler_is_not_moved() {
    let mut sim = Sim::new(20);
    sim.straggles = |number, _| if number == 7 { 7 } else { 1 };
    sim.submit(1, &record("urgent", 7, vec![step(40, 1000)]));
    sim.run_until(ms(9000));
    assert!(sim.stops.is_empty(), "{:?}", sim.stops);
    assert_eq!(sim.done_at.len(), 40);
}
