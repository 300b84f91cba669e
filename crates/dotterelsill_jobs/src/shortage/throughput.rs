//! Work that a full pool really starts.
//!
//! Load pattern: run times differ from their estimates by half or more, some tasks take
//! several times as long, and tasks of different sizes leave gaps on the workers. The
//! capacity of the workers alone is then more than the pool finishes in time.

use std::time::Duration;

/// Rate that is assumed when a shortage begins.
const INITIAL_RATE: f64 = 0.7;

/// Bounds of the rate. They keep an interval without starts, or one in which many workers
/// join, from deciding the order.
const MIN_RATE: f64 = 0.3;
const MAX_RATE: f64 = 1.0;

/// Time constant of the mean, a few times that of a task.
const MEAN_TIME: Duration = Duration::from_millis(2000);

/// Estimated work that a pool starts in a time, as a part of its capacity.
#[derive(Debug)]
pub(crate) struct Throughput {
    rate: f64,
    /// Estimated work started since the last measurement, as the time in milliseconds for
    /// which it takes the whole pool.
    started_ms: f64,
    /// Time of the last measurement during the present shortage.
    measured_at: Option<Duration>,
}

impl Default for Throughput {
    fn default() -> Self {
        Self {
            rate: INITIAL_RATE,
            started_ms: 0.0,
            measured_at: None,
        }
    }
}

impl Throughput {
    /// Records the estimated work of a started task.
    pub(crate) fn on_start(&mut self, work_ms: f64) {
        self.started_ms += work_ms;
    }

    /// Records that the pool has free room.
    pub(crate) fn on_free_room(&mut self) {
        self.measured_at = None;
        self.started_ms = 0.0;
    }

    /// Returns the rate, including the time since the last call, for which the pool was
    /// full.
    pub(crate) fn measure(&mut self, now: Duration) -> f64 {
        let started_ms = std::mem::take(&mut self.started_ms);
        let since = self.measured_at.replace(now);
        let took = since.map_or(Duration::ZERO, |since| now.saturating_sub(since));
        if !took.is_zero() {
            let rate = started_ms / (took.as_secs_f64() * 1000.0);
            let part = 1.0 - (-took.as_secs_f64() / MEAN_TIME.as_secs_f64()).exp();
            self.rate += (rate - self.rate) * part;
            self.rate = self.rate.clamp(MIN_RATE, MAX_RATE);
        }
        self.rate
    }
}
