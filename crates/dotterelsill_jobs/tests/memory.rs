//! Memory that the tasks of a job take while they wait.

mod common;

use common::{
    memory_kib,
    ms,
    record,
    scheduler,
    step,
    submit, //
};

/// Guards against state for each task that waits: a job of 10,000 tasks is a request of
/// 100 bytes, and a few dozen of them end each process that schedules for its memory.
#[test]
fn tasks_that_wait_take_no_memory() {
    const JOBS: u64 = 200;
    let mut scheduler = scheduler(7, ms(1000));
    let large = record("patient", 7, vec![step(10_000, 100)]);
    let before_kib = memory_kib();
    for id in 0..JOBS {
        submit(&mut scheduler, id, &large, ms(1000));
    }
    let per_job_kib = memory_kib().saturating_sub(before_kib) / JOBS;
    println!("{per_job_kib} KiB a job of 10,000 tasks");
    assert!(per_job_kib <= 16, "a job takes {per_job_kib} KiB");
}
