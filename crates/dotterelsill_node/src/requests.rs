//! What the scheduler answers to callers and to other instances.

use std::{
    future::Future,
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
    Outcome, //
};
use futures_lite::FutureExt as _;

use crate::{
    clock,
    intake,
    lead::Lead,
    submission::Submission, //
};

/// Stores a job and takes it.
pub(crate) async fn submit(
    lead: &Lead,
    id: JobId,
    mut record: JobRecord,
    limit: Duration,
) -> Outcome {
    if lead.scheduler().has_job(id) {
        return Outcome::Done;
    }
    if lead.authority.is_lost() {
        return Outcome::Refused;
    }
    lead.adopt(&mut record);
    record.accepted_unix_ms = clock::unix().as_millis() as u64;
    let (sender, receiver) = async_channel::bounded(1);
    lead.submissions.lock().add(Submission {
        id,
        record,
        is_from_intake: false,
        may_be_stored: false,
        waiting: vec![sender],
    });
    lead.write_wanted.set();
    let answered = async { receiver.recv().await.unwrap_or(Outcome::Unknown) };
    within(lead, limit, answered).await
}

/// Tells what became of an earlier try to hand in a job: `Refused` if none was
/// taken here, and `Unknown` while it is being stored.
pub(crate) fn earlier_try(lead: &Lead, id: JobId) -> Outcome {
    // A job leaves the submissions only once it is known.
    if lead.submissions.lock().contains(id) {
        Outcome::Unknown
    } else if lead.scheduler().has_job(id) {
        Outcome::Done
    } else {
        Outcome::Refused
    }
}

/// Waits for an outcome for a limited time and as long as this instance
/// schedules; it is not known otherwise.
async fn within(lead: &Lead, limit: Duration, outcome: impl Future<Output = Outcome>) -> Outcome {
    let late = async {
        Timer::after(limit).await;
        Outcome::Unknown
    };
    let lost = async {
        lead.authority.lost().await;
        Outcome::Unknown
    };
    outcome.or(late).or(lost).await
}

/// Returns the state of a job, `Absent` if there is none.
pub(crate) async fn state(lead: &Arc<Lead>, id: JobId) -> (Outcome, Option<JobState>) {
    if !lead.scheduler().has_job(id) {
        let outcome = import(lead, id).await;
        if outcome != Outcome::Done {
            return (outcome, None);
        }
    }
    match lead.scheduler().state(id) {
        Some(state) => (Outcome::Done, Some(state)),
        None => (Outcome::Refused, None),
    }
}

/// Cancels a job, `Absent` if there is none.
pub(crate) async fn cancel(lead: &Arc<Lead>, id: JobId, limit: Duration) -> Outcome {
    if !lead.scheduler().has_job(id) {
        let outcome = import(lead, id).await;
        if outcome != Outcome::Done {
            return outcome;
        }
    }
    lead.scheduler().cancel(id, clock::now());
    lead.on_changed();
    let stored = async {
        loop {
            let stored = lead.stored.listen();
            if lead.scheduler().is_stored(id) {
                return Outcome::Done;
            }
            stored.await;
        }
    };
    within(lead, limit, stored).await
}

/// Returns how many jobs of a queue have not begun.
pub(crate) fn pending(lead: &Lead, queue: &str) -> (Outcome, u64) {
    if lead.is_valid() {
        let accepted = lead.submissions.lock().accepted_on(queue) as u64;
        (Outcome::Done, lead.scheduler().pending(queue) + accepted)
    } else {
        (Outcome::Refused, 0)
    }
}

/// Takes a job over from the intake: `Done` if it is known then, `Absent` if
/// there is none, and `Refused` if that cannot be told.
async fn import(lead: &Arc<Lead>, id: JobId) -> Outcome {
    match intake::import(lead, id).await {
        Ok(true) => Outcome::Done,
        // Its record may be stored by a write that was not answered yet.
        Ok(false) if lead.submissions.lock().contains(id) => Outcome::Refused,
        // Another scheduler may know jobs that this one does not.
        Ok(false) if lead.is_valid() => Outcome::Absent,
        Ok(false) => Outcome::Refused,
        Err(error) => {
            log::warn!(job:% = id, error:%; "intake_not_read");
            Outcome::Refused
        }
    }
}
