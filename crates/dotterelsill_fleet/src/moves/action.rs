//! What a mover asks its driver to do.

use crate::{
    BudgetError,
    BudgetRecord,
    Pool,
    PoolRecord,
    Stamp,
    Write, //
};

/// Change of the pool of an instance. Each is idempotent.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
pub enum Order {
    /// Attaches the instance to a pool and lets it accept work.
    Attach(Pool),
    /// Detaches the instance from a pool.
    Detach(Pool),
    /// Lets the instance accept no new work.
    Drain(Pool),
    /// Updates or reboots the instance. What it brings the instance to is the
    /// planner's choice; repeating it must be harmless.
    Maintain,
}

/// End of a mover's work.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
pub enum Outcome {
    /// A planner with a higher token is in charge.
    Fenced,
    /// The store has no pool record for the instance.
    Missing,
    /// The instance is in this pool, and its charge is cleared.
    Settled(Pool),
    /// The budget refused the outage; nothing was changed.
    BudgetRefused(BudgetError),
}

/// Action of the driver. The answer comes back as an [`crate::Event`].
#[derive(Clone, Debug, Eq, Hash, PartialEq)]
pub enum Action {
    /// Asks the instance whether it has no work left.
    AskEmpty(Stamp),
    /// Asks the instance whether it is attached and accepts work.
    AskInService(Stamp),
    /// Sends an order to the instance.
    Order(Order, Stamp),
    /// Reads the budget record of the service.
    ReadBudget,
    /// Reads the pool record of the instance.
    ReadPool,
    /// Ends the work of this mover.
    Stop(Outcome),
    /// Writes the budget record of the service.
    WriteBudget(Write<BudgetRecord>),
    /// Writes the pool record of the instance.
    WritePool(Write<PoolRecord>),
}
