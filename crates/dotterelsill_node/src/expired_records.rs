//! Removes the records of ended jobs from the store.

use std::{
    collections::HashMap,
    sync::Arc,
    time::Duration, //
};

use async_io::Timer;
use dotterelsill_jobs::{
    ExpiredRecord,
    JobId, //
};
use dotterelsill_store::{
    CommitOutcome,
    Item,
    Transaction, //
};

use crate::{
    keys,
    leadership::Leadership, //
};

/// Maximum number of records in a transaction: each has two expected revisions and a
/// removal, beside the expected revision of the scheduler's key.
const MAX_RECORDS: usize = 10;

/// Pause between transactions while records wait for a further one, which allows for 200
/// records a second.
const BACKLOG_PAUSE: Duration = Duration::from_millis(50);

/// Time for which records are gathered otherwise.
const GATHER_TIME: Duration = Duration::from_secs(2);

/// Removes expired records until the task group stops.
pub(crate) async fn remove(leadership: Arc<Leadership>) {
    loop {
        let has_backlog = leadership.scheduler().expired_records() >= MAX_RECORDS;
        let pause = if has_backlog {
            BACKLOG_PAUSE
        } else {
            GATHER_TIME
        };
        Timer::after(pause).await;
        let records = leadership.scheduler().take_expired(MAX_RECORDS);
        if !records.is_empty() {
            remove_records(&leadership, records).await;
        }
    }
}

async fn remove_records(leadership: &Leadership, records: Vec<ExpiredRecord>) {
    let removal = without_jobs(leadership, &records);
    match (leadership.store.commit)(removal).await {
        Ok(CommitOutcome::Done { .. }) => {
            log::debug!(records = records.len() as u64; "expired_records_removed");
        }
        Ok(CommitOutcome::Conflict { current }) => {
            on_conflict(leadership, records, &current).await;
        }
        Err(error) => {
            log::warn!(error:%, records = records.len() as u64; "expired_records_not_removed");
            leadership.scheduler().give_back_expired(records);
            Timer::after(GATHER_TIME).await;
        }
    }
}

/// Returns the removal of records whose jobs are not in the store. It leaves the record of
/// a later job under the same identifier, also if it is carried out late.
fn without_jobs(leadership: &Leadership, records: &[ExpiredRecord]) -> Transaction {
    let mut transaction = fenced(leadership);
    for record in records {
        let progress = keys::of_job(keys::PROGRESS, record.job);
        let job = keys::of_job(keys::JOBS, record.job);
        transaction.expected.push((job, 0));
        transaction
            .expected
            .push((progress.clone(), record.revision));
        transaction.removes.push(progress);
    }
    transaction
}

fn fenced(leadership: &Leadership) -> Transaction {
    Transaction {
        expected: vec![(keys::LEADER.to_owned(), leadership.token)],
        ..Transaction::default()
    }
}

/// Gives back the records that are still there, with their present revisions: that of a
/// record may not be known exactly if its transaction had several. The others were removed
/// by an earlier try whose response was lost.
async fn on_conflict(leadership: &Leadership, records: Vec<ExpiredRecord>, current: &[Item]) {
    let revisions: HashMap<&str, u64> = current
        .iter()
        .map(|item| (item.key.as_str(), item.revision))
        .collect();
    if revisions.get(keys::LEADER) != Some(&leadership.token) {
        leadership
            .authority
            .mark_lost("the scheduler's key has changed");
        return;
    }
    for ExpiredRecord { job, .. } in records {
        let progress_key = keys::of_job(keys::PROGRESS, job);
        // A later job under the same identifier expires by itself.
        let Some(&revision) = revisions
            .get(progress_key.as_str())
            .filter(|_| !is_known(leadership, job))
        else {
            continue;
        };
        let record = ExpiredRecord { job, revision };
        let job_key = keys::of_job(keys::JOBS, job);
        match revisions.get(job_key.as_str()) {
            None => leadership.scheduler().give_back_expired([record]),
            Some(&job_revision) => {
                remove_with_job(leadership, record, (job_key, job_revision), progress_key).await;
            }
        }
    }
}

fn is_known(leadership: &Leadership, job: JobId) -> bool {
    // A job stays in the submissions until the scheduler knows it.
    leadership.submissions.lock().contains(job) || leadership.scheduler().has_job(job)
}

/// Removes a record together with its job, which a late write has brought back. Without
/// its progress the next scheduler would run it again.
async fn remove_with_job(
    leadership: &Leadership,
    record: ExpiredRecord,
    (job_key, job_revision): (String, u64),
    progress_key: String,
) {
    let mut transaction = fenced(leadership);
    transaction.expected.push((job_key.clone(), job_revision));
    transaction
        .expected
        .push((progress_key.clone(), record.revision));
    transaction.removes.extend([job_key, progress_key]);
    match (leadership.store.commit)(transaction).await {
        Ok(CommitOutcome::Done { .. }) => {
            log::info!(job:% = record.job; "leftover_job_removed");
            return;
        }
        // Changed since; the next try sees how.
        Ok(CommitOutcome::Conflict { .. }) => {}
        Err(error) => log::warn!(error:%, records = 1; "expired_records_not_removed"),
    }
    leadership.scheduler().give_back_expired([record]);
}
