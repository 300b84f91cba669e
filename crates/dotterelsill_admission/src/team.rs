//! Teams with their shares and their use of slots.

use std::{
    array,
    sync::{
        atomic::{
            AtomicU32,
            Ordering, //
        },
        Arc, //
    },
    time::{
        Duration,
        Instant, //
    }, //
};

use crate::{
    run_time::RunTime,
    usage::Usage, //
};

/// Number of urgencies that are told apart; higher ones count as the last.
pub const URGENCY_LEVELS: usize = 8;

/// Parts of a percent in a weight. A team without a share has one part, so that
/// its work goes on when nobody else wants the slots.
const WEIGHT_PARTS: u32 = 100;

/// Share of a team, from the configuration.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct TeamShare {
    /// Unique name.
    pub name: String,
    /// Share of the slots when all are taken, in percent.
    pub share_percent: u32,
}

/// A team's share and use of slots, shared by all threads.
#[derive(Debug)]
pub struct Team {
    name: String,
    weight: AtomicU32,
    pub(crate) usage: Usage,
    levels: [Level; URGENCY_LEVELS],
}

#[derive(Debug, Default)]
struct Level {
    running: AtomicU32,
    run_time: RunTime,
}

/// Teams of a configuration.
#[derive(Clone, Debug)]
pub struct Teams {
    origin: Instant,
    teams: Vec<Arc<Team>>,
}

impl Teams {
    /// Creates the teams of the first configuration.
    pub fn new(shares: &[TeamShare], now: Instant) -> Self {
        let none = Self {
            origin: now,
            teams: Vec::new(),
        };
        none.rebuild(shares)
    }

    /// Creates the teams of a new configuration; teams that stay keep their
    /// counts and get their new share at once.
    pub fn rebuild(&self, shares: &[TeamShare]) -> Self {
        let kept_or_new = |share: &TeamShare| match self.get(&share.name) {
            Some(team) => {
                team.set_share(share);
                Arc::clone(team)
            }
            None => Arc::new(Team::new(share, self.origin)),
        };
        Self {
            origin: self.origin,
            teams: shares.iter().map(kept_or_new).collect(),
        }
    }

    /// Returns the team of the name.
    pub fn get(&self, name: &str) -> Option<&Arc<Team>> {
        self.teams.iter().find(|team| team.name == name)
    }

    /// Returns all teams.
    pub fn iter(&self) -> impl Iterator<Item = &Arc<Team>> {
        self.teams.iter()
    }
}

impl Team {
    fn new(share: &TeamShare, origin: Instant) -> Self {
        Self {
            name: share.name.clone(),
            weight: AtomicU32::new(weight(share)),
            usage: Usage::new(origin),
            levels: array::from_fn(|_| Level::default()),
        }
    }

    /// Returns the name.
    pub fn name(&self) -> &str {
        &self.name
    }

    /// Returns the slot time used since the team was configured, including that
    /// of requests which still run.
    pub fn used(&self, now: Instant) -> Duration {
        Duration::from_micros(self.usage.used_us(now))
    }

    /// Returns the number of requests that run.
    pub fn running(&self) -> u32 {
        self.levels.iter().map(Level::running).sum()
    }

    pub(crate) fn weight(&self) -> f64 {
        f64::from(self.weight.load(Ordering::Relaxed))
    }

    pub(crate) fn run_time(&self, level: usize) -> &RunTime {
        &self.levels[level].run_time
    }

    pub(crate) fn running_at(&self, level: usize) -> u32 {
        self.levels[level].running()
    }

    /// Returns the slot time that running requests are expected to use yet.
    ///
    /// A request that has run for long is expected to go on for the mean again,
    /// which is exact when run times are exponentially distributed.
    pub(crate) fn expected(&self) -> Duration {
        let of = |level: &Level| level.run_time.mean() * level.running();
        self.levels.iter().map(of).sum()
    }

    pub(crate) fn on_start(&self, level: usize, now: Instant) {
        self.usage.start(now);
        self.levels[level].running.fetch_add(1, Ordering::Relaxed);
    }

    pub(crate) fn on_end(&self, level: usize, started: Instant, used: Duration) {
        self.levels[level].running.fetch_sub(1, Ordering::Relaxed);
        self.usage.finish(started, used);
    }

    fn set_share(&self, share: &TeamShare) {
        self.weight.store(weight(share), Ordering::Relaxed);
    }
}

impl Level {
    fn running(&self) -> u32 {
        self.running.load(Ordering::Relaxed)
    }
}

fn weight(share: &TeamShare) -> u32 {
    (share.share_percent * WEIGHT_PARTS).max(1)
}

/// Returns the index of an urgency.
pub(crate) fn level_of(urgency: u32) -> usize {
    (urgency as usize).min(URGENCY_LEVELS - 1)
}
