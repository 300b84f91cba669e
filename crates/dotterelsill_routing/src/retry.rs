//! Retry budget: retries and hedges as a part of the requests.

use std::{
    sync::atomic::{
        AtomicU64,
        Ordering, //
    },
    time::Instant, //
};

use crate::clock::Clock;

/// Most retries and hedges, in percent of the requests in the window.
pub const RETRY_PERCENT: u64 = 10;

/// Length of the window, in seconds, with one bucket for each.
const WINDOW_S: usize = 10;

/// Bits of each of the two counts in a bucket; the second lies above them.
const COUNT_BITS: u32 = 20;

const COUNT_MASK: u64 = (1 << COUNT_BITS) - 1;

/// Bits of the second, counted modulo their range.
const SECOND_MASK: u64 = u64::MAX >> (2 * COUNT_BITS);

/// Longest pause of a thread between its clock reading and the use of it, in
/// seconds.
const PAUSE_LONGEST_S: u64 = 1000;

/// Counts of requests and retries of one service in the last 10 s.
///
/// Each bucket holds the second that it counts (24 bits),
/// the retries and the requests in one word, so that a bucket is recycled and
/// counted in one step.
#[derive(Debug)]
pub struct RetryBudget {
    clock: Clock,
    buckets: [AtomicU64; WINDOW_S],
}

impl RetryBudget {
    /// Creates an empty budget that counts time from `origin`.
    pub fn new(origin: Instant) -> Self {
        Self {
            clock: Clock::new(origin),
            buckets: std::array::from_fn(|_| AtomicU64::new(0)),
        }
    }

    /// Counts a first attempt.
    pub fn on_request(&self, now: Instant) {
        self.add(self.second(now), 1, 0);
    }

    /// Takes one retry from the budget and returns whether it is allowed.
    ///
    /// The retry is counted before the sum is checked and taken back when the
    /// sum is too high. Threads that ask at once may all be refused; they
    /// never exceed the budget together.
    pub fn try_retry(&self, now: Instant) -> bool {
        let second = self.second(now);
        self.add(second, 0, 1);
        let (requests, retries) = self.sums(second);
        if retries * 100 <= requests * RETRY_PERCENT {
            return true;
        }
        self.take_back(second);
        false
    }

    fn second(&self, now: Instant) -> u64 {
        (self.clock.ms(now) / 1000) & SECOND_MASK
    }

    fn bucket(&self, second: u64) -> &AtomicU64 {
        &self.buckets[(second % WINDOW_S as u64) as usize]
    }

    fn add(&self, second: u64, requests: u64, retries: u64) {
        let added = |word: u64| {
            let (of, old_requests, old_retries) = unpack(word);
            if of == second || is_newer(of, second) {
                return Some(pack(of, old_requests + requests, old_retries + retries));
            }
            Some(pack(second, requests, retries))
        };
        let _ = self
            .bucket(second)
            .fetch_update(Ordering::SeqCst, Ordering::SeqCst, added);
    }

    fn take_back(&self, second: u64) {
        let taken = |word: u64| {
            let (of, requests, retries) = unpack(word);
            let counted_here = of == second || is_newer(of, second);
            counted_here.then(|| pack(of, requests, retries.saturating_sub(1)))
        };
        let _ = self
            .bucket(second)
            .fetch_update(Ordering::SeqCst, Ordering::SeqCst, taken);
    }

    fn sums(&self, second: u64) -> (u64, u64) {
        let mut sums = (0, 0);
        for bucket in &self.buckets {
            let (of, requests, retries) = unpack(bucket.load(Ordering::SeqCst));
            let age_s = second.wrapping_sub(of) & SECOND_MASK;
            if age_s < WINDOW_S as u64 || is_newer(of, second) {
                sums = (sums.0 + requests, sums.1 + retries);
            }
        }
        sums
    }
}

/// Returns whether a bucket counts a later second than `second`, which a thread
/// read from the clock before it was paused.
fn is_newer(of: u64, second: u64) -> bool {
    let ahead_s = of.wrapping_sub(second) & SECOND_MASK;
    (1..=PAUSE_LONGEST_S).contains(&ahead_s)
}

fn pack(second: u64, requests: u64, retries: u64) -> u64 {
    let counts = (retries.min(COUNT_MASK) << COUNT_BITS) | requests.min(COUNT_MASK);
    (second << (2 * COUNT_BITS)) | counts
}

fn unpack(word: u64) -> (u64, u64, u64) {
    let requests = word & COUNT_MASK;
    let retries = (word >> COUNT_BITS) & COUNT_MASK;
    (word >> (2 * COUNT_BITS), requests, retries)
}
