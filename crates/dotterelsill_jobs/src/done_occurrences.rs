//! Completed occurrences of a job, in space that does not grow with their number.

use std::collections::BTreeSet;

/// Maximum number of leading completed occurrences that a record lists one by one,
/// which is all that earlier versions read.
const MAX_LISTED: u32 = 1000;

/// Completed occurrences.
#[derive(Clone, Debug, Default)]
pub(crate) struct DoneOccurrences {
    /// All occurrences below this number are completed.
    below: u32,
    /// Completed occurrences above that number.
    above: BTreeSet<u32>,
}

impl DoneOccurrences {
    /// Restores the occurrences of a stored record.
    pub(crate) fn from_record(below: u32, listed: &[u32]) -> Self {
        let mut done = Self {
            below,
            above: BTreeSet::new(),
        };
        listed.iter().for_each(|&number| done.insert(number));
        done
    }

    /// Returns, for a record, the number below which all occurrences are completed, and
    /// the other completed ones.
    pub(crate) fn to_record(&self) -> (u32, Vec<u32>) {
        let below = if self.below > MAX_LISTED {
            self.below
        } else {
            0
        };
        let listed = (below..self.below).chain(self.above.iter().copied());
        (below, listed.collect())
    }

    pub(crate) fn insert(&mut self, number: u32) {
        if number < self.below {
            return;
        }
        self.above.insert(number);
        while self.above.remove(&self.below) {
            self.below += 1;
        }
    }

    pub(crate) fn contains(&self, number: u32) -> bool {
        number < self.below || self.above.contains(&number)
    }

    /// Returns the first occurrence that is not completed.
    pub(crate) fn first_open(&self) -> u32 {
        self.below
    }

    pub(crate) fn count(&self) -> u64 {
        u64::from(self.below) + self.above.len() as u64
    }
}
