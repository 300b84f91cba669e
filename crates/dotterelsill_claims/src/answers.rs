//! Eviction of stored answers by age and total size.

use std::{
    collections::VecDeque,
    time::Instant, //
};

use crate::{
    Key,
    RunLimits, //
};

/// Tracks the stored answers from oldest to newest and their sizes.
#[derive(Clone, Debug, Eq, Hash, PartialEq)]
pub(crate) struct AnswerQueue {
    queue: VecDeque<StoredAnswer>,
    total_bytes: usize,
}

#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
struct StoredAnswer {
    key: Key,
    stored_at: Instant,
    bytes: usize,
}

impl AnswerQueue {
    pub(crate) fn new() -> Self {
        AnswerQueue {
            queue: VecDeque::new(),
            total_bytes: 0,
        }
    }

    /// Returns the total size of the stored answers in bytes.
    pub(crate) fn total_bytes(&self) -> usize {
        self.total_bytes
    }

    /// Adds the newest answer.
    pub(crate) fn push(&mut self, key: Key, bytes: usize, now: Instant) {
        let stored_at = now;
        self.queue.push_back(StoredAnswer {
            key,
            stored_at,
            bytes,
        });
        self.total_bytes += bytes;
    }

    /// Removes the oldest answer and returns its key if it has expired or the
    /// total size exceeds the limit.
    pub(crate) fn evict(&mut self, limits: &RunLimits, now: Instant) -> Option<Key> {
        let oldest = *self.queue.front()?;
        let expired = now >= oldest.stored_at + limits.answer_retention;
        if !expired && self.total_bytes <= limits.max_answer_bytes {
            return None;
        }
        self.queue.pop_front();
        self.total_bytes -= oldest.bytes;
        Some(oldest.key)
    }
}
