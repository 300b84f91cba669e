//! Memory of jobs that have ended and whose state can still be queried.

mod common;

use common::{
    memory_kib,
    ms,
    record,
    scheduler,
    step,
    submit, //
};
use dotterelsill_jobs::{
    JobChange,
    JobId, //
};
use dotterelsill_proto::jobs::JobRecord;

/// Guards against jobs that keep their payload and their tasks for as long as their state
/// can be queried: a caller that submits and cancels them fills the memory within that.
#[test]
fn ended_job_takes_no_more_than_its_estimate() {
    const JOBS: u64 = 4000;
    // That of a job with one step.
    const ESTIMATE_BYTES: u64 = 1024 + 192;
    let mut scheduler = scheduler(7, ms(1000));
    let large = JobRecord {
        spec: "x".repeat(4000),
        ..record("patient", 7, vec![step(1, 100)])
    };
    let before_kib = memory_kib();
    for id in 0..JOBS {
        submit(&mut scheduler, id, &large, ms(1000));
        assert!(scheduler.cancel(JobId(id), ms(1000)));
        for JobChange { job, number, .. } in scheduler.take_changes(1) {
            scheduler.on_stored(job, number, 1);
        }
    }
    let per_job = memory_kib().saturating_sub(before_kib) * 1024 / JOBS;
    println!("{per_job} bytes a job of one step that has ended");
    assert!(per_job <= ESTIMATE_BYTES, "a job takes {per_job} bytes");
}
