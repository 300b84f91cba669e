//! Input for the spare capacity of a pool.

use std::time::Duration;

/// Observed demand of a pool.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct PoolDemand<'a> {
    /// Work that arrived in each interval, as the number of instances that it keeps
    /// busy for the length of the interval.
    pub arrived_instances: &'a [f64],
    /// Length of one interval.
    pub interval: Duration,
}

impl PoolDemand<'_> {
    /// Returns the mean demand, in instances.
    pub fn mean_instances(&self) -> f64 {
        let count = self.arrived_instances.len().max(1);
        self.arrived_instances.iter().sum::<f64>() / count as f64
    }
}

/// Distribution of a pool over failure domains. Instances are distributed over
/// the data centres as evenly as possible.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct PoolLayout {
    /// Number of data centres with instances of the pool.
    pub data_centres: u32,
    /// Maximum number of instances of the pool in one rack.
    pub per_rack: u32,
}

impl PoolLayout {
    /// Returns how many of `instances` remain if the data centre with the most
    /// instances is out and a full rack in another data centre has failed.
    pub fn survivors(&self, instances: u32) -> u32 {
        let largest = instances.div_ceil(self.data_centres.max(1));
        let others = instances - largest;
        let second_largest = match self.data_centres {
            0 | 1 => 0,
            count => others.div_ceil(count - 1),
        };
        others - second_largest.min(self.per_rack)
    }
}

/// Guarantee for the waiting time, and a fixed share of spare capacity as the
/// baseline to compare with.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct BufferPolicy {
    /// Length of a burst.
    pub burst: Duration,
    /// Demand during a burst, as a multiple of the mean demand.
    pub burst_factor: f64,
    /// Cost of one instance per day.
    pub cost_per_day: f64,
    /// Spare capacity of the baseline, as a share of the base instances.
    pub baseline_share: f64,
    /// Maximum time that work may wait before it starts.
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
