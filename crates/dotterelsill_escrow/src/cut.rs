//! Decision on when the credit of a run that was cut is free again.

use std::time::{
    Duration,
    Instant, //
};

/// Longest time for which an upstream goes on with a run after its connection
/// was closed or the longest run time of its queue was over. The upstreams'
/// contract in docs/operators.md gives it.
pub const CUT_SETTLE: Duration = Duration::from_secs(1);

/// Returns the instant from which the credit of a run without an answer is free.
///
/// `run_end` is the instant at which the entry closes the connection: the run
/// was told to stop then, and may go on for [`CUT_SETTLE`].
pub fn free_after_cut(run_end: Instant) -> Instant {
    run_end + CUT_SETTLE
}
