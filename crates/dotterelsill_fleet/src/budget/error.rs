//! Errors of budget changes.

use snafu::Snafu;

use crate::{
    DataCentre,
    Rack,
    Token, //
};

/// Reason why a change of a budget record was refused.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq, Snafu)]
#[snafu(visibility(pub(super)))]
pub enum BudgetError {
    /// The outage would exceed the limit of the data centre.
    #[snafu(display(
        "data centre {} has {out} of at most {limit} instances out; wait for one to return",
        data_centre.0
    ))]
    DataCentreFull {
        /// Data centre of the instance.
        data_centre: DataCentre,
        /// Number of instances that may be out in the data centre.
        limit: u32,
        /// Number of other instances that are out.
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
    /// The outage would take the service below its availability floor.
    #[snafu(display(
        "the service would keep {left} upstreams, below its floor of {floor}; wait for one to return"
    ))]
    Floor {
        /// Number of upstreams that must stay in service.
        floor: u32,
        /// Number of upstreams that would stay in service.
        left: u32,
    },
    /// The outage would exceed the limit of the rack.
    #[snafu(display(
        "rack {} has {out} of at most {limit} instances out; wait for one to return",
        rack.0
    ))]
    RackFull {
        /// Number of instances that may be out in the rack.
        limit: u32,
        /// Number of other instances that are out.
        out: u32,
        /// Rack of the instance.
        rack: Rack,
    },
}
