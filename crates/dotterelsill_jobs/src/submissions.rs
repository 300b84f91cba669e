//! Queue of submitted jobs that are waiting to be stored.

use std::collections::{
    BTreeSet,
    VecDeque, //
};

use dotterelsill_proto::jobs::JobRecord;

use crate::JobId;

/// A submitted job that must be stored. `W` notifies a caller of the outcome.
#[derive(Debug)]
pub struct Submission<W> {
    /// Identifier of the job.
    pub id: JobId,
    /// Record to store.
    pub record: JobRecord,
    /// Whether the job is in the store's intake, from which it is removed when it
    /// is stored.
    pub is_from_intake: bool,
    /// Whether an earlier attempt may have stored the job.
    pub may_be_stored: bool,
    /// Callers that wait for the outcome.
    pub waiting: Vec<W>,
}

/// Returns how many slots of a transaction go to new jobs. The rest goes to
/// progress changes; neither can starve the other.
pub fn slots_for_jobs(slots: usize, jobs: usize, changes: usize) -> usize {
    let least = slots.div_ceil(2);
    let left = slots.saturating_sub(changes);
    jobs.min(least.max(left))
}

/// Submitted jobs that are waiting to be stored, in order and without duplicates.
#[derive(Debug)]
pub struct Submissions<W> {
    waiting: VecDeque<Submission<W>>,
    /// Jobs that are being stored.
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
    /// Adds a job. If it is already waiting, the callers are merged and the first
    /// record is kept.
    pub fn add(&mut self, submission: Submission<W>) {
        let mut waiting = self.waiting.iter_mut();
        match waiting.find(|other| other.id == submission.id) {
            Some(other) => merge(other, submission),
            None => self.waiting.push_back(submission),
        }
    }

    /// Takes up to `limit` jobs from the front. The caller must settle each or put
    /// it back.
    pub fn take(&mut self, limit: usize) -> Vec<Submission<W>> {
        let count = self.waiting.len().min(limit);
        let taken: Vec<Submission<W>> = self.waiting.drain(..count).collect();
        self.taken
            .extend(taken.iter().map(|submission| submission.id));
        taken
    }

    /// Marks the outcome of a taken job as known.
    pub fn settle(&mut self, id: JobId) {
        self.taken.remove(&id);
    }

    /// Puts a taken job whose outcome is unknown back to the front. If it was
    /// submitted again in the meantime, the two are merged; the record of this one
    /// is kept, since it may be stored.
    pub fn put_back(&mut self, mut submission: Submission<W>) {
        self.settle(submission.id);
        let mut waiting = self.waiting.iter();
        let position = waiting.position(|other| other.id == submission.id);
        if let Some(again) = position.and_then(|position| self.waiting.remove(position)) {
            merge(&mut submission, again);
        }
        self.waiting.push_front(submission);
    }

    /// Returns whether a job is waiting or being stored.
    pub fn contains(&self, id: JobId) -> bool {
        let mut waiting = self.waiting.iter();
        self.taken.contains(&id) || waiting.any(|submission| submission.id == id)
    }

    /// Returns the number of waiting jobs of a queue that were already accepted,
    /// because an instance stored them in the intake.
    pub fn accepted_on(&self, queue: &str) -> usize {
        let is_accepted = |submission: &&Submission<W>| {
            submission.is_from_intake && submission.record.queue == queue
        };
        self.waiting.iter().filter(is_accepted).count()
    }

    /// Returns the number of waiting jobs.
    pub fn len(&self) -> usize {
        self.waiting.len()
    }

    /// Returns whether no job is waiting.
    pub fn is_empty(&self) -> bool {
        self.waiting.is_empty()
    }
}

fn merge<W>(into: &mut Submission<W>, other: Submission<W>) {
    into.waiting.extend(other.waiting);
    into.is_from_intake |= other.is_from_intake;
    into.may_be_stored |= other.may_be_stored;
}
