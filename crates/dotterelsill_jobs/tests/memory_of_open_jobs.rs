//! Memory of open jobs, which their estimate must not be below.

mod common;

use common::{
    memory_kib,
    ms,
    record,
    scheduler,
    step,
    submit, //
};

/// Guards against jobs that take more memory than the bound on it counts.
#[test]
fn open_job_takes_no_more_than_its_estimate() {
    const JOBS: u64 = 4000;
    // That of a job with one step and no payload.
    const ESTIMATE_BYTES: u64 = 1024 + 768;
    let mut scheduler = scheduler(7, ms(1000));
    let small = record("patient", 7, vec![step(1, 100)]);
    let before_kib = memory_kib();
    for id in 0..JOBS {
        submit(&mut scheduler, id, &small, ms(1000));
    }
    let per_job = memory_kib().saturating_sub(before_kib) * 1024 / JOBS;
    println!("{per_job} bytes a job of one step");
    assert!(per_job <= ESTIMATE_BYTES, "a job takes {per_job} bytes");
}
