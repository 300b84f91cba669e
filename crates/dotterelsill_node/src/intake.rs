//! Intake: jobs that an instance stores itself while no scheduler answers.
//!
//! Their records are kept under a separate prefix until a scheduler imports them,
//! so that a job is accepted by a single transaction whichever instance stores it.

use std::{
    sync::Arc,
    time::{
        Duration,
        Instant, //
    }, //
};

use async_io::Timer;
use async_lock::{
    Semaphore,
    SemaphoreGuardArc, //
};
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
use futures_lite::FutureExt as _;
use prost::Message as _;

use crate::{
    clock,
    dependency::Dependency,
    keys,
    leadership::Leadership,
    signal::Signal,
    submission::Submission, //
};

/// Interval between the begins of two reads of the intake. The number of pending jobs is
/// known as long as each read is answered within the rest of [`MAX_PENDING_AGE`].
///
/// [`MAX_PENDING_AGE`]: dotterelsill_jobs::MAX_PENDING_AGE
const POLL_INTERVAL: Duration = Duration::from_secs(1);

/// Pause after a failed read.
const RETRY_PAUSE: Duration = Duration::from_millis(500);

/// Maximum number of reads at a time: as many as begin while one is answered after 3 s.
const MAX_READS: usize = 3;

/// Maximum number of jobs that one transaction removes: the platform's limit of 32
/// entries, minus the expected revision of the scheduler's key.
const MAX_REMOVALS: usize = 31;

/// Stores a job in the intake for the next scheduler.
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

/// Reads the state of a job from the store; returns `None` if the job is not stored.
pub(crate) async fn state(
    store: &Operations,
    id: JobId,
) -> Result<Option<JobState>, OperationError> {
    // A job moves from `intake/` to `jobs/` and then to `progress/`; reading in this
    // order cannot miss a job that moves in between.
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

/// State of the reads of the intake by one scheduler.
struct IntakeReader {
    leadership: Arc<Leadership>,
    dependency: Dependency,
    /// Set when a read has failed.
    failed: Signal,
    /// Held while accepted jobs are being removed.
    removing: async_lock::Mutex<()>,
}

/// Imports jobs from the intake until the task group stops. A read begins at each
/// interval, also while an earlier one is not answered yet: otherwise one lost response
/// leaves the jobs unknown that are accepted meanwhile.
pub(crate) async fn import_all(leadership: Arc<Leadership>) {
    let slots = Arc::new(Semaphore::new(MAX_READS));
    let reader = Arc::new(IntakeReader {
        leadership: leadership.clone(),
        dependency: Dependency::new("intake"),
        failed: Signal::default(),
        removing: async_lock::Mutex::default(),
    });
    loop {
        let next_read = Instant::now() + POLL_INTERVAL;
        if let Some(slot) = slots.try_acquire_arc() {
            let reader = reader.clone();
            leadership.tasks.spawn_until_stop(async move {
                reader.read(slot).await;
            });
        }
        let due = async {
            Timer::at(next_read).await;
        };
        let failed = async {
            reader.failed.wait().await;
            Timer::after(RETRY_PAUSE).await;
        };
        due.or(failed).await;
    }
}

impl IntakeReader {
    /// Reads the intake, imports its jobs, and removes those that are accepted already.
    async fn read(&self, slot: SemaphoreGuardArc) {
        let leadership = &self.leadership;
        let began = clock::now();
        let listed = leadership.store.list(keys::INTAKE, Staleness::Current);
        let items = match listed.await {
            Ok((items, _)) => items,
            Err(error) => {
                self.dependency.on_error(&error);
                self.failed.set();
                return;
            }
        };
        drop(slot);
        self.dependency.on_answer();
        let mut accepted_keys = Vec::new();
        for item in items {
            match keys::job_of(keys::INTAKE, &item.key) {
                Some(id) if leadership.scheduler().has_job(id) => accepted_keys.push(item.key),
                Some(id) if leadership.submissions.lock().note_in_intake(id) => {}
                _ => {
                    import_item(leadership, &item);
                }
            }
        }
        leadership.intake_reads().on_read(began);
        // The next read shows again what a removal that is still under way leaves.
        if let Some(_removing) = self.removing.try_lock() {
            if let Err(error) = remove_accepted(leadership, &accepted_keys).await {
                self.dependency.on_error(&error);
            }
        }
    }
}

/// Removes jobs from the intake that are already accepted. An instance stored them
/// there while the scheduler's own write of the same job was in flight.
async fn remove_accepted(
    leadership: &Leadership,
    accepted_keys: &[String],
) -> Result<(), OperationError> {
    for keys in accepted_keys.chunks(MAX_REMOVALS) {
        let transaction = Transaction {
            expected: vec![(keys::LEADER.to_owned(), leadership.token)],
            writes: Vec::new(),
            removes: keys.to_vec(),
        };
        match (leadership.store.commit)(transaction).await? {
            CommitOutcome::Done { .. } => {
                log::info!(jobs = keys.len() as u64; "accepted_jobs_left_intake");
            }
            CommitOutcome::Conflict { .. } => {
                leadership
                    .authority
                    .mark_lost("the scheduler's key has changed");
                return Ok(());
            }
        }
    }
    Ok(())
}

/// Imports a job if it is in the intake; returns whether the scheduler then knows
/// the job.
pub(crate) async fn import_job(
    leadership: &Arc<Leadership>,
    id: JobId,
) -> Result<bool, OperationError> {
    if let Some(item) = (leadership.store.get)(&keys::of_job(keys::INTAKE, id)).await? {
        if let Some(receiver) = import_item(leadership, &item) {
            // The outcome and a closed channel are ignored: `has_job` below decides.
            let _ = receiver.recv().await;
        }
        if !leadership.scheduler().has_job(id) {
            let reason = "the job is in the intake but could not be imported".to_owned();
            return Err(OperationError::Unknown { reason });
        }
    }
    // It may have been imported while the intake was being read.
    Ok(leadership.scheduler().has_job(id))
}

fn import_item(leadership: &Leadership, item: &Item) -> Option<async_channel::Receiver<Outcome>> {
    let id = keys::job_of(keys::INTAKE, &item.key)?;
    let mut record = match JobRecord::decode(item.value.as_slice()) {
        Ok(record) => record,
        Err(error) => {
            log::error!(job:% = id, error:%; "job_unusable");
            return None;
        }
    };
    leadership.complete_record(&mut record);
    let (sender, receiver) = async_channel::bounded(1);
    leadership.submissions.lock().add(Submission {
        id,
        record,
        is_from_intake: true,
        may_be_stored: true,
        waiting: vec![sender],
    });
    leadership.write_wanted.set();
    Some(receiver)
}
