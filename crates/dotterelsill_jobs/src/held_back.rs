//! Reasons why steps with waiting tasks are not started.

use std::{
    collections::BTreeMap,
    time::Duration, //
};

use crate::{
    job::{
        Job,
        Task, //
    },
    job_life::steps_of,
    placement::{
        would_take_tasks,
        Candidate,
        PlacementRequest, //
    },
    Resources,
    Scheduler,
    StepId,
    WorkerKey, //
};

/// Reason why the waiting tasks of a step are not started.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub enum HoldReason {
    /// The queue is not configured.
    UnknownQueue,
    /// No worker of the pool accepts tasks.
    NoWorker,
    /// Runs of an earlier scheduler may be active on workers whose status was not
    /// read.
    UnreadWorkers,
    /// No worker of the pool has enough free resources.
    NoRoom,
}

/// Steps of one pool that are held back for the same reason.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct HeldBack {
    /// Name of the pool; empty if the queue is not configured.
    pub pool: String,
    /// The first reason, in the order of [`HoldReason`], that applies.
    pub reason: HoldReason,
    /// Number of steps with waiting tasks.
    pub steps: usize,
    /// Time for which the scheduler has known the oldest of the jobs.
    pub oldest: Duration,
    /// Number of workers of the pool that accept tasks.
    pub usable_workers: usize,
    /// Number of workers of the pool that may have active runs of an earlier
    /// scheduler and whose status was not read.
    pub unread_workers: usize,
}

/// Long-running tasks of one step that wait for a worker.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct WaitingLasting {
    /// The step.
    pub step: StepId,
    /// Number of waiting tasks.
    pub tasks: usize,
    /// Time for which the first of them has waited: since its last run ended, or since
    /// the scheduler learned of the job.
    pub longest: Duration,
    /// Resources that each task reserves.
    pub resources: Resources,
    /// Name of the pool; empty if the queue is not configured.
    pub pool: String,
    /// Number of workers of the pool that accept tasks.
    pub usable_workers: usize,
    /// Number of these that could run a task if they had no tasks that end by
    /// themselves.
    pub reservable_workers: usize,
    /// Number of workers of the pool that have room for a task and get none, because
    /// their instances are due for maintenance or a move.
    pub cordoned_with_room: usize,
    /// What the tasks wait for.
    pub reason: String,
}

impl Scheduler {
    /// Returns the steps with long-running tasks that have waited for at least
    /// `min_wait`. The cost grows with the number of jobs.
    pub fn waiting_lasting(&self, min_wait: Duration, now: Duration) -> Vec<WaitingLasting> {
        let mut waiting = Vec::new();
        for job in self.jobs.values().filter(|job| job.is_open()) {
            if !job.spec.steps.iter().any(|step| step.is_lasting) {
                continue;
            }
            let steps = steps_of(job).filter_map(|id| self.waiting_lasting_of(job, id, now));
            waiting.extend(steps.filter(|step| step.longest >= min_wait));
        }
        waiting.sort_by_key(|step| step.step);
        waiting
    }

    /// Returns the steps of a pool with long-running tasks that have waited for at least
    /// `min_wait` and that no worker of the pool could run, even without its tasks that
    /// end by themselves.
    pub(crate) fn starved_lasting(
        &self,
        pool: &str,
        min_wait: Duration,
        now: Duration,
    ) -> Vec<StepId> {
        let usable = self.candidates_of(pool, now);
        let unread_places = self.unread_places(now);
        let mut starved = Vec::new();
        for &id in self.ready.get(pool).into_iter().flatten() {
            let Some(job) = self.jobs.get(&id.job).filter(|job| job.is_open()) else {
                continue;
            };
            let Some(occurrence) = job.occurrences.get(&id.occurrence) else {
                continue;
            };
            let step = &job.spec.steps[id.step as usize];
            let tasks = &occurrence.steps[id.step as usize].tasks;
            let is_long = |task: &Task| {
                task.is_waiting() && now.saturating_sub(waits_since(job, task)) >= min_wait
            };
            let workspace = job.spec.workspace.as_deref();
            if step.is_lasting
                && tasks.iter().any(is_long)
                && !job.waits_for_unread_workers(&unread_places)
                && self.is_within_cap(workspace, &step.counted_resources())
                && self.reservable_workers(job, id, usable.list(), now) == 0
            {
                starved.push(id);
            }
        }
        starved
    }

