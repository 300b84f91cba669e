//! Reasons for decisions, as types and as text.

use std::fmt::{
    Display,
    Formatter,
    Result, //
};

use crate::{
    BudgetError,
    Outcome,
    Pool,
    PoolRecord,
    Service,
    Step, //
};

/// Limit that prevents a maintenance visit.
#[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub enum Limit {
    /// Number of outages allowed in the data centre.
    DataCentre,
    /// Availability floor of the service, or its demand.
    FloorOrDemand,
    /// Number of outages allowed in the rack.
    Rack,
}

/// Why an instance is in its current state, or why it waits.
#[derive(Clone, Debug, PartialEq)]
pub enum Reason {
    /// The budget of its service refuses the outage.
    Budget(BudgetError),
    /// Its wave is halted.
    Halted {
        /// Failures since the wave was started or last resumed.
        failed: usize,
        /// Instances that are in progress or done.
        started: usize,
    },
    /// No hour before it is due satisfies all limits.
    NoFreeHour {
        /// Limit that blocks the most hours.
        limit: Limit,
        /// Service that the limit belongs to.
        service: Service,
    },
    /// A move is in progress.
    Moving {
        /// Pool that the instance leaves.
        from: Pool,
        /// Step that is in progress.
        step: Step,
    },
    /// Its maintenance is planned for the cheapest hour that satisfies all limits.
    Planned {
        /// Its share of the cost of the load that the visit displaces.
        load_cost: f64,
        /// Whether its maintenance is overdue.
        overdue: bool,
        /// Number of instances of its rack in the same visit.
        together: usize,
    },
    /// It is in this pool, and no move is in progress.
    Settled(Pool),
    /// It waits for the instances ahead of it in the wave.
    Queued {
        /// Number of instances ahead of it.
        ahead: usize,
    },
    /// A planner with a higher token is in charge of it.
    OtherPlanner,
    /// The store has no pool record of it.
    Unrecorded,
    /// The operators' configuration does not name its service.
    UnknownService(Service),
}

impl From<&PoolRecord> for Reason {
    fn from(record: &PoolRecord) -> Self {
        match record.step {
            Step::Settled => Self::Settled(record.pool),
            step => Self::Moving {
                from: record.pool,
                step,
            },
        }
    }
}

impl From<Outcome> for Reason {
    fn from(outcome: Outcome) -> Self {
        match outcome {
            Outcome::Fenced => Self::OtherPlanner,
            Outcome::Missing => Self::Unrecorded,
            Outcome::Settled(pool) => Self::Settled(pool),
            Outcome::BudgetRefused(error) => Self::Budget(error),
        }
    }
}

impl Display for Limit {
    fn fmt(&self, f: &mut Formatter<'_>) -> Result {
        f.write_str(match self {
            Self::DataCentre => "the outages allowed in its data centre",
            Self::FloorOrDemand => "the floor or the demand",
            Self::Rack => "the outages allowed in its rack",
        })
    }
}

impl Display for Step {
    fn fmt(&self, f: &mut Formatter<'_>) -> Result {
        match self {
            Self::Attach { to } => write!(f, "attaching to pool {}", to.0),
            Self::ConfirmEmpty(route) => write!(f, "finishing its work before pool {}", route.to.0),
            Self::Detach(route) => write!(f, "detaching before pool {}", route.to.0),
            Self::Drain(route) => write!(f, "draining before pool {}", route.to.0),
            Self::Maintain { to } => write!(f, "being maintained before pool {}", to.0),
            Self::Settled => f.write_str("settled"),
        }
    }
}

impl Display for Reason {
    fn fmt(&self, f: &mut Formatter<'_>) -> Result {
        match self {
            Self::Budget(error) => write!(f, "waits: {error}"),
            Self::Halted { failed, started } => {
                write!(
                    f,
                    "waits: halted after {failed} failures among {started} instances"
                )
            }
            Self::NoFreeHour { limit, service } => {
                let service = service.0;
                write!(f, "waits: {limit} of service {service} leave no free hour")
            }
            Self::Moving { from, step } => write!(f, "moves from pool {}: {step}", from.0),
            Self::Planned {
                load_cost,
                overdue,
                together,
            } => {
                let due = if *overdue { "overdue, " } else { "" };
                write!(
                    f,
                    "planned: {due}cheapest free hour, {together} of its rack together, load cost {load_cost:.2}"
                )
            }
            Self::Settled(pool) => write!(f, "is in pool {}", pool.0),
            Self::Queued { ahead } => write!(f, "waits: {ahead} instances are ahead of it"),
            Self::OtherPlanner => f.write_str("waits: a newer planner is in charge of it"),
            Self::Unrecorded => f.write_str("unknown: the store has no pool record of it"),
            Self::UnknownService(service) => {
                write!(
                    f,
                    "waits: service {} has no budget; add it to the configuration",
                    service.0
                )
            }
        }
    }
}
