//! Limit on lines of the same event.

use std::{
    collections::BTreeMap,
    mem, //
};

/// Most lines of one event name in a second.
pub const MAX_LINES_PER_SECOND: u64 = 10;

/// Most event names that are counted apart in a second. Further ones share one
/// limit, so that names with changing text cannot use up memory.
const NAMES_MAX: usize = 1000;

/// Name under which events beyond [`NAMES_MAX`] are counted.
const OTHER: &str = "other";

/// Events of the second in progress, by name.
#[derive(Debug)]
pub(crate) struct EventLimit {
    lines_max: u64,
    second: u64,
    events: BTreeMap<String, u64>,
}

impl EventLimit {
    /// Allows so many lines of one event name in a second.
    pub(crate) fn new(lines_max: u64) -> Self {
        Self {
            lines_max,
            second: 0,
            events: BTreeMap::new(),
        }
    }

    /// Counts an event and returns whether its line is to be written.
    pub(crate) fn allows(&mut self, name: &str) -> bool {
        if let Some(count) = self.events.get_mut(name) {
            *count += 1;
            return *count <= self.lines_max;
        }
        let name = if self.events.len() < NAMES_MAX {
            name
        } else {
            OTHER
        };
        let count = self.events.entry(name.to_owned()).or_default();
        *count += 1;
        *count <= self.lines_max
    }

    /// Starts another second and returns, by name, the events of the one before
    /// that were not written. Returns nothing within the same second.
    pub(crate) fn start(&mut self, second: u64) -> Vec<(String, u64)> {
        if second == self.second {
            return Vec::new();
        }
        self.second = second;
        self.take_suppressed()
    }

    /// Forgets all events and returns, by name, those that were not written.
    pub(crate) fn take_suppressed(&mut self) -> Vec<(String, u64)> {
        let lines_max = self.lines_max;
        mem::take(&mut self.events)
            .into_iter()
            .filter(|(_, count)| *count > lines_max)
            .map(|(name, count)| (name, count - lines_max))
            .collect()
    }
}
