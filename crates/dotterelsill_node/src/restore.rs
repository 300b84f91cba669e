//! Restores the state of a new scheduler from the store.

use std::{
    collections::{
        HashMap,
        HashSet, //
    },
    time::Duration, //
};

use dotterelsill_jobs::{
    JobId,
    Scheduler, //
};
use dotterelsill_proto::jobs::{
    GrantedRecord,
    JobRecord,
    OrderedRecord,
    Phase,
    ProgressRecord,
    WaveRecord, //
};
use dotterelsill_store::{
    Item,
    OperationError,
    Operations,
    Staleness, //
};
use futures_lite::future;
use prost::Message as _;

use crate::keys;

/// Restores the jobs, the workers that may run tasks, the instances with recent
/// orders and the maintenance waves into a scheduler.
pub(crate) async fn restore(
    store: &Operations,
    scheduler: &mut Scheduler,
    now: impl Fn() -> Duration,
) -> Result<(), OperationError> {
    let begin = now();
    let mut open_progress: HashMap<JobId, (ProgressRecord, u64)> = HashMap::new();
    let (mut ended, mut progress_records) = (0_u64, 0_u64);
    // The transaction that stores the end of a job also removes its record. Reading
    // the records before the progress therefore cannot miss a job.
    let jobs_and_progress = async {
        let (jobs, jobs_revision) = store.list(keys::JOBS, Staleness::Current).await?;
        let job_of = |item: &Item| keys::job_of(keys::JOBS, &item.key);
        let open: HashSet<JobId> = jobs.iter().filter_map(job_of).collect();
        // Most records are those of ended jobs, of which little is kept.
        let restore_progress = |page: Vec<Item>| {
            progress_records += page.len() as u64;
            for item in page {
                let Some((id, record)) = decode_progress(&item) else {
                    continue;
                };
                if open.contains(&id) {
                    open_progress.insert(id, (record, item.revision));
                } else if record.phase() != Phase::Open {
                    scheduler.restore_ended(id, &record, item.revision, now());
                    ended += 1;
                }
            }
        };
        let progress_revision = store
            .for_each_page(keys::PROGRESS, Staleness::Current, restore_progress)
            .await?;
        Ok::<_, OperationError>((jobs, jobs_revision, progress_revision))
    };
    let records = future::try_zip((store.get)(keys::GRANTED), (store.get)(keys::ORDERED));
    let waves = store.list(keys::WAVES, Staleness::Current);
    let others = future::try_zip(records, waves);
    let ((jobs, jobs_revision, progress_revision), ((granted, ordered), (waves, _))) =
        future::try_zip(jobs_and_progress, others).await?;
    let mut open = 0_u64;
    for item in &jobs {
        let Some(id) = keys::job_of(keys::JOBS, &item.key) else {
            log::error!(key = item.key; "job_key_unusable");
            continue;
        };
        let progress = open_progress.remove(&id);
        let record = match JobRecord::decode(item.value.as_slice()) {
            Ok(record) => record,
            Err(error) => {
                log::error!(job:% = id, error:%; "job_unusable");
                continue;
            }
        };
        let progress = progress
            .as_ref()
            .map(|(record, revision)| (record, *revision));
        match scheduler.restore(id, &record, progress, now()) {
            Ok(()) => open += 1,
            Err(error) => log::error!(job:% = id, error:%; "job_unusable"),
        }
    }
    let workers = match granted {
        Some(item) => match GrantedRecord::decode(item.value.as_slice()) {
            Ok(record) => record.workers,
            Err(error) => {
                log::error!(error:%; "granted_unusable");
                Vec::new()
            }
        },
        None => Vec::new(),
    };
    for worker in &workers {
        scheduler.restore_granted_worker(worker, now());
    }
    if let Some(item) = ordered {
        match OrderedRecord::decode(item.value.as_slice()) {
            Ok(record) => scheduler.restore_ordered_instances(&record.instances),
            Err(error) => log::error!(error:%; "ordered_unusable"),
        }
    }
    for item in &waves {
        restore_wave(scheduler, item);
    }
    log::info!(
        token = scheduler.token(), open, ended, workers = workers.len() as u64,
        progress = progress_records,
        jobs_revision, progress_revision,
        took_ms = now().saturating_sub(begin).as_millis() as u64; "jobs_restored"
    );
    Ok(())
}

/// Decodes a record of progress, with the job that it belongs to.
fn decode_progress(item: &Item) -> Option<(JobId, ProgressRecord)> {
    let id = keys::job_of(keys::PROGRESS, &item.key);
    match (id, ProgressRecord::decode(item.value.as_slice())) {
        (Some(id), Ok(record)) => Some((id, record)),
        (_, result) => {
            log::error!(key = item.key, error:? = result.err(); "progress_unusable");
            None
        }
    }
}

fn restore_wave(scheduler: &mut Scheduler, item: &Item) {
    let number = item
        .key
        .strip_prefix(keys::WAVES)
        .and_then(|digits| digits.parse().ok());
    match (number, WaveRecord::decode(item.value.as_slice())) {
        (Some(number), Ok(record)) => {
            let started = Duration::from_millis(record.started_unix_ms);
            scheduler.restore_wave(number, started, &record.done);
        }
        (_, result) => {
            log::error!(key = item.key, error:? = result.err(); "wave_unusable");
        }
    }
}
