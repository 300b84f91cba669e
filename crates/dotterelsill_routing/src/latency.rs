//! Observed latency of answers, in a histogram of atomics.

use std::{
    sync::atomic::{
        AtomicU32,
        Ordering, //
    },
    time::Duration, //
};

/// Sub-buckets per doubling; the error of a quantile is at most a quarter.
const STEPS: u64 = 4;

/// Number of buckets, from 1 us to more than an hour.
const BUCKETS: usize = 128;

/// Number of answers after which all counts are halved, so that old answers
/// lose their weight.
const HALVE_AT: u32 = 2048;

/// Distribution of latencies, shared by all threads.
///
/// A driver keeps one per queue: with one for all, every long request would
/// pass the percentile of the short ones and be hedged.
#[derive(Debug)]
pub struct LatencyHistogram {
    buckets: [AtomicU32; BUCKETS],
    total: AtomicU32,
}

impl Default for LatencyHistogram {
    fn default() -> Self {
        Self {
            buckets: std::array::from_fn(|_| AtomicU32::new(0)),
            total: AtomicU32::new(0),
        }
    }
}

impl LatencyHistogram {
    /// Adds the latency of one answer.
    pub fn record(&self, latency: Duration) {
        self.buckets[bucket_of(latency)].fetch_add(1, Ordering::Relaxed);
        // Exactly one thread sees the count that starts the halving.
        if self.total.fetch_add(1, Ordering::Relaxed) + 1 == HALVE_AT {
            self.halve();
        }
    }

    /// Returns the number of answers that count at present.
    pub fn count(&self) -> u32 {
        self.total.load(Ordering::Relaxed)
    }

    /// Returns an upper bound of the latency that `percent` of the answers
    /// stay below, or `None` without answers.
    pub fn quantile(&self, percent: u32) -> Option<Duration> {
        let counts: Vec<u64> = self
            .buckets
            .iter()
            .map(|bucket| u64::from(bucket.load(Ordering::Relaxed)))
            .collect();
        let total: u64 = counts.iter().sum();
        let wanted = (total * u64::from(percent)).div_ceil(100).max(1);
        let mut below = 0;
        let index = counts.iter().position(|count| {
            below += count;
            below >= wanted
        })?;
        Some(upper_bound(index))
    }

    fn halve(&self) {
        let mut removed = 0;
        for bucket in &self.buckets {
            let half = bucket.load(Ordering::Relaxed).div_ceil(2);
            bucket.fetch_sub(half, Ordering::Relaxed);
            removed += half;
        }
        self.total.fetch_sub(removed, Ordering::Relaxed);
    }
}

fn bucket_of(latency: Duration) -> usize {
    let us = u64::try_from(latency.as_micros()).unwrap_or(u64::MAX);
    let us = us.max(STEPS);
    let doubling = u64::from(us.ilog2()) - 2;
    let step = (us >> doubling) - STEPS;
    let index = usize::try_from(doubling * STEPS + step).unwrap_or(BUCKETS);
    index.min(BUCKETS - 1)
}

fn upper_bound(index: usize) -> Duration {
    let index = index as u64;
    let step = index % STEPS + STEPS + 1;
    Duration::from_micros(step << (index / STEPS))
}
