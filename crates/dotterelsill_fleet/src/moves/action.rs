//! Actions that a mover requests from its driver.

use crate::{
    BudgetError,
    BudgetRecord,
    Pool,
    PoolRecord,
    Stamp,
    Write, //
};

/// Order to an instance, as a step of its move. All orders are idempotent.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
pub enum Order {
    /// Attach to a pool and accept work.
    Attach(Pool),
    /// Detach from a pool.
    Detach(Pool),
    /// Accept no new work, in order to leave this pool.
    Drain(Pool),
    /// Update or reboot. The planner decides what the maintenance consists of;
    /// repeating it must be harmless.
    Maintain,
}

/// Final result of a mover.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
pub enum Outcome {
    /// A planner with a higher token is in charge.
    Fenced,
    /// The store has no pool record for the instance.
    Missing,
    /// The instance is in this pool and has no voluntary charge.
    Settled(Pool),
    /// The budget refused the outage, and nothing was changed.
    BudgetRefused(BudgetError),
}

/// Action that the driver performs. The result is passed back as an
/// [`crate::Event`].
#[derive(Clone, Debug, Eq, Hash, PartialEq)]
pub enum Action {
    /// Ask the instance whether it has no work left.
    AskEmpty(Stamp),
    /// Ask the instance whether it is attached and accepts work.
    AskInService(Stamp),
    /// Send an order to the instance.
    Order(Order, Stamp),
    /// Read the budget record of the service.
    ReadBudget,
    /// Read the pool record of the instance.
    ReadPool,
    /// Stop driving this mover.
    Stop(Outcome),
    /// Write the budget record of the service.
    WriteBudget(Write<BudgetRecord>),
    /// Write the pool record of the instance.
    WritePool(Write<PoolRecord>),
}
