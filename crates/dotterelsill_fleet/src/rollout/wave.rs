//! State machine of a roll-out or a maintenance wave.

use std::collections::{
    BTreeSet,
    VecDeque, //
};
use std::time::Instant;

use super::WavePolicy;
use crate::{
    BudgetError,
    Instance,
    Reason, //
};

/// Phase of a wave.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum WavePhase {
    /// All instances are done.
    Done,
    /// Too many instances failed, or operators halted the wave. No instance is
    /// started.
    Halted,
    /// The instances changed so far are returned to the previous version.
    RollingBack,
    /// Batches of growing size are started.
    Widening,
}

/// Restart, update or maintenance of instances in batches of growing size.
///
/// The driver calls [`Wave::next`], charges the outage of the returned instance
/// to the budget, and reports either the refusal or the result. Before it reports
/// a result, the charge must be cleared, or kept if the instance is still out.
#[derive(Clone, Debug)]
pub struct Wave {
    batch: usize,
    /// Instances that have a result, with its time, oldest first.
    done: Vec<(Instance, Instant)>,
    failed_at: Vec<Instant>,
    in_progress: BTreeSet<Instance>,
    remaining_in_batch: usize,
    phase: WavePhase,
    refused: Option<(Instance, BudgetError)>,
    policy: WavePolicy,
    soak_until: Instant,
    /// Instances that were in progress when the rollback started.
    unfinished: BTreeSet<Instance>,
    waiting: VecDeque<Instance>,
}

impl Wave {
    /// Creates a wave over `instances`, in this order.
    pub fn new(
        instances: impl IntoIterator<Item = Instance>,
        policy: WavePolicy,
        now: Instant,
    ) -> Self {
        let batch = policy.canary.max(1);
        let mut wave = Self {
            batch,
            done: Vec::new(),
            failed_at: Vec::new(),
            in_progress: BTreeSet::new(),
            remaining_in_batch: batch,
            phase: WavePhase::Widening,
            refused: None,
            policy,
            soak_until: now,
            unfinished: BTreeSet::new(),
            waiting: instances.into_iter().collect(),
        };
        wave.mark_done_if_idle();
        wave
    }

    /// Returns the current phase.
    pub fn phase(&self) -> WavePhase {
        self.phase
    }

    /// Returns the next instance to start, if one may be started now.
    pub fn next(&mut self, now: Instant) -> Option<Instance> {
        if matches!(self.phase, WavePhase::Done | WavePhase::Halted) || now < self.soak_until {
            return None;
        }
        if self.remaining_in_batch == 0 {
            return None;
        }
        let instance = self.waiting.pop_front()?;
        self.refused = None;
        self.remaining_in_batch -= 1;
        self.in_progress.insert(instance);
        Some(instance)
    }

    /// Reports that the budget refused the outage of the instance, which is then
    /// the next one to be tried again.
    pub fn on_refused(&mut self, instance: Instance, error: BudgetError) {
        if self.in_progress.remove(&instance) {
            self.waiting.push_front(instance);
            self.remaining_in_batch += 1;
            self.refused = Some((instance, error));
        }
    }

    /// Reports that an instance is back in service (`ok`), or that it failed. A
    /// failure within [`WavePolicy::watch`] of the first result counts as well.
    pub fn on_result(&mut self, instance: Instance, ok: bool, now: Instant) {
        if self.unfinished.remove(&instance) {
            self.waiting.push_back(instance);
            return;
        }
        let was_in_progress = self.in_progress.remove(&instance);
        let is_watched = was_in_progress || self.is_watched(instance, now);
        if was_in_progress {
            self.done.push((instance, now));
        }
        if !ok && is_watched {
            self.failed_at.push(now);
        }
        self.update_phase(was_in_progress, now);
    }

    /// Halts the wave on an order of the operators, in any phase except
    /// [`WavePhase::Done`].
    pub fn halt(&mut self) {
        if self.phase != WavePhase::Done {
            self.phase = WavePhase::Halted;
        }
    }

    /// Resumes a halted wave with a new canary batch. Earlier failures no longer
    /// count.
    pub fn resume(&mut self, now: Instant) {
        if self.phase != WavePhase::Halted {
            return;
        }
        self.failed_at.clear();
        self.reset_batches(WavePhase::Widening, now);
    }

    /// Starts the rollback of all changed instances, most recent first. Those in
    /// progress follow when their result is known.
    ///
    /// The rollback starts with the maximum batch size, because the previous
    /// version needs no canary. The budget still applies.
    pub fn roll_back(&mut self, now: Instant) {
        if self.phase == WavePhase::RollingBack {
            return;
        }
        self.waiting = self.done.drain(..).rev().map(|(i, _)| i).collect();
        self.unfinished = std::mem::take(&mut self.in_progress);
        self.failed_at.clear();
        self.reset_batches(WavePhase::RollingBack, now);
        self.batch = self.policy.max_batch.max(1);
        self.remaining_in_batch = self.batch;
        self.mark_done_if_idle();
    }

    /// Returns why an instance that is not started yet waits.
    pub fn reason(&self, instance: Instance) -> Option<Reason> {
        let ahead = self.waiting.iter().position(|other| *other == instance)?;
        if self.phase == WavePhase::Halted {
            return Some(Reason::Halted {
                failed: self.failed_at.len(),
                started: self.done.len() + self.in_progress.len(),
            });
        }
        match self.refused {
            Some((refused, error)) if refused == instance => Some(Reason::Budget(error)),
            _ => Some(Reason::Queued { ahead }),
        }
    }

    fn update_phase(&mut self, was_in_progress: bool, now: Instant) {
        let in_canary = self.batch <= self.policy.canary.max(1);
        let limit = if in_canary {
            1
        } else {
            self.policy.max_failures.max(1)
        };
        if self.phase == WavePhase::Widening && self.recent_failures(now) >= limit {
            self.phase = WavePhase::Halted;
            return;
        }
        if was_in_progress && self.remaining_in_batch == 0 && self.in_progress.is_empty() {
            self.start_next_batch(now);
        }
        self.mark_done_if_idle();
    }

    fn is_watched(&self, instance: Instance, now: Instant) -> bool {
        let newest_first = self.done.iter().rev();
        newest_first
            .take_while(|(_, at)| now.duration_since(*at) <= self.policy.watch)
            .any(|(other, _)| *other == instance)
    }

    fn recent_failures(&self, now: Instant) -> usize {
        let is_recent = |at: &&Instant| now.duration_since(**at) <= self.policy.watch;
        self.failed_at.iter().filter(is_recent).count()
    }

    fn start_next_batch(&mut self, now: Instant) {
        let next_size = self
            .batch
            .saturating_mul(self.policy.widening_factor.max(1));
        self.batch = next_size.min(self.policy.max_batch.max(1));
        self.remaining_in_batch = self.batch;
        self.soak_until = now + self.policy.soak;
    }

    fn reset_batches(&mut self, phase: WavePhase, now: Instant) {
        self.phase = phase;
        self.batch = self.policy.canary.max(1);
        self.remaining_in_batch = self.batch;
        self.refused = None;
        self.soak_until = now;
    }

    fn mark_done_if_idle(&mut self) {
        let idle =
            self.waiting.is_empty() && self.in_progress.is_empty() && self.unfinished.is_empty();
        if idle && self.phase != WavePhase::Halted {
            self.phase = WavePhase::Done;
        }
    }
}
