//! Adaptive limit on one entry's use of an upstream that other entries share.
//!
//! The number of its own running requests does not tell an entry whether an
//! upstream is full, because other entries use it too. A refusal before running
//! lowers the limit below the number of requests that this entry still has
//! running. The limit then rises by one slot per [`RAISE_INTERVAL`] while
//! demand reaches it. An entry thus wastes at most one round trip per interval
//! and upstream. The cost is that a slot released by another entry stays unused
//! until the next raise of some entry.
//!
//! An entry that holds all slots of an upstream would never be refused, and
//! would refill each free slot before the others try again. An entry that holds
//! more than its equal share therefore yields one slot per [`YIELD_INTERVAL`].

use std::{
    sync::atomic::{
        AtomicU32,
        AtomicU64,
        Ordering, //
    },
    time::Duration, //
};

use crate::clock::duration_ms;

/// Minimum time between two raises of the limit, each by one slot.
pub const RAISE_INTERVAL: Duration = Duration::from_millis(100);

/// Minimum time between two yields of a slot of one upstream, while an entry
/// holds more than its equal share of the slots.
pub const YIELD_INTERVAL: Duration = Duration::from_secs(1);

/// Maximum number of slots of an upstream that this entry uses.
#[derive(Debug)]
pub(crate) struct LearnedLimit {
    slots: AtomicU32,
    limit: AtomicU32,
    raise_at_ms: AtomicU64,
    yield_at_ms: AtomicU64,
}

impl LearnedLimit {
    /// Creates a limit that allows all `slots`.
    pub(crate) fn new(slots: u32) -> Self {
        Self {
            slots: AtomicU32::new(slots),
            limit: AtomicU32::new(slots),
            raise_at_ms: AtomicU64::new(0),
            yield_at_ms: AtomicU64::new(0),
        }
    }

    /// Returns the number of slots that the upstream has.
    pub(crate) fn slots(&self) -> u32 {
        self.slots.load(Ordering::Relaxed)
    }

    /// Sets the number of slots. If it changes, the limit is reset to all
    /// slots.
    pub(crate) fn resize(&self, slots: u32) {
        if self.slots.swap(slots, Ordering::Relaxed) != slots {
            self.limit.store(slots, Ordering::Relaxed);
        }
    }

    /// Returns the limit without a due raise.
    pub(crate) fn get(&self) -> u32 {
        self.limit.load(Ordering::Relaxed)
    }

    /// Returns the limit including a raise that is due at `now_ms`.
    pub(crate) fn at(&self, now_ms: u64) -> u32 {
        let limit = self.get();
        if limit < self.slots() && now_ms >= self.raise_at_ms.load(Ordering::Relaxed) {
            limit + 1
        } else {
            limit
        }
    }

    /// Raises the limit by one slot if a raise is due. Returns whether it did.
    ///
    /// Of several concurrent calls, only one raises the limit.
    pub(crate) fn raise(&self, now_ms: u64) -> bool {
        let due_ms = self.raise_at_ms.load(Ordering::Relaxed);
        if now_ms < due_ms || self.get() >= self.slots() {
            return false;
        }
        let next_ms = now_ms + duration_ms(RAISE_INTERVAL);
        let won = self
            .raise_at_ms
            .compare_exchange(due_ms, next_ms, Ordering::Relaxed, Ordering::Relaxed)
            .is_ok();
        won && self.add_one()
    }

    /// Lowers the limit after a refusal to three quarters of the `running`
    /// requests.
    ///
    /// A decrease in proportion makes entries with many and with few slots
    /// converge.
    pub(crate) fn lower(&self, running: u32, now_ms: u64) {
        let next_ms = now_ms + duration_ms(RAISE_INTERVAL);
        self.raise_at_ms.store(next_ms, Ordering::Relaxed);
        self.limit
            .fetch_min(running - running / 4, Ordering::Relaxed);
    }

    /// Lowers the limit to the `running` requests after an answer, if this
    /// entry holds more than an equal share of the slots among `entries`.
    ///
    /// The next raise is due two intervals later, so that other entries can
    /// take the slot first.
    pub(crate) fn yield_one(&self, running: u32, entries: u32, now_ms: u64) {
        let equal_share = self.slots().div_ceil(entries.max(1));
        if running < equal_share || running + 1 < self.get() {
            return;
        }
        let due_ms = self.yield_at_ms.load(Ordering::Relaxed);
        let next_ms = now_ms + duration_ms(YIELD_INTERVAL);
        let won = now_ms >= due_ms
            && self
                .yield_at_ms
                .compare_exchange(due_ms, next_ms, Ordering::Relaxed, Ordering::Relaxed)
                .is_ok();
        if won {
            let raise_ms = now_ms + 2 * duration_ms(RAISE_INTERVAL);
            self.raise_at_ms.store(raise_ms, Ordering::Relaxed);
            self.limit.fetch_min(running, Ordering::Relaxed);
        }
    }

    fn add_one(&self) -> bool {
        let raised = |limit: u32| (limit < self.slots()).then_some(limit + 1);
        self.limit
            .fetch_update(Ordering::Relaxed, Ordering::Relaxed, raised)
            .is_ok()
    }
}
