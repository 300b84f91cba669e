//! Stores accepted jobs and the progress of jobs in batched transactions.

use std::{
    collections::HashMap,
    sync::Arc,
    time::Duration, //
};

use async_io::Timer;
use async_lock::Semaphore;
use dotterelsill_jobs::{
    effective_record,
    slots_for_jobs,
    JobChange,
    JobSpec, //
};
use dotterelsill_proto::jobs::Outcome;
use dotterelsill_store::{
    CommitOutcome,
    Item,
    OperationError,
    Transaction,
    Write, //
};
use futures_lite::FutureExt as _;
use prost::Message as _;

use crate::{
    clock,
    keys,
    leadership::Leadership,
    submission::{
        notify_waiting,
        Submission, //
    }, //
};

/// Maximum number of entries in a transaction, set by the platform.
const MAX_ENTRIES: usize = 32;

/// Maximum number of entries per job: an expected revision, a write and a removal.
const ENTRIES_PER_JOB: usize = 3;

/// Time for which progress that nobody waits for is batched.
const BATCH_DELAY: Duration = Duration::from_millis(80);

/// Pause before retrying a failed call.
const RETRY_PAUSE: Duration = Duration::from_millis(150);

/// Maximum number of concurrent transactions: enough for 300 jobs per second if
/// each takes 400 ms, as over a saturated link. No two contain the same job.
const MAX_IN_FLIGHT: usize = 12;

/// Stores jobs and progress until the task group stops.
pub(crate) async fn run(leadership: Arc<Leadership>) {
    let slots = Arc::new(Semaphore::new(MAX_IN_FLIGHT));
    loop {
        let slot = slots.acquire_arc().await;
        wait_for_work(&leadership).await;
        let max_jobs = (MAX_ENTRIES - 1) / ENTRIES_PER_JOB;
        let changes_waiting = leadership.scheduler().changes_waiting();
        let submissions = {
            let mut waiting = leadership.submissions.lock();
            let job_slots = slots_for_jobs(max_jobs, waiting.len(), changes_waiting);
            waiting.take(job_slots)
        };
        let changes = leadership
            .scheduler()
            .take_changes(max_jobs.saturating_sub(submissions.len()));
        if submissions.is_empty() && changes.is_empty() {
            Timer::after(RETRY_PAUSE).await;
            continue;
        }
        let task_leadership = leadership.clone();
        leadership.tasks.spawn_until_stop(async move {
            store(&task_leadership, submissions, changes).await;
            drop(slot);
        });
    }
}

async fn wait_for_work(leadership: &Leadership) {
    let is_urgent =
        || !leadership.submissions.lock().is_empty() || leadership.scheduler().has_urgent_change();
    loop {
        if is_urgent() {
            return;
        }
        if leadership.scheduler().has_change() {
            // A wake-up for other progress must not restart the batch delay.
            let deadline = clock::now() + BATCH_DELAY;
            while clock::now() < deadline && !is_urgent() {
                let remaining = deadline.saturating_sub(clock::now());
                let pause = async {
                    Timer::after(remaining).await;
                };
                pause.or(leadership.write_wanted.wait()).await;
            }
            return;
        }
        leadership.write_wanted.wait().await;
    }
}

fn transaction(
    leadership: &Leadership,
    submissions: &[Submission],
    changes: &[JobChange],
) -> Transaction {
    let mut transaction = Transaction {
        expected: vec![(keys::LEADER.to_owned(), leadership.token)],
        ..Transaction::default()
    };
    let write = |key: String, value: Vec<u8>| Write {
        key,
        value,
        lease: 0,
    };
    for submission in submissions {
        let key = keys::of_job(keys::JOBS, submission.id);
        transaction.expected.push((key.clone(), 0));
        let value = submission.record.encode_to_vec();
        transaction.writes.push(write(key, value));
        if submission.is_from_intake {
            let key = keys::of_job(keys::INTAKE, submission.id);
            transaction.removes.push(key);
        }
    }
    for change in changes {
        let key = keys::of_job(keys::PROGRESS, change.job);
        transaction
            .expected
            .push((key.clone(), change.expected_revision));
        transaction
            .writes
            .push(write(key, change.record.encode_to_vec()));
        if change.is_final {
            let key = keys::of_job(keys::JOBS, change.job);
            transaction.removes.push(key);
        }
    }
    transaction
}

