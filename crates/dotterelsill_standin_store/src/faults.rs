//! Faults that the stand-in shows and the calls that it counts.

use std::sync::atomic::{
    AtomicBool,
    AtomicU32,
    AtomicU64,
    Ordering, //
};

/// Faults, set by tests.
#[derive(Default)]
pub(crate) struct Faults {
    /// Delay added to each answer, in milliseconds.
    pub(crate) delay_ms: AtomicU64,
    /// Whether every call is refused without taking effect.
    pub(crate) outage: AtomicBool,
    /// Number of writes to come whose answer is lost after they took effect.
    pub(crate) lose_write_answers: AtomicU32,
}

impl Faults {
    /// Returns whether the answer of the write that just took effect is lost.
    pub(crate) fn loses_answer(&self) -> bool {
        self.lose_write_answers
            .fetch_update(Ordering::SeqCst, Ordering::SeqCst, |n| n.checked_sub(1))
            .is_ok()
    }
}

/// Calls since the start.
#[derive(Default)]
pub(crate) struct Counts {
    /// Reads of keys and lists.
    pub(crate) reads: AtomicU64,
    /// Writes, deletions and calls on leases.
    pub(crate) writes: AtomicU64,
    /// Watches.
    pub(crate) watches: AtomicU64,
}
