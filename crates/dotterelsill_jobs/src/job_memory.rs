//! Bound on the memory that the jobs of each workspace take in the scheduler.

use std::collections::HashMap;

use dotterelsill_proto::jobs::JobRecord;

use crate::{
    JobId,
    JobSpec,
    Scheduler, //
};

/// Memory of an open job besides its strings and its steps, in bytes.
const JOB_BYTES: u64 = 1024;

/// Memory of a step of an open job and of its state in one occurrence, in bytes.
const STEP_BYTES: u64 = 768;

/// Memory of a job that has ended besides its steps, in bytes.
const ENDED_JOB_BYTES: u64 = 1024;

/// Memory of a step of a job that has ended, in bytes.
const ENDED_STEP_BYTES: u64 = 192;

/// Estimated memory that jobs take, by workspace.
#[derive(Debug, Default)]
pub(crate) struct JobMemory {
    total_bytes: u64,
    by_workspace: HashMap<String, u64>,
    /// Workspace and memory of each job; the workspace is empty for a job that was
    /// submitted without a key.
    jobs: HashMap<JobId, (String, u64)>,
}

impl JobMemory {
    /// Sets the memory that a job takes.
    pub(crate) fn set(&mut self, id: JobId, workspace: &str, bytes: u64) {
        self.remove(id);
        self.jobs.insert(id, (workspace.to_owned(), bytes));
        self.total_bytes += bytes;
        *self.by_workspace.entry(workspace.to_owned()).or_default() += bytes;
    }

    /// Gives back the memory of a job.
    pub(crate) fn remove(&mut self, id: JobId) {
        let Some((workspace, bytes)) = self.jobs.remove(&id) else {
            return;
        };
        self.total_bytes -= bytes;
        if let Some(used) = self.by_workspace.get_mut(&workspace) {
            *used -= bytes;
            if *used == 0 {
                self.by_workspace.remove(&workspace);
            }
        }
    }

    fn used_by(&self, workspace: &str) -> u64 {
        self.by_workspace.get(workspace).copied().unwrap_or(0)
    }
}

/// Returns the estimated memory of a job that is submitted, in bytes.
fn memory_of_record(record: &JobRecord) -> u64 {
    let steps = record.steps.iter().map(|step| {
        let strings = step.required_label.len() + step.near_rack.len() + step.image.len();
        STEP_BYTES + (4 * step.after.len() + strings) as u64
    });
    let strings =
        record.spec.len() + record.queue.len() + record.queue_path.len() + record.workspace.len();
    JOB_BYTES + strings as u64 + steps.sum::<u64>()
}

/// Returns the estimated memory of an open job, in bytes.
pub(crate) fn memory_of_open(spec: &JobSpec) -> u64 {
    let length = |text: &Option<String>| text.as_ref().map_or(0, String::len);
    let steps = spec.steps.iter().map(|step| {
        let strings = length(&step.required_label) + length(&step.near_rack) + step.image.len();
        STEP_BYTES + (4 * step.after.len() + strings) as u64
    });
    let strings = spec.payload.len()
        + spec.queue.len()
        + spec.queue_path.len()
        + length(&spec.pool)
        + length(&spec.workspace);
    JOB_BYTES + strings as u64 + steps.sum::<u64>()
}

/// Returns the estimated memory of a job that has ended, in bytes.
pub(crate) fn memory_of_ended(spec: &JobSpec) -> u64 {
    let steps = spec.steps.iter();
    ENDED_JOB_BYTES
        + steps
            .map(|step| ENDED_STEP_BYTES + 4 * step.after.len() as u64)
            .sum::<u64>()
}

impl Scheduler {
    /// Reserves memory for a job that is about to be stored; returns whether there is
    /// room for it. Each workspace can always use an equal share of the memory for jobs,
    /// and more as long as others leave theirs.
    pub fn reserve_memory(&mut self, id: JobId, record: &JobRecord) -> bool {
        if self.memory.jobs.contains_key(&id) {
            return true;
        }
        let bytes = memory_of_record(record);
        let limit = self.limits.job_memory_bytes;
        // Jobs without a key have one share as well.
        let share = limit / (self.configuration.workspaces.len() as u64 + 1);
        let has_room = self.memory.total_bytes + bytes <= limit
            || self.memory.used_by(&record.workspace) + bytes <= share;
        if has_room {
            self.memory.set(id, &record.workspace, bytes);
        }
        has_room
    }

    /// Gives back the memory that was reserved for a job that is not accepted.
    pub fn cancel_reservation(&mut self, id: JobId) {
        if !self.jobs.contains_key(&id) {
            self.memory.remove(id);
        }
    }

    /// Drops what only an open job needs, once the end of a job is stored and none of
    /// its runs is left.
    pub(crate) fn shrink_if_over(&mut self, id: JobId) {
        if !self.is_stored(id) {
            return;
        }
        let Some(job) = self.jobs.get_mut(&id) else {
            return;
        };
        if job.is_open() || job.has_runs() {
            return;
        }
        job.drop_open_state();
        if self.memory.jobs.contains_key(&id) {
            let workspace = job.spec.workspace.as_deref().unwrap_or_default();
            let bytes = memory_of_ended(&job.spec);
            self.memory.set(id, workspace, bytes);
        }
    }
}
