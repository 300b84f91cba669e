//! Retry budget: limits retries and hedges to a part of the requests.

use std::{
    sync::atomic::{
        AtomicU64,
        Ordering, //
    },
    time::Instant, //
};

use crate::clock::Clock;

/// Maximum number of retries and hedges, in percent of the requests in the
/// window.
pub const RETRY_PERCENT: u64 = 10;

/// Length of the window in seconds, with one bucket per second.
const WINDOW_S: usize = 10;

/// Number of bits of each of the two counts in a bucket; the bits above hold
/// the second.
const COUNT_BITS: u32 = 20;

const COUNT_MASK: u64 = (1 << COUNT_BITS) - 1;

/// Mask of the second, which is counted modulo 2^24.
const SECOND_MASK: u64 = u64::MAX >> (2 * COUNT_BITS);

/// Longest expected pause of a thread between reading the clock and using the
/// reading, in seconds.
const MAX_PAUSE_S: u64 = 1000;

/// Counts the requests and retries of one service in the last 10 s.
///
/// Each bucket packs its second (24 bits), its retries and its requests into
/// one word, so that recycling a bucket and counting in it is one atomic
/// operation.
#[derive(Debug)]
pub struct RetryBudget {
    clock: Clock,
    buckets: [AtomicU64; WINDOW_S],
}

impl RetryBudget {
    /// Creates an empty budget. Time is counted from `origin`.
    pub fn new(origin: Instant) -> Self {
        Self {
            clock: Clock::new(origin),
            buckets: std::array::from_fn(|_| AtomicU64::new(0)),
        }
    }

    /// Counts the first attempt of a request.
    pub fn on_request(&self, now: Instant) {
        self.add(self.second(now), 1, 0);
    }

    /// Counts a retry or hedge if the budget allows it. Returns whether it
    /// does.
    ///
    /// The retry is counted before the sums are checked, and undone if they
    /// exceed the budget. Concurrent calls may all be refused, but never exceed
    /// the budget together.
    pub fn try_retry(&self, now: Instant) -> bool {
        let second = self.second(now);
        self.add(second, 0, 1);
        let (requests, retries) = self.sums(second);
        if retries * 100 <= requests * RETRY_PERCENT {
            return true;
        }
        self.undo_retry(second);
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
            let (bucket_second, old_requests, old_retries) = unpack(word);
            if bucket_second == second || is_newer(bucket_second, second) {
                return Some(pack(
                    bucket_second,
                    old_requests + requests,
                    old_retries + retries,
                ));
            }
            Some(pack(second, requests, retries))
        };
        let _ = self
            .bucket(second)
            .fetch_update(Ordering::SeqCst, Ordering::SeqCst, added);
    }

    fn undo_retry(&self, second: u64) {
        let undone = |word: u64| {
            let (bucket_second, requests, retries) = unpack(word);
            let counted_here = bucket_second == second || is_newer(bucket_second, second);
            counted_here.then(|| pack(bucket_second, requests, retries.saturating_sub(1)))
        };
        let _ = self
            .bucket(second)
            .fetch_update(Ordering::SeqCst, Ordering::SeqCst, undone);
    }

    /// Returns the numbers of requests and retries in the window that ends at
    /// `second`.
    fn sums(&self, second: u64) -> (u64, u64) {
        let mut sums = (0, 0);
        for bucket in &self.buckets {
            let (bucket_second, requests, retries) = unpack(bucket.load(Ordering::SeqCst));
            let age_s = second.wrapping_sub(bucket_second) & SECOND_MASK;
            if age_s < WINDOW_S as u64 || is_newer(bucket_second, second) {
                sums = (sums.0 + requests, sums.1 + retries);
            }
        }
        sums
    }
}

/// Returns whether a bucket already counts a later second than `second`. That
/// happens if a thread was paused after it read `second` from the clock.
fn is_newer(bucket_second: u64, second: u64) -> bool {
    let ahead_s = bucket_second.wrapping_sub(second) & SECOND_MASK;
    (1..=MAX_PAUSE_S).contains(&ahead_s)
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
