//! Stores accepted jobs and the progress of jobs, many in one transaction.

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
    clock, keys,
    lead::Lead,
    submission::{
        answer,
        Submission, //
    },
};

/// Most entries of a transaction, by the platform's limit.
const ENTRIES_MAX: usize = 32;

/// Entries that one job takes at most: an expectation, a write and a removal.
const ENTRIES_PER_JOB: usize = 3;

/// Time for which progress that nobody waits for is gathered.
const GATHER: Duration = Duration::from_millis(80);

/// Pause before another try after a failed call.
const RETRY_PAUSE: Duration = Duration::from_millis(150);

/// Transactions in flight at once: enough for 300 jobs a second when each takes
/// 400 ms, as over a full link. No two of them hold the same job.
const IN_FLIGHT_MAX: usize = 12;

/// Stores what is to be stored until the group stops.
pub(crate) async fn run(lead: Arc<Lead>) {
    let slots = Arc::new(Semaphore::new(IN_FLIGHT_MAX));
    loop {
        let slot = slots.acquire_arc().await;
        wait_for_work(&lead).await;
        let most = (ENTRIES_MAX - 1) / ENTRIES_PER_JOB;
        let changes_waiting = lead.scheduler().changes_waiting();
        let submissions = {
            let mut waiting = lead.submissions.lock();
            let places = slots_for_jobs(most, waiting.len(), changes_waiting);
            waiting.take(places)
        };
        let changes = lead
            .scheduler()
            .take_changes(most.saturating_sub(submissions.len()));
        if submissions.is_empty() && changes.is_empty() {
            Timer::after(RETRY_PAUSE).await;
            continue;
        }
        let storing = lead.clone();
        lead.tasks.spawn_until_stop(async move {
            store(&storing, submissions, changes).await;
            drop(slot);
        });
    }
}

async fn wait_for_work(lead: &Lead) {
    let is_urgent = || !lead.submissions.lock().is_empty() || lead.scheduler().has_urgent_change();
    loop {
        if is_urgent() {
            return;
        }
        if lead.scheduler().has_change() {
            // A wake-up for other progress must not start the time anew.
            let until = clock::now() + GATHER;
            while clock::now() < until && !is_urgent() {
                let left = until.saturating_sub(clock::now());
                let rest = async {
                    Timer::after(left).await;
                };
                rest.or(lead.write_wanted.wait()).await;
            }
            return;
        }
        lead.write_wanted.wait().await;
    }
}

fn transaction(lead: &Lead, submissions: &[Submission], changes: &[JobChange]) -> Transaction {
    let mut transaction = Transaction {
        expected: vec![(keys::LEADER.to_owned(), lead.token)],
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

async fn store(lead: &Lead, submissions: Vec<Submission>, changes: Vec<JobChange>) {
    let sent_at = clock::now();
    let result = (lead.store.commit)(transaction(lead, &submissions, &changes)).await;
    lead.load
        .on_store(clock::now().saturating_sub(sent_at), &result);
    match result {
        Ok(CommitOutcome::Done { revision }) => {
            let took_ms = clock::now().saturating_sub(sent_at).as_millis() as u64;
            log::debug!(
                revision, jobs = submissions.len() as u64, changes = changes.len() as u64,
                took_ms; "stored"
            );
            for submission in submissions {
                accept(lead, &submission);
            }
            let mut scheduler = lead.scheduler();
            for change in changes {
                scheduler.on_stored(change.job, change.number, revision);
            }
        }
        Ok(CommitOutcome::Conflict { current }) => settle(lead, submissions, changes, &current),
        Err(error) => {
            log::warn!(
                error:%, jobs = submissions.len() as u64, changes = changes.len() as u64;
                "not_stored"
            );
            let is_not_done = matches!(error, OperationError::NotDone { .. });
            put_back(lead, submissions, changes, is_not_done);
            Timer::after(RETRY_PAUSE).await;
        }
    }
    lead.stored.notify(usize::MAX);
    lead.on_changed();
}

/// Takes a job whose record is stored.
fn accept(lead: &Lead, submission: &Submission) {
    match JobSpec::try_from(&submission.record) {
        Ok(spec) => {
            log::info!(
                job:% = submission.id, queue = spec.queue, steps = spec.steps.len() as u64,
                workspace:? = spec.workspace, is_from_intake = submission.is_from_intake;
                "job_accepted"
            );
            lead.scheduler()
                .submit(submission.id, spec, clock::now(), clock::unix());
        }
        Err(error) => log::error!(job:% = submission.id, error:%; "stored_job_unusable"),
    }
    lead.submissions.lock().settle(submission.id);
    answer(submission, Outcome::Done);
}

/// Finds out which entries kept a transaction from being carried out.
fn settle(lead: &Lead, submissions: Vec<Submission>, changes: Vec<JobChange>, current: &[Item]) {
    let current: HashMap<&str, &Item> = current
        .iter()
        .map(|item| (item.key.as_str(), item))
        .collect();
    let leader = current.get(keys::LEADER);
    if leader.is_none_or(|item| item.revision != lead.token) {
        lead.authority.lose("the scheduler's key has changed");
        put_back(lead, submissions, changes, false);
        return;
    }
    let mut open = Vec::new();
    for mut submission in submissions {
        let key = keys::of_job(keys::JOBS, submission.id);
        if let Some(item) = current.get(key.as_str()) {
            // An earlier try, or one over the intake, was carried out.
            submission.record = effective_record(submission.record, &item.value);
            accept(lead, &submission);
        } else {
            open.push(submission);
        }
    }
    put_back_all(lead, open);
    let mut scheduler = lead.scheduler();
    for change in changes {
        let key = keys::of_job(keys::PROGRESS, change.job);
        let item = current.get(key.as_str());
        let revision = item.map_or(0, |item| item.revision);
        let is_ours = item.is_some_and(|item| item.value == change.record.encode_to_vec());
        if is_ours && revision != change.expected_revision {
            scheduler.on_stored(change.job, change.number, revision);
        } else {
            scheduler.on_revision_conflict(change.job, revision);
        }
    }
}

/// Puts jobs back to the front, in order.
fn put_back_all(lead: &Lead, submissions: Vec<Submission>) {
    let mut queue = lead.submissions.lock();
    for submission in submissions.into_iter().rev() {
        queue.put_back(submission);
    }
    drop(queue);
    lead.write_wanted.set();
}

fn put_back(lead: &Lead, submissions: Vec<Submission>, changes: Vec<JobChange>, is_not_done: bool) {
    let mut open = Vec::new();
    for mut submission in submissions {
        if is_not_done && !submission.may_be_stored && !submission.is_from_intake {
            lead.submissions.lock().settle(submission.id);
            answer(&submission, Outcome::Refused);
            continue;
        }
        submission.may_be_stored = true;
        open.push(submission);
    }
    put_back_all(lead, open);
    let mut scheduler = lead.scheduler();
    for change in changes {
        scheduler.on_not_stored(change.job);
    }
}
