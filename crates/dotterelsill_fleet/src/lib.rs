//! Pool moves and availability budgets.
//!
//! A [`Mover`] takes one instance from its pool to another. It charges the
//! outage to the [`BudgetRecord`] of the service, records each step in the
//! [`PoolRecord`] of the instance before it orders the step, and clears the
//! charge after the instance was seen in service. A step cut short is resumed
//! from the record by a mover with a higher [`Token`].
//!
//! The driver performs the returned [`Action`]s and passes the answers back as
//! [`Event`]s. The safety of this crate rests on three properties:
//!
//! - A write that expects an older version never takes effect, and the
//!   versions of a key never repeat.
//! - Orders are carried out behind a [`Gate`], whose state lives as long as
//!   the instance. An instance that loses it must come back under a new name.
//! - A planner runs at most one mover for an instance, and a restarted planner
//!   has a higher token.

mod budget;
mod gate;
mod ids;
mod moves;
mod versioned;

pub use budget::{
    BudgetError,
    BudgetRecord,
    BudgetRule,
    Charge, //
};
pub use gate::Gate;
pub use ids::{
    DataCentre,
    Instance,
    Pool,
    Rack,
    Stamp,
    Token,
    Upstream, //
};
pub use moves::{
    Action,
    Event,
    Mover,
    Order,
    Outcome,
    PoolRecord,
    Step, //
};
pub use versioned::{
    Versioned,
    Write, //
};
