//! Lock-free histogram of the latency of answers.

use std::{
    sync::atomic::{
        AtomicU32,
        Ordering, //
    },
    time::Duration, //
};

/// Number of buckets per power of two; the error of a quantile is at most a
/// quarter.
const SUB_BUCKETS: u64 = 4;

/// Number of buckets, which cover latencies from 1 us to more than an hour.
const BUCKETS: usize = 128;

/// Number of answers at which all counts are halved, so that old answers lose
/// weight.
const HALVING_THRESHOLD: u32 = 2048;

/// Histogram of latencies, shared by all threads.
///
/// A driver keeps one histogram per queue. With a common one, every long
/// request would exceed the percentile of the short ones and be hedged.
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
        // Exactly one thread reaches the threshold and halves the counts.
        if self.total.fetch_add(1, Ordering::Relaxed) + 1 == HALVING_THRESHOLD {
            self.halve();
        }
    }

    /// Returns the number of answers in the histogram, after halving.
    pub fn count(&self) -> u32 {
        self.total.load(Ordering::Relaxed)
    }

    /// Returns an upper bound of the `percent`-th percentile of the latency, or
    /// `None` without answers.
    pub fn quantile(&self, percent: u32) -> Option<Duration> {
        let counts: Vec<u64> = self
            .buckets
            .iter()
            .map(|bucket| u64::from(bucket.load(Ordering::Relaxed)))
            .collect();
        let total: u64 = counts.iter().sum();
        let rank = (total * u64::from(percent)).div_ceil(100).max(1);
        let mut cumulative = 0;
        let index = counts.iter().position(|count| {
            cumulative += count;
            cumulative >= rank
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
    let us = us.max(SUB_BUCKETS);
    let exponent = u64::from(us.ilog2()) - 2;
    let step = (us >> exponent) - SUB_BUCKETS;
    let index = usize::try_from(exponent * SUB_BUCKETS + step).unwrap_or(BUCKETS);
    index.min(BUCKETS - 1)
}

fn upper_bound(index: usize) -> Duration {
    let index = index as u64;
    let step = index % SUB_BUCKETS + SUB_BUCKETS + 1;
    Duration::from_micros(step << (index / SUB_BUCKETS))
}
