//! What the scheduler answers to callers and to other instances.

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
    if lead.scheduler().knows(id) {
        return Outcome::Done;
    }
    if lead.authority.is_lost() {
        return Outcome::Refused;
    }
    lead.adopt(&mut record);
    record.accepted_unix_ms = clock::unix().as_millis() as u64;
    let (sender, receiver) = async_channel::bounded(1);
    lead.submissions.add(Submission {
        id,
        record,
        is_from_intake: false,
        may_be_stored: false,
        waiting: vec![sender],
    });
    lead.write_wanted.set();
    let answered = async { receiver.recv().await.unwrap_or(Outcome::Unknown) };
    let late = async {
        Timer::after(limit).await;
        Outcome::Unknown
    };
    let lost = async {
        lead.authority.lost().await;
        Outcome::Unknown
    };
    answered.or(late).or(lost).await
}

/// Returns the state of a job, `Absent` if there is none.
pub(crate) async fn state(lead: &Arc<Lead>, id: JobId) -> (Outcome, Option<JobState>) {
    for is_last in [false, true] {
        let state = lead.scheduler().state(id);
        if state.is_some() {
            return (Outcome::Done, state);
        }
        if is_last || !import(lead, id).await {
            break;
        }
    }
    // Another scheduler may know jobs that this one does not.
    let outcome = if lead.is_valid() {
        Outcome::Absent
    } else {
        Outcome::Refused
    };
    (outcome, None)
}

/// Cancels a job, `Absent` if there is none.
pub(crate) async fn cancel(lead: &Arc<Lead>, id: JobId, limit: Duration) -> Outcome {
    let mut is_known = lead.scheduler().cancel(id, clock::now());
    if !is_known && import(lead, id).await {
        is_known = lead.scheduler().cancel(id, clock::now());
    }
    lead.on_changed();
    if !is_known {
        return if lead.is_valid() {
            Outcome::Absent
        } else {
            Outcome::Refused
        };
    }
    let stored = async {
        loop {
            let stored = lead.stored.listen();
            if lead.scheduler().is_stored(id) {
                return Outcome::Done;
            }
            stored.await;
        }
    };
    let late = async {
        Timer::after(limit).await;
        Outcome::Unknown
    };
    let lost = async {
        lead.authority.lost().await;
        Outcome::Unknown
    };
    stored.or(late).or(lost).await
}

/// Returns how many jobs of a queue have not begun.
pub(crate) fn pending(lead: &Lead, queue: &str) -> (Outcome, u64) {
    if lead.is_valid() {
        (Outcome::Done, lead.scheduler().pending(queue))
    } else {
        (Outcome::Refused, 0)
    }
}

/// Takes a job over from the intake; returns whether it is known then.
async fn import(lead: &Arc<Lead>, id: JobId) -> bool {
    match intake::import(lead, id).await {
        Ok(is_known) => is_known,
        Err(error) => {
            log::warn!(job:% = id, error:%; "intake_not_read");
            false
        }
    }
}
