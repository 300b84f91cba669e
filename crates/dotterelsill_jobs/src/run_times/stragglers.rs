//! Runs that take much longer than expected, and the choice of what is done about them.

use std::{
    cmp::Reverse,
    collections::{
        BTreeMap,
        BTreeSet, //
    },
    time::Duration, //
};

use super::{
    copies::{
        capacity_milli,
        is_worth_a_copy,
        CopyBudget,
        MAX_RUNS, //
    },
    speed::MAX_STATUS_AGE,
};
use crate::{
    job::Task,
    placement::Candidates,
    RunState,
    Scheduler,
    TaskId,
    WorkerKey, //
};

/// Minimum time between two looks at the slow runs.
const LOOK_INTERVAL: Duration = Duration::from_millis(100);

/// Time from the decision on a start until the run makes progress.
const START_TIME: Duration = Duration::from_millis(50);

/// Time for which a worker is slow; the platform's workers are slow for 5 to 7 s at a time.
const SLOW_PERIOD: Duration = Duration::from_secs(5);

/// Maximum share of the judged workers of a pool, in percent, that may be slow for their
/// runs to be copied or moved. If most are slow, the expectation is wrong, or a new run
/// would be slow as well.
const MAX_SLOW_PERCENT: usize = 50;

/// Numbers of what was done about slow runs.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct RunCounts {
    /// Copies that were started.
    pub copies_started: u64,
    /// Copies that ended `done` while the other run was active.
    pub copies_ended_first: u64,
}

/// Tasks with a run that was found to be slow.
#[derive(Debug, Default)]
pub(crate) struct Stragglers {
    pub(super) tasks: BTreeSet<TaskId>,
    next_look_at: Duration,
    pub(crate) counts: RunCounts,
}

/// A run that is expected to take much longer than a new one.
#[derive(Clone, Copy, Debug)]
pub(super) struct Straggler {
    pub(super) task: TaskId,
    pub(super) worker: WorkerKey,
    pub(super) attempt: u64,
    pub(super) is_speculative: bool,
    /// Time that the run is expected to need from now on.
    pub(super) left: Duration,
    /// Time that a new run is expected to need from its start on.
    pub(super) renewed: Duration,
}

/// What is known about a task that had a slow run.
enum Standing {
    /// Nothing is left to be done.
    Over,
    /// Two runs of the task are active, which use an amount of processor time each.
    Copied {
        cpu_milli: u64,
    },
    /// Nothing can be said now.
    Unclear,
    Slow(Straggler),
}

impl Scheduler {
    /// Returns the numbers since the last call.
    pub fn take_run_counts(&mut self) -> RunCounts {
        std::mem::take(&mut self.stragglers.counts)
    }

    /// Copies slow runs, if capacity is left after all waiting tasks were planned.
    pub(crate) fn relieve_stragglers(&mut self, now: Duration) {
        if now < self.stragglers.next_look_at {
            return;
        }
        self.stragglers.next_look_at = now + LOOK_INTERVAL;
        self.clear_slow_workers(now);
        let mut by_pool: BTreeMap<String, (Vec<Straggler>, u64)> = BTreeMap::new();
        let tasks: Vec<TaskId> = self.stragglers.tasks.iter().copied().collect();
        for task in tasks {
            let Some((pool, standing)) = self.standing(task, now) else {
                self.stragglers.tasks.remove(&task);
                continue;
            };
            let (stragglers, copied_milli) = by_pool.entry(pool).or_default();
            match standing {
                Standing::Over => {
                    self.stragglers.tasks.remove(&task);
                }
                Standing::Copied { cpu_milli } => *copied_milli += cpu_milli,
                Standing::Unclear => {}
                Standing::Slow(straggler) => stragglers.push(straggler),
            }
        }
        // Without authority, a later scheduler may have seen the tasks end.
        if !self.has_authority {
            return;
        }
        for (pool, (stragglers, copied_milli)) in by_pool {
            if !stragglers.is_empty() {
                self.relieve_pool(&pool, stragglers, copied_milli, now);
            }
        }
    }

    fn relieve_pool(
        &mut self,
        pool: &str,
        mut stragglers: Vec<Straggler>,
        copied_milli: u64,
        now: Duration,
    ) {
        if self.has_work_for_room(pool, now) || !self.is_mostly_usual(pool, now) {
            return;
        }
        let mut candidates = self.candidates_of(pool, now);
        let capacity_milli = capacity_milli(&candidates, self);
        candidates.retain(|candidate| !candidate.is_slow);
        let mut budget = CopyBudget::new(capacity_milli, copied_milli);
        let unread_data_centres = self.unread_data_centres(pool, now);
        stragglers.sort_by_key(|straggler| (Reverse(straggler.left), straggler.task));
        for straggler in &stragglers {
            let job = self.jobs.get(&straggler.task.step.job);
            // An unread worker may have another run of the task.
            if job.is_none_or(|job| job.waits_for_unread_workers(&unread_data_centres)) {
                continue;
            }
            if straggler.is_speculative && is_worth_a_copy(straggler) {
                self.copy_run(straggler, &mut candidates, &mut budget, now);
            }
        }
    }

