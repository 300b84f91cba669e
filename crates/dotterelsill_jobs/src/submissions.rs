//! Queue of submitted jobs that are waiting to be stored.

use std::collections::{
    BTreeMap,
    VecDeque, //
};

use dotterelsill_proto::jobs::JobRecord;

use crate::{
    spec::queue_key,
    JobId, //
};

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
    taken: BTreeMap<JobId, Taken>,
}

/// A job that is being stored.
#[derive(Debug)]
struct Taken {
    /// What identifies the job's queue.
    queue_key: String,
    /// Whether the job is in the store's intake.
    is_in_intake: bool,
}

impl<W> Default for Submissions<W> {
    fn default() -> Self {
        Self {
            waiting: VecDeque::new(),
            taken: BTreeMap::new(),
        }
    }
}

impl<W> Submissions<W> {
    /// Adds a job. If it is already waiting, the callers are merged and the first
    /// record is kept.
    pub fn add(&mut self, submission: Submission<W>) {
        if let Some(taken) = self.taken.get_mut(&submission.id) {
            taken.is_in_intake |= submission.is_from_intake;
        }
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
        for submission in &taken {
            let job = Taken {
                queue_key: key_of(&submission.record).to_owned(),
                is_in_intake: submission.is_from_intake,
            };
            self.taken.insert(submission.id, job);
        }
        taken
    }

    /// Marks the outcome of a taken job as known.
    pub fn settle(&mut self, id: JobId) {
        self.taken.remove(&id);
    }

    /// Drops a taken job whose transaction was not carried out; returns whether it did. A
    /// job that may be accepted in another way is kept, and must be put back.
    pub fn refuse(&mut self, submission: &Submission<W>) -> bool {
        let taken = self.taken.get(&submission.id);
        let is_in_intake = taken.is_some_and(|taken| taken.is_in_intake);
        if submission.may_be_stored || submission.is_from_intake || is_in_intake {
            return false;
        }
        self.settle(submission.id);
        true
    }

    /// Puts a taken job whose outcome is unknown back to the front. If it was
    /// submitted again in the meantime, the two are merged; the record of this one
    /// is kept, since it may be stored.
    pub fn put_back(&mut self, mut submission: Submission<W>) {
        let taken = self.taken.remove(&submission.id);
        submission.is_from_intake |= taken.is_some_and(|taken| taken.is_in_intake);
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
        self.taken.contains_key(&id) || waiting.any(|submission| submission.id == id)
    }

    /// Records that a job is in the store's intake, too: an instance stored it there
    /// while it was waiting here. Returns whether it is waiting or being stored.
    pub fn note_in_intake(&mut self, id: JobId) -> bool {
        let mut waiting = self.waiting.iter_mut();
        if let Some(submission) = waiting.find(|submission| submission.id == id) {
            submission.is_from_intake = true;
            return true;
        }
        match self.taken.get_mut(&id) {
            Some(taken) => {
                taken.is_in_intake = true;
                true
            }
            None => false,
        }
    }

    /// Returns the number of jobs of a queue, given its path, that are waiting or being stored
    /// and may be accepted already: an instance stored them in the intake, or a transaction that
    /// contains them may have taken effect, so that an instance that finds a job stored
    /// accepts it.
    pub fn accepted_on(&self, queue_path: &str) -> usize {
        let waiting = self.waiting.iter().filter(|submission| {
            // A job that was handed in again while it is being stored counts once.
            !self.taken.contains_key(&submission.id)
                && (submission.is_from_intake || submission.may_be_stored)
                && key_of(&submission.record) == queue_path
        });
        let taken = self
            .taken
            .values()
            .filter(|taken| taken.queue_key == queue_path);
        waiting.count() + taken.count()
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

fn key_of(record: &JobRecord) -> &str {
    queue_key(&record.queue, &record.queue_path)
}

fn merge<W>(into: &mut Submission<W>, other: Submission<W>) {
    into.waiting.extend(other.waiting);
    into.is_from_intake |= other.is_from_intake;
    into.may_be_stored |= other.may_be_stored;
}
