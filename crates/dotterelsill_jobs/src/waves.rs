//! Maintenance waves.
//!
//! Maintenance ends everything that runs on an instance, so the instance is drained
//! first: it gets no new tasks, short tasks end by themselves, and long-running
//! ones are stopped within the disruption budgets of their steps.

use std::{
    collections::BTreeMap,
    time::Duration, //
};

use crate::{
    instance_orders::{
        KnownInstance,
        REFUSED_ORDER_DELAY, //
    },
    job::Task,
    InstanceAction,
    InstanceAnswer,
    InstanceOrder,
    InstanceState,
    RunState,
    Scheduler,
    StepId,
    TaskId,
    Wave,
    WorkerKey, //
};

/// Part of a wave's duration, in percent, within which the maintenance is planned;
/// the rest is a reserve for faults.
const WAVE_TIME_PERCENT: u32 = 60;

/// Time from the start of draining one instance to its return to service.
const MAINTENANCE_CYCLE: Duration = Duration::from_millis(5500);

/// Maximum time for which an instance waits for its short tasks to end. After that
/// the maintenance stops them.
const MAX_DRAIN_TIME: Duration = Duration::from_millis(3000);

/// Maximum part of a pool's instances, in percent, that may be unavailable because
/// of a wave, unless time is running out.
const MAX_UNAVAILABLE_PERCENT: usize = 34;

/// Time added to the duration of the maintenance before an instance counts as back.
const RETURN_MARGIN: Duration = Duration::from_millis(300);

/// Time for which a long-running task may wait for room that only a draining instance
/// has. An instance that is back from maintenance has room for it sooner.
const MAX_LASTING_WAIT: Duration = Duration::from_secs(2);

/// Time for which an instance that has returned to service is not drained again.
const RETURNED_TIME: Duration = Duration::from_secs(4);

/// Stage of one instance within a wave.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum Stage {
    /// Draining has not started, and may not start before a time.
    Waiting { not_before: Duration },
    /// The instance gets no new tasks.
    Draining { since: Duration },
    /// The maintenance was ordered and the response is outstanding.
    Ordered,
    /// An order was not answered and a later one was refused because the instance
    /// is busy. The first one may have been executed, or may still be.
    MayBeDown { until: Duration },
    /// The platform reported the order as executed.
    InMaintenance { since: Duration },
    /// The instance is back, or needs no maintenance in this wave.
    Done,
}

/// State of an active wave.
#[derive(Debug)]
pub(crate) struct WaveState {
    wave: Wave,
    stages: BTreeMap<String, Stage>,
    started_unix: Duration,
    is_completed: bool,
    /// Number of instances in the record stored last; `None` before the first write.
    stored_done: Option<usize>,
    is_completion_stored: bool,
}

/// Progress of a wave to be stored and reported.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct WaveChange {
    /// Number of the wave.
    pub number: u64,
    /// Start time, since the Unix epoch.
    pub started_unix: Duration,
    /// Names of the instances whose maintenance has started or is over.
    pub done: Vec<String>,
    /// Whether the maintenance of every instance has started or is over.
    pub is_completed: bool,
}

impl Scheduler {
    /// Restores a wave that an earlier scheduler started.
    pub fn restore_wave(&mut self, number: u64, started_unix: Duration, done: &[String]) {
        self.restored_waves
            .insert(number, (started_unix, done.to_vec()));
    }

    /// Adds newly requested waves and drops those that are no longer requested.
    pub(crate) fn update_waves(&mut self, unix: Duration) {
        let operator_requests = self.operator_requests.clone();
        for wave in &operator_requests.waves {
            if self.waves.contains_key(&wave.number) {
                continue;
            }
            let (started_unix, done) = self
                .restored_waves
                .remove(&wave.number)
                .unwrap_or((unix, Vec::new()));
            let stage = |name: &String| {
                let stage = if done.contains(name) {
                    Stage::Done
                } else {
                    Stage::Waiting {
                        not_before: Duration::ZERO,
                    }
                };
                (name.clone(), stage)
            };
            let state = WaveState {
                stages: wave.instances.iter().map(stage).collect(),
                wave: wave.clone(),
                started_unix,
                is_completed: false,
                stored_done: None,
                is_completion_stored: false,
            };
            self.waves.insert(wave.number, state);
        }
        let is_requested = |number: &u64| {
            operator_requests
                .waves
                .iter()
                .any(|wave| wave.number == *number)
        };
        self.waves.retain(|number, _| is_requested(number));
    }

