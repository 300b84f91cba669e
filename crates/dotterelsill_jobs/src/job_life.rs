//! The life of a job in the scheduler: restored or submitted, opened, ended,
//! forgotten; and its state for callers.

use std::{
    sync::Arc,
    time::Duration, //
};

use dotterelsill_proto::jobs::{
    JobRecord,
    Phase,
    ProgressRecord, //
};

use crate::{
    job::Job,
    job_memory::memory_of_open,
    shortage::{
        age_ms_of,
        MAX_RESTORED_AGE,
        MAX_SUBMITTED_AGE, //
    },
    JobId,
    JobSpec,
    Scheduler,
    SpecError,
    StepId, //
};

/// Number of steps in opened occurrences of all recurring jobs from which on each job has
/// at most [`MIN_OCCURRENCES`] open at a time.
const MAX_OPEN_STEPS: usize = 20_000;

/// Number of occurrences that a job may always have open. Their memory is within the
/// estimate for a step of an open job.
const MIN_OCCURRENCES: usize = 4;

/// State of a job as reported to callers.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct JobState {
    /// Phase of the job.
    pub phase: Phase,
    /// Whether a task has started.
    pub has_begun: bool,
}

impl Scheduler {
    /// Restores a job that an earlier scheduler stored.
    ///
    /// # Errors
    ///
    /// Returns an error if the record is invalid.
    pub fn restore(
        &mut self,
        id: JobId,
        record: &JobRecord,
        progress: Option<(&ProgressRecord, u64)>,
        now: Duration,
    ) -> Result<(), SpecError> {
        let spec = Arc::new(JobSpec::try_from(record)?);
        let mut job = Job::new(id, spec, self.token, now);
        if let Some((known_at, unix)) = self.wall_clock.filter(|_| self.divides_jobs) {
            let unix = unix + now.saturating_sub(known_at);
            job.age_when_known_ms = age_ms_of(job.spec.accepted_unix, unix, MAX_RESTORED_AGE);
        }
        if let Some((progress, revision)) = progress {
            job.restore(progress, revision);
            self.restore_unended(id, progress);
        }
        let has_ended = !job.is_open();
        self.add(job, now);
        if has_ended {
            // A late write has brought the record of the job back. Storing the end again
            // removes it.
            self.mark_dirty(id);
        }
        Ok(())
    }

    /// Adds a job that is stored.
    pub fn submit(&mut self, id: JobId, spec: JobSpec, now: Duration, unix: Duration) {
        if !self.has_job(id) {
            if let Some(queue) = self.configuration.queue_of_job(&spec) {
                let arrivals = self.arrivals.entry(queue.pool.clone()).or_default();
                arrivals.note(&spec, now);
                let recent = self.recent.entry(queue.pool.clone()).or_default();
                recent.note(id, now);
            }
            let mut job = Job::new(id, Arc::new(spec), self.token, now);
            if self.divides_jobs {
                job.age_when_known_ms = age_ms_of(job.spec.accepted_unix, unix, MAX_SUBMITTED_AGE);
            }
            self.add(job, now);
            let mut open_steps = self.open_recurring_steps();
            self.open_due(id, unix, &mut open_steps);
        }
    }

    fn add(&mut self, job: Job, now: Duration) {
        let id = job.id;
        if job.is_open() {
            if let Some(queue) = self.configuration.queue_of_job(&job.spec) {
                let sizes = self.sizes.entry(queue.path()).or_default();
                sizes.note(&job.spec);
            }
            let workspace = job.spec.workspace.as_deref().unwrap_or_default();
            self.memory.set(id, workspace, memory_of_open(&job.spec));
            self.scheduled.insert(id);
            if job.spec.schedule.is_some() {
                self.recurring.insert(id);
            }
            let steps: Vec<StepId> = steps_of(&job).collect();
            self.jobs.insert(id, job);
            for step in steps {
                self.make_ready(step);
            }
        } else {
            self.jobs.insert(id, job);
            self.note_ended(id, now);
        }
        self.needs_plan = true;
    }

    /// Opens due occurrences of all jobs, of each as many as it may have waiting.
    pub fn open_due_jobs(&mut self, unix: Duration) {
        let ids: Vec<JobId> = self.scheduled.iter().copied().collect();
        let mut open_steps = self.open_recurring_steps();
        for id in ids {
            self.open_due(id, unix, &mut open_steps);
        }
    }

    /// Returns the number of steps in opened occurrences of recurring jobs.
    fn open_recurring_steps(&self) -> usize {
        let jobs = self.recurring.iter().filter_map(|id| self.jobs.get(id));
        jobs.map(Job::open_steps).sum()
    }

