//! The clocks of the machine.

use std::time::{
    Duration,
    SystemTime, //
};

use rustix::time::{
    clock_gettime,
    ClockId,
    Timespec, //
};

/// Returns the time since the machine started, which goes on while the machine is
/// suspended.
pub(crate) fn now() -> Duration {
    duration(clock_gettime(ClockId::Boottime))
}

fn duration(time: Timespec) -> Duration {
    let s = u64::try_from(time.tv_sec).unwrap_or_default();
    let ns = u32::try_from(time.tv_nsec).unwrap_or_default();
    Duration::new(s, ns)
}

/// Returns the processor time that the process has used.
pub(crate) fn processor_time() -> Duration {
    duration(clock_gettime(ClockId::ProcessCPUTime))
}

/// Returns the time since the Unix epoch.
pub(crate) fn unix() -> Duration {
    SystemTime::now()
        .duration_since(SystemTime::UNIX_EPOCH)
        .unwrap_or_default()
}
