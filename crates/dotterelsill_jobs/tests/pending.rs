//! Number of accepted jobs of a queue that have not begun.

use dotterelsill_jobs::{
    JobId,
    Submission,
    Submissions, //
};

mod common;
use common::*;

fn submission(id: u64, may_be_stored: bool) -> Submission<()> {
    Submission {
        id: JobId(id),
        record: record("urgent", 7, vec![step(1, 1000)]),
        is_from_intake: false,
        may_be_stored,
        waiting: vec![()],
    }
}

/// Guards against an accepted job that is not counted: its transaction took effect but
/// the response was lost, and another instance, which found the job stored, accepted it.
#[test]
fn job_that_may_be_stored_is_pending() {
    let mut queue = Submissions::default();
    queue.add(submission(1, false));
    assert_eq!(queue.accepted_on("urgent"), 0, "nothing was sent");
    let mut taken = queue.take(10);
    assert_eq!(
        queue.accepted_on("urgent"),
        1,
        "the transaction is in flight"
    );
    assert_eq!(queue.accepted_on("patient"), 0);
    // The response is lost.
    let mut unanswered = taken.remove(0);
    unanswered.may_be_stored = true;
    queue.put_back(unanswered);
    assert_eq!(
        queue.accepted_on("urgent"),
        1,
        "the transaction may be done"
    );
    // The caller submits the job again.
    queue.add(submission(1, false));
    assert_eq!(queue.accepted_on("urgent"), 1, "a job counts once");
    queue.take(10);
    queue.settle(JobId(1));
    assert_eq!(queue.accepted_on("urgent"), 0, "the scheduler counts it");
}
