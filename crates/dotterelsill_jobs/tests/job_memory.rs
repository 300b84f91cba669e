//! Bound on the memory that the jobs of each workspace take.

mod common;

use std::{
    sync::Arc,
    time::Duration, //
};

use common::{
    configuration,
    limits,
    ms,
    record,
    step,
    submit, //
};
use dotterelsill_jobs::{
    Configuration,
    JobChange,
    JobId,
    Limits,
    Scheduler,
    Workspace, //
};
use dotterelsill_proto::jobs::JobRecord;

/// Returns a scheduler with two workspaces and little memory for jobs.
fn small_scheduler(now: Duration) -> Scheduler {
    let limits = Limits {
        job_memory_bytes: 1 << 20,
        ..limits()
    };
    let mut configuration = Configuration::clone(&configuration());
    for name in ["red", "blue"] {
        let workspaces = &mut configuration.workspaces;
        workspaces.insert(name.to_owned(), Workspace::default());
    }
    let mut scheduler = Scheduler::new(7, limits, now);
    scheduler.configure(Arc::new(configuration), Arc::default());
    scheduler
}

fn job_of(workspace: &str) -> JobRecord {
    JobRecord {
        workspace: workspace.to_owned(),
        spec: "x".repeat(4000),
        ..record("patient", 7, vec![step(1, 100)])
    }
}

/// Submits jobs until one is refused; returns how many were accepted.
fn fill(scheduler: &mut Scheduler, first_id: u64, workspace: &str) -> u64 {
    let record = job_of(workspace);
    let mut ids = first_id..;
    let refused = ids.find(|&id| {
        let has_room = scheduler.reserve_memory(JobId(id), &record);
        if has_room {
            submit(scheduler, id, &record, ms(1000));
        }
        !has_room
    });
    refused.expect("jobs are refused at some time") - first_id
}

/// Guards against a workspace whose jobs take the memory that the jobs of the others
/// need, and against jobs that are refused while there is memory.
#[test]
fn workspace_leaves_the_others_their_shares() {
    let mut scheduler = small_scheduler(ms(1000));
    let red = fill(&mut scheduler, 0, "red");
    let blue = fill(&mut scheduler, 100_000, "blue");
    let without_key = fill(&mut scheduler, 200_000, "");
    let bytes = 4000 + 1024 + 768;
    assert!(
        (red * bytes..(red + 2) * bytes).contains(&(1 << 20)),
        "{red}"
    );
    assert!(
        (red / 3 - 1..=red / 3 + 1).contains(&blue),
        "{blue} of {red}"
    );
    assert!((red / 3 - 1..=red / 3 + 1).contains(&without_key));
    assert!(scheduler.reserve_memory(JobId(0), &job_of("red")), "known");
}

/// Cancels jobs and stores their ends.
fn end(scheduler: &mut Scheduler, ids: std::ops::Range<u64>, now: Duration) {
    let count = ids.clone().count();
    ids.for_each(|id| assert!(scheduler.cancel(JobId(id), now)));
    for JobChange { job, number, .. } in scheduler.take_changes(count) {
        scheduler.on_stored(job, number, 1);
    }
}

/// Guards against memory that stays reserved after jobs have ended or were not stored.
#[test]
fn memory_is_given_back() {
    let mut scheduler = small_scheduler(ms(1000));
    let count = fill(&mut scheduler, 0, "red");
    end(&mut scheduler, 0..count, ms(1010));
    let beside_ended = fill(&mut scheduler, 1000, "red");
    assert!(
        beside_ended > count / 2,
        "{beside_ended} beside {count} that have ended"
    );
    end(&mut scheduler, 1000..1000 + beside_ended, ms(1020));
    scheduler.forget_ended(ms(200_000));
    let id = JobId(100_000);
    assert!(scheduler.reserve_memory(id, &job_of("blue")));
    scheduler.cancel_reservation(id);
    assert_eq!(fill(&mut scheduler, 2000, "red"), count);
}
