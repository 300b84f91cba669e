//! What is to be stored, and what waits for it.

use dotterelsill_proto::jobs::{
    Phase,
    ProgressRecord, //
};

use crate::{
    JobId,
    Scheduler, //
};

/// Progress of a job that is to be stored.
#[derive(Clone, Debug, PartialEq)]
pub struct Change {
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

impl Scheduler {
    /// Returns whether a change waits to be stored that holds something up.
    pub fn has_urgent_change(&self) -> bool {
        let is_urgent = |id: &JobId| {
            let job = self.jobs.get(id);
            job.is_some_and(|job| !job.is_open() || job.is_spreading())
        };
        self.dirty.iter().any(is_urgent)
    }

    /// Returns whether any change waits to be stored.
    pub fn has_change(&self) -> bool {
        !self.dirty.is_empty()
    }

    /// Returns the number of jobs with a change that waits to be stored.
    pub fn changes_waiting(&self) -> usize {
        self.dirty.len()
    }

    /// Takes changes to store, those that something waits for first; each is answered with
    /// [`Self::on_stored`] or [`Self::on_not_stored`].
    pub fn take_changes(&mut self, most: usize) -> Vec<Change> {
        let mut taken = Vec::new();
        for only_urgent in [true, false] {
            let mut kept = std::collections::VecDeque::new();
            while let Some(id) = self.dirty.pop_front() {
                let Some(job) = self.jobs.get_mut(&id) else {
                    self.is_dirty.remove(&id);
                    continue;
                };
                if taken.len() >= most
                    || job.is_writing
                    || only_urgent && job.is_open() && !job.is_spreading()
                {
                    kept.push_back(id);
                    continue;
                }
                self.is_dirty.remove(&id);
                job.is_writing = true;
                taken.push(Change {
                    job: id,
                    number: job.changes,
                    expected_revision: job.progress_revision,
                    record: job.progress(),
                    is_final: job.phase != Phase::Open,
                });
            }
            self.dirty = kept;
        }
        taken
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
        self.acknowledge_stored();
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
    pub fn on_other_revision(&mut self, id: JobId, revision: u64) {
        if let Some(job) = self.jobs.get_mut(&id) {
            job.progress_revision = revision;
        }
        self.on_not_stored(id);
    }

    /// Lets ends be acknowledged to workers whose meaning is stored.
    pub(crate) fn acknowledge_stored(&mut self) {
        let jobs = &self.jobs;
        for worker in self.workers.values_mut() {
            while let Some(end) = worker.pending_ends.front() {
                let is_stored = jobs
                    .get(&end.job)
                    .is_none_or(|job| job.stored_changes >= end.change);
                if !is_stored {
                    break;
                }
                worker.acknowledged_end = end.number;
                worker.pending_ends.pop_front();
            }
        }
    }
}
