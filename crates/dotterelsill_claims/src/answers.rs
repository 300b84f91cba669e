//! Bound on the answers that are kept.

use std::{
    collections::VecDeque,
    time::Instant, //
};

use crate::{
    Key,
    RunLimits, //
};

/// Order and sizes of the answers that are kept.
#[derive(Clone, Debug, Eq, Hash, PartialEq)]
pub(crate) struct Answers {
    order: VecDeque<Kept>,
    total_bytes: usize,
}

#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
struct Kept {
    key: Key,
    since: Instant,
    bytes: usize,
}

impl Answers {
    pub(crate) fn new() -> Self {
        Answers {
            order: VecDeque::new(),
            total_bytes: 0,
        }
    }

    /// Returns the total size of the answers that are kept.
    pub(crate) fn total_bytes(&self) -> usize {
        self.total_bytes
    }

    /// Adds an answer, the newest one.
    pub(crate) fn push(&mut self, key: Key, bytes: usize, now: Instant) {
        let since = now;
        self.order.push_back(Kept { key, since, bytes });
        self.total_bytes += bytes;
    }

    /// Takes out the oldest answer when it is too old or the total is too
    /// large, and returns its key.
    pub(crate) fn pop(&mut self, limits: &RunLimits, now: Instant) -> Option<Key> {
        let oldest = *self.order.front()?;
        let expired = now >= oldest.since + limits.answer_retention;
        if !expired && self.total_bytes <= limits.max_answer_bytes {
            return None;
        }
        self.order.pop_front();
        self.total_bytes -= oldest.bytes;
        Some(oldest.key)
    }
}
