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

/// Time for which a long-running task may wait for room that only a draining instance
/// has. An instance that is back from maintenance has room for it sooner.
const MAX_LASTING_WAIT: Duration = Duration::from_secs(2);

/// Maximum time from the stop of a long-running task until it is available elsewhere.
const MAX_RETURN_TIME: Duration = Duration::from_millis(5500);

/// Time for which an instance that has returned to service is not drained again.
const RETURNED_TIME: Duration = Duration::from_secs(4);

impl Scheduler {
    /// Returns whether an instance waits for short or stopped tasks to end.
    pub(super) fn waits_for_ends(&self, name: &str, wait_until: Duration, now: Duration) -> bool {
        let worker = self.worker_of(name).map(|key| &self.workers[&key]);
        let mut booked = worker.into_iter().flat_map(|worker| worker.booked.values());
        now < wait_until && booked.any(|run| !run.is_lasting || run.is_stopping)
    }

    /// Returns whether the budgets allow all long-running tasks of an instance to end.
    pub(super) fn may_end(&self, name: &str) -> bool {
        self.worker_of(name).is_none_or(|key| {
            self.lasting_on(key)
                .into_iter()
                .all(|(step, tasks)| self.has_disruption_budget(step, &tasks))
        })
    }

    /// Stops those long-running tasks of a draining instance that the budgets of their
    /// steps allow to end, and returns whether there are any. While the instance waits for
    /// its other tasks or for its turn, these start elsewhere. On one that `is_ready` for
    /// its maintenance, or whose tasks no other worker can run, they are stopped only if
    /// their step has more of them there than may end at once.
    pub(super) fn evict(&mut self, name: &str, is_ready: bool, now: Duration) -> bool {
        let Some(key) = self.worker_of(name) else {
            return false;
        };
        let mut has_stopped = false;
        for (step, tasks) in self.lasting_on(key) {
            let must_split = !self.has_disruption_budget(step, &tasks);
            if !must_split && (is_ready || !self.can_move(key, step, now)) {
                continue;
            }
            for (task, attempt) in tasks {
                if !self.has_disruption_budget(step, &[(task, attempt)]) {
                    break;
                }
                log::info!(task:%, attempt, instance = name; "task_evicted");
                self.stop(key, task, attempt);
                has_stopped = true;
            }
        }
        has_stopped
    }

    /// Returns whether another worker could run a task of a step if it had no tasks that
    /// end by themselves.
    fn can_move(&self, key: WorkerKey, step: StepId, now: Duration) -> bool {
        let (Some(job), Some(worker)) = (self.jobs.get(&step.job), self.workers.get(&key)) else {
            return false;
        };
        let candidates = self.candidates_of(&worker.report.pool, now);
        self.reservable_workers(job, step, candidates.list(), now) > 0
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

    /// Returns the long-running tasks on an instance whose steps have a disruption budget,
    /// by step.
    pub(super) fn budgeted_on(&self, name: &str) -> BTreeMap<StepId, Vec<(TaskId, u64)>> {
        let Some(key) = self.worker_of(name) else {
            return BTreeMap::new();
        };
        let mut lasting = self.lasting_on(key);
        lasting.retain(|step, _| self.may_miss(*step).is_some());
        lasting
    }

    /// Returns whether each step with a budget allows a task on the instance to end in
    /// addition to all of its tasks on draining instances.
    pub(super) fn has_budget_beside_draining(&self, name: &str, state: &WaveState) -> bool {
        let mut ending: BTreeMap<StepId, Vec<(TaskId, u64)>> = BTreeMap::new();
        for (other, stage) in &state.stages {
            if matches!(stage, Stage::Draining { .. }) {
                for (step, tasks) in self.budgeted_on(other) {
                    ending.entry(step).or_default().extend(tasks);
                }
            }
        }
        self.budgeted_on(name).into_iter().all(|(step, tasks)| {
            let mut ending = ending.remove(&step).unwrap_or_default();
            ending.push(tasks[0]);
            self.has_disruption_budget(step, &ending)
        })
    }

    /// Returns the time that the budgets of the steps make the rest of a wave take.
    pub(super) fn budgeted_time(&self, state: &WaveState) -> Duration {
        let mut left: BTreeMap<StepId, u32> = BTreeMap::new();
        for (name, stage) in &state.stages {
            if matches!(stage, Stage::Waiting { .. } | Stage::Draining { .. }) {
                for (step, tasks) in self.budgeted_on(name) {
                    *left.entry(step).or_default() += tasks.len() as u32;
                }
            }
        }
        let rounds = left
            .into_iter()
            .filter_map(|(step, tasks)| Some(tasks.div_ceil(self.may_miss(step)?)));
        MAX_RETURN_TIME * rounds.max().unwrap_or(0)
    }

    fn may_miss(&self, id: StepId) -> Option<u32> {
        let job = self.jobs.get(&id.job).filter(|job| job.is_open())?;
        job.spec.steps[id.step as usize].may_miss
    }

    fn is_available(&self, task: &Task) -> bool {
        // The runs of a worker that does not answer may have ended long ago.
        let is_staying = |key: WorkerKey| {
            let worker = self.workers.get(&key);
            worker.is_some_and(|worker| {
                worker.life.is_known
                    && !worker.is_silent()
                    && !worker.is_terminating
                    && !worker.is_held
            })
        };
        task.runs.iter().any(|run| {
            run.state == RunState::Running && run.percent >= 100 && is_staying(run.worker)
        })
    }

    /// Returns whether the disruption budget of a step allows some of its tasks to
    /// end, given all others that are not known to be available.
    fn has_disruption_budget(&self, id: StepId, ending: &[(TaskId, u64)]) -> bool {
        let Some(may_miss) = self.may_miss(id) else {
            return true;
        };
        let Some(occurrence) = self.jobs[&id.job].occurrences.get(&id.occurrence) else {
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
