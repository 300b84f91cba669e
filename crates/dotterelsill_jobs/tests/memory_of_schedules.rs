//! Memory of many recurring jobs whose schedules began long ago.

mod common;

use common::{
    memory_kib,
    ms,
    record,
    scheduler,
    step, //
};
use dotterelsill_jobs::{
    JobId,
    JobSpec, //
};
use dotterelsill_proto::jobs::JobRecord;

const JOBS: u64 = 200;

/// Guards against occurrences that are due and opened without a bound over all jobs, and
/// against a job that opens none because others have many.
#[test]
fn overdue_occurrences_of_many_jobs_are_bounded() {
    let mut scheduler = scheduler(7, ms(1000));
    let overdue = JobRecord {
        occurrences: 525_600,
        first_unix_ms: 0,
        interval_ms: 1,
        ..record("patient", 7, vec![step(1, 100)])
    };
    let spec = JobSpec::try_from(&overdue).expect("the job is usable");
    let before_kib = memory_kib();
    for id in 0..JOBS {
        scheduler.submit(JobId(id), spec.clone(), ms(1000), ms(525_600));
    }
    scheduler.open_due_jobs(ms(525_600));
    let taken_kib = memory_kib().saturating_sub(before_kib);
    let open_steps = |id: u64| {
        let text = scheduler.explain(JobId(id), ms(1000));
        let text = text.expect("the job is known");
        text.lines()
            .filter(|line| line.starts_with("step "))
            .count()
    };
    let open: Vec<usize> = (0..JOBS).map(open_steps).collect();
    let sum: usize = open.iter().sum();
    println!("{sum} steps are open and take {taken_kib} KiB");
    assert!(sum <= 21_000, "{sum} steps are open");
    assert!(open.iter().all(|&count| count >= 4), "{open:?}");
    assert!(taken_kib <= 8 * 1024, "{taken_kib} KiB");
}
