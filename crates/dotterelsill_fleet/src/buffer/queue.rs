//! Waiting times of a pool, modelled as a fluid queue.

use std::time::Duration;

use super::{
    BufferPolicy,
    PoolDemand, //
};

/// Returns the maximum wait if `instances` serve the observed demand or a single
/// burst, or `None` if their capacity does not exceed the mean demand.
pub(super) fn worst_wait(
    demand: &PoolDemand<'_>,
    policy: &BufferPolicy,
    instances: u32,
) -> Option<Duration> {
    let capacity = f64::from(instances);
    let mean = demand.mean_instances();
    if capacity <= mean {
        return (mean <= 0.0).then_some(Duration::ZERO);
    }
    let observed = observed_backlog(demand, capacity);
    let burst_backlog = (policy.burst_factor * mean - capacity) * policy.burst.as_secs_f64();
    Some(Duration::from_secs_f64(
        observed.max(burst_backlog) / capacity,
    ))
}

/// Returns the maximum backlog of the observed demand, in instance seconds.
fn observed_backlog(demand: &PoolDemand<'_>, capacity: f64) -> f64 {
    let interval_s = demand.interval.as_secs_f64();
    let mut backlog = 0.0_f64;
    let mut worst = 0.0_f64;
    for arrived in demand.arrived_instances {
        backlog = (backlog + (arrived - capacity) * interval_s).max(0.0);
        worst = worst.max(backlog);
    }
    worst
}