    fn open_due(&mut self, id: JobId, unix: Duration, open_steps: &mut usize) {
        let Some(job) = self.jobs.get_mut(&id) else {
            self.scheduled.remove(&id);
            return;
        };
        if !job.is_open() {
            self.scheduled.remove(&id);
            return;
        }
        let before = job.open_steps();
        let left = MAX_OPEN_STEPS.saturating_sub(*open_steps);
        let least = MIN_OCCURRENCES * job.spec.steps.len();
        let opened = job.open_due(unix, least.max(before + left));
        *open_steps += job.open_steps() - before;
        if !job.has_unopened() {
            self.scheduled.remove(&id);
        }
        for occurrence in opened {
            self.make_occurrence_ready(id, occurrence);
        }
    }

    /// Opens an occurrence that an earlier scheduler has opened, since it had runs.
    pub(crate) fn reopen_occurrence(&mut self, id: JobId, occurrence: u32) {
        let job = self.jobs.get_mut(&id);
        if job.is_some_and(|job| job.is_open() && job.ensure_occurrence(occurrence)) {
            self.make_occurrence_ready(id, occurrence);
        }
    }

    fn make_occurrence_ready(&mut self, id: JobId, occurrence: u32) {
        let count = self.jobs.get(&id).map_or(0, |job| job.spec.steps.len());
        for step in 0..count as u32 {
            self.make_ready(StepId {
                job: id,
                occurrence,
                step,
            });
        }
    }

    /// Cancels a job; returns whether it is known.
    pub fn cancel(&mut self, id: JobId, now: Duration) -> bool {
        let Some(job) = self.jobs.get_mut(&id) else {
            return self.has_job(id);
        };
        if job.is_open() {
            job.cancel();
            self.end_job(id, now);
        }
        true
    }

    /// Stops the runs of an ended job and queues its final progress for storage.
    pub(crate) fn end_job(&mut self, id: JobId, now: Duration) {
        let Some(job) = self.jobs.get(&id) else {
            return;
        };
        log::info!(
            job:% = id, phase:? = job.phase, changes = job.changes,
            age_ms = now.saturating_sub(job.known_at).as_millis() as u64; "job_ended"
        );
        let mut running = Vec::new();
        for step in steps_of(job) {
            if let Some(ready) = self
                .configuration
                .queue_of_job(&job.spec)
                .and_then(|queue| self.ready.get_mut(&queue.pool))
            {
                ready.remove(&step);
            }
            let state = &job.occurrences[&step.occurrence].steps[step.step as usize];
            for (index, task) in state.tasks.changed().iter().enumerate() {
                for run in &task.runs {
                    running.push((run.worker, step.task(index as u32), run.attempt));
                }
            }
        }
        for (worker, task, attempt) in running {
            self.stop(worker, task, attempt);
        }
        self.recurring.remove(&id);
        self.mark_dirty(id);
        self.note_ended(id, now);
    }

    fn note_ended(&mut self, id: JobId, now: Duration) {
        if let Some(job) = self.jobs.get_mut(&id) {
            job.ended_at = Some(now);
            self.ended.push_back(id);
        }
    }

    /// Returns whether all changes of a job are stored.
    pub fn is_stored(&self, id: JobId) -> bool {
        self.jobs
            .get(&id)
            .is_none_or(|job| job.stored_changes == job.changes)
    }

    /// Returns the state of a job, which counts as open until its end is stored;
    /// `None` if the job is not known.
    pub fn state(&self, id: JobId) -> Option<JobState> {
        let Some(job) = self.jobs.get(&id) else {
            return self.restored_state(id);
        };
        let is_stored = job.stored_changes == job.changes;
        let phase = if is_stored { job.phase } else { Phase::Open };
        Some(JobState {
            phase,
            has_begun: job.has_begun,
        })
    }

    /// Returns the number of jobs of a queue that have not begun, given its path. One that is
    /// cancelled counts until that is stored: otherwise it goes on under the next scheduler.
    pub fn pending(&self, queue_path: &str) -> u64 {
        let is_waiting = |job: &Job| job.is_open() || job.stored_changes < job.changes;
        let is_pending =
            |job: &&Job| !job.has_begun && self.is_on(&job.spec, queue_path) && is_waiting(job);
        self.jobs.values().filter(is_pending).count() as u64
    }

    /// Returns whether a job is of the queue with a path. Of a job whose path was not stored
    /// the queue is the one that has its name.
    fn is_on(&self, spec: &JobSpec, queue_path: &str) -> bool {
        if !spec.queue_path.is_empty() || spec.queue == queue_path {
            return spec.queue_key() == queue_path;
        }
        let queue = self.configuration.queue(&spec.queue);
        queue.is_some_and(|queue| queue.path() == queue_path)
    }
}

/// Returns the steps of all opened occurrences.
pub(crate) fn steps_of(job: &Job) -> impl Iterator<Item = StepId> + '_ {
    let id = job.id;
    job.occurrences
        .iter()
        .flat_map(move |(&occurrence, state)| {
            (0..state.steps.len() as u32).map(move |step| StepId {
                job: id,
                occurrence,
                step,
            })
        })
}
