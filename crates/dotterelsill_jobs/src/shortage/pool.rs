//! Division of the jobs that wait for a pool of the scheduler.

use std::{
    collections::BTreeSet,
    time::Duration, //
};

use super::{
    divide,
    expected::LOOK_AHEAD,
    throughput::Throughput,
    Division,
    JobOccurrence,
    Room,
    WaitingJob,
    USEFUL_OBJECTIVES, //
};
use crate::{
    job::Job,
    placement::Candidates,
    rank::{
        due_of,
        objective_of, //
    },
    Queue,
    Resources,
    Scheduler,
    Step, //
};

/// Minimum time between two divisions of a pool.
const DIVISION_INTERVAL: Duration = Duration::from_millis(100);

/// Part of the estimate for which a run that has exceeded it is still expected to run.
const OVERDUE_PART: f64 = 0.1;

/// Order of a pool's jobs.
#[derive(Debug, Default)]
pub(crate) struct PoolShortage {
    divided_at: Option<Duration>,
    /// Classes of the jobs; empty while the waiting work fits into the free room.
    pub(crate) division: Division,
    capacity: Resources,
    throughput: Throughput,
}

impl Scheduler {
    /// Divides the jobs of a pool, unless that was done lately.
    pub(crate) fn divide_pool(&mut self, pool: &str, candidates: &Candidates, now: Duration) {
        let shortage = self.shortage.get(pool);
        let divided_at = shortage.and_then(|shortage| shortage.divided_at);
        if divided_at.is_some_and(|at| now < at + DIVISION_INTERVAL) {
            return;
        }
        let is_short = !self.fits_free_room(pool, candidates);
        let capacity = self.finite_capacity(candidates);
        let shortage = self.shortage.entry(pool.to_owned()).or_default();
        shortage.divided_at = Some(now);
        if !is_short {
            shortage.division.clear();
            shortage.throughput.on_free_room();
            return;
        }
        shortage.capacity = capacity;
        let room = Room {
            running_ms: 0.0,
            rate: shortage.throughput.measure(now),
        };
        let division = self.division_of(pool, candidates, room, now);
        if let Some(shortage) = self.shortage.get_mut(pool) {
            shortage.division = division;
        }
    }

    /// Returns whether all ready tasks of a pool fit into the free resources.
    fn fits_free_room(&self, pool: &str, candidates: &Candidates) -> bool {
        let free = candidates.total_free();
        let mut wanted = Resources::default();
        for id in self.ready.get(pool).into_iter().flatten() {
            let Some(job) = self.jobs.get(&id.job).filter(|job| job.is_open()) else {
                continue;
            };
            let step = &job.spec.steps[id.step as usize];
            if let (Some(occurrence), false) =
                (job.occurrences.get(&id.occurrence), step.is_lasting)
            {
                let waiting = occurrence.steps[id.step as usize].tasks.waiting();
                wanted.add(&step.counted_resources().times(waiting));
            }
        }
        free.fits(&Resources::default(), &wanted)
    }

    /// Returns the resources of the workers for tasks that end by themselves.
    fn finite_capacity(&self, candidates: &Candidates) -> Resources {
        let mut capacity = Resources::default();
        let workers = candidates.list().iter();
        let workers = workers.filter_map(|candidate| self.workers.get(&candidate.key));
        workers.for_each(|worker| capacity.add(&worker.lasting_room()));
        capacity
    }

    /// Records that a task is started.
    pub(crate) fn note_start(&mut self, pool: &str, step: &Step) {
        if let Some(shortage) = self.shortage.get_mut(pool).filter(|_| !step.is_lasting) {
            let part = part_of(&step.counted_resources(), &shortage.capacity);
            shortage.throughput.on_start(part * millis(step.estimated));
        }
    }

    fn division_of(
        &self,
        pool: &str,
        candidates: &Candidates,
        mut room: Room,
        now: Duration,
    ) -> Division {
        let capacity = self.finite_capacity(candidates);
        let mut ids: BTreeSet<JobOccurrence> = BTreeSet::new();
        let workers = candidates.list().iter();
        for worker in workers.filter_map(|candidate| self.workers.get(&candidate.key)) {
            for (task, booked) in &worker.booked {
                let Some(job) = self.jobs.get(&task.step.job) else {
                    continue;
                };
                if booked.is_lasting {
                    continue;
                }
                ids.insert(JobOccurrence::of(task.step));
                let estimated = job.spec.steps.get(task.step.step as usize);
                let estimated = estimated.map_or(Duration::ZERO, |step| step.estimated);
                let left = estimated.saturating_sub(job.ran_for(*task, booked.attempt, now));
                let left = left.max(estimated.mul_f64(OVERDUE_PART));
                room.running_ms += part_of(&booked.resources, &capacity) * millis(left);
            }
        }
        let ready = self.ready.get(pool).into_iter().flatten();
        ids.extend(ready.copied().map(JobOccurrence::of));
        let jobs = ids.into_iter().filter_map(|id| {
            let job = self.jobs.get(&id.job).filter(|job| job.is_open())?;
            self.waiting_job(pool, id, job, &capacity)
        });
        let jobs: Vec<WaitingJob<'_>> = jobs
            .chain(self.expected_jobs(pool, &capacity, now))
            .collect();
        divide(&jobs, room, now)
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
                let queue = self.configuration.queue(&job.spec.queue)?;
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
                    due,
                    useful_until: due + objective * (USEFUL_OBJECTIVES - 1),
                    shortest: Duration::ZERO,
                    work_ms: work_ms.sum(),
                    value: self.value_of(job, queue),
                    is_expected: true,
                })
            })
    }

    fn value_of(&self, job: &Job, queue: &Queue) -> f64 {
        let sizes = self.sizes.get(&queue.name);
        sizes.map_or(1.0, |sizes| sizes.value_of(&job.spec))
    }

    /// Returns the view of a job with waiting tasks; `None` if it takes no part in a
    /// division.
    fn waiting_job<'a>(
        &'a self,
        pool: &str,
        id: JobOccurrence,
        job: &'a Job,
        capacity: &Resources,
    ) -> Option<WaitingJob<'a>> {
        let queue = self.configuration.queue(&job.spec.queue)?;
        let objective = objective_of(&job.critical_paths, queue);
        if queue.pool != pool || objective.is_zero() {
            return None;
        }
        let occurrence = job.occurrences.get(&id.occurrence)?;
        let mut work_ms = 0.0;
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
            let resources = step.counted_resources();
            work_ms += part_of(&resources, capacity) * waiting as f64 * millis(step.estimated);
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
            due,
            useful_until: due + objective * (USEFUL_OBJECTIVES - 1),
            shortest,
            work_ms,
            value: self.value_of(job, queue),
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
fn part_of(resources: &Resources, capacity: &Resources) -> f64 {
    let part = |wanted: u64, capacity: u64| wanted as f64 / capacity.max(1) as f64;
    part(resources.cpu_milli, capacity.cpu_milli)
        .max(part(resources.memory_mb, capacity.memory_mb))
        .max(part(resources.accelerators, capacity.accelerators))
}

fn millis(duration: Duration) -> f64 {
    duration.as_secs_f64() * 1000.0
}
