//! What the spare capacity of a pool is computed from.

use std::time::Duration;

/// Observed demand of a pool.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct PoolDemand<'a> {
    /// Work that arrived in each interval, in instances that it keeps busy for
    /// the length of the interval.
    pub arrived_instances: &'a [f64],
    /// Length of an interval.
    pub interval: Duration,
}

impl PoolDemand<'_> {
    /// Returns the mean demand, in instances.
    pub fn mean_instances(&self) -> f64 {
        let count = self.arrived_instances.len().max(1);
        self.arrived_instances.iter().sum::<f64>() / count as f64
    }
}

/// Spread of a pool over failure domains, as even as whole instances allow.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct PoolLayout {
    /// Data centres that the pool is spread over.
    pub data_centres: u32,
    /// Most instances of the pool in one rack.
    pub per_rack: u32,
}

impl PoolLayout {
    /// Returns the instances that are left of `instances` after the largest
    /// data centre is out and a full rack elsewhere is lost.
    pub fn survivors(&self, instances: u32) -> u32 {
        let out = instances.div_ceil(self.data_centres.max(1));
        let elsewhere = instances - out;
        let next = match self.data_centres {
            0 | 1 => 0,
            more => elsewhere.div_ceil(more - 1),
        };
        elsewhere - next.min(self.per_rack)
    }
}

/// Guarantee that the spare capacity must keep, and baseline.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct BufferPolicy {
    /// Length of a burst.
    pub burst: Duration,
    /// Demand of a burst, as a multiple of the mean.
    pub burst_factor: f64,
    /// Cost of one instance for a day.
    pub cost_per_day: f64,
    /// Spare capacity of the baseline, as a share of the pool without spare.
    pub baseline_share: f64,
    /// Longest time that work may wait for its start.
    pub max_wait: Duration,
}

impl Default for BufferPolicy {
    fn default() -> Self {
        Self {
            burst: Duration::from_secs(10),
            burst_factor: 5.0,
            cost_per_day: 1.0,
            baseline_share: 0.3,
            max_wait: Duration::from_millis(5400),
        }
    }
}
