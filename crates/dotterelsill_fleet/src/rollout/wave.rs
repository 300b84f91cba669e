//! State of a roll-out or a maintenance wave.

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
    /// Every instance was taken.
    Done,
    /// Too many instances failed; nothing more is taken.
    Halted,
    /// The instances taken so far return to the version before.
    RollingBack,
    /// Batches are taken.
    Widening,
}

/// Batches of instances that are restarted, updated or maintained.
///
/// The driver asks for [`Wave::next`], takes the outage of that instance from
/// the budget, and reports either the refusal or the result. Before it reports
/// a result, the outage must be cleared or left charged as the budget says.
#[derive(Clone, Debug)]
pub struct Wave {
    batch: usize,
    /// Instances that are back, with the time of their return.
    done: Vec<(Instance, Instant)>,
    failed_at: Vec<Instant>,
    in_progress: BTreeSet<Instance>,
    left_in_batch: usize,
    phase: WavePhase,
    refused: Option<(Instance, BudgetError)>,
    policy: WavePolicy,
    soak_until: Instant,
    /// Instances that were in progress when the way back started.
    unfinished: BTreeSet<Instance>,
    waiting: VecDeque<Instance>,
}

impl Wave {
    /// Returns a wave over `instances` in this order.
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
            left_in_batch: batch,
            phase: WavePhase::Widening,
            refused: None,
            policy,
            soak_until: now,
            unfinished: BTreeSet::new(),
            waiting: instances.into_iter().collect(),
        };
        wave.finish();
        wave
    }

    /// Returns the phase.
    pub fn phase(&self) -> WavePhase {
        self.phase
    }

    /// Returns the next instance to take, if one may be taken now.
    pub fn next(&mut self, now: Instant) -> Option<Instance> {
        if matches!(self.phase, WavePhase::Done | WavePhase::Halted) || now < self.soak_until {
            return None;
        }
        if self.left_in_batch == 0 {
            return None;
        }
        let instance = self.waiting.pop_front()?;
        self.refused = None;
        self.left_in_batch -= 1;
        self.in_progress.insert(instance);
        Some(instance)
    }

    /// Reports that the budget refused the instance; it is tried again first.
    pub fn on_refused(&mut self, instance: Instance, error: BudgetError) {
        if self.in_progress.remove(&instance) {
            self.waiting.push_front(instance);
            self.left_in_batch += 1;
            self.refused = Some((instance, error));
        }
    }

    /// Reports that an instance is back in service, or that it failed. An
    /// instance that fails soon after it was back counts as well.
    pub fn on_result(&mut self, instance: Instance, ok: bool, now: Instant) {
        if self.unfinished.remove(&instance) {
            self.waiting.push_back(instance);
            return;
        }
        let was_taken = self.in_progress.remove(&instance);
        let is_watched = was_taken || self.is_watched(instance, now);
        if was_taken {
            self.done.push((instance, now));
        }
        if !ok && is_watched {
            self.failed_at.push(now);
        }
        self.review(was_taken, now);
    }

    /// Halts the wave, as operators may at any time.
    pub fn halt(&mut self) {
        if self.phase != WavePhase::Done {
            self.phase = WavePhase::Halted;
        }
    }

    /// Continues a halted wave with a new canary. Earlier failures are
    /// forgotten.
    pub fn resume(&mut self, now: Instant) {
        if self.phase != WavePhase::Halted {
            return;
        }
        self.failed_at.clear();
        self.restart(WavePhase::Widening, now);
    }

    /// Takes all instances that were changed back, newest first. Those in
    /// progress follow when their result is known.
    ///
    /// The way back starts with the largest batch, because the version before
    /// needs no canary. It is still bound by the budget.
    pub fn roll_back(&mut self, now: Instant) {
        if self.phase == WavePhase::RollingBack {
            return;
        }
        self.waiting = self.done.drain(..).rev().map(|(i, _)| i).collect();
        self.unfinished = std::mem::take(&mut self.in_progress);
        self.failed_at.clear();
        self.restart(WavePhase::RollingBack, now);
        self.batch = self.policy.max_batch.max(1);
        self.left_in_batch = self.batch;
        self.finish();
    }

    /// Returns why an instance that was not taken waits.
    pub fn reason(&self, instance: Instance) -> Option<Reason> {
        let ahead = self.waiting.iter().position(|other| *other == instance)?;
        if self.phase == WavePhase::Halted {
            return Some(Reason::Halted {
                failed: self.failed_at.len(),
                taken: self.done.len() + self.in_progress.len(),
            });
        }
        match self.refused {
            Some((refused, error)) if refused == instance => Some(Reason::Budget(error)),
            _ => Some(Reason::Queued { ahead }),
        }
    }

    fn review(&mut self, was_taken: bool, now: Instant) {
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
        if was_taken && self.left_in_batch == 0 && self.in_progress.is_empty() {
            self.widen(now);
        }
        self.finish();
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

    fn widen(&mut self, now: Instant) {
        let wider = self
            .batch
            .saturating_mul(self.policy.widening_factor.max(1));
        self.batch = wider.min(self.policy.max_batch.max(1));
        self.left_in_batch = self.batch;
        self.soak_until = now + self.policy.soak;
    }

    fn restart(&mut self, phase: WavePhase, now: Instant) {
        self.phase = phase;
        self.batch = self.policy.canary.max(1);
        self.left_in_batch = self.batch;
        self.refused = None;
        self.soak_until = now;
    }

    fn finish(&mut self) {
        let idle =
            self.waiting.is_empty() && self.in_progress.is_empty() && self.unfinished.is_empty();
        if idle && self.phase != WavePhase::Halted {
            self.phase = WavePhase::Done;
        }
    }
}
