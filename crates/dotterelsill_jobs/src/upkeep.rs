//! Maintenance waves and moves of instances between pools.
//!
//! Every order ends what runs on the instance, so an instance is first kept free
//! of new tasks; short tasks end by themselves, lasting ones are counted against
//! what their step may miss.

use std::{
    collections::{
        BTreeMap,
        BTreeSet, //
    },
    time::Duration, //
};

use crate::{
    fleet::LATE_ORDER,
    job::Task,
    Instance,
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

/// Time after which a new worker is in the list of instances.
const LIST_LAG: Duration = Duration::from_millis(1500);

/// Lists in a row that do not show a worker before it counts as ended.
const LISTS_WITHOUT: u32 = 2;

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

/// Longest time for which a call of an earlier scheduler may be under way.
const ORDER_FLIGHT: Duration = Duration::from_millis(1500);

/// Time added to that of the maintenance before an instance counts as back.
const BACK_MARGIN: Duration = Duration::from_millis(300);

/// Pause before an order that was refused is given again.
const BUSY_PAUSE: Duration = Duration::from_millis(700);

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

/// What is known of an instance beside its entry in the list.
#[derive(Debug)]
pub(crate) struct Known {
    pub(crate) instance: Instance,
    /// Order whose answer is awaited.
    pub(crate) ordered: Option<InstanceOrder>,
    /// Time until which an earlier order may still be carried out.
    pub(crate) late_until: Duration,
    /// Time of the last order that was carried out.
    pub(crate) done_at: Option<Duration>,
    /// Pools that the platform refused for it.
    pub(crate) refused_pools: BTreeSet<String>,
}

impl Scheduler {
    /// Notes the platform's list of instances, which was asked for at a time.
    pub fn on_instances(&mut self, list: Vec<Instance>, asked_at: Duration, now: Duration) {
        self.end_unlisted_workers(&list, asked_at, now);
        let names: BTreeSet<String> = list.iter().map(|entry| entry.name.clone()).collect();
        for instance in list {
            let known = self.instances.get_mut(&instance.name);
            if let Some(known) = known {
                // An older list does not show what was ordered since.
                if known.ordered.is_none() && known.done_at.is_none_or(|at| at < asked_at) {
                    known.instance = instance;
                }
                continue;
            }
            let held_until = self.held_until.get(&instance.name).copied();
            let known = Known {
                instance,
                ordered: None,
                late_until: held_until.unwrap_or_default(),
                done_at: None,
                refused_pools: BTreeSet::new(),
            };
            self.instances.insert(known.instance.name.clone(), known);
        }
        self.instances
            .retain(|name, known| names.contains(name) || known.ordered.is_some());
        self.has_instances = true;
    }

    /// Ends workers whose instance runs another one or none. A worker that is only
    /// cut off stays listed with its instance.
    fn end_unlisted_workers(&mut self, list: &[Instance], asked_at: Duration, now: Duration) {
        let listed: BTreeSet<&str> = list.iter().map(|entry| entry.worker.as_str()).collect();
        let mut ended = Vec::new();
        for instance in list
            .iter()
            .filter(|entry| entry.state == InstanceState::Down)
        {
            let known = self.instances.get(&instance.name);
            if let Some(known) = known.filter(|known| !known.instance.worker.is_empty()) {
                ended.extend(self.by_id.get(&known.instance.worker).copied());
            }
        }
        for (&key, worker) in &mut self.workers {
            if listed.contains(worker.report.id.as_str()) {
                worker.lists_without = 0;
            } else if asked_at > worker.known_since + LIST_LAG {
                worker.lists_without += 1;
                if worker.lists_without >= LISTS_WITHOUT {
                    ended.push(key);
                }
            }
        }
        for key in ended {
            let worker = self.workers.get(&key).filter(|worker| !worker.has_ended);
            if let Some(worker) = worker {
                log::info!(
                    worker = worker.report.id, runs = worker.booked.len() as u64;
                    "worker_has_no_instance"
                );
                self.on_worker_ended(key, now);
            }
        }
    }

    /// Returns until when orders of an earlier scheduler may still count.
    fn earlier_orders_until(&self) -> Duration {
        if self.limits.turn.is_zero() {
            return self.started_at;
        }
        self.started_at + self.limits.turn + ORDER_FLIGHT
    }

    /// Notes the instances that an earlier scheduler has given orders to lately.
    pub fn restore_ordered(&mut self, instances: &[String]) {
        let until = self.earlier_orders_until();
        let held = instances.iter().map(|name| (name.clone(), until));
        self.held_until.extend(held);
    }

    /// Returns the instances whose orders a later scheduler has to know, so that
    /// the two do not take turns: those with an order that is open, or was given
    /// within a turn. The record must be stored before the orders are given.
    pub fn ordered(&mut self, now: Duration) -> Vec<String> {
        let (instances, turn) = (&self.instances, self.limits.turn);
        self.ordered_at.retain(|name, at| {
            let known = instances.get(name);
            known.is_some_and(|known| known.ordered.is_some()) || now < *at + turn
        });
        // What an earlier scheduler ordered is held here, and by the next one too.
        let held = self.held_until.iter().filter(|(_, until)| now < **until);
        let held = held.map(|(name, _)| name.clone());
        let names: BTreeSet<String> = self.ordered_at.keys().cloned().chain(held).collect();
        names.into_iter().collect()
    }

    /// Takes over a wave that an earlier scheduler has begun.
    pub fn restore_wave(&mut self, number: u64, started_unix: Duration, done: &[String]) {
        self.restored_waves
            .insert(number, (started_unix, done.to_vec()));
    }

    /// Adds waves that are new and drops those that are no longer asked for.
    pub(crate) fn follow_waves(&mut self, unix: Duration) {
        let requests = self.requests.clone();
        for wave in &requests.waves {
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
        let is_asked = |number: &u64| requests.waves.iter().any(|wave| wave.number == *number);
        self.waves.retain(|number, _| is_asked(number));
    }

    /// Returns the orders to instances that are due.
    pub fn plan_instances(&mut self, now: Duration, unix: Duration) -> Vec<InstanceOrder> {
        self.follow_waves(unix);
        if !self.has_instances {
            return Vec::new();
        }
        let mut orders = Vec::new();
        // Instances that an earlier scheduler has just taken into maintenance are
        // down and may not be in its stored progress yet.
        if now >= self.earlier_orders_until() {
            let numbers: Vec<u64> = self.waves.keys().copied().collect();
            for number in numbers {
                self.plan_wave(number, &mut orders, now, unix);
            }
        }
        self.plan_moves(&mut orders, now);
        for order in &orders {
            self.ordered_at.insert(order.instance.clone(), now);
        }
        orders
    }

    fn plan_wave(
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
            if self.away_count(&state) >= state.wave.cap as usize {
                break;
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

    /// Returns how many instances of a wave are down for it, or may be.
    fn away_count(&self, state: &WaveState) -> usize {
        let is_away =
            |due: &&Due| matches!(due, Due::Ordered | Due::MayBeDown { .. } | Due::Away { .. });
        state.due.values().filter(is_away).count()
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
            if known.instance.state != InstanceState::Up {
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

    pub(crate) fn worker_of(&self, name: &str) -> Option<WorkerKey> {
        let id = &self.instances.get(name)?.instance.worker;
        self.by_id.get(id).copied()
    }

    pub(crate) fn is_standby(&self, pool: &str) -> bool {
        self.catalogue
            .pools
            .get(pool)
            .is_some_and(|pool| pool.is_standby)
    }

    /// Keeps new tasks away from an instance, or allows them again.
    pub(crate) fn reserve(&mut self, name: &str, is_reserved: bool) {
        let key = self.worker_of(name);
        if let Some(worker) = key.and_then(|key| self.workers.get_mut(&key)) {
            worker.reserved = is_reserved;
        }
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
        self.at_work_on(key)
            .into_iter()
            .all(|(step, tasks)| self.can_miss(step, tasks.len()))
    }

    /// Stops lasting tasks of a draining instance as far as their steps can miss
    /// them, where more run on it than may be missed at once.
    fn evict(&mut self, name: &str) {
        let Some(key) = self.worker_of(name) else {
            return;
        };
        for (step, tasks) in self.at_work_on(key) {
            if self.can_miss(step, tasks.len()) || !self.can_miss(step, 1) {
                continue;
            }
            let (task, attempt) = tasks[0];
            log::info!(task:%, attempt, instance = name; "task_evicted");
            self.stop(key, task, attempt);
        }
    }

    /// Returns the lasting tasks that are at work on a worker, by step.
    fn at_work_on(&self, key: WorkerKey) -> BTreeMap<StepId, Vec<(TaskId, u32)>> {
        let mut here: BTreeMap<StepId, Vec<(TaskId, u32)>> = BTreeMap::new();
        for (task, booked) in &self.workers[&key].booked {
            let job = self.jobs.get(&task.step.job);
            let state = job.and_then(|job| job.task_state(task.step, task.index));
            if booked.is_lasting && state.is_some_and(|state| self.is_at_work(state)) {
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

    /// Returns whether a step that lasts can miss so many more of its tasks.
    fn can_miss(&self, id: StepId, count: usize) -> bool {
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
        let away = tasks.iter().filter(|task| !self.is_at_work(task)).count();
        away + count <= may_miss as usize
    }

    pub(crate) fn note_ordered(&mut self, order: &InstanceOrder) {
        if let Some(known) = self.instances.get_mut(&order.instance) {
            known.ordered = Some(order.clone());
        }
        let key = self.worker_of(&order.instance);
        if let Some(worker) = key.and_then(|key| self.workers.get_mut(&key)) {
            worker.is_ending = true;
        }
        log::info!(instance = order.instance, action:? = order.action; "instance_ordered");
    }

    /// Notes the answer to an order; returns whether it is to be given again.
    pub fn on_instance_answer(
        &mut self,
        order: &InstanceOrder,
        answer: InstanceAnswer,
        now: Duration,
    ) -> bool {
        let name = &order.instance;
        log::info!(instance = name, action:? = order.action, answer:?; "instance_answered");
        self.ordered_at.insert(name.clone(), now);
        if answer == InstanceAnswer::None {
            if let Some(known) = self.instances.get_mut(name) {
                known.late_until = now + LATE_ORDER;
            }
            return true;
        }
        if answer == InstanceAnswer::Later {
            return true;
        }
        let key = self.worker_of(name);
        let turn = self.limits.turn;
        let late_until = self
            .instances
            .get(name)
            .map_or(now, |known| known.late_until);
        let was_unanswered = now < late_until;
        if let Some(known) = self.instances.get_mut(name) {
            known.ordered = None;
            if answer == InstanceAnswer::Done {
                known.done_at = Some(now);
                match &order.action {
                    InstanceAction::Move { pool } => {
                        known.instance.state = InstanceState::Moving;
                        known.instance.pool.clone_from(pool);
                    }
                    InstanceAction::Maintain { .. } => {
                        known.instance.state = InstanceState::Maintenance;
                    }
                }
                known.instance.worker.clear();
            } else {
                // Not again at once, and never if it cannot be there.
                known.late_until = known.late_until.max(now + turn.min(BUSY_PAUSE));
                if let (InstanceAnswer::Refused, InstanceAction::Move { pool }) =
                    (answer, &order.action)
                {
                    known.refused_pools.insert(pool.clone());
                }
            }
        }
        if answer == InstanceAnswer::Done {
            if let Some(key) = key {
                self.on_worker_ended(key, now);
            }
        } else if let Some(worker) = key.and_then(|key| self.workers.get_mut(&key)) {
            worker.reserved = false;
            worker.is_ending = false;
            // It may have left the stored record when it ran nothing, and must be
            // in it again before it gets tasks.
            worker.may_grant = false;
        }
        if let InstanceAction::Maintain { wave } = order.action {
            if let Some(state) = self.waves.get_mut(&wave) {
                let due = match answer {
                    InstanceAnswer::Done => Due::Away { since: now },
                    // The instance is not due, whatever the operators' text said.
                    InstanceAnswer::Refused => Due::Done,
                    _ if was_unanswered => Due::MayBeDown {
                        until: late_until + self.limits.maintenance_time + BACK_MARGIN,
                    },
                    _ => Due::Waiting {
                        not_before: now + BUSY_PAUSE,
                    },
                };
                state.due.insert(name.clone(), due);
            }
        }
        false
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
