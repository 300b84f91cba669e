//! Timing of failed calls, to distinguish an unresponsive peer from this process
//! reading the answer too late.

use std::time::Duration;

use dotterelsill_rpc::Lateness;

use crate::clock;

/// Timing of a call that got no answer.
#[derive(Clone, Copy, Debug)]
pub(crate) struct CallTimes {
    /// Time from sending the call until it was abandoned, in milliseconds.
    pub(crate) took_ms: u64,
    /// Recent lateness of the event loop, in milliseconds. An answer that arrived
    /// within the timeout may have stayed unread for this long.
    pub(crate) loop_late_ms: u64,
}

impl CallTimes {
    /// Returns the timing of a call that is abandoned now.
    pub(crate) fn until_now(sent_at: Duration, lateness: &Lateness) -> Self {
        let now = clock::now();
        Self {
            took_ms: now.saturating_sub(sent_at).as_millis() as u64,
            loop_late_ms: lateness.recent(now).as_millis() as u64,
        }
    }
}
