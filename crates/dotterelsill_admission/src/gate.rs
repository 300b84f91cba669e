//! Concurrency limit of a service on this entry, and the number of waiting
//! requests.

use std::{
    array,
    sync::{
        atomic::{
            AtomicU32,
            AtomicU64,
            Ordering, //
        },
        Arc, //
    },
    time::{
        Duration,
        Instant, //
    }, //
};

use crate::{
    team::level_of,
    usage::Usage,
    RunOutcome,
    RunningRequest,
    Team,
    URGENCY_LEVELS, //
};

/// Bit position of the number of waiting requests; the bits below hold the
/// number of slots in use.
const WAITING_SHIFT: u32 = 32;

/// Counts the slots in use and the waiting requests of one service.
///
/// Both counts share one atomic word, so a push and the end of a request modify
/// the same word. Either the push sees the free slot or the end sees the
/// waiting request, and no wakeup is lost.
#[derive(Debug)]
pub struct Gate {
    word: AtomicU64,
    capacity: AtomicU32,
    levels: [Usage; URGENCY_LEVELS],
}

impl Gate {
    /// Creates a gate with `capacity` slots. Slot time is counted from
    /// `origin`.
    pub fn new(capacity: u32, origin: Instant) -> Self {
        Self {
            word: AtomicU64::new(0),
            capacity: AtomicU32::new(capacity),
            levels: array::from_fn(|_| Usage::new(origin)),
        }
    }

    /// Starts a request if a slot is free and no request waits.
    ///
    /// Takes no lock. The driver must have taken a credit of the team's upper
    /// limit before the call, and returns it on `None`.
    pub fn try_start(
        self: &Arc<Self>,
        team: &Arc<Team>,
        urgency: u32,
        now: Instant,
    ) -> Option<RunningRequest> {
        let taken = self.take(|waiting| waiting == 0);
        taken.then(|| RunningRequest::start(self, team, level_of(urgency), now))
    }

    /// Ends a request that ran until `now` and releases its slot. Returns
    /// whether requests are waiting for a slot.
    pub fn finish(&self, running: RunningRequest, outcome: RunOutcome, now: Instant) -> bool {
        running.end(outcome, now);
        self.is_waiting()
    }

    /// Sets the number of slots, which changes with the usable upstreams.
    /// Returns whether requests are waiting for a slot.
    pub fn set_capacity(&self, capacity: u32) -> bool {
        self.capacity.store(capacity, Ordering::SeqCst);
        self.is_waiting()
    }

    /// Returns the number of slots.
    pub fn capacity(&self) -> u32 {
        self.capacity.load(Ordering::SeqCst)
    }

    /// Returns the number of slots in use.
    pub fn in_use(&self) -> u32 {
        unpack(self.word.load(Ordering::SeqCst)).1
    }

    /// Takes a slot for a waiting request if one is free.
    pub(crate) fn take_for_waiting(&self) -> bool {
        self.take(|_| true)
    }

    pub(crate) fn release(&self) {
        self.word.fetch_sub(1, Ordering::SeqCst);
    }

    pub(crate) fn set_waiting(&self, waiting: usize) {
        let waiting = u32::try_from(waiting).unwrap_or(u32::MAX);
        let _ = self
            .word
            .fetch_update(Ordering::SeqCst, Ordering::SeqCst, |word| {
                Some(pack(waiting, unpack(word).1))
            });
    }

    /// Returns the slot time that requests of a level have used until `now`, in
    /// microseconds.
    pub(crate) fn used_us(&self, level: usize, now: Instant) -> u64 {
        self.levels[level].used_us(now)
    }

    pub(crate) fn on_start(&self, level: usize, now: Instant) {
        self.levels[level].start(now);
    }

    pub(crate) fn on_end(&self, level: usize, started: Instant, used: Duration) {
        self.levels[level].finish(started, used);
        self.release();
    }

    fn is_waiting(&self) -> bool {
        unpack(self.word.load(Ordering::SeqCst)).0 > 0
    }

    fn take(&self, allowed: impl Fn(u32) -> bool) -> bool {
        let one_more = |word| {
            let (waiting, in_use) = unpack(word);
            let free = in_use < self.capacity() && allowed(waiting);
            free.then(|| pack(waiting, in_use + 1))
        };
        self.word
            .fetch_update(Ordering::SeqCst, Ordering::SeqCst, one_more)
            .is_ok()
    }
}

fn pack(waiting: u32, in_use: u32) -> u64 {
    (u64::from(waiting) << WAITING_SHIFT) | u64::from(in_use)
}

fn unpack(word: u64) -> (u32, u32) {
    ((word >> WAITING_SHIFT) as u32, word as u32)
}
