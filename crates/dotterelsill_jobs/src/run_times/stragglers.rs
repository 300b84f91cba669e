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
    moves::is_worth_a_move,
    speed::MAX_STATUS_AGE, //
};
use crate::{
    job::Task,
    placement::Candidates,
    Run,
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
    /// Runs that were stopped to be started on another worker.
    pub runs_moved: u64,
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
    /// Whether a second run may be started beside the run.
    pub(super) may_copy: bool,
    /// Whether the run may be stopped to be started on another worker.
    pub(super) may_move: bool,
    pub(super) age: Duration,
    /// Time that the run is expected to need from now on.
    pub(super) left: Duration,
    /// Time that a new run is expected to need from its start on.
    pub(super) renewed: Duration,
}

/// Slow runs of a pool, and what is being done about them.
#[derive(Debug, Default)]
struct SlowRuns {
    stragglers: Vec<Straggler>,
    /// Processor time of the copies.
    copied_milli: u64,
    /// Tasks whose runs are being stopped to be started on another worker.
    moving: Vec<TaskId>,
}

/// What is known about a task that had a slow run.
enum Standing {
    /// Nothing is left to be done.
    Over,
    /// Two runs of the task are active, which use an amount of processor time each.
    Copied {
        cpu_milli: u64,
    },
    /// The run is being stopped to be started on another worker.
    Moving,
    /// Nothing can be said now.
    Unclear,
    Slow(Straggler),
}

impl Scheduler {
    /// Returns the numbers since the last call.
    pub fn take_run_counts(&mut self) -> RunCounts {
        std::mem::take(&mut self.stragglers.counts)
    }

    /// Copies or moves slow runs, if capacity is left after all waiting tasks were planned.
    pub(crate) fn relieve_stragglers(&mut self, now: Duration) {
        if now < self.stragglers.next_look_at {
            return;
        }
        self.stragglers.next_look_at = now + LOOK_INTERVAL;
        self.clear_slow_workers(now);
        let mut by_pool: BTreeMap<String, SlowRuns> = BTreeMap::new();
        let tasks: Vec<TaskId> = self.stragglers.tasks.iter().copied().collect();
        for task in tasks {
            let Some((pool, standing)) = self.standing(task, now) else {
                self.stragglers.tasks.remove(&task);
                continue;
            };
            let slow_runs = by_pool.entry(pool).or_default();
            match standing {
                Standing::Over => {
                    self.stragglers.tasks.remove(&task);
                }
                Standing::Copied { cpu_milli } => slow_runs.copied_milli += cpu_milli,
                Standing::Moving => slow_runs.moving.push(task),
                Standing::Unclear => {}
                Standing::Slow(straggler) => slow_runs.stragglers.push(straggler),
            }
        }
        // Without authority, a later scheduler may have seen the tasks end.
        if !self.has_authority {
            return;
        }
        for (pool, slow_runs) in by_pool {
            if !slow_runs.stragglers.is_empty() {
                self.relieve_pool(&pool, slow_runs, now);
            }
        }
    }

    fn relieve_pool(&mut self, pool: &str, slow_runs: SlowRuns, now: Duration) {
        if self.has_work_for_room(pool, now) || !self.is_mostly_usual(pool, now) {
            return;
        }
        let mut candidates = self.candidates_of(pool, now);
        let capacity_milli = capacity_milli(&candidates, self);
        candidates.retain(|candidate| !candidate.is_slow);
        for task in slow_runs.moving {
            self.reserve_room(task, &mut candidates, now);
        }
        let mut budget = CopyBudget::new(capacity_milli, slow_runs.copied_milli);
        let mut stragglers = slow_runs.stragglers;
        let unread_places = self.unread_places(now);
        stragglers.sort_by_key(|straggler| (Reverse(straggler.left), straggler.task));
        for straggler in &stragglers {
            let job = self.jobs.get(&straggler.task.step.job);
            // An unread worker may have another run of the task.
            if job.is_none_or(|job| {
                job.waits_for_unread_workers(&unread_places) || !job.may_start_in(pool)
            }) {
                continue;
            }
            if straggler.may_copy && is_worth_a_copy(straggler) {
                self.copy_run(straggler, &mut candidates, &mut budget, now);
            } else if straggler.may_move && is_worth_a_move(straggler) {
                self.move_run(straggler, &mut candidates, now);
            }
        }
    }

    /// Returns the pool of a task and what is known about it; `None` if its job has ended
    /// or has no pool.
    fn standing(&self, task: TaskId, now: Duration) -> Option<(String, Standing)> {
        let job = self.jobs.get(&task.step.job).filter(|job| job.is_open())?;
        let queue = self.configuration.queue_of_job(&job.spec)?;
        let step = &job.spec.steps[task.step.step as usize];
        let occurrence = job.occurrences.get(&task.step.occurrence)?;
        let tasks = &occurrence.steps[task.step.step as usize].tasks;
        let state = tasks.get(task.index as usize)?;
        let cpu_milli = step.counted_resources().cpu_milli;
        let standing = match state.runs.as_slice() {
            _ if state.is_done => Standing::Over,
            [run] => {
                let is_stopping = run.state == RunState::Stopping;
                if state.was_copied_or_moved && is_stopping && !step.is_speculative {
                    Standing::Moving
                } else if state.was_copied_or_moved || is_stopping {
                    Standing::Over
                } else {
                    let expected = self.expected_run_time(job, task)?;
                    let slow = self.straggler(task, run, expected, now);
                    let slow = slow.map(|straggler| Straggler {
                        // Both runs may fail.
                        may_copy: step.is_speculative
                            && state.failed_attempts.len() + MAX_RUNS
                                <= queue.max_attempts as usize,
                        // An earlier scheduler may have moved the task before.
                        may_move: !step.is_speculative && !job.is_restored && straggler.may_move,
                        ..straggler
                    });
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
        run: &Run,
        expected: Duration,
        now: Duration,
    ) -> Option<Straggler> {
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
            may_copy: false,
            may_move: slow_left.is_some(),
            age: run.speed.age(now),
            left: run.speed.time_left(expected, slow_left, now)?,
            renewed: START_TIME + run.speed.time_without_saved(expected),
        })
    }

    /// Returns whether a step of a pool waits for room, so that nothing is left for copies.
    fn has_work_for_room(&self, pool: &str, now: Duration) -> bool {
        let unread_places = self.unread_places(now);
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
                && !job.waits_for_unread_workers(&unread_places)
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
