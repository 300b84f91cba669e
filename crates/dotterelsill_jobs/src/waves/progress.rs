//! Stored progress of waves, and the responses to maintenance orders.

use std::time::Duration;

use super::{
    Stage,
    WaveChange,
    WaveState,
    RETURN_MARGIN, //
};
use crate::{
    instance_orders::REFUSED_ORDER_DELAY,
    InstanceAnswer,
    Scheduler, //
};

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
                let stage = if done.contains(name) && self.held_until.contains_key(name) {
                    // The maintenance began before this scheduler did.
                    Stage::InMaintenance {
                        since: self.started_at,
                    }
                } else if done.contains(name) {
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
                deferred: 0,
                logged_at: None,
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
