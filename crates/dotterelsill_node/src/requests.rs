//! Requests handled by the scheduler, for callers and for other instances.

use std::{
    future::Future,
    sync::Arc,
    time::Duration, //
};

use async_io::Timer;
use dotterelsill_jobs::{
    JobId,
    JobState,
    PendingCount,
    Queue, //
};
use dotterelsill_proto::jobs::{
    JobRecord,
    Outcome,
    PendingRequest, //
};
use futures_lite::FutureExt as _;

use crate::{
    clock,
    intake,
    leadership::Leadership,
    submission::Submission, //
};

/// Stores and accepts a job.
pub(crate) async fn submit(
    leadership: &Leadership,
    id: JobId,
    mut record: JobRecord,
    limit: Duration,
) -> Outcome {
    if leadership.scheduler().has_job(id) {
        return Outcome::Done;
    }
    if leadership.authority.is_lost() {
        return Outcome::Refused;
    }
    if !leadership.scheduler().reserve_memory(id, &record) {
        log::info!(job:% = id, workspace = record.workspace; "job_memory_full");
        return Outcome::Full;
    }
    leadership.complete_record(&mut record);
    record.accepted_unix_ms = clock::unix().as_millis() as u64;
    let (sender, receiver) = async_channel::bounded(1);
    leadership.submissions.lock().add(Submission {
        id,
        record,
        is_from_intake: false,
        may_be_stored: false,
        waiting: vec![sender],
    });
    leadership.write_wanted.set();
    let answered = async { receiver.recv().await.unwrap_or(Outcome::Unknown) };
    outcome_within(leadership, limit, answered).await
}

/// Returns the outcome of an earlier submission of a job: `Done` if it was accepted,
/// `Unknown` while it is being stored, and `Refused` if this scheduler has none.
pub(crate) fn earlier_submission(leadership: &Leadership, id: JobId) -> Outcome {
    // A job stays in the submissions until the scheduler knows it, so checking them
    // first cannot miss it.
    if leadership.submissions.lock().contains(id) {
        Outcome::Unknown
    } else if leadership.scheduler().has_job(id) {
        Outcome::Done
    } else {
        Outcome::Refused
    }
}

/// Waits for an outcome; returns `Unknown` when the limit has passed or the
/// authority is lost.
async fn outcome_within(
    leadership: &Leadership,
    limit: Duration,
    outcome: impl Future<Output = Outcome>,
) -> Outcome {
    let timed_out = async {
        Timer::after(limit).await;
        Outcome::Unknown
    };
    let lost = async {
        leadership.authority.lost().await;
        Outcome::Unknown
    };
    outcome.or(timed_out).or(lost).await
}

/// Returns the state of a job, or `Absent` if it does not exist.
pub(crate) async fn state(leadership: &Arc<Leadership>, id: JobId) -> (Outcome, Option<JobState>) {
    if !leadership.scheduler().has_job(id) {
        let outcome = import_job(leadership, id).await;
        if outcome != Outcome::Done {
            return (outcome, None);
        }
    }
    match leadership.scheduler().state(id) {
        Some(state) => (Outcome::Done, Some(state)),
        None => (Outcome::Refused, None),
    }
}

/// Cancels a job and waits until that is stored; returns `Absent` if the job does
/// not exist.
pub(crate) async fn cancel(leadership: &Arc<Leadership>, id: JobId, limit: Duration) -> Outcome {
    if !leadership.scheduler().has_job(id) {
        let outcome = import_job(leadership, id).await;
        if outcome != Outcome::Done {
            return outcome;
        }
    }
    leadership.scheduler().cancel(id, clock::now());
    leadership.on_changed();
    let stored = async {
        loop {
            let stored = leadership.stored.listen();
            if leadership.scheduler().is_stored(id) {
                return Outcome::Done;
            }
            stored.await;
        }
    };
    outcome_within(leadership, limit, stored).await
}

/// Returns how many jobs of a queue have not started; `None` while accepted jobs may be
/// missing.
pub(crate) fn pending(leadership: &Leadership, request: &PendingRequest) -> Option<PendingCount> {
    let mut queue_path = request.queue_path.clone();
    if queue_path.is_empty() {
        let view = leadership.operators.view();
        let queue = view.configuration.queue(&request.queue);
        queue_path = queue.map_or_else(|| request.queue.clone(), Queue::path);
    }
    let reads = *leadership.intake_reads();
    // A job leaves the submissions once the scheduler knows it, so counting them first
    // cannot miss it.
    let accepted = leadership.submissions.lock().accepted_on(&queue_path) as u64;
    let jobs = accepted + leadership.scheduler().pending(&queue_path);
    match reads.count(jobs, leadership.is_valid(), clock::now()) {
        Ok(count) => Some(count),
        Err(reason) => {
            leadership.load.on_pending_unknown(reason);
            None
        }
    }
}

/// Imports a job from the intake: `Done` if the scheduler then knows it, `Absent` if
/// it does not exist, and `Refused` if that cannot be determined.
async fn import_job(leadership: &Arc<Leadership>, id: JobId) -> Outcome {
    match intake::import_job(leadership, id).await {
        Ok(true) => Outcome::Done,
        // A write that is still unanswered may have stored its record.
        Ok(false) if leadership.submissions.lock().contains(id) => Outcome::Refused,
        // Another scheduler may know jobs that this one does not.
        Ok(false) if leadership.is_valid() => Outcome::Absent,
        Ok(false) => Outcome::Refused,
        Err(error) => {
            log::warn!(job:% = id, error:%; "intake_not_read");
            Outcome::Refused
        }
    }
}
