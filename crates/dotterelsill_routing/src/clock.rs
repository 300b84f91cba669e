//! Conversion of instants to integers that fit in an atomic.

use std::time::{
    Duration,
    Instant, //
};

/// Converts instants to milliseconds since an origin.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Clock {
    origin: Instant,
}

impl Clock {
    /// Creates a clock that counts from `origin`.
    pub(crate) fn new(origin: Instant) -> Self {
        Self { origin }
    }

    /// Returns the milliseconds from the origin to `now`, or 0 if `now` is
    /// before the origin.
    pub(crate) fn ms(&self, now: Instant) -> u64 {
        duration_ms(now.saturating_duration_since(self.origin))
    }
}

/// Returns a duration in whole milliseconds, rounded down.
pub(crate) fn duration_ms(duration: Duration) -> u64 {
    u64::try_from(duration.as_millis()).unwrap_or(u64::MAX)
}
