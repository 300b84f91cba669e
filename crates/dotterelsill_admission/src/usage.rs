//! Lock-free accounting of used slot time.

use std::{
    sync::atomic::{
        AtomicU64,
        Ordering, //
    },
    time::{
        Duration,
        Instant, //
    }, //
};

/// Resolution of the packed start times, in microseconds.
const TICK_US: u64 = 100;

/// Number of bits for the sum of start times; the bits above hold the number of
/// running requests.
const SUM_BITS: u32 = 48;

const SUM_MASK: u64 = (1 << SUM_BITS) - 1;

/// Slot time used by finished requests, and the start times of running ones.
///
/// The number of running requests and the sum of their start times share one
/// word. Read separately, a count that did not match the sum would put the used
/// time off by the whole time since the origin. With 300 running requests the
/// sum overflows after three years.
#[derive(Debug)]
pub(crate) struct Usage {
    origin: Instant,
    running: AtomicU64,
    finished_us: AtomicU64,
}

impl Usage {
    /// Creates an account without usage. Start times are counted from `origin`.
    pub(crate) fn new(origin: Instant) -> Self {
        Self {
            origin,
            running: AtomicU64::new(0),
            finished_us: AtomicU64::new(0),
        }
    }

    /// Adds a request that starts running at `now`.
    pub(crate) fn start(&self, now: Instant) {
        self.running
            .fetch_add(one_at(self.ticks(now)), Ordering::Relaxed);
    }

    /// Removes a request that started at `started` and adds the slot time that
    /// it is charged.
    pub(crate) fn finish(&self, started: Instant, used: Duration) {
        let used_us = u64::try_from(used.as_micros()).unwrap_or(u64::MAX);
        self.finished_us.fetch_add(used_us, Ordering::Relaxed);
        self.running
            .fetch_sub(one_at(self.ticks(started)), Ordering::Relaxed);
    }

    /// Returns the slot time used until `now`, including that of requests still
    /// running, in microseconds.
    pub(crate) fn used_us(&self, now: Instant) -> u64 {
        let word = self.running.load(Ordering::Relaxed);
        let until_now = (word >> SUM_BITS) * self.ticks(now);
        let elapsed = until_now.saturating_sub(word & SUM_MASK);
        self.finished_us.load(Ordering::Relaxed) + elapsed * TICK_US
    }

    fn ticks(&self, now: Instant) -> u64 {
        let since = now.saturating_duration_since(self.origin).as_micros();
        u64::try_from(since).unwrap_or(u64::MAX) / TICK_US
    }
}

/// Packs one running request that started at `ticks`.
fn one_at(ticks: u64) -> u64 {
    (1 << SUM_BITS) + (ticks & SUM_MASK)
}