async fn store(leadership: &Leadership, submissions: Vec<Submission>, changes: Vec<JobChange>) {
    let sent_at = clock::now();
    let result = (leadership.store.commit)(transaction(leadership, &submissions, &changes)).await;
    leadership
        .load
        .on_store(clock::now().saturating_sub(sent_at), &result);
    match result {
        Ok(CommitOutcome::Done { revision }) => {
            let took_ms = clock::now().saturating_sub(sent_at).as_millis() as u64;
            log::debug!(
                revision, jobs = submissions.len() as u64, changes = changes.len() as u64,
                took_ms; "stored"
            );
            for submission in submissions {
                accept(leadership, &submission);
            }
            let mut scheduler = leadership.scheduler();
            for change in changes {
                scheduler.on_stored(change.job, change.number, revision);
            }
        }
        Ok(CommitOutcome::Conflict { current }) => {
            resolve_conflict(leadership, submissions, changes, &current)
        }
        Err(error) => {
            log::warn!(
                error:%, jobs = submissions.len() as u64, changes = changes.len() as u64;
                "not_stored"
            );
            let is_not_done = matches!(error, OperationError::NotDone { .. });
            requeue_or_refuse(leadership, submissions, changes, is_not_done);
            Timer::after(RETRY_PAUSE).await;
        }
    }
    leadership.stored.notify(usize::MAX);
    leadership.on_changed();
}

/// Accepts a job whose record is stored.
fn accept(leadership: &Leadership, submission: &Submission) {
    match JobSpec::try_from(&submission.record) {
        Ok(spec) => {
            log::info!(
                job:% = submission.id, queue = spec.queue, steps = spec.steps.len() as u64,
                workspace:? = spec.workspace, is_from_intake = submission.is_from_intake;
                "job_accepted"
            );
            leadership
                .scheduler()
                .submit(submission.id, spec, clock::now(), clock::unix());
        }
        Err(error) => {
            log::error!(job:% = submission.id, error:%; "stored_job_unusable");
            leadership.scheduler().cancel_reservation(submission.id);
        }
    }
    leadership.submissions.lock().settle(submission.id);
    notify_waiting(submission, Outcome::Done);
}

/// Resolves a conflict: determines which entries prevented the transaction, and
/// accepts or requeues each job and change accordingly.
fn resolve_conflict(
    leadership: &Leadership,
    submissions: Vec<Submission>,
    changes: Vec<JobChange>,
    current: &[Item],
) {
    let current: HashMap<&str, &Item> = current
        .iter()
        .map(|item| (item.key.as_str(), item))
        .collect();
    let leader = current.get(keys::LEADER);
    if leader.is_none_or(|item| item.revision != leadership.token) {
        leadership
            .authority
            .mark_lost("the scheduler's key has changed");
        requeue_or_refuse(leadership, submissions, changes, false);
        return;
    }
    let mut open = Vec::new();
    for mut submission in submissions {
        let key = keys::of_job(keys::JOBS, submission.id);
        if let Some(item) = current.get(key.as_str()) {
            // An earlier write of the job, or its import from the intake, succeeded.
            submission.record = effective_record(submission.record, &item.value);
            accept(leadership, &submission);
        } else {
            open.push(submission);
        }
    }
    requeue(leadership, open);
    let mut scheduler = leadership.scheduler();
    for change in changes {
        let key = keys::of_job(keys::PROGRESS, change.job);
        let item = current.get(key.as_str());
        let revision = item.map_or(0, |item| item.revision);
        let is_own_write = item.is_some_and(|item| item.value == change.record.encode_to_vec());
        if is_own_write && revision != change.expected_revision {
            scheduler.on_stored(change.job, change.number, revision);
        } else {
            scheduler.on_revision_conflict(change.job, revision);
        }
    }
}

/// Puts jobs back at the front of the queue, in their order.
fn requeue(leadership: &Leadership, submissions: Vec<Submission>) {
    let mut queue = leadership.submissions.lock();
    for submission in submissions.into_iter().rev() {
        queue.put_back(submission);
    }
    drop(queue);
    leadership.write_wanted.set();
}

fn requeue_or_refuse(
    leadership: &Leadership,
    submissions: Vec<Submission>,
    changes: Vec<JobChange>,
    is_not_done: bool,
) {
    let mut open = Vec::new();
    for mut submission in submissions {
        if is_not_done && leadership.submissions.lock().refuse(&submission) {
            leadership.scheduler().cancel_reservation(submission.id);
            notify_waiting(&submission, Outcome::Refused);
            continue;
        }
        submission.may_be_stored = true;
        open.push(submission);
    }
    requeue(leadership, open);
    let mut scheduler = leadership.scheduler();
    for change in changes {
        scheduler.on_not_stored(change.job);
    }
}
