//! What a maintenance plan is made from.

use std::time::SystemTime;

use crate::{
    BudgetLimits,
    Service,
    Upstream, //
};

/// Instance to maintain.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct MaintenanceTarget {
    /// End of the last maintenance.
    pub last_maintained: SystemTime,
    /// Service that loses the instance during the maintenance.
    pub service: Service,
    /// Instance with its failure domains.
    pub upstream: Upstream,
}

/// Budget and demand of a service.
#[derive(Clone, Debug, PartialEq)]
pub struct ServiceLoad {
    /// Instances that the demand of all its queues needs, by hour. The hour
    /// that starts at the Unix epoch is the first one, and the values repeat
    /// (24 values for a day, 168 for a week that starts on a Thursday).
    pub demand_instances: Vec<f64>,
    /// Limits of the service's outages.
    pub limits: BudgetLimits,
    /// Number of the service.
    pub service: Service,
    /// Upstreams that the service is meant to have.
    pub upstreams: u32,
}

/// Interval and costs of the maintenance. All costs are in the same unit.
#[derive(Clone, Debug, PartialEq)]
pub struct MaintenancePolicy {
    /// Time that an instance or a group of them is out, in hours.
    pub duration_h: u32,
    /// Longest time between two maintenances of an instance, in hours.
    pub interval_h: u32,
    /// Cost of an hour without an instance of a fully loaded service.
    pub load_cost: f64,
    /// Time kept free before an instance is due, for halted waves, in hours.
    pub margin_h: u32,
    /// Cost of the maintenance of one instance. A maintenance that is early by
    /// a tenth of the interval wastes a tenth of it.
    pub instance_cost: f64,
    /// Cost of a visit to a rack, whatever the number of instances.
    pub visit_cost: f64,
}

impl Default for MaintenancePolicy {
    fn default() -> Self {
        Self {
            duration_h: 1,
            interval_h: 6 * 7 * 24,
            load_cost: 4.0,
            margin_h: 7 * 24,
            instance_cost: 1.0,
            visit_cost: 1.0,
        }
    }
}
