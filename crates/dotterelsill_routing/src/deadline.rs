//! Deadline of a request, and the time limit passed on to the upstream.

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
    /// `requested` is the timeout that the caller asked for, if any. It is
    /// capped at the timeout of the queue.
    pub fn new(arrived: Instant, queue_timeout: Duration, requested: Option<Duration>) -> Self {
        let timeout = requested.map_or(queue_timeout, |requested| requested.min(queue_timeout));
        Self {
            at: arrived + timeout,
        }
    }

    /// Returns the deadline as an instant.
    pub fn at(&self) -> Instant {
        self.at
    }

    /// Returns the time left, or `None` if the deadline has passed.
    pub fn remaining(&self, now: Instant) -> Option<Duration> {
        let left = self.at.saturating_duration_since(now);
        (!left.is_zero()).then_some(left)
    }

    /// Returns the value of the header `Dotterelsill-Deadline-Ms` for an
    /// upstream with a one-way latency of `one_way`, in milliseconds. Returns
    /// `None` if too little time is left.
    ///
    /// The latency is subtracted twice, for the request and the answer, and the
    /// result is rounded down, so that the upstream stops no later than the
    /// caller.
    pub fn upstream_ms(&self, now: Instant, one_way: Duration) -> Option<u64> {
        let left = self.remaining(now)?.checked_sub(one_way * 2)?;
        let left_ms = duration_ms(left);
        (left_ms > 0).then_some(left_ms)
    }
}
