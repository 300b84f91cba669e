//! Conversion between real time and the time of the maintenance plan.

use std::time::{
    Duration,
    SystemTime, //
};

/// Milliseconds in an hour.
const HOUR_MS: u128 = 3_600_000;

/// Converts between real time and plan time.
///
/// Both start at the Unix epoch. An hour of the plan lasts an hour of real time
/// unless a test shortens it.
#[derive(Clone, Copy, Debug)]
pub(crate) struct PlanClock {
    hour_ms: u128,
}

impl PlanClock {
    /// Returns a clock whose hour lasts `hour_ms` milliseconds of real time.
    pub(crate) fn new(hour_ms: u32) -> Self {
        Self {
            hour_ms: hour_ms.into(),
        }
    }

    /// Converts a real time, in milliseconds since the epoch, to plan time.
    pub(crate) fn plan_time(&self, unix_ms: u64) -> SystemTime {
        let plan_s = u128::from(unix_ms) * HOUR_MS / self.hour_ms / 1000;
        let since = Duration::from_secs(u64::try_from(plan_s).unwrap_or(u64::MAX));
        SystemTime::UNIX_EPOCH
            .checked_add(since)
            .unwrap_or(SystemTime::UNIX_EPOCH)
    }

    /// Converts a plan time to real time, in milliseconds since the epoch.
    pub(crate) fn unix_ms(&self, plan_time: SystemTime) -> u64 {
        let since = plan_time.duration_since(SystemTime::UNIX_EPOCH);
        let plan_ms = since.map_or(0, |since| since.as_millis());
        u64::try_from(plan_ms * self.hour_ms / HOUR_MS).unwrap_or(u64::MAX)
    }
}

/// Returns the number of full hours of the plan since the epoch.
pub(crate) fn hour(plan_time: SystemTime) -> u64 {
    let since = plan_time.duration_since(SystemTime::UNIX_EPOCH);
    since.map_or(0, |since| since.as_secs() / 3600)
}
