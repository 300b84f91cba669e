//! Jobs waiting to be stored, with channels to the tasks that await the outcome.

use std::sync::{
    Mutex,
    MutexGuard,
    PoisonError, //
};

use async_channel::Sender;
use dotterelsill_proto::jobs::Outcome;

/// A job waiting to be stored, and the senders to its waiting tasks.
pub(crate) type Submission = dotterelsill_jobs::Submission<Sender<Outcome>>;

/// Sends the outcome of a submission to all tasks that wait for it.
pub(crate) fn notify_waiting(submission: &Submission, outcome: Outcome) {
    for waiting in &submission.waiting {
        // The waiting task may have given up.
        let _ = waiting.try_send(outcome);
    }
}

/// Queue of jobs waiting to be stored.
#[derive(Default)]
pub(crate) struct Submissions(Mutex<dotterelsill_jobs::Submissions<Sender<Outcome>>>);

impl Submissions {
    /// Locks the queue. The guard must not be held across an `await`.
    pub(crate) fn lock(&self) -> MutexGuard<'_, dotterelsill_jobs::Submissions<Sender<Outcome>>> {
        self.0.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
