//! What is to be stored, and what waits for it.

use std::collections::{
    HashSet,
    VecDeque, //
};

use dotterelsill_proto::jobs::{
    Phase,
    ProgressRecord, //
};

use crate::{
    JobId,
    Scheduler,
    WorkerKey, //
};

/// Progress of a job that is to be stored.
#[derive(Clone, Debug, PartialEq)]
pub struct JobChange {
    /// Job.
    pub job: JobId,
    /// Number of the newest change that the record holds.
    pub number: u64,
    /// Revision that the stored progress must have; 0 for none.
    pub expected_revision: u64,
    /// Record.
    pub record: ProgressRecord,
    /// Whether the job has ended, so that its own record is needed no more.
    pub is_final: bool,
}

/// Jobs whose progress is to be stored, each once.
#[derive(Debug, Default)]
pub(crate) struct Dirty {
    /// Jobs that something waits for.
    urgent: VecDeque<JobId>,
    others: VecDeque<JobId>,
    is_urgent: HashSet<JobId>,
    is_other: HashSet<JobId>,
}

impl Dirty {
    fn add(&mut self, id: JobId, is_urgent: bool) {
        if is_urgent {
            self.is_other.remove(&id);
            if self.is_urgent.insert(id) {
                self.urgent.push_back(id);
            }
        } else if !self.is_urgent.contains(&id) && self.is_other.insert(id) {
            self.others.push_back(id);
        }
    }

    /// Takes the next job: an urgent one first, unless it is the others' turn.
    fn pop(&mut self, is_others_turn: bool) -> Option<JobId> {
        if is_others_turn {
            self.pop_other().or_else(|| self.pop_urgent())
        } else {
            self.pop_urgent().or_else(|| self.pop_other())
        }
    }

    fn pop_urgent(&mut self) -> Option<JobId> {
        let id = self.urgent.pop_front()?;
        self.is_urgent.remove(&id);
        Some(id)
    }

    fn pop_other(&mut self) -> Option<JobId> {
        while let Some(id) = self.others.pop_front() {
            // A job that has become urgent since is no longer in the set.
            if self.is_other.remove(&id) {
                return Some(id);
            }
        }
        None
    }
}

impl Scheduler {
    /// Returns whether a change waits to be stored that holds something up.
    pub fn has_urgent_change(&self) -> bool {
        !self.dirty.urgent.is_empty()
    }

    /// Returns whether any change waits to be stored.
    pub fn has_change(&self) -> bool {
        !self.dirty.urgent.is_empty() || !self.dirty.is_other.is_empty()
    }

    /// Returns the number of jobs with a change that waits to be stored.
    pub fn changes_waiting(&self) -> usize {
        self.dirty.is_urgent.len() + self.dirty.is_other.len()
    }

    /// Takes changes to store, those that something waits for first; each is answered with
    /// [`Self::on_stored`] or [`Self::on_not_stored`].
    pub fn take_changes(&mut self, most: usize) -> Vec<JobChange> {
        let mut taken = Vec::new();
        // Ends that workers list again and again wait for the others.
        let others = self.dirty.is_other.len().min(most.div_ceil(2));
        while taken.len() < most {
            let is_others_turn = taken.len() + others >= most;
            let Some(id) = self.dirty.pop(is_others_turn) else {
                break;
            };
            let Some(job) = self.jobs.get_mut(&id) else {
                continue;
            };
            job.is_writing = true;
            taken.push(JobChange {
                job: id,
                number: job.changes,
                expected_revision: job.progress_revision,
                record: job.progress(),
                is_final: job.phase != Phase::Open,
            });
        }
        taken
    }

    /// Has the progress of a job stored. One that is being written is listed
    /// again when its write is over.
    pub(crate) fn mark_dirty(&mut self, id: JobId) {
        self.unstored_since.entry(id).or_insert(self.planned_at);
        if let Some(job) = self.jobs.get(&id).filter(|job| !job.is_writing) {
            let is_urgent = !job.is_open() || job.is_spreading();
            self.dirty.add(id, is_urgent);
        }
    }

    /// Notes that a change is stored under a revision.
    pub fn on_stored(&mut self, id: JobId, number: u64, revision: u64) {
        self.unstored_since.remove(&id);
        let Some(job) = self.jobs.get_mut(&id) else {
            return;
        };
        job.is_writing = false;
        job.progress_revision = revision;
        job.stored_changes = job.stored_changes.max(number);
        self.needs_plan = true;
        if job.stored_changes < job.changes {
            self.mark_dirty(id);
        }
        let workers = self.unacknowledged.remove(&id).unwrap_or_default();
        for key in workers {
            self.acknowledge_stored(key);
        }
    }

    /// Notes that a change was not stored; it is taken again.
    pub fn on_not_stored(&mut self, id: JobId) {
        if let Some(job) = self.jobs.get_mut(&id) {
            job.is_writing = false;
            self.mark_dirty(id);
        }
    }

    /// Notes that a change was not stored since the stored progress has another
    /// revision, that of an earlier try.
    pub fn on_revision_conflict(&mut self, id: JobId, revision: u64) {
        if let Some(job) = self.jobs.get_mut(&id) {
            job.progress_revision = revision;
        }
        self.on_not_stored(id);
    }

    /// Lets ends be acknowledged to a worker whose meaning is stored.
    pub(crate) fn acknowledge_stored(&mut self, key: WorkerKey) {
        let Some(worker) = self.workers.get_mut(&key) else {
            return;
        };
        while let Some(end) = worker.pending_ends.front() {
            let is_stored = self
                .jobs
                .get(&end.job)
                .is_none_or(|job| job.stored_changes >= end.change);
            if !is_stored {
                // The ends behind this one wait for its job as well.
                self.unacknowledged.entry(end.job).or_default().insert(key);
                break;
            }
            worker.acknowledged_end = end.number;
            worker.pending_ends.pop_front();
        }
    }
}
