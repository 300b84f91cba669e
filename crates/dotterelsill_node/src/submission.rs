//! Jobs that wait to be stored, with those who wait for the outcome.

use std::sync::{
    Mutex,
    MutexGuard,
    PoisonError, //
};

use async_channel::Sender;
use dotterelsill_proto::jobs::Outcome;

/// A job that is to be stored.
pub(crate) type Submission = dotterelsill_jobs::Submission<Sender<Outcome>>;

/// Tells all that wait for a job what became of it.
pub(crate) fn notify_waiting(submission: &Submission, outcome: Outcome) {
    for waiting in &submission.waiting {
        // The caller may have gone.
        let _ = waiting.try_send(outcome);
    }
}

/// Jobs that wait to be stored.
#[derive(Default)]
pub(crate) struct Submissions(Mutex<dotterelsill_jobs::Submissions<Sender<Outcome>>>);

impl Submissions {
    /// Locks the queue; it is never held across a suspension.
    pub(crate) fn lock(&self) -> MutexGuard<'_, dotterelsill_jobs::Submissions<Sender<Outcome>>> {
        self.0.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
