//! Progress of jobs that must be stored, and acknowledgements that wait for it.

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

/// A progress record to store for a job.
#[derive(Clone, Debug, PartialEq)]
pub struct JobChange {
    /// Job that the progress belongs to.
    pub job: JobId,
    /// Number of the newest change that the record contains.
    pub number: u64,
    /// Store revision that the existing progress record must have; 0 if it must not
    /// exist.
    pub expected_revision: u64,
    /// Progress record to write.
    pub record: ProgressRecord,
    /// Whether the job has ended, so that its job record can be deleted.
    pub is_final: bool,
}

/// Queue of jobs whose progress must be stored, without duplicates.
#[derive(Debug, Default)]
pub(crate) struct DirtyJobs {
    /// Jobs whose stored progress other work waits for.
    urgent: VecDeque<JobId>,
    others: VecDeque<JobId>,
    is_urgent: HashSet<JobId>,
    is_other: HashSet<JobId>,
}

impl DirtyJobs {
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

    /// Takes the next job: an urgent one first, unless `is_others_turn`.
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
            // Jobs that have become urgent in the meantime are no longer in the
            // set.
            if self.is_other.remove(&id) {
                return Some(id);
            }
        }
        None
    }
}

impl Scheduler {
    /// Returns whether a change that blocks other work is waiting to be stored.
    pub fn has_urgent_change(&self) -> bool {
        !self.dirty.urgent.is_empty()
    }

    /// Returns whether any change is waiting to be stored.
    pub fn has_change(&self) -> bool {
        !self.dirty.urgent.is_empty() || !self.dirty.is_other.is_empty()
    }

    /// Returns the number of jobs with a change that is waiting to be stored.
    pub fn changes_waiting(&self) -> usize {
        self.dirty.is_urgent.len() + self.dirty.is_other.len()
    }

    /// Takes up to `limit` changes to store, urgent ones first. The caller must
    /// report each result with [`Self::on_stored`], [`Self::on_not_stored`] or
    /// [`Self::on_revision_conflict`].
    pub fn take_changes(&mut self, limit: usize) -> Vec<JobChange> {
        let mut taken = Vec::new();
        // Half of the batch is reserved for non-urgent changes: workers keep
        // listing the ends that wait for them.
        let others = self.dirty.is_other.len().min(limit.div_ceil(2));
        while taken.len() < limit {
            let is_others_turn = taken.len() + others >= limit;
            let Some(id) = self.dirty.pop(is_others_turn) else {
                break;
            };
            let unended = self.unended_runs(id);
            let Some(job) = self.jobs.get_mut(&id) else {
                continue;
            };
            job.is_writing = true;
            let workspace = job.spec.workspace.clone().filter(|_| !unended.is_empty());
            taken.push(JobChange {
                job: id,
                number: job.changes,
                expected_revision: job.progress_revision,
                record: ProgressRecord {
                    unended,
                    workspace: workspace.unwrap_or_default(),
                    ..job.progress()
                },
                is_final: job.phase != Phase::Open,
            });
        }
        taken
    }

    /// Queues the progress of a job for storage. If a write is in flight, the job
    /// is queued again when the write completes.
    pub(crate) fn mark_dirty(&mut self, id: JobId) {
        self.unstored_since.entry(id).or_insert(self.planned_at);
        if let Some(job) = self.jobs.get(&id).filter(|job| !job.is_writing) {
            let is_urgent = !job.is_open() || job.is_spreading();
            self.dirty.add(id, is_urgent);
        }
    }

    /// Handles a stored change; `revision` is the new store revision of the record.
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
        self.shrink_if_over(id);
        let workers = self.unacknowledged.remove(&id).unwrap_or_default();
        for key in workers {
            self.acknowledge_stored(key);
        }
    }

    /// Handles a change that was not stored; it is queued again.
    pub fn on_not_stored(&mut self, id: JobId) {
        if let Some(job) = self.jobs.get_mut(&id) {
            job.is_writing = false;
            self.mark_dirty(id);
        }
    }

    /// Handles a change that was rejected because the stored record has another
    /// revision: the write of an earlier attempt whose response was lost.
    pub fn on_revision_conflict(&mut self, id: JobId, revision: u64) {
        if let Some(job) = self.jobs.get_mut(&id) {
            job.progress_revision = revision;
        }
        self.on_not_stored(id);
    }

    /// Allows the acknowledgement of a worker's ends whose effects are stored, in
    /// order.
    pub(crate) fn acknowledge_stored(&mut self, key: WorkerKey) {
        loop {
            let Some(worker) = self.workers.get(&key) else {
                return;
            };
            let Some(&end) = worker.life.pending_ends.front() else {
                return;
            };
            let is_stored = self
                .jobs
                .get(&end.job)
                .is_none_or(|job| job.stored_changes >= end.change);
            if !is_stored {
                // The ends behind this one also wait for its job.
                self.unacknowledged.entry(end.job).or_default().insert(key);
                break;
            }
            let is_early = |task| self.has_unsettled_start(task, self.planned_at);
            if !worker.life.may_acknowledge(end.number)
                || end.copied.is_some_and(is_early)
                || self.may_begin_again(worker, &end)
            {
                break;
            }
            let Some(worker) = self.workers.get_mut(&key) else {
                return;
            };
            worker.life.acknowledged_end = end.number;
            worker.life.pending_ends.pop_front();
        }
    }
}
