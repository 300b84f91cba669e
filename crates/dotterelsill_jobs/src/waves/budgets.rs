//! Disruption budgets of the long-running tasks on draining instances.

use std::{
    collections::BTreeMap,
    time::Duration, //
};

use super::{
    Stage,
    WaveState, //
};
use crate::{
    job::Task,
    RunState,
    Scheduler,
    StepId,
    TaskId,
    WorkerKey, //
};

/// Maximum time for which an instance waits for its short tasks to end. After that
/// the maintenance stops them.
const MAX_DRAIN_TIME: Duration = Duration::from_millis(3000);

/// Time for which a long-running task may wait for room that only a draining instance
/// has. An instance that is back from maintenance has room for it sooner.
const MAX_LASTING_WAIT: Duration = Duration::from_secs(2);

/// Time for which an instance that has returned to service is not drained again.
const RETURNED_TIME: Duration = Duration::from_secs(4);

impl Scheduler {
    /// Returns whether the runs of an instance may be ended now.
    pub(super) fn may_end(&self, name: &str, since: Duration, now: Duration) -> bool {
        let Some(key) = self.worker_of(name) else {
            return true;
        };
        let worker = &self.workers[&key];
        let has_short = worker.booked.values().any(|run| !run.is_lasting);
        if has_short && now < since + MAX_DRAIN_TIME {
            return false;
        }
        self.lasting_on(key)
            .into_iter()
            .all(|(step, tasks)| self.has_disruption_budget(step, &tasks))
    }

    /// Stops long-running tasks of a draining instance one at a time, where more
    /// tasks of a step run on it than the step's disruption budget allows at once.
    pub(super) fn evict(&mut self, name: &str) {
        let Some(key) = self.worker_of(name) else {
            return;
        };
        for (step, tasks) in self.lasting_on(key) {
            if self.has_disruption_budget(step, &tasks)
                || !self.has_disruption_budget(step, &tasks[..1])
            {
                continue;
            }
            let (task, attempt) = tasks[0];
            log::info!(task:%, attempt, instance = name; "task_evicted");
            self.stop(key, task, attempt);
        }
    }

    /// Returns the long-running tasks on a worker by step, except those being
    /// stopped. Tasks count even if they were not available in the last status,
    /// since they may be by now.
    pub(super) fn lasting_on(&self, key: WorkerKey) -> BTreeMap<StepId, Vec<(TaskId, u64)>> {
        let mut here: BTreeMap<StepId, Vec<(TaskId, u64)>> = BTreeMap::new();
        for (task, booked) in &self.workers[&key].booked {
            if booked.is_lasting && !booked.is_stopping {
                let tasks = here.entry(task.step).or_default();
                tasks.push((*task, booked.attempt));
            }
        }
        here
    }

    fn is_available(&self, task: &Task) -> bool {
        // The runs of a worker that does not answer may have ended long ago.
        let is_staying = |key: WorkerKey| {
            let worker = self.workers.get(&key);
            worker.is_some_and(|worker| {
                worker.life.is_known && !worker.is_silent() && !worker.is_terminating
            })
        };
        task.runs.iter().any(|run| {
            run.state == RunState::Running && run.percent >= 100 && is_staying(run.worker)
        })
    }

    /// Returns whether the disruption budget of a step allows some of its tasks to
    /// end, given all others that are not known to be available.
    fn has_disruption_budget(&self, id: StepId, ending: &[(TaskId, u64)]) -> bool {
        let Some(job) = self.jobs.get(&id.job).filter(|job| job.is_open()) else {
            return true;
        };
        let Some(may_miss) = job.spec.steps[id.step as usize].may_miss else {
            return true;
        };
        let Some(occurrence) = job.occurrences.get(&id.occurrence) else {
            return true;
        };
        let tasks = &occurrence.steps[id.step as usize].tasks;
        let is_ending = |index: usize| ending.iter().any(|(task, _)| task.index as usize == index);
        let others = tasks
            .iter()
            .enumerate()
            .filter(|(index, _)| !is_ending(*index));
        let unavailable = others.filter(|(_, task)| !self.is_available(task)).count();
        unavailable + ending.len() <= may_miss as usize
    }

    /// Returns a draining instance to service if a long-running task waits for room that
    /// no other worker of the pool can have. As long as the task waits, it counts towards
    /// its step's disruption budget, so that instances that wait for that budget would
    /// never be drained, and the task would never get their room.
    pub(super) fn return_for_lasting(&mut self, state: &mut WaveState, now: Duration) {
        let mut draining: BTreeMap<String, Vec<String>> = BTreeMap::new();
        for (name, stage) in &state.stages {
            if let (Stage::Draining { .. }, Some(known)) = (stage, self.instances.get(name)) {
                let of_pool = draining.entry(known.instance.pool.clone()).or_default();
                of_pool.push(name.clone());
            }
        }
        for (pool, names) in draining {
            let starved = self.starved_lasting(&pool, MAX_LASTING_WAIT, now);
            let returned = starved.into_iter().find_map(|step| {
                let has_room = |name: &&String| {
                    let key = self.worker_of(name);
                    key.is_some_and(|key| self.could_run(key, step, now))
                };
                // The one that is furthest from being drained.
                let names = names.iter().filter(has_room);
                let name = names.max_by_key(|name| self.eviction_cost(name))?;
                Some((step, name.clone()))
            });
            if let Some((step, name)) = returned {
                log::info!(
                    instance = name, wave = state.wave.number, job:% = step.job,
                    occurrence = step.occurrence, step = step.step; "draining_ended"
                );
                self.set_cordoned(&name, false);
                let not_before = now + RETURNED_TIME;
                state.stages.insert(name, Stage::Waiting { not_before });
                self.needs_plan = true;
            }
        }
    }
}
