//! Maintenance waves.
//!
//! Maintenance ends everything that runs on an instance, so the instance is drained
//! first: it gets no new tasks, short tasks end by themselves, and long-running
//! ones are stopped within the disruption budgets of their steps.
//!
//! Load pattern: a wave takes half of all instances within half a minute, while pools
//! burst in turn, the scheduler changes and the store is away for some seconds. Each
//! long-running step lets few of its tasks be moved at a time.

use std::{
    collections::{
        BTreeMap,
        BTreeSet, //
    },
    time::Duration, //
};

use crate::{
    instance_orders::MAX_STOP_TIME,
    InstanceAction,
    InstanceOrder,
    InstanceState,
    Scheduler,
    Wave, //
};

mod budgets;
mod progress;
mod report;
mod selection;

pub use report::WaveProgress;

/// Time added to the duration of the maintenance before an instance counts as back.
const RETURN_MARGIN: Duration = Duration::from_millis(300);

/// Stage of one instance within a wave.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum Stage {
    /// Draining has not started, and may not start before a time.
    Waiting { not_before: Duration },
    /// The instance gets no new tasks. Until `wait_until` it waits for short and for
    /// stopped tasks to end.
    Draining {
        since: Duration,
        wait_until: Duration,
    },
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
    /// Number of instances that are not drained because their pools lack capacity.
    deferred: usize,
    /// Time of the last log line on the progress.
    logged_at: Option<Duration>,
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
    /// Returns the maintenance orders of all waves.
    pub(crate) fn plan_waves(
        &mut self,
        orders: &mut Vec<InstanceOrder>,
        now: Duration,
        unix: Duration,
    ) {
        self.mark_workers(now);
        let numbers: Vec<u64> = self.waves.keys().copied().collect();
        for number in numbers {
            self.plan_wave(number, orders, now, unix);
        }
    }

    /// Marks the workers whose instances are yet to be maintained, and those that an
    /// order of an earlier scheduler may still end.
    fn mark_workers(&mut self, now: Duration) {
        let mut due = BTreeSet::new();
        let mut maintained = BTreeSet::new();
        for state in self.waves.values().filter(|state| !state.is_completed) {
            for (name, stage) in &state.stages {
                match stage {
                    Stage::Waiting { .. } | Stage::Draining { .. } => {
                        due.extend(self.worker_of(name))
                    }
                    // The platform maintains an instance once in a wave, so that a late
                    // repetition of the order has no effect unless it is of another wave.
                    Stage::InMaintenance { .. } | Stage::Done => {
                        maintained.extend(self.worker_of(name))
                    }
                    Stage::Ordered | Stage::MayBeDown { .. } => {}
                }
            }
        }
        let held = self.held_until.iter().filter(|(_, until)| now < **until);
        let held: BTreeSet<_> = held.filter_map(|(name, _)| self.worker_of(name)).collect();
        for (key, worker) in &mut self.workers {
            worker.is_due = due.contains(key);
            let is_settled = maintained.contains(key) && !due.contains(key);
            worker.is_held = held.contains(key) && !is_settled;
        }
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
        self.drain_more(&mut state, now, unix);
        let mut draining: Vec<(Duration, String, Duration)> = state
            .stages
            .iter()
            .filter_map(|(name, stage)| match *stage {
                Stage::Draining { since, wait_until } => Some((since, name.clone(), wait_until)),
                _ => None,
            })
            .collect();
        draining.sort_unstable();
        for (since, name, wait_until) in draining {
            if !self.may_drain(&name, now) {
                continue;
            }
            let has_slot = self.unavailable_count(&state, now) < state.wave.cap as usize;
            let is_ready = has_slot && !self.waits_for_ends(&name, wait_until, now);
            if self.evict(&name, is_ready, now) {
                let wait_until = wait_until.max(now + MAX_STOP_TIME);
                let stage = Stage::Draining { since, wait_until };
                state.stages.insert(name, stage);
                continue;
            }
            if is_ready && self.may_end(&name) {
                let order = InstanceOrder {
                    instance: name.clone(),
                    action: InstanceAction::Maintain { wave: number },
                };
                self.note_ordered(&order);
                state.stages.insert(name, Stage::Ordered);
                orders.push(order);
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
        self.log_progress(&mut state, now, unix);
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
            is_unavailable(stage) || is_held && **stage != Stage::Done
        };
        state.stages.iter().filter(may_be_down).count()
    }
}
