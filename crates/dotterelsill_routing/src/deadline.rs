//! Deadline of a request and what is passed on to the upstream.

use std::time::{
    Duration,
    Instant, //
};

use crate::clock::duration_ms;

/// Instant at which the caller stops waiting.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub struct Deadline {
    at: Instant,
}

impl Deadline {
    /// Creates the deadline of a request that arrived at `arrived`.
    ///
    /// `asked` is what the caller asked for, if anything; the timeout of the
    /// queue is the upper bound.
    pub fn new(arrived: Instant, queue_timeout: Duration, asked: Option<Duration>) -> Self {
        let timeout = asked.map_or(queue_timeout, |asked| asked.min(queue_timeout));
        Self {
            at: arrived + timeout,
        }
    }

    /// Returns the instant.
    pub fn at(&self) -> Instant {
        self.at
    }

    /// Returns the time left, or `None` when the deadline has passed.
    pub fn remaining(&self, now: Instant) -> Option<Duration> {
        let left = self.at.saturating_duration_since(now);
        (!left.is_zero()).then_some(left)
    }

    /// Returns the value of `Dotterelsill-Deadline-Ms` for an upstream that is
    /// `one_way` away, in milliseconds, or `None` when too little time is left.
    ///
    /// The request and the answer travel `one_way` each. The value is rounded
    /// down, so that the upstream stops no later than the caller.
    pub fn upstream_ms(&self, now: Instant, one_way: Duration) -> Option<u64> {
        let left = self.remaining(now)?.checked_sub(one_way * 2)?;
        let left_ms = duration_ms(left);
        (left_ms > 0).then_some(left_ms)
    }
}
