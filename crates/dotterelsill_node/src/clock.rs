//! System clocks.

use std::time::{
    Duration,
    SystemTime, //
};

use rustix::time::{
    clock_gettime,
    ClockId,
    Timespec, //
};

/// Returns the time since boot, including time spent suspended.
pub(crate) fn now() -> Duration {
    to_duration(clock_gettime(ClockId::Boottime))
}

fn to_duration(time: Timespec) -> Duration {
    let seconds = u64::try_from(time.tv_sec).unwrap_or_default();
    let nanoseconds = u32::try_from(time.tv_nsec).unwrap_or_default();
    Duration::new(seconds, nanoseconds)
}

/// Returns the CPU time used by this process.
pub(crate) fn processor_time() -> Duration {
    to_duration(clock_gettime(ClockId::ProcessCPUTime))
}

/// Returns the time since the Unix epoch.
pub(crate) fn unix() -> Duration {
    SystemTime::now()
        .duration_since(SystemTime::UNIX_EPOCH)
        .unwrap_or_default()
}
