//! Tracks whether this instance reaches the store and the scheduler.

use std::{
    sync::atomic::{
        AtomicU64,
        Ordering, //
    },
    time::Duration, //
};

/// Age of the last store answer up to which the store counts as reachable. A watch
/// is answered once a second.
const MAX_STORE_ANSWER_AGE: Duration = Duration::from_millis(1300);

/// Age of the last scheduler answer up to which the scheduler counts as reachable.
const MAX_SCHEDULER_ANSWER_AGE: Duration = Duration::from_millis(900);

/// Times of the last answers, in microseconds since boot.
#[derive(Default)]
pub(crate) struct Reachability {
    store_us: AtomicU64,
    scheduler_us: AtomicU64,
}

impl Reachability {
    /// Records an answer of the store, received directly or over a peer.
    pub(crate) fn on_store(&self, now: Duration) {
        self.store_us
            .fetch_max(now.as_micros() as u64, Ordering::Relaxed);
    }

    /// Records an answer of the scheduler.
    pub(crate) fn on_scheduler(&self, now: Duration) {
        self.scheduler_us
            .fetch_max(now.as_micros() as u64, Ordering::Relaxed);
    }

    /// Returns whether the store answered recently.
    pub(crate) fn is_store_reachable(&self, now: Duration) -> bool {
        is_recent(&self.store_us, MAX_STORE_ANSWER_AGE, now)
    }

    /// Returns whether callers can be served. Reaching either the store or the
    /// scheduler suffices, since jobs can be accepted through each of them.
    pub(crate) fn can_serve(&self, now: Duration) -> bool {
        self.is_store_reachable(now) || is_recent(&self.scheduler_us, MAX_SCHEDULER_ANSWER_AGE, now)
    }
}

fn is_recent(answered_us: &AtomicU64, limit: Duration, now: Duration) -> bool {
    now < Duration::from_micros(answered_us.load(Ordering::Relaxed)) + limit
}
