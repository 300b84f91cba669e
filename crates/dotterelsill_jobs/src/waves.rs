//! Maintenance waves.
//!
//! Maintenance ends what runs on the instance, which is first kept free of new
//! tasks: short tasks end by themselves, lasting ones are counted against
//! what their step may miss.

use std::{
    collections::BTreeMap,
    time::Duration, //
};

use crate::{
    job::Task,
    orders_to_instances::{
        Known,
        BUSY_PAUSE, //
    },
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

/// Part of a wave's time, in percent, within which it is planned to be done; the
/// rest is a reserve for faults.
const WAVE_TIME_PERCENT: u32 = 60;

/// Time that the maintenance of one instance takes with its draining and return.
const WAVE_CYCLE: Duration = Duration::from_millis(5500);

/// Longest time for which an instance waits until its short tasks have ended;
/// then they are stopped with it.
const DRAIN_LIMIT: Duration = Duration::from_millis(3000);

/// Part of a pool's instances, in percent, that may be away for a wave at once
/// unless time runs short.
const POOL_AWAY_PERCENT: usize = 34;

/// Time added to that of the maintenance before an instance counts as back.
const BACK_MARGIN: Duration = Duration::from_millis(300);

/// State of one instance in a wave.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum Due {
    Waiting {
        not_before: Duration,
    },
    Draining {
        since: Duration,
    },
    Ordered,
    /// An order was not answered and a later one refused as the instance is busy:
    /// the first may have been carried out, or may still be.
    MayBeDown {
        until: Duration,
    },
    Away {
        since: Duration,
    },
    Done,
}

/// A wave that is carried out.
#[derive(Debug)]
pub(crate) struct WaveState {
    wave: Wave,
    due: BTreeMap<String, Due>,
    started_unix: Duration,
    is_completed: bool,
    /// Number of instances done when the record was stored last.
    stored_done: Option<usize>,
    is_completion_stored: bool,
}

/// Progress of a wave that is to be stored and reported.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct WaveChange {
    /// Number of the wave.
    pub number: u64,
    /// Time of its start, since the Unix epoch.
    pub started_unix: Duration,
    /// Instances that have had their maintenance.
    pub done: Vec<String>,
    /// Whether all have.
    pub is_completed: bool,
}

impl Scheduler {
    /// Takes over a wave that an earlier scheduler has begun.
    pub fn restore_wave(&mut self, number: u64, started_unix: Duration, done: &[String]) {
        self.restored_waves
            .insert(number, (started_unix, done.to_vec()));
    }

    /// Adds waves that are new and drops those that are no longer asked for.
    pub(crate) fn follow_waves(&mut self, unix: Duration) {
        let operator_requests = self.operator_requests.clone();
        for wave in &operator_requests.waves {
            if self.waves.contains_key(&wave.number) {
                continue;
            }
            let (started_unix, done) = self
                .restored_waves
                .remove(&wave.number)
                .unwrap_or((unix, Vec::new()));
            let due = |name: &String| {
                let due = if done.contains(name) {
                    Due::Done
                } else {
                    Due::Waiting {
                        not_before: Duration::ZERO,
                    }
                };
                (name.clone(), due)
            };
            let state = WaveState {
                due: wave.instances.iter().map(due).collect(),
                wave: wave.clone(),
                started_unix,
                is_completed: false,
                stored_done: None,
                is_completion_stored: false,
            };
            self.waves.insert(wave.number, state);
        }
        let is_asked = |number: &u64| {
            operator_requests
                .waves
                .iter()
                .any(|wave| wave.number == *number)
        };
        self.waves.retain(|number, _| is_asked(number));
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
        self.drain_next(&mut state, now, unix);
        let draining: Vec<(String, Duration)> = state
            .due
            .iter()
            .filter_map(|(name, due)| match due {
                Due::Draining { since } => Some((name.clone(), *since)),
                _ => None,
            })
            .collect();
        for (name, since) in draining {
            if self.away_count(&state, now) >= state.wave.cap as usize {
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
                state.due.insert(name, Due::Ordered);
                orders.push(order);
            } else {
                self.evict(&name);
            }
        }
        let has_open = |(name, due): (&String, &Due)| {
            let stays = self.instances.contains_key(name);
            !matches!(due, Due::Done | Due::Away { .. }) && (stays || *due == Due::Ordered)
        };
        if !state.is_completed && !state.due.iter().any(has_open) {
            state.is_completed = true;
            log::info!(wave = number; "wave_completed");
        }
        self.waves.insert(number, state);
    }