    /// Returns the number of candidates that could run a task of a step if they had no
    /// tasks that end by themselves.
    pub(crate) fn reservable_workers(
        &self,
        job: &Job,
        id: StepId,
        candidates: &[Candidate],
        now: Duration,
    ) -> usize {
        let tickets = self.valid_tickets(id, now);
        let request = PlacementRequest::of(job, id, tickets.as_ref());
        let is_reservable = |candidate: &&Candidate| {
            let worker = &self.workers[&candidate.key];
            worker.is_in(job.bound_to())
                && request.allows(candidate.key, worker)
                && worker
                    .lasting_room()
                    .fits(&Resources::default(), &request.resources)
        };
        candidates.iter().filter(is_reservable).count()
    }

    /// Returns whether a worker has room for a task of a step and would get it if it were
    /// not cordoned.
    pub(crate) fn could_run(&self, key: WorkerKey, id: StepId, now: Duration) -> bool {
        let (Some(job), Some(worker)) = (self.jobs.get(&id.job), self.workers.get(&key)) else {
            return false;
        };
        let tickets = self.valid_tickets(id, now);
        let request = PlacementRequest::of(job, id, tickets.as_ref());
        would_take_tasks(worker, &self.operator_requests, now)
            && worker.is_in(job.bound_to())
            && request.allows(key, worker)
            && worker
                .report
                .capacity
                .fits(&worker.used, &request.resources)
    }

    fn waiting_lasting_of(&self, job: &Job, id: StepId, now: Duration) -> Option<WaitingLasting> {
        let step = &job.spec.steps[id.step as usize];
        let state = &job.occurrences[&id.occurrence].steps[id.step as usize];
        let tasks = || state.tasks.iter().filter(|task| task.is_waiting());
        let first = tasks()
            .map(|task| waits_since(job, task))
            .min()
            .filter(|_| step.is_lasting)?;
        let resources = step.counted_resources();
        let queue = self.configuration.queue_of_job(&job.spec);
        let pool = queue.map_or("", |queue| queue.pool.as_str());
        let usable = self.candidates_of(pool, now);
        let cordoned_with_room = self.workers.values().filter(|worker| {
            worker.is_cordoned
                && worker.report.pool == pool
                && worker.report.capacity.fits(&worker.used, &resources)
        });
        Some(WaitingLasting {
            step: id,
            tasks: tasks().count(),
            longest: now.saturating_sub(first),
            resources,
            pool: pool.to_owned(),
            usable_workers: usable.list().len(),
            reservable_workers: self.reservable_workers(job, id, usable.list(), now),
            cordoned_with_room: cordoned_with_room.count(),
            reason: self.why_waiting(job, id, state, now),
        })
    }

    /// Returns the steps that are held back, by pool and reason. Retry delays,
    /// workspace limits and the advisor are not reported.
    pub fn held_back(&self, now: Duration) -> Vec<HeldBack> {
        let pools = self.waiting_pools();
        pools
            .iter()
            .flat_map(|pool| self.held_back_in(pool, now))
            .collect()
    }

    fn held_back_in(&self, pool: &str, now: Duration) -> Vec<HeldBack> {
        let usable = self.candidates_of(pool, now);
        let unread_places = self.unread_places(now);
        let unread_workers = self.unread_workers_of(pool, now);
        let mut held: BTreeMap<HoldReason, HeldBack> = BTreeMap::new();
        for id in self.ready.get(pool).into_iter().flatten() {
            let Some(job) = self.jobs.get(&id.job).filter(|job| job.is_open()) else {
                continue;
            };
            let Some(state) = job.occurrences.get(&id.occurrence) else {
                continue;
            };
            if !state.steps[id.step as usize].tasks.has_waiting() {
                continue;
            }
            let resources = job.spec.steps[id.step as usize].counted_resources();
            let reason = if pool.is_empty() {
                HoldReason::UnknownQueue
            } else if usable.list().is_empty() {
                HoldReason::NoWorker
            } else if job.waits_for_unread_workers(&unread_places) {
                HoldReason::UnreadWorkers
            } else if !usable.may_fit(&resources) {
                HoldReason::NoRoom
            } else {
                continue;
            };
            let entry = held.entry(reason).or_insert_with(|| HeldBack {
                pool: pool.to_owned(),
                reason,
                steps: 0,
                oldest: Duration::ZERO,
                usable_workers: usable.list().len(),
                unread_workers,
            });
            entry.steps += 1;
            entry.oldest = entry.oldest.max(now.saturating_sub(job.known_at));
        }
        held.into_values().collect()
    }
}

/// Returns the time since which a task waits: that of the end of its last run, or that at
/// which the scheduler learned of the job.
fn waits_since(job: &Job, task: &Task) -> Duration {
    task.last_end.as_ref().map_or(job.known_at, |end| end.at)
}
