//! Time of the plan, whose hours tests shorten.

use std::time::{
    Duration,
    SystemTime, //
};

/// Milliseconds of an hour.
const HOUR_MS: u128 = 3_600_000;

/// Relation of the plan's time to real time. Both start at the Unix epoch.
#[derive(Clone, Copy, Debug)]
pub(crate) struct PlanClock {
    hour_ms: u128,
}

impl PlanClock {
    /// Returns a clock whose hours last a number of real milliseconds.
    pub(crate) fn new(hour_ms: u32) -> Self {
        Self {
            hour_ms: hour_ms.into(),
        }
    }

    /// Returns the time of the plan at a real time.
    pub(crate) fn plan_time(&self, unix_ms: u64) -> SystemTime {
        let plan_s = u128::from(unix_ms) * HOUR_MS / self.hour_ms / 1000;
        let since = Duration::from_secs(u64::try_from(plan_s).unwrap_or(u64::MAX));
        SystemTime::UNIX_EPOCH
            .checked_add(since)
            .unwrap_or(SystemTime::UNIX_EPOCH)
    }

    /// Returns the real time, in milliseconds since the epoch, at a time of the
    /// plan.
    pub(crate) fn unix_ms(&self, plan_time: SystemTime) -> u64 {
        let since = plan_time.duration_since(SystemTime::UNIX_EPOCH);
        let plan_ms = since.map_or(0, |since| since.as_millis());
        u64::try_from(plan_ms * self.hour_ms / HOUR_MS).unwrap_or(u64::MAX)
    }
}

/// Returns the hour of a time of the plan.
pub(crate) fn hour(plan_time: SystemTime) -> u64 {
    let since = plan_time.duration_since(SystemTime::UNIX_EPOCH);
    since.map_or(0, |since| since.as_secs() / 3600)
}
