//! Jobs that an earlier attempt has stored, and the queue of jobs to store.

use dotterelsill_jobs::{
    effective_record,
    slots_for_jobs,
    JobId,
    JobSpec,
    Submission,
    Submissions, //
};
use prost::Message as _;

mod common;
use common::*;

/// Guards against a job that runs twice after an election. An attempt whose
/// response was lost had stored the job with one home, the next attempt accepted it
/// with another, and the next scheduler looked for its runs in the stored home.
#[test]
fn stored_home_counts() {
    let own = record("urgent", 7, vec![step(1, 1000)]);
    let (mut own, mut stored) = (own.clone(), own);
    own.home = "dc-a".to_owned();
    stored.home = "dc-b".to_owned();
    let taken = effective_record(own.clone(), &stored.encode_to_vec());
    let spec = JobSpec::try_from(&taken).unwrap();
    assert_eq!(spec.home.as_deref(), Some("dc-b"));
    assert_eq!(effective_record(own.clone(), b"\xff"), own);
}

/// Guards against a job that is in one transaction twice with different homes: the
/// store kept the second record, and the scheduler used the first.
#[test]
fn job_handed_in_again_is_stored_once() {
    let submission = |home: &str, waiting: u32, is_from_intake| {
        let mut record = record("urgent", 7, vec![step(1, 1000)]);
        record.home = home.to_owned();
        Submission {
            id: JobId(1),
            record,
            is_from_intake,
            may_be_stored: false,
            waiting: vec![waiting],
        }
    };
    let mut queue = Submissions::default();
    queue.add(submission("dc-a", 1, false));
    let mut taken = queue.take(10);
    // The job is found in the intake while its transaction is in flight.
    queue.add(submission("dc-b", 2, true));
    let mut first = taken.remove(0);
    first.may_be_stored = true;
    queue.put_back(first);
    let again = queue.take(10);
    assert_eq!(again.len(), 1);
    assert_eq!(again[0].record.home, "dc-a");
    assert_eq!(again[0].waiting, [1, 2]);
    assert!(again[0].is_from_intake && again[0].may_be_stored);
    assert!(queue.is_empty());
}

/// Guards against progress that is never stored while new jobs keep arriving, and
/// against new jobs that wait behind progress.
#[test]
fn progress_starves_while_jobs_are_accepted() {
    assert_eq!(slots_for_jobs(10, 1000, 1000), 5);
    assert_eq!(slots_for_jobs(10, 1000, 2), 8);
    assert_eq!(slots_for_jobs(10, 3, 1000), 3);
    assert_eq!(slots_for_jobs(10, 1000, 0), 10);
    assert_eq!(slots_for_jobs(1, 1, 1), 1);
}

/// Guards against accepted jobs that are not counted as pending while an overloaded
/// scheduler has not taken them over from the intake yet.
#[test]
fn job_from_the_intake_is_pending() {
    let submission = |id, queue: &str, is_from_intake| Submission {
        id: JobId(id),
        record: record(queue, 7, vec![step(1, 1000)]),
        is_from_intake,
        may_be_stored: false,
        waiting: vec![()],
    };
    let mut queue = Submissions::default();
    queue.add(submission(1, "urgent", true));
    queue.add(submission(2, "urgent", false));
    queue.add(submission(3, "other", true));
    assert_eq!(queue.accepted_on("urgent"), 1);
}

/// Guards against accepted jobs that are not counted as pending while a transaction
/// takes them over from the intake, which may last for seconds on a slow store.
#[test]
fn job_from_the_intake_is_pending_while_it_is_stored() {
    let mut queue = Submissions::default();
    queue.add(Submission {
        id: JobId(1),
        record: record("urgent", 7, vec![step(1, 1000)]),
        is_from_intake: true,
        may_be_stored: true,
        waiting: vec![()],
    });
    let mut taken = queue.take(10);
    assert_eq!(queue.accepted_on("urgent"), 1);
    assert_eq!(queue.accepted_on("patient"), 0);
    queue.put_back(taken.remove(0));
    assert_eq!(queue.accepted_on("urgent"), 1);
    queue.take(10);
    queue.settle(JobId(1));
    assert_eq!(queue.accepted_on("urgent"), 0);
}

/// Guards against an accepted job that is not counted as pending: an instance stored it
/// in the intake after the scheduler, which was asked first, had not answered in time.
#[test]
fn job_that_waits_in_the_queue_and_the_intake_is_pending() {
    let submission = || Submission {
        id: JobId(1),
        record: record("urgent", 7, vec![step(1, 1000)]),
        is_from_intake: false,
        may_be_stored: false,
        waiting: vec![()],
    };
    let mut queue = Submissions::default();
    queue.add(submission());
    assert!(queue.note_in_intake(JobId(1)));
    assert_eq!(queue.accepted_on("urgent"), 1);
    // Its transaction removes the entry.
    assert!(queue.take(10)[0].is_from_intake);
    queue.settle(JobId(1));
    assert!(!queue.note_in_intake(JobId(1)));

    // The entry is found while the transaction is in flight, and that one fails.
    queue.add(submission());
    let mut taken = queue.take(10);
    assert!(queue.note_in_intake(JobId(1)));
    assert_eq!(queue.accepted_on("urgent"), 1);
    queue.put_back(taken.remove(0));
    assert_eq!(queue.accepted_on("urgent"), 1);
    assert!(queue.take(10)[0].is_from_intake);
}
