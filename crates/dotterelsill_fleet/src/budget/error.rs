//! Refusals of a budget.

use snafu::Snafu;

use crate::{
    DataCentre,
    Rack,
    Token, //
};

/// Reason why a budget record was left unchanged.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq, Snafu)]
#[snafu(visibility(pub(super)))]
pub enum BudgetError {
    /// The outage would exceed the number allowed in its data centre.
    #[snafu(display(
        "data centre {} has {out} of at most {limit} instances out; wait for one to return",
        data_centre.0
    ))]
    DataCentreFull {
        /// Data centre of the instance.
        data_centre: DataCentre,
        /// Instances allowed to be out.
        limit: u32,
        /// Other instances that are out.
        out: u32,
    },
    /// A planner with a higher token has written the record.
    #[snafu(display(
        "the budget was written under token {}, above {}; this planner has lost its lease",
        found.0,
        own.0
    ))]
    Fenced {
        /// Token of the record.
        found: Token,
        /// Token of this planner.
        own: Token,
    },
    /// The outage would take the service below its floor.
    #[snafu(display(
        "the service would keep {left} upstreams, below its floor of {floor}; wait for one to return"
    ))]
    Floor {
        /// Upstreams that must stay in service.
        floor: u32,
        /// Upstreams that would stay in service.
        left: u32,
    },
    /// The outage would exceed the number allowed in its rack.
    #[snafu(display(
        "rack {} has {out} of at most {limit} instances out; wait for one to return",
        rack.0
    ))]
    RackFull {
        /// Instances allowed to be out.
        limit: u32,
        /// Other instances that are out.
        out: u32,
        /// Rack of the instance.
        rack: Rack,
    },
}
