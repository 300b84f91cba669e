//! Size of a pool over time, with a delay before it shrinks.

use std::time::{
    Duration,
    Instant, //
};

/// Decides when instances are moved into and out of a pool.
///
/// A pool grows immediately, because its guarantee depends on it. It shrinks only
/// after it was too large for the whole delay, and only to the maximum size that
/// it needed during the delay. This keeps the number of moves low.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct PoolSizer {
    shrink_delay: Duration,
    /// Time since which the pool is too large, and the maximum size that it needed
    /// since then.
    oversized: Option<(Instant, u32)>,
    size: u32,
}

impl PoolSizer {
    /// Creates the sizer of a pool with `size` instances, which shrinks after
    /// `shrink_delay`.
    pub fn new(size: u32, shrink_delay: Duration) -> Self {
        Self {
            shrink_delay,
            oversized: None,
            size,
        }
    }

    /// Returns the size of the pool after all requested moves.
    pub fn size(&self) -> u32 {
        self.size
    }

    /// Updates the size for the number of instances needed now. Returns the number
    /// of instances to move into the pool (positive) or out of it (negative).
    pub fn update(&mut self, needed: u32, now: Instant) -> i64 {
        let target = self.target(needed, now);
        let change = i64::from(target) - i64::from(self.size);
        self.size = target;
        change
    }

    fn target(&mut self, needed: u32, now: Instant) -> u32 {
        if needed >= self.size {
            self.oversized = None;
            return needed;
        }
        let (since, max_needed) = self.oversized.unwrap_or((now, 0));
        let max_needed = max_needed.max(needed);
        self.oversized = Some((since, max_needed));
        if now.duration_since(since) < self.shrink_delay {
            return self.size;
        }
        self.oversized = None;
        max_needed
    }
}
