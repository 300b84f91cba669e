//! Jobs that have ended: what is kept of them, and when their records leave the store.

use std::time::Duration;

use dotterelsill_proto::jobs::{
    Phase,
    ProgressRecord, //
};

use crate::{
    JobId,
    JobState,
    Scheduler, //
};

/// What is kept of a job that ended under an earlier scheduler.
#[derive(Clone, Copy, Debug)]
pub(crate) struct RestoredEnd {
    phase: Phase,
    /// Store revision of the progress record.
    revision: u64,
}

/// Progress record of an ended job that nobody may ask for any more.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct ExpiredRecord {
    /// Job that the record belongs to.
    pub job: JobId,
    /// Store revision of the record.
    pub revision: u64,
}

impl Scheduler {
    /// Restores a job that ended under an earlier scheduler.
    pub fn restore_ended(
        &mut self,
        id: JobId,
        progress: &ProgressRecord,
        revision: u64,
        now: Duration,
    ) {
        self.restore_unended(id, progress);
        let phase = progress.phase();
        self.restored_ends
            .insert(id, RestoredEnd { phase, revision });
        self.ends_restored_at = now;
        self.needs_plan = true;
    }

    /// Returns the state of a job that ended under an earlier scheduler.
    pub(crate) fn restored_state(&self, id: JobId) -> Option<JobState> {
        let end = self.restored_ends.get(&id)?;
        Some(JobState {
            phase: end.phase,
            has_begun: true,
        })
    }

    /// Removes ended jobs after the retention time; returns their identifiers. Their
    /// records wait for [`Self::take_expired`].
    pub fn forget_ended(&mut self, now: Duration) -> Vec<JobId> {
        let retention = self.limits.ended_job_retention;
        let mut forgotten = Vec::new();
        if now >= self.ends_restored_at + retention {
            // Releases the memory of the map as well.
            for (job, end) in std::mem::take(&mut self.restored_ends) {
                let revision = end.revision;
                self.expired.push_back(ExpiredRecord { job, revision });
                forgotten.push(job);
            }
        }
        while let Some(&id) = self.ended.front() {
            let Some(job) = self.jobs.get(&id) else {
                self.ended.pop_front();
                continue;
            };
            let is_kept = job.ended_at.is_none_or(|ended| now < ended + retention);
            if is_kept || job.has_runs() || !self.is_stored(id) {
                break;
            }
            self.expired.push_back(ExpiredRecord {
                job: id,
                revision: job.progress_revision,
            });
            self.ended.pop_front();
            self.jobs.remove(&id);
            self.memory.remove(id);
            forgotten.push(id);
        }
        forgotten
    }

    /// Returns the number of records that are to be removed from the store.
    pub fn expired_records(&self) -> usize {
        self.expired.len()
    }

    /// Takes up to `limit` records to remove from the store, the oldest first. The caller
    /// gives back those that were not removed.
    pub fn take_expired(&mut self, limit: usize) -> Vec<ExpiredRecord> {
        let count = limit.min(self.expired.len());
        self.expired.drain(..count).collect()
    }

    /// Takes back records that were not removed.
    pub fn give_back_expired(&mut self, records: impl IntoIterator<Item = ExpiredRecord>) {
        self.expired.extend(records);
    }
}
