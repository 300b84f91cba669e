//! Number of accepted jobs of a queue that have not begun.

use dotterelsill_jobs::{
    Answer,
    IntakeReads,
    JobId,
    PendingUnknown,
    RunOutcome,
    Submission,
    Submissions, //
};
use dotterelsill_proto::jobs::{
    self,
    Phase,
    ProgressRecord,
    StepProgress, //
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

/// Guards against a restored job that counts as begun although its progress names no end
/// of a run.
#[test]
fn restored_job_without_an_end_is_pending() {
    let job = record("urgent", 7, vec![step(2, 1000)]);
    let with_steps = |done: Vec<u32>| ProgressRecord {
        phase: Phase::Open.into(),
        steps: vec![StepProgress {
            done,
            ..StepProgress::default()
        }],
        is_spread: true,
        ..ProgressRecord::default()
    };
    for (done, pending) in [(Vec::new(), 1), (vec![0], 0)] {
        let mut next = scheduler(8, ms(2000));
        let progress = with_steps(done);
        next.restore(JobId(1), &job, Some((&progress, 9)), ms(2000))
            .unwrap();
        assert_eq!(next.pending("urgent"), pending, "{progress:?}");
    }
}

/// Guards against a job that counts as begun although its gang never got together: one
/// member was refused, and the others, whose starts were answered, only waited for it.
#[test]
fn gang_that_never_got_together_is_pending() {
    for outcome in [RunOutcome::Alone, RunOutcome::Broken, RunOutcome::Stopped] {
        let mut scheduler = scheduler(7, ms(1000));
        let keys = [0, 1].map(|index| add_worker(&mut scheduler, index, ms(1000)));
        let gang = jobs::Step {
            is_gang: true,
            max_per_worker: 1,
            ..step(2, 1000)
        };
        let job = record("urgent", 7, vec![gang]);
        submit(&mut scheduler, 1, &job, ms(1000));
        let orders = scheduler.plan(ms(1010));
        assert_eq!(orders.len(), 2);
        confirm(&mut scheduler, &orders[..1], ms(1020));
        let refused = &orders[1];
        scheduler.on_answer(
            refused.worker,
            &refused.order,
            Answer::NoRoom,
            false,
            ms(1030),
        );
        let (member, attempt) = orders[0].order.run();
        let mut status = status_at(ms(1100));
        status.running = vec![running(member, attempt, 0)];
        scheduler.on_worker_status(orders[0].worker, &status, ms(1100));
        assert_eq!(scheduler.pending("urgent"), 1, "one member waits");
        let mut status = status_at(ms(1200));
        status.ended = vec![ended(1, member, attempt, outcome)];
        scheduler.on_worker_status(orders[0].worker, &status, ms(1200));
        assert_eq!(scheduler.pending("urgent"), 1, "{outcome:?}");

        // The whole gang starts, once the refusal is no longer held against the worker.
        for key in keys {
            scheduler.on_worker_status(key, &status_at(ms(6900)), ms(6900));
        }
        let orders = scheduler.plan(ms(7000));
        assert_eq!(starts(&orders).len(), 2, "{orders:?}");
        confirm(&mut scheduler, &orders[..1], ms(7010));
        assert_eq!(scheduler.pending("urgent"), 1);
        confirm(&mut scheduler, &orders[1..], ms(7020));
        assert_eq!(scheduler.pending("urgent"), 0, "all members run");
    }
}

/// Guards against a number that leaves out jobs which were accepted into the intake more
/// than 2 s ago: reads of the intake fail, are answered late or in another order, or the
/// answer to the caller is held up.
#[test]
fn pending_is_unknown_without_a_recent_read() {
    let mut reads = IntakeReads::default();
    let unread = reads.count(3, true, ms(1000));
    assert_eq!(unread, Err(PendingUnknown::IntakeUnread));
    reads.on_read(ms(1000));
    // A read that began earlier is answered after a later one.
    reads.on_read(ms(400));
    let count = reads.count(3, true, ms(2900)).unwrap();
    assert_eq!((count.jobs, count.age), (3, ms(1900)));
    let old = Err(PendingUnknown::IntakeReadOld);
    assert_eq!(reads.count(3, true, ms(3000)), old);
    assert_eq!(count.after(ms(99)).unwrap().age, ms(1999));
    assert_eq!(count.after(ms(100)), old);
    let lost = reads.count(3, false, ms(1100));
    assert_eq!(lost, Err(PendingUnknown::NoAuthority));
}

/// Guards against an accepted job that is dropped, and left out until the next read of the
/// intake, because the transaction that contained it was certainly not carried out: an
/// instance had stored the job in the intake meanwhile.
#[test]
fn job_in_the_intake_is_kept_when_its_transaction_fails() {
    let mut queue = Submissions::default();
    queue.add(submission(1, false));
    queue.add(submission(2, false));
    let taken = queue.take(10);
    assert!(queue.note_in_intake(JobId(1)));
    for submission in taken {
        if !queue.refuse(&submission) {
            queue.put_back(submission);
        }
    }
    assert_eq!(queue.accepted_on("urgent"), 1);
    let kept = queue.take(10);
    assert_eq!((kept.len(), kept[0].id), (1, JobId(1)));
    assert!(kept[0].is_from_intake);
}
