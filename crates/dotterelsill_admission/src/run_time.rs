//! Run times of the requests of one team at one urgency level.

use std::{
    sync::atomic::{
        AtomicU64,
        Ordering, //
    },
    time::Duration, //
};

/// Divisor of the weight of one observation in the running mean.
const MEAN_DIVISOR: u64 = 16;

/// Divisors of the steps of the running quantile: up by a half, down by a
/// 200th. The steps balance if one run time in 100 is above the estimate, which
/// makes it the 99th percentile.
const P99_UP_DIVISOR: u64 = 2;
const P99_DOWN_DIVISOR: u64 = 200;

/// Initial estimate of the 99th percentile, as a multiple of the first run
/// time.
const P99_INITIAL_FACTOR: u64 = 3;

/// Running mean and running 99th percentile of the run times, in microseconds.
/// A value of 0 means that no run time was observed.
#[derive(Debug, Default)]
pub(crate) struct RunTime {
    mean_us: AtomicU64,
    p99_us: AtomicU64,
}

impl RunTime {
    /// Adds the run time of a finished request to the estimates.
    pub(crate) fn observe(&self, run: Duration) {
        let run_us = u64::try_from(run.as_micros()).unwrap_or(u64::MAX).max(1);
        update(&self.mean_us, |mean| match mean {
            0 => run_us,
            _ => mean - mean / MEAN_DIVISOR + run_us / MEAN_DIVISOR,
        });
        update(&self.p99_us, |p99| match p99 {
            0 => run_us.saturating_mul(P99_INITIAL_FACTOR),
            _ if run_us > p99 => p99 + p99 / P99_UP_DIVISOR + 1,
            _ => p99 - p99 / P99_DOWN_DIVISOR,
        });
    }

    /// Returns the running mean, or zero if no run time was observed.
    pub(crate) fn mean(&self) -> Duration {
        Duration::from_micros(self.mean_us.load(Ordering::Relaxed))
    }

    /// Returns the running 99th percentile, or zero if no run time was
    /// observed.
    pub(crate) fn p99(&self) -> Duration {
        Duration::from_micros(self.p99_us.load(Ordering::Relaxed))
    }
}

fn update(value: &AtomicU64, step: impl Fn(u64) -> u64) {
    let _ = value.fetch_update(Ordering::Relaxed, Ordering::Relaxed, |old| {
        Some(step(old).max(1))
    });
}
