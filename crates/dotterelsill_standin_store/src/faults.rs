//! Faults that the stand-in injects, and the calls that it counts.

use std::sync::atomic::{
    AtomicBool,
    AtomicU32,
    AtomicU64,
    Ordering, //
};

/// Faults to inject, set by tests through `StandinControl`.
#[derive(Default)]
pub(crate) struct Faults {
    /// Delay before each answer, in milliseconds.
    pub(crate) delay_ms: AtomicU64,
    /// Whether every call fails without taking effect.
    pub(crate) outage: AtomicBool,
    /// Number of following writes that take effect but whose answer is lost.
    pub(crate) lose_write_answers: AtomicU32,
}

impl Faults {
    /// Returns whether to lose the answer of the write that just took effect, and
    /// counts it as lost.
    pub(crate) fn take_lost_answer(&self) -> bool {
        self.lose_write_answers
            .fetch_update(Ordering::SeqCst, Ordering::SeqCst, |remaining| {
                remaining.checked_sub(1)
            })
            .is_ok()
    }
}

/// Numbers of calls since the start.
#[derive(Default)]
pub(crate) struct Counts {
    /// Reads of keys and lists.
    pub(crate) reads: AtomicU64,
    /// Writes, deletions and calls on leases.
    pub(crate) writes: AtomicU64,
    /// Calls that wait for a change of a key.
    pub(crate) watches: AtomicU64,
}