    /// Returns the pool of a task and what is known about it; `None` if its job has ended
    /// or has no pool.
    fn standing(&self, task: TaskId, now: Duration) -> Option<(String, Standing)> {
        let job = self.jobs.get(&task.step.job).filter(|job| job.is_open())?;
        let queue = self.configuration.queue(&job.spec.queue)?;
        let step = &job.spec.steps[task.step.step as usize];
        let occurrence = job.occurrences.get(&task.step.occurrence)?;
        let tasks = &occurrence.steps[task.step.step as usize].tasks;
        let state = tasks.get(task.index as usize)?;
        let cpu_milli = step.counted_resources().cpu_milli;
        let standing = match state.runs.as_slice() {
            _ if state.is_done => Standing::Over,
            [run] => {
                // Both runs may fail.
                let failures = state.failed_attempts.len() + MAX_RUNS;
                let is_exhausted = failures > queue.max_attempts as usize;
                if state.was_copied_or_moved || run.state == RunState::Stopping || is_exhausted {
                    Standing::Over
                } else {
                    let expected = self.expected_run_time(job, task)?;
                    let slow = self.straggler(task, state, expected, step.is_speculative, now);
                    slow.map_or(Standing::Unclear, Standing::Slow)
                }
            }
            runs if runs.len() >= MAX_RUNS => Standing::Copied { cpu_milli },
            _ => Standing::Over,
        };
        Some((queue.pool.clone(), standing))
    }

    /// Returns how slow the only run of a task is; `None` if its worker was not read
    /// lately or the run is not slow now.
    fn straggler(
        &self,
        task: TaskId,
        state: &Task,
        expected: Duration,
        is_speculative: bool,
        now: Duration,
    ) -> Option<Straggler> {
        let run = state.runs.first()?;
        let worker = self.workers.get(&run.worker)?;
        let read_at = worker.life.clock_read_at()?;
        if worker.is_silent() || now.saturating_sub(read_at) > MAX_STATUS_AGE {
            return None;
        }
        let speed = &worker.life.speed;
        let slow_left = speed.is_slow(now).then(|| {
            let slow_for = now.saturating_sub(speed.slow_since);
            SLOW_PERIOD.saturating_sub(slow_for)
        });
        Some(Straggler {
            task,
            worker: run.worker,
            attempt: run.attempt,
            is_speculative,
            left: run.speed.time_left(expected, slow_left, now)?,
            renewed: START_TIME + run.speed.time_without_saved(expected),
        })
    }

    /// Returns whether a step of a pool waits for room, so that nothing is left for copies.
    fn has_work_for_room(&self, pool: &str, now: Duration) -> bool {
        let unread_data_centres = self.unread_data_centres(pool, now);
        let steps = self.ready.get(pool);
        steps.into_iter().flatten().any(|id| {
            let Some(job) = self.jobs.get(&id.job).filter(|job| job.is_open()) else {
                return false;
            };
            let Some(occurrence) = job.occurrences.get(&id.occurrence) else {
                return false;
            };
            let tasks = &occurrence.steps[id.step as usize].tasks;
            let may_start = |task: &Task| task.is_waiting() && task.not_before <= now;
            let resources = job.spec.steps[id.step as usize].counted_resources();
            tasks.has_waiting()
                && tasks.iter().any(may_start)
                && !job.waits_for_unread_workers(&unread_data_centres)
                && self.is_within_cap(job.spec.workspace.as_deref(), &resources)
        })
    }

    /// Returns whether most workers of a pool have the expected speed, of those whose runs
    /// were measured lately.
    fn is_mostly_usual(&self, pool: &str, now: Duration) -> bool {
        let (mut slow, mut judged) = (0, 0);
        for worker in self.workers.values().filter(|w| w.report.pool == pool) {
            let speed = &worker.life.speed;
            let is_recent = |at| now.saturating_sub(at) <= MAX_STATUS_AGE;
            if speed.judged_at.is_some_and(is_recent) {
                judged += 1;
                slow += usize::from(speed.is_slow(now));
            }
        }
        slow * 100 <= judged * MAX_SLOW_PERCENT
    }
}

impl Candidates {
    /// Keeps the candidates that meet a condition.
    fn retain(&mut self, is_kept: impl Fn(&crate::placement::Candidate) -> bool) {
        let list = self.list().iter().filter(|candidate| is_kept(candidate));
        *self = Self::new(list.cloned().collect());
    }
}
