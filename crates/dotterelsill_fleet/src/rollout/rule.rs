//! Batch sizes and limits of a wave.

use std::time::Duration;

/// Batch sizes of a wave and the conditions under which it halts.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct WavePolicy {
    /// Number of instances in the first batch.
    pub canary: usize,
    /// Maximum number of instances in a batch.
    pub max_batch: usize,
    /// Number of failures within `watch` at which the wave halts. During the
    /// canary batch, one failure is enough.
    pub max_failures: usize,
    /// Time between the end of a batch and the start of the next one.
    pub soak: Duration,
    /// Time for which an instance is watched after its return. Later failures are
    /// not attributed to the wave: 12 of 790 instances fail on a usual day.
    pub watch: Duration,
    /// Factor by which the batch size grows.
    pub widening_factor: usize,
}

impl Default for WavePolicy {
    fn default() -> Self {
        Self {
            canary: 1,
            max_batch: 32,
            max_failures: 3,
            soak: Duration::from_secs(5 * 60),
            watch: Duration::from_secs(30 * 60),
            widening_factor: 2,
        }
    }
}
