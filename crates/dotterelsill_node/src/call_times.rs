//! Tells a peer that did not answer from a process that was late to read.

use std::time::Duration;

use dotterelsill_rpc::Lateness;

use crate::clock;

/// Times of a call that was not answered.
#[derive(Clone, Copy, Debug)]
pub(crate) struct CallTimes {
    /// Time until the call was given up, in milliseconds.
    pub(crate) took_ms: u64,
    /// Recent lateness of the event loop, in milliseconds. An answer that came
    /// within the limit may not have been read by so much.
    pub(crate) loop_late_ms: u64,
}

impl CallTimes {
    /// Returns the times of a call that is given up now.
    pub(crate) fn until_now(sent_at: Duration, lateness: &Lateness) -> Self {
        let now = clock::now();
        Self {
            took_ms: now.saturating_sub(sent_at).as_millis() as u64,
            loop_late_ms: lateness.recent(now).as_millis() as u64,
        }
    }
}
