//! Views of a pool's jobs for a division.

use std::{
    collections::{
        BTreeSet,
        HashMap, //
    },
    time::Duration, //
};

use super::{
    expected::LOOK_AHEAD,
    JobOccurrence,
    Room,
    Shares,
    WaitingJob,
    USEFUL_OBJECTIVES, //
};
use crate::{
    job::Job,
    placement::Candidates,
    rank::{
        accepted_at,
        due_of,
        objective_of, //
    },
    Queue,
    Resources,
    Scheduler, //
};

/// Part of the estimate for which a run that has exceeded it is still expected to run.
const OVERDUE_PART: f64 = 0.1;

/// What a division of a pool works on.
#[derive(Debug, Default)]
pub(super) struct Views<'a> {
    pub(super) jobs: Vec<WaitingJob<'a>>,
    pub(super) room: Room,
    pub(super) shares: Shares<'a>,
}

impl Scheduler {
    /// Returns the resources of the workers for tasks that end by themselves.
    pub(super) fn finite_capacity(&self, candidates: &Candidates) -> Resources {
        let mut capacity = Resources::default();
        let workers = candidates.list().iter();
        let workers = workers.filter_map(|candidate| self.workers.get(&candidate.key));
        workers.for_each(|worker| capacity.add(&worker.lasting_room()));
        capacity
    }

