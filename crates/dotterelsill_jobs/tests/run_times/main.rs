//! Learned run times, slow workers, speculative copies and moved runs.

#[path = "../common/mod.rs"]
mod common;
mod copies;
mod moves;
mod sim;

use std::time::Duration;

use common::{
    ms,
    record,
    step,
    task, //
};
use dotterelsill_jobs::RunTimes;
use sim::Sim;

/// Guards against estimates that are wrong by the same factor for all tasks of an image,
/// so that each of them counts as slow, and against a mean that stragglers raise.
#[test]
fn run_times_are_learned_per_queue_and_image() {
    let mut run_times = RunTimes::default();
    assert_eq!(run_times.expected("queue", "image", ms(100)), ms(100));
    for run in 0..100 {
        // Of the runs 3% take 7 times as long.
        let measured = if run % 33 == 32 { ms(2100) } else { ms(300) };
        run_times.on_done("queue", "image", ms(100), measured);
    }
    let expected = run_times.expected("queue", "image", ms(200));
    assert!((ms(550)..ms(700)).contains(&expected), "{expected:?}");
    assert_eq!(run_times.expected("queue", "other", ms(200)), ms(200));
    assert_eq!(run_times.expected("other", "image", ms(200)), ms(200));
}

/// Guards against memory that grows with each image that was ever run, and against a
/// bound that drops images in use.
#[test]
fn run_times_keep_a_bounded_number_of_images() {
    let mut run_times = RunTimes::default();
    for image in 0..5000 {
        run_times.on_done("queue", &image.to_string(), ms(100), ms(200));
        run_times.on_done("queue", "used", ms(100), ms(200));
    }
    assert_eq!(run_times.expected("queue", "0", ms(100)), ms(100));
    assert!(run_times.expected("queue", "4999", ms(100)) > ms(130));
    assert!(run_times.expected("queue", "used", ms(100)) > ms(190));
}

/// Guards against tasks that are started on a slow worker, although others have room,
/// because the slow worker is the fullest one.
#[test]
fn slow_worker_gets_tasks_last() {
    let mut sim = Sim::new(20);
    sim.workers[0].factor = 6;
    // The first status shows the slow worker, which has room for one more task.
    sim.submit(1, &record("urgent", 7, vec![step(3, 1000)]));
    sim.run_until(ms(2700));
    let before = sim.starts.len();
    for id in 2..12 {
        sim.submit(id, &record("urgent", 7, vec![step(4, 1000)]));
        let end = sim.now + ms(100);
        sim.run_until(end);
    }
    let later = &sim.starts[before..];
    assert_eq!(later.len(), 40);
    assert!(later.iter().all(|start| start.worker != 0), "{later:?}");
    sim.submit(20, &record("urgent", 7, vec![step(80, 1000)]));
    let end = sim.now + ms(100);
    sim.run_until(end);
    let on_slow = sim.starts.iter().filter(|start| start.worker == 0);
    assert_eq!(on_slow.count(), 4, "it is used when the others are full");
}

/// Guards against a worker that counts as slow for one straggler, or because it takes
/// longer than an estimate that is off by half.
#[test]
fn stragglers_and_wrong_estimates_make_no_worker_slow() {
    let mut sim = Sim::new(2);
    // Tasks take twice the estimate, and each sixth start seven times the usual time.
    sim.straggles = |number, _| if number % 6 == 5 { 7 } else { 1 };
    let mut half = step(4, 1000);
    half.estimated_ms = 500;
    for id in 1..20 {
        sim.submit(id, &record("urgent", 7, vec![half.clone()]));
        let end = sim.now + ms(700);
        sim.run_until(end);
        assert_eq!(sim.scheduler.slow_workers(), 0, "{:?}", sim.now);
    }
}

/// Guards against a worker that stays slow after its runs have their usual speed again.
#[test]
fn worker_is_cleared_after_it_was_slow() {
    let mut sim = Sim::new(3);
    sim.workers[0].factor = 6;
    sim.submit(1, &record("urgent", 7, vec![step(4, 1000)]));
    sim.run_until(ms(2700));
    assert_eq!(sim.scheduler.slow_workers(), 1);
    sim.workers[0].factor = 1;
    sim.run_until(ms(2700) + Duration::from_secs(6));
    assert_eq!(sim.scheduler.slow_workers(), 0);
    assert!(sim.done_at.contains_key(&task(1, 0, 0)));
}
