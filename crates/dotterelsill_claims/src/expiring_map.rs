//! Map that removes its entries after a fixed lifetime.

use std::{
    collections::{
        BTreeMap,
        VecDeque, //
    },
    time::{
        Duration,
        Instant, //
    }, //
};

use crate::{
    Key,
    MIN_ENTRY_LIFETIME, //
};

/// Time span of the insertions that expire together. One `Instant` per
/// generation takes less memory than one per entry.
const GENERATION_SPAN: Duration = Duration::from_secs(15 * 60);

/// Keeps each value for at least [`MIN_ENTRY_LIFETIME`].
///
/// [`ExpiringMap::expire`] removes it at most one [`GENERATION_SPAN`] later.
#[derive(Clone, Debug, Eq, Hash, PartialEq)]
pub(crate) struct ExpiringMap<V> {
    generations: VecDeque<Generation<V>>,
}

/// Values inserted within one [`GENERATION_SPAN`].
#[derive(Clone, Debug, Eq, Hash, PartialEq)]
struct Generation<V> {
    started_at: Instant,
    values: BTreeMap<Key, V>,
}

impl<V> ExpiringMap<V> {
    pub(crate) fn new() -> Self {
        ExpiringMap {
            generations: VecDeque::new(),
        }
    }

    /// Returns the number of stored values.
    pub(crate) fn len(&self) -> usize {
        self.generations.iter().map(|g| g.values.len()).sum()
    }

    /// Returns the value of a key.
    pub(crate) fn get(&self, key: Key) -> Option<&V> {
        self.generations
            .iter()
            .rev()
            .find_map(|generation| generation.values.get(&key))
    }

    /// Returns the value of a key for modification; its age does not change.
    pub(crate) fn get_mut(&mut self, key: Key) -> Option<&mut V> {
        self.generations
            .iter_mut()
            .rev()
            .find_map(|generation| generation.values.get_mut(&key))
    }

    /// Inserts or replaces a value; its lifetime starts at `now`.
    pub(crate) fn insert(&mut self, key: Key, value: V, now: Instant) {
        for generation in &mut self.generations {
            generation.values.remove(&key);
        }
        self.current_values(now).insert(key, value);
    }

    /// Removes the generations whose values have all expired.
    pub(crate) fn expire(&mut self, now: Instant) {
        let expired =
            |g: &Generation<V>| g.started_at + GENERATION_SPAN + MIN_ENTRY_LIFETIME <= now;
        while self.generations.front().is_some_and(expired) {
            self.generations.pop_front();
        }
    }

    /// Returns the values of the current generation, starting a new one when
    /// its span is over.
    fn current_values(&mut self, now: Instant) -> &mut BTreeMap<Key, V> {
        let current = |g: &Generation<V>| now < g.started_at + GENERATION_SPAN;
        if !self.generations.back().is_some_and(current) {
            self.generations.push_back(Generation {
                started_at: now,
                values: BTreeMap::new(),
            });
        }
        let last = self.generations.back_mut();
        &mut last
            .expect("the current generation was pushed above")
            .values
    }
}
