//! Teams, their shares and their usage of slots.

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

/// Number of urgency levels. An urgency beyond the last level counts as the
/// last.
pub const URGENCY_LEVELS: usize = 8;

/// Weight of one percent of share. A team without a share has a weight of 1, so
/// that its requests still run while no other team wants the slots.
const WEIGHT_PER_PERCENT: u32 = 100;

/// Configured share of a team.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct TeamShare {
    /// Unique name of the team.
    pub name: String,
    /// Share of the slots while all of them are taken, in percent.
    pub share_percent: u32,
}

/// A team's share and slot usage, shared by all threads.
#[derive(Debug)]
pub struct Team {
    name: String,
    weight: AtomicU32,
    pub(crate) usage: Usage,
    levels: [Level; URGENCY_LEVELS],
}

/// Running requests and run times of a team at one urgency level.
#[derive(Debug, Default)]
struct Level {
    running: AtomicU32,
    run_time: RunTime,
}

/// The teams of one configuration.
#[derive(Clone, Debug)]
pub struct Teams {
    origin: Instant,
    teams: Vec<Arc<Team>>,
}

impl Teams {
    /// Creates the teams of the first configuration.
    pub fn new(shares: &[TeamShare], now: Instant) -> Self {
        let empty = Self {
            origin: now,
            teams: Vec::new(),
        };
        empty.rebuild(shares)
    }

    /// Creates the teams of a new configuration. Teams that remain keep their
    /// usage, and their new share applies immediately.
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

    /// Returns the team with the given name.
    pub fn get(&self, name: &str) -> Option<&Arc<Team>> {
        self.teams.iter().find(|team| team.name == name)
    }

    /// Iterates over all teams in the order of the configuration.
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

    /// Returns the unique name of the team.
    pub fn name(&self) -> &str {
        &self.name
    }

    /// Returns the slot time used since the team was first configured,
    /// including that of requests still running.
    pub fn used(&self, now: Instant) -> Duration {
        Duration::from_micros(self.usage.used_us(now))
    }

    /// Returns the number of running requests.
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

    /// Returns the slot time that the running requests are still expected to
    /// use.
    ///
    /// Each request is expected to run for another mean run time, however long
    /// it has run. That is exact for exponentially distributed run times.
    pub(crate) fn expected_remaining(&self) -> Duration {
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

/// Returns the weight of a team, by which shares are compared.
fn weight(share: &TeamShare) -> u32 {
    (share.share_percent * WEIGHT_PER_PERCENT).max(1)
}

/// Returns the urgency level, an index below [`URGENCY_LEVELS`], of an urgency.
pub(crate) fn level_of(urgency: u32) -> usize {
    (urgency as usize).min(URGENCY_LEVELS - 1)
}
