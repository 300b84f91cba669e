//! Jobs that wait to be stored.

use std::collections::{
    BTreeSet,
    VecDeque, //
};

use dotterelsill_proto::jobs::JobRecord;

use crate::JobId;

/// A job that is to be stored; `W` is what tells a caller the outcome.
#[derive(Debug)]
pub struct Submission<W> {
    /// Job.
    pub id: JobId,
    /// Record to store.
    pub record: JobRecord,
    /// Whether the job lies in the store's intake, which it leaves.
    pub is_from_intake: bool,
    /// Whether an earlier try may have stored the job.
    pub may_be_stored: bool,
    /// Those who wait for the outcome.
    pub waiting: Vec<W>,
}

/// Returns how many of a transaction's places new jobs take, so that neither new
/// jobs nor the progress of others waits for as long as the other goes on to come.
pub fn slots_for_jobs(places: usize, jobs: usize, changes: usize) -> usize {
    let least = places.div_ceil(2);
    let left = places.saturating_sub(changes);
    jobs.min(least.max(left))
}

/// Jobs that wait to be stored, in order, each once.
#[derive(Debug)]
pub struct Submissions<W> {
    waiting: VecDeque<Submission<W>>,
    /// Jobs that were taken and are being stored.
    taken: BTreeSet<JobId>,
}

impl<W> Default for Submissions<W> {
    fn default() -> Self {
        Self {
            waiting: VecDeque::new(),
            taken: BTreeSet::new(),
        }
    }
}

impl<W> Submissions<W> {
    /// Adds a job, or another caller that waits for it.
    pub fn add(&mut self, submission: Submission<W>) {
        let mut waiting = self.waiting.iter_mut();
        match waiting.find(|other| other.id == submission.id) {
            Some(other) => merge(other, submission),
            None => self.waiting.push_back(submission),
        }
    }

    /// Takes jobs off the front; each is put back or settled.
    pub fn take(&mut self, most: usize) -> Vec<Submission<W>> {
        let count = self.waiting.len().min(most);
        let taken: Vec<Submission<W>> = self.waiting.drain(..count).collect();
        self.taken
            .extend(taken.iter().map(|submission| submission.id));
        taken
    }

    /// Notes that the outcome of a job that was taken is known.
    pub fn settle(&mut self, id: JobId) {
        self.taken.remove(&id);
    }

    /// Puts a job whose outcome is open back to the front. If it was handed in
    /// again meanwhile, its record counts, which may be stored.
    pub fn put_back(&mut self, mut submission: Submission<W>) {
        self.settle(submission.id);
        let mut waiting = self.waiting.iter();
        let place = waiting.position(|other| other.id == submission.id);
        if let Some(again) = place.and_then(|place| self.waiting.remove(place)) {
            merge(&mut submission, again);
        }
        self.waiting.push_front(submission);
    }

    /// Returns whether a job waits or is being stored.
    pub fn contains(&self, id: JobId) -> bool {
        let mut waiting = self.waiting.iter();
        self.taken.contains(&id) || waiting.any(|submission| submission.id == id)
    }

    /// Returns the number of jobs of a queue that wait although they were accepted: an
    /// instance has stored them in the intake.
    pub fn accepted_on(&self, queue: &str) -> usize {
        let is_accepted = |submission: &&Submission<W>| {
            submission.is_from_intake && submission.record.queue == queue
        };
        self.waiting.iter().filter(is_accepted).count()
    }

    /// Returns the number of jobs that wait.
    pub fn len(&self) -> usize {
        self.waiting.len()
    }

    /// Returns whether no job waits.
    pub fn is_empty(&self) -> bool {
        self.waiting.is_empty()
    }
}

fn merge<W>(into: &mut Submission<W>, other: Submission<W>) {
    into.waiting.extend(other.waiting);
    into.is_from_intake |= other.is_from_intake;
    into.may_be_stored |= other.may_be_stored;
}
