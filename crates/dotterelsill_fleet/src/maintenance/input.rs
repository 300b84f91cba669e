//! Input of a maintenance plan.

use std::time::SystemTime;

use crate::{
    BudgetLimits,
    Service,
    Upstream, //
};

/// Instance to maintain, with the time of its last maintenance.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct MaintenanceTarget {
    /// End of the last maintenance.
    pub last_maintained: SystemTime,
    /// Service whose capacity is reduced during the maintenance.
    pub service: Service,
    /// Instance and its failure domains.
    pub upstream: Upstream,
}

/// Budget and demand of a service.
#[derive(Clone, Debug, PartialEq)]
pub struct ServiceLoad {
    /// Number of instances needed for the demand of all queues of the service, by
    /// hour. The first value is for the hour that starts at the Unix epoch, and
    /// the values repeat (24 values for a day, 168 for a week that starts on a
    /// Thursday).
    pub demand_instances: Vec<f64>,
    /// Budget limits of the service.
    pub limits: BudgetLimits,
    /// Number of the service.
    pub service: Service,
    /// Number of upstreams that the service is meant to have.
    pub upstreams: u32,
}

/// Interval and costs of the maintenance. All costs are in the same unit.
#[derive(Clone, Debug, PartialEq)]
pub struct MaintenancePolicy {
    /// Length of a visit, during which its instances are out, in hours.
    pub duration_h: u32,
    /// Maximum time between two maintenances of an instance, in hours.
    pub interval_h: u32,
    /// Cost of an hour without one instance of a fully loaded service.
    pub load_cost: f64,
    /// Time reserved before an instance is due, in case a wave is halted, in hours.
    pub margin_h: u32,
    /// Cost of the maintenance of one instance. Maintenance that is early by a
    /// tenth of the interval wastes a tenth of it, and the cost of a delay is
    /// computed in the same way.
    pub instance_cost: f64,
    /// Cost of a visit to a rack, regardless of the number of instances.
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
