//! Size of a pool over time, with few moves.

use std::time::{
    Duration,
    Instant, //
};

/// Decides when instances are moved into and out of a pool.
///
/// A pool grows at once, because its guarantee depends on it, and shrinks only
/// to what it needed at most within the time it was too large.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct PoolSizer {
    shrink_delay: Duration,
    /// Since when the pool is too large, and the most it needed since then.
    idle: Option<(Instant, u32)>,
    size: u32,
}

impl PoolSizer {
    /// Returns the sizing of a pool that shrinks after `shrink_delay`.
    pub fn new(size: u32, shrink_delay: Duration) -> Self {
        Self {
            shrink_delay,
            idle: None,
            size,
        }
    }

    /// Returns the size of the pool after all moves asked for.
    pub fn size(&self) -> u32 {
        self.size
    }

    /// Takes the size that the pool needs now and returns the instances to
    /// move into it (above 0) or out of it (below 0).
    pub fn update(&mut self, needed: u32, now: Instant) -> i64 {
        let target = self.target(needed, now);
        let moves = i64::from(target) - i64::from(self.size);
        self.size = target;
        moves
    }

    fn target(&mut self, needed: u32, now: Instant) -> u32 {
        if needed >= self.size {
            self.idle = None;
            return needed;
        }
        let (since, most) = self.idle.unwrap_or((now, 0));
        let most = most.max(needed);
        self.idle = Some((since, most));
        if now.duration_since(since) < self.shrink_delay {
            return self.size;
        }
        self.idle = None;
        most
    }
}
