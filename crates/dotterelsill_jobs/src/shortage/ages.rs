//! Ages of jobs that were accepted before the scheduler learned of them.
//!
//! Load pattern: all instances are killed or the scheduler changes in a burst. Jobs that
//! count as new after that push others back, although their callers have waited.

use std::time::Duration;

use super::AGED_AFTER;

/// Longest time for which an accepted job may wait until the scheduler learns of it: an
/// outage of the store of 5 s and an import within 2 s.
pub(crate) const MAX_SUBMITTED_AGE: Duration = Duration::from_secs(7);

/// Longest time for which the job of an earlier scheduler plausibly waits: it goes first
/// once it has aged, and may have become known late.
pub(crate) const MAX_RESTORED_AGE: Duration = AGED_AFTER.saturating_add(MAX_SUBMITTED_AGE);

/// Returns the age of a job in milliseconds, by the time of its acceptance and that of now, since the Unix
/// epoch. The clocks of two instances may differ and step by seconds, so the age is
/// bounded by `longest`. It is zero if the time of acceptance is not recorded or ahead.
pub(crate) fn age_ms_of(accepted_unix: Duration, unix: Duration, longest: Duration) -> u32 {
    if accepted_unix.is_zero() {
        return 0;
    }
    unix.saturating_sub(accepted_unix).min(longest).as_millis() as u32
}