    /// Returns the jobs with waiting work in a pool, and what the pool can do. `rate` is
    /// the work that it finishes in a time, as a part of `capacity`.
    pub(super) fn views<'a>(
        &'a self,
        pool: &'a str,
        candidates: &Candidates,
        capacity: &'a Resources,
        rate: f64,
        now: Duration,
    ) -> Views<'a> {
        let mut views = Views::default();
        views.room.rate = rate;
        let mut ids: BTreeSet<JobOccurrence> = BTreeSet::new();
        let mut running_parts: HashMap<JobOccurrence, f64> = HashMap::new();
        let workers = candidates.list().iter();
        for worker in workers.filter_map(|candidate| self.workers.get(&candidate.key)) {
            for (task, booked) in &worker.booked {
                let job = self.jobs.get(&task.step.job);
                let Some(job) = job.filter(|_| !booked.is_lasting) else {
                    continue;
                };
                let id = JobOccurrence::of(task.step);
                ids.insert(id);
                let estimated = job.spec.steps.get(task.step.step as usize);
                let estimated = estimated.map_or(Duration::ZERO, |step| step.estimated);
                let left = estimated.saturating_sub(job.ran_for(*task, booked.attempt, now));
                let left = left.max(estimated.mul_f64(OVERDUE_PART));
                let part = part_of(&booked.resources, capacity);
                *running_parts.entry(id).or_default() += part;
                views.room.running_ms += part * millis(left);
                if let Some(workspace) = job.spec.workspace.as_deref() {
                    let running_ms = views.shares.running_ms.entry(workspace).or_default();
                    *running_ms += part * millis(left);
                }
            }
        }
        let ready = self.ready.get(pool).into_iter().flatten();
        ids.extend(ready.copied().map(JobOccurrence::of));
        views.jobs = ids
            .into_iter()
            .filter_map(|id| {
                let job = self.jobs.get(&id.job).filter(|job| job.is_open())?;
                let running_part = running_parts.get(&id).copied().unwrap_or_default();
                self.waiting_job(pool, id, job, running_part, capacity)
            })
            .collect();
        views.jobs.extend(self.expected_jobs(pool, capacity, now));
        let workspaces = self.configuration.workspaces.iter();
        views.shares.weights = workspaces
            .map(|(name, workspace)| (name.as_str(), workspace.weight))
            .collect();
        views
    }

    /// Returns the jobs that will arrive if those that arrived lately come again.
    fn expected_jobs<'a>(
        &'a self,
        pool: &'a str,
        capacity: &'a Resources,
        now: Duration,
    ) -> impl Iterator<Item = WaitingJob<'a>> {
        let recent = self.recent.get(pool).into_iter();
        recent
            .flat_map(move |recent| recent.recent(now))
            .filter_map(move |id| {
                let job = self.jobs.get(&id)?;
                let queue = self.configuration.queue_of_job(&job.spec)?;
                // The job may have ended, which drops its critical paths.
                let objective = objective_of(&job.spec.critical_paths(), queue);
                if queue.pool != pool || objective.is_zero() {
                    return None;
                }
                let steps = job.spec.steps.iter().filter(|step| !step.is_lasting);
                let work_ms = steps.map(|step| {
                    let part = part_of(&step.counted_resources(), capacity);
                    part * f64::from(step.count) * millis(step.estimated)
                });
                let arrives_at = job.known_at + LOOK_AHEAD;
                let due = arrives_at + objective;
                Some(WaitingJob {
                    id: JobOccurrence {
                        job: id,
                        occurrence: 0,
                    },
                    queue: &queue.name,
                    workspace: job.spec.workspace.as_deref(),
                    urgency: queue.urgency,
                    accepted_at: arrives_at,
                    due,
                    useful_until: due + objective * (USEFUL_OBJECTIVES - 1),
                    shortest: Duration::ZERO,
                    work_ms: work_ms.sum(),
                    value: self.value_of(job, queue),
                    running_part: 0.0,
                    ready_part: 0.0,
                    is_expected: true,
                })
            })
    }

    fn value_of(&self, job: &Job, queue: &Queue) -> f64 {
        let sizes = self.sizes.get(&queue.path());
        sizes.map_or(1.0, |sizes| sizes.value_of(&job.spec))
    }

    /// Returns the view of a job with waiting tasks; `None` if it takes no part in a
    /// division.
    fn waiting_job<'a>(
        &'a self,
        pool: &str,
        id: JobOccurrence,
        job: &'a Job,
        running_part: f64,
        capacity: &Resources,
    ) -> Option<WaitingJob<'a>> {
        let queue = self.configuration.queue_of_job(&job.spec)?;
        let objective = objective_of(&job.critical_paths, queue);
        if queue.pool != pool || objective.is_zero() {
            return None;
        }
        let occurrence = job.occurrences.get(&id.occurrence)?;
        let mut work_ms = 0.0;
        let mut ready_part = 0.0;
        let mut shortest = Duration::ZERO;
        for (index, (step, state)) in job.spec.steps.iter().zip(&occurrence.steps).enumerate() {
            if step.is_lasting || state.is_done() {
                continue;
            }
            let waiting = state.tasks.waiting();
            let path = job.critical_paths[index];
            if waiting == 0 {
                shortest = shortest.max(path.saturating_sub(step.estimated));
                continue;
            }
            shortest = shortest.max(path);
            let part = part_of(&step.counted_resources(), capacity) * waiting as f64;
            work_ms += part * millis(step.estimated);
            if job.is_ready(id.step(index as u32)) {
                ready_part += part;
            }
        }
        let due = due_of(job, queue, id.occurrence);
        let workspace = job.spec.workspace.as_deref();
        // A job that waits for the limit of its workspace takes no capacity.
        let is_limited = !self.is_within_cap(workspace, &smallest_task(job));
        (work_ms > 0.0 && !is_limited).then(|| WaitingJob {
            id,
            queue: &queue.name,
            workspace,
            urgency: queue.urgency,
            accepted_at: accepted_at(job, id.occurrence),
            due,
            useful_until: due + objective * (USEFUL_OBJECTIVES - 1),
            shortest,
            work_ms,
            value: self.value_of(job, queue),
            running_part,
            ready_part,
            is_expected: false,
        })
    }
}

/// Returns the least amount of each resource that a task of the job reserves.
fn smallest_task(job: &Job) -> Resources {
    let tasks = job.spec.steps.iter().map(crate::Step::counted_resources);
    let smallest = tasks.reduce(|one, other| one.min(&other));
    smallest.unwrap_or_default()
}

/// Returns the largest part of a capacity that the resources take.
pub(super) fn part_of(resources: &Resources, capacity: &Resources) -> f64 {
    let part = |wanted: u64, capacity: u64| wanted as f64 / capacity.max(1) as f64;
    part(resources.cpu_milli, capacity.cpu_milli)
        .max(part(resources.memory_mb, capacity.memory_mb))
        .max(part(resources.accelerators, capacity.accelerators))
}

pub(super) fn millis(duration: Duration) -> f64 {
    duration.as_secs_f64() * 1000.0
}
