//! Observed run times of one team's requests at one urgency.

use std::{
    sync::atomic::{
        AtomicU64,
        Ordering, //
    },
    time::Duration, //
};

/// Weight of one observation in the mean is one part in this many.
const MEAN_PARTS: u64 = 16;

/// Step of the high quantile: up by half, down by a 200th. The two balance when
/// one run time in 100 is higher.
const UP_PARTS: u64 = 2;
const DOWN_PARTS: u64 = 200;

/// First guess of the high quantile, in multiples of the first run time.
const HIGH_FIRST: u64 = 3;

/// Running mean and running 99th percentile; 0 means none observed.
#[derive(Debug, Default)]
pub(crate) struct RunTime {
    mean_us: AtomicU64,
    high_us: AtomicU64,
}

impl RunTime {
    /// Adds the run time of a request that ended.
    pub(crate) fn observe(&self, run: Duration) {
        let run_us = u64::try_from(run.as_micros()).unwrap_or(u64::MAX).max(1);
        update(&self.mean_us, |mean| match mean {
            0 => run_us,
            _ => mean - mean / MEAN_PARTS + run_us / MEAN_PARTS,
        });
        update(&self.high_us, |high| match high {
            0 => run_us.saturating_mul(HIGH_FIRST),
            _ if run_us > high => high + high / UP_PARTS + 1,
            _ => high - high / DOWN_PARTS,
        });
    }

    /// Returns the mean.
    pub(crate) fn mean(&self) -> Duration {
        Duration::from_micros(self.mean_us.load(Ordering::Relaxed))
    }

    /// Returns a time that nearly all requests stay below.
    pub(crate) fn high(&self) -> Duration {
        Duration::from_micros(self.high_us.load(Ordering::Relaxed))
    }
}

fn update(value: &AtomicU64, step: impl Fn(u64) -> u64) {
    let _ = value.fetch_update(Ordering::Relaxed, Ordering::Relaxed, |old| {
        Some(step(old).max(1))
    });
}
