//! Running requests, which hold a slot.

use std::{
    sync::Arc,
    time::{
        Duration,
        Instant, //
    }, //
};

use crate::{
    Gate,
    Team, //
};

/// Guard that holds the slot of a running request and releases it exactly once.
///
/// The value cannot be copied and is consumed by [`Gate::finish`]. If it is
/// dropped instead, the slot is released and the team is charged the mean run
/// time. Otherwise requests abandoned by their callers would cost nothing.
#[derive(Debug)]
#[must_use = "a request that ends is passed to `Gate::finish`"]
pub struct RunningRequest {
    gate: Arc<Gate>,
    team: Arc<Team>,
    level: usize,
    started: Instant,
    /// Outcome and instant of the end; `None` until the request is finished.
    ended: Option<(RunOutcome, Instant)>,
}

/// How a run ended. Determines what the team is charged.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum RunOutcome {
    /// The upstream answered. The run time is charged and observed.
    Answered,
    /// The run was aborted: the caller gave up, the connection broke or the
    /// deadline passed. The run time is charged. It is observed only if it is
    /// above the mean, because it is just a lower bound of the full run time.
    Aborted,
    /// The upstream refused the request before running it. Nothing is charged.
    NotRun,
}

impl RunningRequest {
    /// Creates the guard of a slot that was already taken from the gate.
    pub(crate) fn start(gate: &Arc<Gate>, team: &Arc<Team>, level: usize, now: Instant) -> Self {
        gate.on_start(level, now);
        team.on_start(level, now);
        Self {
            gate: Arc::clone(gate),
            team: Arc::clone(team),
            level,
            started: now,
            ended: None,
        }
    }

    /// Returns the team that is charged for the run.
    pub fn team(&self) -> &Arc<Team> {
        &self.team
    }

    /// Returns the instant at which the request got its slot.
    pub fn started(&self) -> Instant {
        self.started
    }

    pub(crate) fn level(&self) -> usize {
        self.level
    }

    pub(crate) fn end(mut self, outcome: RunOutcome, now: Instant) {
        self.ended = Some((outcome, now));
    }

    /// Returns the slot time to charge, after observing the run time if the
    /// outcome allows it.
    fn charge(&self) -> Duration {
        let run_time = self.team.run_time(self.level);
        let Some((outcome, now)) = self.ended else {
            return run_time.mean();
        };
        let run = now.saturating_duration_since(self.started);
        match outcome {
            RunOutcome::NotRun => return Duration::ZERO,
            RunOutcome::Aborted if run <= run_time.mean() => {}
            RunOutcome::Aborted | RunOutcome::Answered => run_time.observe(run),
        }
        run
    }
}

impl Drop for RunningRequest {
    fn drop(&mut self) {
        let used = self.charge();
        self.team.on_end(self.level, self.started, used);
        self.gate.on_end(self.level, self.started, used);
    }
}
