//! Slot time that a team has used, in atomics.

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

/// Unit of the packed start times, in microseconds.
const TICK_US: u64 = 100;

/// Bits of the sum of start times; the number of running requests lies above.
const SUM_BITS: u32 = 48;

const SUM_MASK: u64 = (1 << SUM_BITS) - 1;

/// Slot time of ended requests and the start times of running ones.
///
/// The number of running requests and the sum of their start times share one
/// word, because a number that does not match the sum would be wrong by the
/// whole time since the origin. With 300 running requests the sum lasts for
/// three years.
#[derive(Debug)]
pub(crate) struct Usage {
    origin: Instant,
    running: AtomicU64,
    settled_us: AtomicU64,
}

impl Usage {
    /// Creates an empty account that counts time from `origin`.
    pub(crate) fn new(origin: Instant) -> Self {
        Self {
            origin,
            running: AtomicU64::new(0),
            settled_us: AtomicU64::new(0),
        }
    }

    /// Adds a request that starts to run.
    pub(crate) fn start(&self, now: Instant) {
        self.running
            .fetch_add(one_at(self.ticks(now)), Ordering::Relaxed);
    }

    /// Removes a request that ran from `started` and adds what it used.
    pub(crate) fn finish(&self, started: Instant, used: Duration) {
        let used_us = u64::try_from(used.as_micros()).unwrap_or(u64::MAX);
        self.settled_us.fetch_add(used_us, Ordering::Relaxed);
        self.running
            .fetch_sub(one_at(self.ticks(started)), Ordering::Relaxed);
    }

    /// Returns the slot time used until `now`, in microseconds, including that
    /// of requests which still run.
    pub(crate) fn used_us(&self, now: Instant) -> u64 {
        let word = self.running.load(Ordering::Relaxed);
        let until_now = (word >> SUM_BITS) * self.ticks(now);
        let elapsed = until_now.saturating_sub(word & SUM_MASK);
        self.settled_us.load(Ordering::Relaxed) + elapsed * TICK_US
    }

    fn ticks(&self, now: Instant) -> u64 {
        let since = now.saturating_duration_since(self.origin).as_micros();
        u64::try_from(since).unwrap_or(u64::MAX) / TICK_US
    }
}

fn one_at(ticks: u64) -> u64 {
    (1 << SUM_BITS) + (ticks & SUM_MASK)
}
