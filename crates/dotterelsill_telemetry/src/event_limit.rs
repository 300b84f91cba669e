//! Limit on lines of the same event.

use std::{
    collections::BTreeMap,
    mem, //
};

/// Most lines of one event name in a second.
pub const LINES_MAX: u64 = 10;

/// Most event names that are counted apart in a second. Further ones share one
/// limit, so that names with changing text cannot use up memory.
const NAMES_MAX: usize = 1000;

/// Name under which events beyond [`NAMES_MAX`] are counted.
const OTHER: &str = "other";

/// Events of the second in progress, by name.
#[derive(Debug, Default)]
pub(crate) struct EventLimit {
    second: u64,
    events: BTreeMap<String, u64>,
}

impl EventLimit {
    /// Counts an event and returns whether its line is to be written.
    pub(crate) fn allows(&mut self, name: &str) -> bool {
        if let Some(count) = self.events.get_mut(name) {
            *count += 1;
            return *count <= LINES_MAX;
        }
        let name = if self.events.len() < NAMES_MAX {
            name
        } else {
            OTHER
        };
        let count = self.events.entry(name.to_owned()).or_default();
        *count += 1;
        *count <= LINES_MAX
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
        mem::take(&mut self.events)
            .into_iter()
            .filter(|(_, count)| *count > LINES_MAX)
            .map(|(name, count)| (name, count - LINES_MAX))
            .collect()
    }
}
