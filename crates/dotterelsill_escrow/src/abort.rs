//! Release of the credit of an aborted run.

use std::time::{
    Duration,
    Instant, //
};

/// Longest time an upstream may keep working on a run after the run was
/// aborted: its connection was closed, or it exceeded the longest run time of
/// its queue. The upstream contract in docs/operators.md sets this bound.
pub const ABORT_GRACE: Duration = Duration::from_secs(1);

/// Returns the time at which the credit of an aborted run may be released.
///
/// `aborted_at` is the time at which the entry closes the connection. The
/// upstream may keep working on the run for [`ABORT_GRACE`] after that.
pub fn credit_release_time(aborted_at: Instant) -> Instant {
    aborted_at + ABORT_GRACE
}
