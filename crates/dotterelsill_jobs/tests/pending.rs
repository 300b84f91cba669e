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

/// Guards against a job that is not counted although its cancellation is not stored: if
/// the scheduler ends, the job goes on waiting.
#[test]
fn job_is_pending_until_its_cancellation_is_stored() {
    let mut scheduler = scheduler(7, ms(1000));
    let job = record("urgent", 7, vec![step(1, 1000)]);
    submit(&mut scheduler, 1, &job, ms(1000));
    assert_eq!(scheduler.pending("urgent"), 1);
    assert!(scheduler.cancel(JobId(1), ms(1100)));
    assert_eq!(scheduler.pending("urgent"), 1);
    let change = scheduler.take_changes(10).remove(0);
    scheduler.on_not_stored(JobId(1));
    assert_eq!(scheduler.pending("urgent"), 1, "the store did not answer");
    scheduler.on_stored(JobId(1), change.number, 9);
    assert_eq!(scheduler.pending("urgent"), 0);

    // A late write has brought the record of a cancelled job back.
    let mut next = common::scheduler(8, ms(2000));
    next.restore(JobId(1), &job, Some((&change.record, 9)), ms(2000))
        .unwrap();
    assert_eq!(next.pending("urgent"), 0);
}
