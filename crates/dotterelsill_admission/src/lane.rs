//! Waiting requests of one team.

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

/// Waiting requests of one team by urgency, and the team's account.
#[derive(Debug)]
pub(crate) struct Lane {
    pub(crate) team: Arc<Team>,
    levels: [BTreeSet<Ticket>; URGENCY_LEVELS],
    waiting: usize,
    /// Part of the slot time used that does not count, in microseconds;
    /// negative when more counts than was used.
    forgiven_us: f64,
    /// Waits at each level, observed since requests wait.
    waits: [Waits; URGENCY_LEVELS],
}

impl Lane {
    pub(crate) fn new(team: &Arc<Team>) -> Self {
        Self {
            team: Arc::clone(team),
            levels: array::from_fn(|_| BTreeSet::new()),
            waiting: 0,
            forgiven_us: 0.0,
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

    /// Returns the request at the level that came first.
    pub(crate) fn first(&self, level: usize) -> Option<Ticket> {
        self.levels[level].first().copied()
    }

    /// Returns the request at the level that came last.
    pub(crate) fn last(&self, level: usize) -> Option<Ticket> {
        self.levels[level].last().copied()
    }

    /// Returns the number of waiting requests at the level.
    pub(crate) fn waiting_at(&self, level: usize) -> usize {
        self.levels[level].len()
    }

    /// Returns the level with the most waiting requests, the least urgent of
    /// several.
    pub(crate) fn longest_level(&self) -> usize {
        let longest = (0..URGENCY_LEVELS).max_by_key(|level| self.waiting_at(*level));
        longest.unwrap_or(0)
    }

    /// Returns the slot time that waiting requests of this level and more
    /// urgent ones are expected to use.
    pub(crate) fn expected_ahead(&self, level: usize) -> Duration {
        let of = |at: usize| {
            let count = u32::try_from(self.levels[at].len()).unwrap_or(u32::MAX);
            self.team.run_time(at).mean().saturating_mul(count)
        };
        (0..=level).map(of).sum()
    }

    /// Returns whether no request of the level waits or runs.
    pub(crate) fn is_idle(&self, level: usize) -> bool {
        self.levels[level].is_empty() && self.team.running_at(level) == 0
    }

    /// Returns the slot time that counts, by weight.
    pub(crate) fn used(&self, now: Instant) -> f64 {
        (self.team.usage.used_us(now) as f64 - self.forgiven_us) / self.team.weight()
    }

    /// Returns the slot time that counts, with what running requests are
    /// expected to use yet, by weight.
    pub(crate) fn charged(&self, now: Instant) -> f64 {
        self.used(now) + self.team.expected().as_micros() as f64 / self.team.weight()
    }

    /// Adds the wait of a request that had `before` others before it.
    pub(crate) fn observe_wait(&mut self, level: usize, wait: Duration, before: usize) {
        self.waits[level].observe(wait.as_secs_f64(), before as f64 + 1.0);
    }

    /// Returns how long a request that comes now would wait, as observed at its
    /// level, or `None` without an observation.
    pub(crate) fn observed_wait(&self, level: usize) -> Option<Duration> {
        let places = self.waiting_at(level) as f64 + 1.0;
        let wait_s = self.waits[level].one_place_s()? * places;
        Some(Duration::try_from_secs_f64(wait_s).unwrap_or(Duration::MAX))
    }

    /// Forgets what was used until now, and how long requests waited.
    pub(crate) fn forgive_all(&mut self, now: Instant) {
        self.waits = array::from_fn(|_| Waits::default());
        self.forgiven_us = self.team.usage.used_us(now) as f64;
    }

    /// Raises the slot time that counts to `used`, by weight.
    pub(crate) fn raise_to(&mut self, used: f64, now: Instant) {
        let missing = used - self.used(now);
        if missing > 0.0 {
            self.forgiven_us -= missing * self.team.weight();
        }
    }
}
