//! Reasons of decisions, as types and as text.

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

/// Limit that leaves no hour for a visit.
#[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub enum Limit {
    /// Outages allowed in the data centre.
    DataCentre,
    /// Floor of the service, or its demand.
    FloorOrDemand,
    /// Outages allowed in the rack.
    Rack,
}

/// Why an instance is where it is, or why it waits.
#[derive(Clone, Debug, PartialEq)]
pub enum Reason {
    /// The budget refuses its outage.
    Budget(BudgetError),
    /// Its roll-out or wave is halted.
    Halted {
        /// Failures since the wave started.
        failed: usize,
        /// Instances that were taken.
        taken: usize,
    },
    /// It has no free hour before it is due.
    NoFreeHour {
        /// Limit that blocks the most hours.
        limit: Limit,
        /// Service that the limit belongs to.
        service: Service,
    },
    /// A move is in progress.
    Moving {
        /// Pool that it leaves.
        from: Pool,
        /// Step that is in progress.
        step: Step,
    },
    /// Its maintenance is planned for the cheapest free hour.
    Planned {
        /// Cost of the load that its outage displaces.
        load_cost: f64,
        /// Whether it is due already.
        overdue: bool,
        /// Instances of its rack in the same visit.
        together: usize,
    },
    /// It is settled in its pool.
    Settled(Pool),
    /// It waits until the instances before it are done.
    Queued {
        /// Instances that are taken before it.
        ahead: usize,
    },
    /// A planner with a higher token decides on it.
    OtherPlanner,
    /// The store has no record of it.
    Unrecorded,
    /// The operators' text does not name its service.
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
            Self::ConfirmEmpty(r) => write!(f, "finishing its work before pool {}", r.to.0),
            Self::Detach(r) => write!(f, "detaching before pool {}", r.to.0),
            Self::Drain(r) => write!(f, "draining before pool {}", r.to.0),
            Self::Maintain { to } => write!(f, "being maintained before pool {}", to.0),
            Self::Settled => f.write_str("settled"),
        }
    }
}

impl Display for Reason {
    fn fmt(&self, f: &mut Formatter<'_>) -> Result {
        match self {
            Self::Budget(error) => write!(f, "waits: {error}"),
            Self::Halted { failed, taken } => {
                write!(
                    f,
                    "waits: halted after {failed} failures among {taken} instances"
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
            Self::Queued { ahead } => write!(f, "waits: {ahead} instances are taken before it"),
            Self::OtherPlanner => f.write_str("waits: a newer planner decides on it"),
            Self::Unrecorded => f.write_str("unknown: the store has no pool record of it"),
            Self::UnknownService(service) => {
                write!(
                    f,
                    "waits: service {} has no budget; add it to the text",
                    service.0
                )
            }
        }
    }
}
