//! Jobs that wait to be stored.

use std::{
    collections::VecDeque,
    sync::{
        Mutex,
        MutexGuard,
        PoisonError, //
    }, //
};

use async_channel::Sender;
use dotterelsill_jobs::JobId;
use dotterelsill_proto::jobs::{
    JobRecord,
    Outcome, //
};

/// A job that is to be stored.
pub(crate) struct Submission {
    pub(crate) id: JobId,
    pub(crate) record: JobRecord,
    /// Whether the job lies in the store's intake, which it leaves.
    pub(crate) is_from_intake: bool,
    /// Whether an earlier try may have stored the job.
    pub(crate) may_be_stored: bool,
    /// Those who wait for the outcome.
    pub(crate) waiting: Vec<Sender<Outcome>>,
}

impl Submission {
    /// Tells all that wait what became of the job.
    pub(crate) fn answer(&self, outcome: Outcome) {
        for waiting in &self.waiting {
            // The caller may have gone.
            let _ = waiting.try_send(outcome);
        }
    }
}

/// Jobs that wait to be stored, in order.
#[derive(Default)]
pub(crate) struct Submissions(Mutex<VecDeque<Submission>>);

impl Submissions {
    /// Adds a job, or another caller that waits for it.
    pub(crate) fn add(&self, submission: Submission) {
        let mut queue = self.lock();
        match queue.iter_mut().find(|other| other.id == submission.id) {
            Some(other) => {
                other.waiting.extend(submission.waiting);
                other.is_from_intake |= submission.is_from_intake;
            }
            None => queue.push_back(submission),
        }
    }

    /// Takes jobs off the front.
    pub(crate) fn take(&self, most: usize) -> Vec<Submission> {
        let mut queue = self.lock();
        let count = queue.len().min(most);
        queue.drain(..count).collect()
    }

    /// Puts jobs back whose outcome is open.
    pub(crate) fn put_back(&self, submissions: Vec<Submission>) {
        let mut queue = self.lock();
        for submission in submissions.into_iter().rev() {
            queue.push_front(submission);
        }
    }

    pub(crate) fn is_empty(&self) -> bool {
        self.lock().is_empty()
    }

    fn lock(&self) -> MutexGuard<'_, VecDeque<Submission>> {
        self.0.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