    /// Notes which instances are back from their maintenance.
    fn note_returns(&mut self, state: &mut WaveState, now: Duration) {
        for (name, due) in &mut state.due {
            if let Due::MayBeDown { until } = *due {
                if now >= until {
                    *due = Due::Waiting { not_before: now };
                }
                continue;
            }
            let Due::Away { since } = *due else {
                continue;
            };
            let is_over = now >= since + self.limits.maintenance_time + BACK_MARGIN;
            let known = self.instances.get(name);
            let is_up =
                known.is_none_or(|known| known.instance.state != InstanceState::Maintenance);
            if is_over && is_up {
                *due = Due::Done;
            }
        }
    }

    /// Returns how many instances of a wave are down for it, or may be: an earlier
    /// scheduler may just have given the order.
    fn away_count(&self, state: &WaveState, now: Duration) -> usize {
        let is_away =
            |due: &Due| matches!(due, Due::Ordered | Due::MayBeDown { .. } | Due::Away { .. });
        let may_be_down = |(name, due): &(&String, &Due)| {
            let is_held = self.held_until.get(*name).is_some_and(|until| now < *until);
            is_held || is_away(due)
        };
        state.due.iter().filter(may_be_down).count()
    }

    /// Begins to drain as many instances as the wave needs to be done in time.
    fn drain_next(&mut self, state: &mut WaveState, now: Duration, unix: Duration) {
        let is_waiting =
            |due: &Due| matches!(due, Due::Waiting { not_before } if *not_before <= now);
        let mut waiting: Vec<String> = state
            .due
            .iter()
            .filter(|(name, due)| is_waiting(due) && self.instances.contains_key(*name))
            .map(|(name, _)| name.clone())
            .collect();
        if waiting.is_empty() {
            return;
        }
        let planned = state.wave.duration * WAVE_TIME_PERCENT / 100;
        let left = (state.started_unix + planned).saturating_sub(unix);
        let rounds = (left.as_millis() / WAVE_CYCLE.as_millis()).max(1) as usize;
        let is_busy = |due: &&Due| !matches!(due, Due::Waiting { .. } | Due::Done);
        let busy = state.due.values().filter(is_busy).count();
        let wanted = (waiting.len() + busy).div_ceil(rounds);
        let most = wanted.min(state.wave.cap as usize).max(1);
        // Those whose end costs least go first: switched off, then empty.
        waiting.sort_by_cached_key(|name| self.cost_of_end(name));
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
            self.reserve(&name, true);
            log::info!(instance = name, wave = state.wave.number; "instance_draining");
            state.due.insert(name, Due::Draining { since: now });
            count += 1;
        }
    }

    /// Returns whether a pool can spare another instance for a wave.
    fn pool_can_spare(&self, pool: &str, state: &WaveState) -> bool {
        if self.is_standby(pool) {
            return true;
        }
        let of_pool = |known: &&Known| known.instance.pool == pool;
        let all = self.instances.values().filter(of_pool).count();
        let is_away = |(name, due): &(&String, &Due)| {
            let is_busy = !matches!(due, Due::Waiting { .. } | Due::Done);
            let known = self.instances.get(*name);
            is_busy && known.is_some_and(|known| known.instance.pool == pool)
        };
        let away = state.due.iter().filter(is_away).count();
        (away + 1) * 100 <= (all * POOL_AWAY_PERCENT).max(100)
    }

    /// Returns what is lost when an instance ends what it runs.
    fn cost_of_end(&self, name: &str) -> (bool, usize, u64) {
        let Some(key) = self.worker_of(name) else {
            return (false, 0, 0);
        };
        let worker = &self.workers[&key];
        let lasting = worker.booked.values().filter(|run| run.is_lasting).count();
        (true, lasting, worker.used.cpu_milli)
    }

    /// Returns whether an instance may be drained. As long as orders of an earlier
    /// scheduler may still end lasting tasks that look to be at work, no others are
    /// ended, so that the instance must be known to run none.
    fn may_drain(&self, name: &str, now: Duration) -> bool {
        if now >= self.earlier_orders_until() {
            return true;
        }
        let has_worker = |known: &Known| !known.instance.worker.is_empty();
        if !self.instances.get(name).is_some_and(has_worker) {
            return true;
        }
        self.worker_of(name)
            .is_some_and(|key| self.workers[&key].is_known && self.lasting_on(key).is_empty())
    }

    /// Returns whether the runs of an instance may be ended now.
    fn may_end(&self, name: &str, since: Duration, now: Duration) -> bool {
        let Some(key) = self.worker_of(name) else {
            return true;
        };
        let worker = &self.workers[&key];
        let has_short = worker.booked.values().any(|run| !run.is_lasting);
        if has_short && now < since + DRAIN_LIMIT {
            return false;
        }
        self.lasting_on(key)
            .into_iter()
            .all(|(step, tasks)| self.can_miss(step, &tasks))
    }

    /// Stops lasting tasks of a draining instance as far as their steps can miss
    /// them, where more run on it than may be missed at once.
    fn evict(&mut self, name: &str) {
        let Some(key) = self.worker_of(name) else {
            return;
        };
        for (step, tasks) in self.lasting_on(key) {
            if self.can_miss(step, &tasks) || !self.can_miss(step, &tasks[..1]) {
                continue;
            }
            let (task, attempt) = tasks[0];
            log::info!(task:%, attempt, instance = name; "task_evicted");
            self.stop(key, task, attempt);
        }
    }

    /// Returns the lasting tasks on a worker, by step, beside those that are being
    /// stopped. One that was not at work when the worker was looked at may be now.
    fn lasting_on(&self, key: WorkerKey) -> BTreeMap<StepId, Vec<(TaskId, u32)>> {
        let mut here: BTreeMap<StepId, Vec<(TaskId, u32)>> = BTreeMap::new();
        for (task, booked) in &self.workers[&key].booked {
            if booked.is_lasting && !booked.is_stopping {
                let tasks = here.entry(task.step).or_default();
                tasks.push((*task, booked.attempt));
            }
        }
        here
    }

    fn is_at_work(&self, task: &Task) -> bool {
        // The runs of a worker that does not answer may have ended long ago.
        let is_staying = |key: WorkerKey| {
            let worker = self.workers.get(&key);
            worker.is_some_and(|worker| worker.is_known && !worker.is_silent && !worker.is_ending)
        };
        task.runs.iter().any(|run| {
            run.state == RunState::Running && run.percent >= 100 && is_staying(run.worker)
        })
    }

    /// Returns whether a step that lasts can miss some of its tasks beside all others
    /// that are not known to be at work.
    fn can_miss(&self, id: StepId, ending: &[(TaskId, u32)]) -> bool {
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
        let away = others.filter(|(_, task)| !self.is_at_work(task)).count();
        away + ending.len() <= may_miss as usize
    }

    /// Notes the answer to an order of maintenance; `unanswered_until` tells until
    /// when an earlier one may be carried out that got none.
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
        let due = match (answer, unanswered_until) {
            (InstanceAnswer::Done, _) => Due::Away { since: now },
            // The instance is not due, whatever the operators' text said.
            (InstanceAnswer::Refused, _) => Due::Done,
            (_, Some(late_until)) => Due::MayBeDown {
                until: late_until + takes + BACK_MARGIN,
            },
            (_, None) => Due::Waiting {
                not_before: now + BUSY_PAUSE,
            },
        };
        state.due.insert(name.to_owned(), due);
    }

    /// Returns the progress of waves that is to be stored.
    pub fn wave_changes(&self) -> Vec<WaveChange> {
        let mut changes = Vec::new();
        for (&number, state) in &self.waves {
            let done: Vec<String> = state
                .due
                .iter()
                .filter(|(_, due)| matches!(due, Due::Done | Due::Away { .. }))
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

    /// Notes that the progress of a wave is stored.
    pub fn on_wave_stored(&mut self, change: &WaveChange) {
        if let Some(state) = self.waves.get_mut(&change.number) {
            state.stored_done = Some(change.done.len());
            state.is_completion_stored = change.is_completed;
        }
    }
}
