//! A request that runs and holds a slot.

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

/// Slot of a request that runs, returned exactly once.
///
/// The value cannot be copied and is consumed by [`Gate::finish`]. When it is
/// dropped instead, the slot is returned and the team is charged the mean run
/// time, so that work which callers give up is not free.
#[derive(Debug)]
#[must_use = "a request that ends is passed to `Gate::finish`"]
pub struct RunningRequest {
    gate: Arc<Gate>,
    team: Arc<Team>,
    level: usize,
    started: Instant,
    ended: Option<(RunOutcome, Instant)>,
}

/// How a request ended.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum RunOutcome {
    /// The upstream answered; the run time is charged and observed.
    Answered,
    /// The request ended early: the caller gave up, the connection broke or the
    /// deadline passed. The run time is charged. It is observed only when it is
    /// above the mean, because all that is known is that the run is longer.
    Aborted,
    /// The upstream refused before running; nothing is charged.
    NotRun,
}

impl RunningRequest {
    /// Accounts for a slot that was taken from the gate before.
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

    /// Returns the team.
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

    pub(crate) fn end(mut self, end: RunOutcome, now: Instant) {
        self.ended = Some((end, now));
    }

    fn charge(&self) -> Duration {
        let run_time = self.team.run_time(self.level);
        let Some((end, now)) = self.ended else {
            return run_time.mean();
        };
        let run = now.saturating_duration_since(self.started);
        match end {
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