    pub(crate) fn plan_wave(
        &mut self,
        number: u64,
        orders: &mut Vec<InstanceOrder>,
        now: Duration,
        unix: Duration,
    ) {
        let Some(mut state) = self.waves.remove(&number) else {
            return;
        };
        self.note_returns(&mut state, now);
        self.drain_more(&mut state, now, unix);
        let draining: Vec<(String, Duration)> = state
            .stages
            .iter()
            .filter_map(|(name, stage)| match stage {
                Stage::Draining { since } => Some((name.clone(), *since)),
                _ => None,
            })
            .collect();
        for (name, since) in draining {
            if self.unavailable_count(&state, now) >= state.wave.cap as usize {
                break;
            }
            if !self.may_drain(&name, now) {
                continue;
            }
            if self.may_end(&name, since, now) {
                let order = InstanceOrder {
                    instance: name.clone(),
                    action: InstanceAction::Maintain { wave: number },
                };
                self.note_ordered(&order);
                state.stages.insert(name, Stage::Ordered);
                orders.push(order);
            } else {
                self.evict(&name);
            }
        }
        self.return_for_lasting(&mut state, now);
        let has_open = |(name, stage): (&String, &Stage)| {
            let stays = self.instances.contains_key(name);
            !matches!(stage, Stage::Done | Stage::InMaintenance { .. })
                && (stays || *stage == Stage::Ordered)
        };
        if !state.is_completed && !state.stages.iter().any(has_open) {
            state.is_completed = true;
            log::info!(wave = number; "wave_completed");
        }
        self.waves.insert(number, state);
    }

    /// Detects which instances are back from maintenance.
    fn note_returns(&mut self, state: &mut WaveState, now: Duration) {
        for (name, stage) in &mut state.stages {
            if let Stage::MayBeDown { until } = *stage {
                if now >= until {
                    *stage = Stage::Waiting { not_before: now };
                }
                continue;
            }
            let Stage::InMaintenance { since } = *stage else {
                continue;
            };
            let is_over = now >= since + self.limits.maintenance_time + RETURN_MARGIN;
            let known = self.instances.get(name);
            let is_up =
                known.is_none_or(|known| known.instance.state != InstanceState::Maintenance);
            if is_over && is_up {
                *stage = Stage::Done;
            }
        }
    }

    /// Returns how many instances of a wave are, or may be, unavailable because of
    /// it: an earlier scheduler may have given an order shortly before the
    /// takeover.
    fn unavailable_count(&self, state: &WaveState, now: Duration) -> usize {
        let is_unavailable = |stage: &Stage| {
            matches!(
                stage,
                Stage::Ordered | Stage::MayBeDown { .. } | Stage::InMaintenance { .. }
            )
        };
        let may_be_down = |(name, stage): &(&String, &Stage)| {
            let is_held = self.held_until.get(*name).is_some_and(|until| now < *until);
            is_held || is_unavailable(stage)
        };
        state.stages.iter().filter(may_be_down).count()
    }

    /// Starts draining as many instances as are needed to finish the wave on time.
    fn drain_more(&mut self, state: &mut WaveState, now: Duration, unix: Duration) {
        let is_waiting =
            |stage: &Stage| matches!(stage, Stage::Waiting { not_before } if *not_before <= now);
        let mut waiting: Vec<String> = state
            .stages
            .iter()
            .filter(|(name, stage)| is_waiting(stage) && self.instances.contains_key(*name))
            .map(|(name, _)| name.clone())
            .collect();
        if waiting.is_empty() {
            return;
        }
        let planned = state.wave.duration * WAVE_TIME_PERCENT / 100;
        let left = (state.started_unix + planned).saturating_sub(unix);
        let rounds = (left.as_millis() / MAINTENANCE_CYCLE.as_millis()).max(1) as usize;
        let is_busy = |stage: &&Stage| !matches!(stage, Stage::Waiting { .. } | Stage::Done);
        let busy = state.stages.values().filter(is_busy).count();
        let wanted = (waiting.len() + busy).div_ceil(rounds);
        let most = wanted.min(state.wave.cap as usize).max(1);
        // Cheapest first: instances that are switched off, then idle ones.
        waiting.sort_by_cached_key(|name| self.eviction_cost(name));
        let is_short = left.is_zero();
        let mut count = busy;
        for name in waiting {
            if count >= most {
                return;
            }
            let known = &self.instances[&name];
            if known.ordered.is_some() || now < known.late_until {
                continue;
            }
            if known.instance.state != InstanceState::Up || !self.may_drain(&name, now) {
                continue;
            }
            if !is_short && !self.pool_can_spare(&known.instance.pool.clone(), state) {
                continue;
            }
            self.set_cordoned(&name, true);
            log::info!(instance = name, wave = state.wave.number; "instance_draining");
            state.stages.insert(name, Stage::Draining { since: now });
            count += 1;
        }
    }

