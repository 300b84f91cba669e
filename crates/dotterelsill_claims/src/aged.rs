//! Map whose entries are forgotten by age.

use std::{
    collections::{
        BTreeMap,
        VecDeque, //
    },
    time::{
        Duration,
        Instant, //
    },
};

use crate::{
    Key,
    MIN_ENTRY_LIFETIME, //
};

/// Time span of the insertions that are forgotten together. One instant per
/// span costs less memory than one per entry.
const SPAN: Duration = Duration::from_secs(15 * 60);

/// Keeps each value for at least [`MIN_ENTRY_LIFETIME`].
#[derive(Clone, Debug, Eq, Hash, PartialEq)]
pub(crate) struct Aged<V> {
    generations: VecDeque<Generation<V>>,
}

#[derive(Clone, Debug, Eq, Hash, PartialEq)]
struct Generation<V> {
    started_at: Instant,
    values: BTreeMap<Key, V>,
}

impl<V> Aged<V> {
    pub(crate) fn new() -> Self {
        Aged {
            generations: VecDeque::new(),
        }
    }

    /// Returns the number of values.
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

    /// Returns the value of a key for a change that keeps its age.
    pub(crate) fn get_mut(&mut self, key: Key) -> Option<&mut V> {
        self.generations
            .iter_mut()
            .rev()
            .find_map(|generation| generation.values.get_mut(&key))
    }

    /// Sets a value, which is kept from `now` on.
    pub(crate) fn set(&mut self, key: Key, value: V, now: Instant) {
        for generation in &mut self.generations {
            generation.values.remove(&key);
        }
        self.current(now).insert(key, value);
    }

    /// Forgets the values that are old enough.
    pub(crate) fn expire(&mut self, now: Instant) {
        let old = |g: &Generation<V>| g.started_at + SPAN + MIN_ENTRY_LIFETIME <= now;
        while self.generations.front().is_some_and(old) {
            self.generations.pop_front();
        }
    }

    /// Returns the values inserted in the current span.
    fn current(&mut self, now: Instant) -> &mut BTreeMap<Key, V> {
        let open = |g: &Generation<V>| now < g.started_at + SPAN;
        if !self.generations.back().is_some_and(open) {
            self.generations.push_back(Generation {
                started_at: now,
                values: BTreeMap::new(),
            });
        }
        let last = self.generations.back_mut();
        &mut last.expect("a generation was pushed above").values
    }
}
