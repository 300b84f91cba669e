//! Sizes and limits of a wave.

use std::time::Duration;

/// Sizes of the batches of a wave, and when it halts.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct WavePolicy {
    /// Instances in the first batch.
    pub canary: usize,
    /// Largest number of instances taken at once.
    pub max_batch: usize,
    /// Failures within `watch` at which the wave halts. In a canary, one is
    /// enough.
    pub max_failures: usize,
    /// Time without a failure before the next batch starts.
    pub soak: Duration,
    /// Time for which an instance is watched after its return. Failures later
    /// than that are the usual ones (12 a day in 790), not the wave's.
    pub watch: Duration,
    /// Factor by which each batch is larger than the one before.
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