    /// Returns whether a pool can spare another instance for a wave.
    fn pool_can_spare(&self, pool: &str, state: &WaveState) -> bool {
        if self.is_standby(pool) {
            return true;
        }
        let of_pool = |known: &&KnownInstance| known.instance.pool == pool;
        let all = self.instances.values().filter(of_pool).count();
        let is_unavailable = |(name, stage): &(&String, &Stage)| {
            let is_busy = !matches!(stage, Stage::Waiting { .. } | Stage::Done);
            let known = self.instances.get(*name);
            is_busy && known.is_some_and(|known| known.instance.pool == pool)
        };
        let unavailable = state.stages.iter().filter(is_unavailable).count();
        (unavailable + 1) * 100 <= (all * MAX_UNAVAILABLE_PERCENT).max(100)
    }

    /// Returns the cost of ending the runs of an instance.
    fn eviction_cost(&self, name: &str) -> (bool, usize, u64) {
        let Some(key) = self.worker_of(name) else {
            return (false, 0, 0);
        };
        let worker = &self.workers[&key];
        let lasting = worker.booked.values().filter(|run| run.is_lasting).count();
        (true, lasting, worker.used.cpu_milli)
    }

    /// Returns whether an instance may be drained. While orders of an earlier
    /// scheduler may still end long-running tasks that appear to be available, no
    /// other long-running tasks are ended; the instance must be known to run none.
    fn may_drain(&self, name: &str, now: Duration) -> bool {
        if now >= self.earlier_orders_until() {
            return true;
        }
        let has_worker = |known: &KnownInstance| !known.instance.worker.is_empty();
        if !self.instances.get(name).is_some_and(has_worker) {
            return true;
        }
        self.worker_of(name)
            .is_some_and(|key| self.workers[&key].life.is_known && self.lasting_on(key).is_empty())
    }

    /// Returns whether the runs of an instance may be ended now.
    fn may_end(&self, name: &str, since: Duration, now: Duration) -> bool {
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
    fn evict(&mut self, name: &str) {
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

    /// Returns a draining instance to service if a long-running task waits for room that
    /// no other worker of the pool can have. As long as the task waits, it counts towards
    /// its step's disruption budget, so that instances that wait for that budget would
    /// never be drained, and the task would never get their room.
    fn return_for_lasting(&mut self, state: &mut WaveState, now: Duration) {
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

    /// Returns the long-running tasks on a worker by step, except those being
    /// stopped. Tasks count even if they were not available in the last status,
    /// since they may be by now.
    fn lasting_on(&self, key: WorkerKey) -> BTreeMap<StepId, Vec<(TaskId, u64)>> {
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

    /// Handles the response to a maintenance order. `unanswered_until` is the time
    /// until which an earlier attempt without a response may still be executed.
    pub(crate) fn on_maintenance_answer(
        &mut self,
        wave: u64,
        name: &str,
        answer: InstanceAnswer,
        unanswered_until: Option<Duration>,
        now: Duration,
    ) {
        let takes = self.limits.maintenance_time;
        let Some(state) = self.waves.get_mut(&wave) else {
            return;
        };
        let stage = match (answer, unanswered_until) {
            (InstanceAnswer::Done, _) => Stage::InMaintenance { since: now },
            // The platform says that the instance is not part of the wave, which
            // overrides the operators' request.
            (InstanceAnswer::Refused, _) => Stage::Done,
            (_, Some(late_until)) => Stage::MayBeDown {
                until: late_until + takes + RETURN_MARGIN,
            },
            (_, None) => Stage::Waiting {
                not_before: now + REFUSED_ORDER_DELAY,
            },
        };
        state.stages.insert(name.to_owned(), stage);
    }

    /// Returns the progress of all waves that must be stored.
    pub fn wave_changes(&self) -> Vec<WaveChange> {
        let mut changes = Vec::new();
        for (&number, state) in &self.waves {
            let done: Vec<String> = state
                .stages
                .iter()
                .filter(|(_, stage)| matches!(stage, Stage::Done | Stage::InMaintenance { .. }))
                .map(|(name, _)| name.clone())
                .collect();
            let is_new = state.stored_done != Some(done.len())
                || state.is_completed != state.is_completion_stored;
            if is_new {
                changes.push(WaveChange {
                    number,
                    started_unix: state.started_unix,
                    done,
                    is_completed: state.is_completed,
                });
            }
        }
        changes
    }

    /// Handles the storage of a wave's progress.
    pub fn on_wave_stored(&mut self, change: &WaveChange) {
        if let Some(state) = self.waves.get_mut(&change.number) {
            state.stored_done = Some(change.done.len());
            state.is_completion_stored = change.is_completed;
        }
    }
}
