//! Queue of the waiting requests of one team.

use std::{
    array,
    collections::BTreeSet,
    sync::Arc,
    time::{
        Duration,
        Instant, //
    }, //
};

use crate::{
    waits::Waits,
    Team,
    Ticket,
    URGENCY_LEVELS, //
};

/// Waiting requests of one team by urgency level, and the slot usage for which
/// the team is held accountable while requests wait.
#[derive(Debug)]
pub(crate) struct TeamQueue {
    pub(crate) team: Arc<Team>,
    /// Tickets of the waiting requests of each level.
    levels: [BTreeSet<Ticket>; URGENCY_LEVELS],
    waiting: usize,
    /// Used slot time that is excluded from the accounting, in microseconds.
    /// Negative if the team is held accountable for more than it used.
    excluded_us: f64,
    /// Waiting times at each level, observed since the last reset.
    waits: [Waits; URGENCY_LEVELS],
}

impl TeamQueue {
    pub(crate) fn new(team: &Arc<Team>) -> Self {
        Self {
            team: Arc::clone(team),
            levels: array::from_fn(|_| BTreeSet::new()),
            waiting: 0,
            excluded_us: 0.0,
            waits: array::from_fn(|_| Waits::default()),
        }
    }

    pub(crate) fn insert(&mut self, level: usize, ticket: Ticket) {
        self.levels[level].insert(ticket);
        self.waiting += 1;
    }

    pub(crate) fn remove(&mut self, level: usize, ticket: Ticket) {
        if self.levels[level].remove(&ticket) {
            self.waiting -= 1;
        }
    }

    /// Returns the number of waiting requests.
    pub(crate) fn waiting(&self) -> usize {
        self.waiting
    }

    /// Returns the oldest waiting request of a level.
    pub(crate) fn first(&self, level: usize) -> Option<Ticket> {
        self.levels[level].first().copied()
    }

    /// Returns the newest waiting request of a level.
    pub(crate) fn last(&self, level: usize) -> Option<Ticket> {
        self.levels[level].last().copied()
    }

    /// Returns the number of waiting requests of a level.
    pub(crate) fn waiting_at(&self, level: usize) -> usize {
        self.levels[level].len()
    }

    /// Returns the level with the most waiting requests; on a tie, the least
    /// urgent one.
    pub(crate) fn longest_level(&self) -> usize {
        let longest = (0..URGENCY_LEVELS).max_by_key(|level| self.waiting_at(*level));
        longest.unwrap_or(0)
    }

    /// Returns the slot time that the waiting requests of this level and of
    /// more urgent levels are expected to use.
    pub(crate) fn expected_ahead(&self, level: usize) -> Duration {
        let of = |at: usize| {
            let count = u32::try_from(self.levels[at].len()).unwrap_or(u32::MAX);
            self.team.run_time(at).mean().saturating_mul(count)
        };
        (0..=level).map(of).sum()
    }

    /// Returns whether no request of the level is waiting or running.
    pub(crate) fn is_idle(&self, level: usize) -> bool {
        self.levels[level].is_empty() && self.team.running_at(level) == 0
    }

    /// Returns the accounted slot time per weight, in microseconds.
    pub(crate) fn used(&self, now: Instant) -> f64 {
        (self.team.usage.used_us(now) as f64 - self.excluded_us) / self.team.weight()
    }

    /// Returns the accounted slot time per weight, including what running
    /// requests are still expected to use, in microseconds.
    pub(crate) fn projected(&self, now: Instant) -> f64 {
        self.used(now) + self.team.expected_remaining().as_micros() as f64 / self.team.weight()
    }

    /// Records the waiting time of a request that was pushed behind `ahead`
    /// others.
    pub(crate) fn observe_wait(&mut self, level: usize, wait: Duration, ahead: usize) {
        self.waits[level].observe(wait.as_secs_f64(), ahead as f64 + 1.0);
    }

    /// Estimates how long a new request waits from the waiting times observed
    /// at its level. Returns `None` without an observation.
    pub(crate) fn observed_wait(&self, level: usize) -> Option<Duration> {
        let position = self.waiting_at(level) as f64 + 1.0;
        let wait_s = self.waits[level].per_position_s()? * position;
        Some(Duration::try_from_secs_f64(wait_s).unwrap_or(Duration::MAX))
    }

    /// Resets the accounted slot time to zero and drops the observed waiting
    /// times.
    pub(crate) fn reset(&mut self, now: Instant) {
        self.waits = array::from_fn(|_| Waits::default());
        self.excluded_us = self.team.usage.used_us(now) as f64;
    }

    /// Raises the accounted slot time per weight to at least `used`.
    pub(crate) fn raise_used_to(&mut self, used: f64, now: Instant) {
        let missing = used - self.used(now);
        if missing > 0.0 {
            self.excluded_us -= missing * self.team.weight();
        }
    }
}
