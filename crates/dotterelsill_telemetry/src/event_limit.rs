//! Rate limit on log lines with the same event name.

use std::{
    collections::BTreeMap,
    mem, //
};

/// Maximum number of lines of one event name in a second.
pub const MAX_LINES_PER_SECOND: u64 = 10;

/// Maximum number of event names that are counted separately in a second. Further
/// names share one count, so that names with varying text cannot exhaust the memory.
const MAX_NAMES: usize = 1000;

/// Name under which the events of names beyond [`MAX_NAMES`] are counted.
const OTHER: &str = "other";

/// Number of events in the current second, by name.
#[derive(Debug)]
pub(crate) struct EventLimit {
    max_lines: u64,
    second: u64,
    events: BTreeMap<String, u64>,
}

impl EventLimit {
    /// Creates a limit of `max_lines` lines of one event name in a second.
    pub(crate) fn new(max_lines: u64) -> Self {
        Self {
            max_lines,
            second: 0,
            events: BTreeMap::new(),
        }
    }

    /// Counts an event and returns whether its line may be written.
    pub(crate) fn allows(&mut self, name: &str) -> bool {
        if let Some(count) = self.events.get_mut(name) {
            *count += 1;
            return *count <= self.max_lines;
        }
        let name = if self.events.len() < MAX_NAMES {
            name
        } else {
            OTHER
        };
        let count = self.events.entry(name.to_owned()).or_default();
        *count += 1;
        *count <= self.max_lines
    }

    /// Sets the current second. If it differs from the last one, returns the number
    /// of events of the last one that were not written, by name.
    pub(crate) fn set_second(&mut self, second: u64) -> Vec<(String, u64)> {
        if second == self.second {
            return Vec::new();
        }
        self.second = second;
        self.take_suppressed()
    }

    /// Resets all counts and returns the number of events that were not written, by
    /// name.
    pub(crate) fn take_suppressed(&mut self) -> Vec<(String, u64)> {
        let max_lines = self.max_lines;
        mem::take(&mut self.events)
            .into_iter()
            .filter(|(_, count)| *count > max_lines)
            .map(|(name, count)| (name, count - max_lines))
            .collect()
    }
}
