//! Jobs that an instance stores by itself while no scheduler answers.
//!
//! The record lies below its own prefix until a scheduler takes it over, so that
//! a job is accepted by one transaction whichever instance stores it.

use std::{
    sync::Arc,
    time::Duration, //
};

use async_io::Timer;
use dotterelsill_jobs::{
    JobId,
    JobState, //
};
use dotterelsill_proto::jobs::{
    JobRecord,
    Outcome,
    Phase,
    ProgressRecord, //
};
use dotterelsill_store::{
    CommitOutcome,
    Item,
    OperationError,
    Operations,
    Staleness,
    Transaction,
    Write, //
};
use prost::Message as _;

use crate::{
    clock,
    dependency::Dependency,
    keys,
    lead::Lead,
    submission::Submission, //
};

/// Time between two looks at the intake.
const LOOK_INTERVAL: Duration = Duration::from_secs(1);

/// Jobs that one transaction removes: the platform's limit of 32 entries, less
/// the expectation of the scheduler's key.
const REMOVED_AT_ONCE: usize = 31;

/// Stores a job for the next scheduler.
pub(crate) async fn submit(store: &Operations, id: JobId, record: &JobRecord) -> Outcome {
    let mut record = record.clone();
    record.accepted_unix_ms = clock::unix().as_millis() as u64;
    let absent = |prefix| (keys::of_job(prefix, id), 0);
    let transaction = Transaction {
        expected: vec![
            absent(keys::INTAKE),
            absent(keys::JOBS),
            absent(keys::PROGRESS),
        ],
        writes: vec![Write {
            key: keys::of_job(keys::INTAKE, id),
            value: record.encode_to_vec(),
            lease: 0,
        }],
        removes: Vec::new(),
    };
    match (store.commit)(transaction).await {
        Ok(CommitOutcome::Done { .. }) => {
            log::info!(job:% = id, queue = record.queue; "job_left_in_intake");
            Outcome::Done
        }
        Ok(CommitOutcome::Conflict { .. }) => Outcome::Done,
        Err(OperationError::NotDone { reason }) => {
            log::warn!(job:% = id, reason; "job_not_stored");
            Outcome::Refused
        }
        Err(error) => {
            log::warn!(job:% = id, error:%; "job_may_be_stored");
            Outcome::Unknown
        }
    }
}

/// Reads the state of a job from the store; `None` if there is none.
pub(crate) async fn state(
    store: &Operations,
    id: JobId,
) -> Result<Option<JobState>, OperationError> {
    // A job moves from the intake to the jobs, and from there to the progress.
    let intake = (store.get)(&keys::of_job(keys::INTAKE, id)).await?;
    let job = match intake {
        Some(item) => Some(item),
        None => (store.get)(&keys::of_job(keys::JOBS, id)).await?,
    };
    let progress = (store.get)(&keys::of_job(keys::PROGRESS, id)).await?;
    let record = progress.and_then(|item| decode_progress(id, &item));
    let state = |record: ProgressRecord| JobState {
        phase: record.phase(),
        has_begun: true,
    };
    let waiting = || JobState {
        phase: Phase::Open,
        has_begun: false,
    };
    Ok(record.map(state).or_else(|| job.map(|_| waiting())))
}

fn decode_progress(id: JobId, item: &Item) -> Option<ProgressRecord> {
    match ProgressRecord::decode(item.value.as_slice()) {
        Ok(record) => Some(record),
        Err(error) => {
            log::error!(job:% = id, error:%; "progress_unusable");
            None
        }
    }
}

/// Takes over what lies in the intake until the group stops.
pub(crate) async fn follow(lead: Arc<Lead>) {
    let dependency = Dependency::new("intake");
    loop {
        match lead.store.list(keys::INTAKE, Staleness::Stale).await {
            Ok((items, _)) => {
                dependency.on_answer();
                let mut known = Vec::new();
                for item in items {
                    match keys::job_of(keys::INTAKE, &item.key) {
                        Some(id) if lead.scheduler().has_job(id) => known.push(item.key),
                        Some(id) if lead.submissions.lock().contains(id) => {}
                        _ => {
                            take(&lead, &item);
                        }
                    }
                }
                if let Err(error) = remove(&lead, &known).await {
                    dependency.on_error(&error);
                }
            }
            Err(error) => dependency.on_error(&error),
        }
        Timer::after(LOOK_INTERVAL).await;
    }
}

/// Removes jobs from the intake that are accepted: an instance stored them here
/// while the scheduler's own write was under way.
async fn remove(lead: &Lead, known: &[String]) -> Result<(), OperationError> {
    for keys in known.chunks(REMOVED_AT_ONCE) {
        let transaction = Transaction {
            expected: vec![(keys::LEADER.to_owned(), lead.token)],
            writes: Vec::new(),
            removes: keys.to_vec(),
        };
        match (lead.store.commit)(transaction).await? {
            CommitOutcome::Done { .. } => {
                log::info!(jobs = keys.len() as u64; "accepted_jobs_left_intake");
            }
            CommitOutcome::Conflict { .. } => {
                lead.authority.lose("the scheduler's key has changed");
                return Ok(());
            }
        }
    }
    Ok(())
}

/// Takes over one job if it lies in the intake; returns whether it is known then.
pub(crate) async fn import(lead: &Arc<Lead>, id: JobId) -> Result<bool, OperationError> {
    if let Some(item) = (lead.store.get)(&keys::of_job(keys::INTAKE, id)).await? {
        if let Some(receiver) = take(lead, &item) {
            // A closed channel shows in what is known then.
            let _ = receiver.recv().await;
        }
        if !lead.scheduler().has_job(id) {
            let reason = "the job lies in the intake and was not taken over".to_owned();
            return Err(OperationError::Unknown { reason });
        }
    }
    // It may have been taken over while the intake was read.
    Ok(lead.scheduler().has_job(id))
}

fn take(lead: &Lead, item: &Item) -> Option<async_channel::Receiver<Outcome>> {
    let id = keys::job_of(keys::INTAKE, &item.key)?;
    let mut record = match JobRecord::decode(item.value.as_slice()) {
        Ok(record) => record,
        Err(error) => {
            log::error!(job:% = id, error:%; "job_unusable");
            return None;
        }
    };
    lead.adopt(&mut record);
    let (sender, receiver) = async_channel::bounded(1);
    lead.submissions.lock().add(Submission {
        id,
        record,
        is_from_intake: true,
        may_be_stored: true,
        waiting: vec![sender],
    });
    lead.write_wanted.set();
    Some(receiver)
}
