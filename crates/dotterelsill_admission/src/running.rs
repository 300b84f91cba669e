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
pub struct Running {
    gate: Arc<Gate>,
    team: Arc<Team>,
    level: usize,
    started: Instant,
    ended: Ended,
}

/// What is charged when the value goes away.
#[derive(Clone, Copy, Debug)]
enum Ended {
    Dropped,
    At(Instant),
    NotRun,
}

impl Running {
    /// Accounts for a slot that was taken from the gate before.
    pub(crate) fn start(gate: &Arc<Gate>, team: &Arc<Team>, level: usize, now: Instant) -> Self {
        gate.on_start(level, now);
        team.on_start(level, now);
        Self {
            gate: Arc::clone(gate),
            team: Arc::clone(team),
            level,
            started: now,
            ended: Ended::Dropped,
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

    pub(crate) fn end(mut self, now: Instant) {
        self.ended = Ended::At(now);
    }

    /// Returns the slot of a request that an upstream refused to run.
    pub(crate) fn not_run(mut self) {
        self.ended = Ended::NotRun;
    }

    fn charge(&self) -> Duration {
        let run_time = self.team.run_time(self.level);
        match self.ended {
            Ended::Dropped => run_time.mean(),
            Ended::NotRun => Duration::ZERO,
            Ended::At(now) => {
                let run = now.saturating_duration_since(self.started);
                run_time.observe(run);
                run
            }
        }
    }
}

impl Drop for Running {
    fn drop(&mut self) {
        let used = self.charge();
        self.team.on_end(self.level, self.started, used);
        self.gate.on_end(self.level, self.started, used);
    }
}
