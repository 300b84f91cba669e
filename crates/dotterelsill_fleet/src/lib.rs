//! Pool moves, availability budgets and maintenance.
//!
//! A [`Mover`] takes one instance from its pool to another, or out of it for
//! maintenance and back. It charges the
//! outage to the [`BudgetRecord`] of the service, records each step in the
//! [`PoolRecord`] of the instance before it orders the step, and clears the
//! charge after the instance was seen in service. A step cut short is resumed
//! from the record by a mover with a higher [`Token`].
//!
//! [`plan_maintenance`] chooses who is maintained when, and a [`Wave`] takes
//! instances in widening batches and halts when failures rise. Each decision
//! has a [`Reason`] with a text form. A [`BufferPlan`] finds the least spare
//! capacity of a pool, and [`PoolSizer`] keeps the moves few.
//!
//! The driver performs the returned [`Action`]s and passes the answers back as
//! [`Event`]s. The safety of this crate rests on three properties:
//!
//! - A write that expects an older version never takes effect, and the
//!   versions of a key never repeat.
//! - Orders are carried out behind a [`Gate`], whose state lives as long as
//!   the instance. An instance that loses it must come back under a new name.
//! - A planner runs at most one mover for an instance, and a restarted planner
//!   has a higher token. It completes a [`Takeover`] before it starts a mover.

mod budget;
mod buffer;
mod gate;
mod ids;
mod maintenance;
mod moves;
mod reason;
mod rollout;
mod takeover;
mod versioned;

pub use budget::{
    BudgetError,
    BudgetLimits,
    BudgetRecord,
    Charge, //
};
pub use buffer::{
    BufferEvaluation,
    BufferPlan,
    BufferPolicy,
    PoolDemand,
    PoolLayout,
    PoolSizer, //
};
pub use gate::Gate;
pub use ids::{
    DataCentre,
    Instance,
    Pool,
    Rack,
    Service,
    Stamp,
    Token,
    Upstream, //
};
pub use maintenance::{
    plan_maintenance,
    InstanceSchedule,
    MaintenancePolicy,
    MaintenanceTarget,
    ServiceLoad,
    Visit, //
};
pub use moves::{
    Action,
    Event,
    Goal,
    Mover,
    Order,
    Outcome,
    PoolRecord,
    Route,
    Step, //
};
pub use reason::{
    Limit,
    Reason, //
};
pub use rollout::{
    Wave,
    WavePhase,
    WavePolicy, //
};
pub use takeover::{
    Takeover,
    TakeoverAction,
    TakeoverEvent, //
};
pub use versioned::{
    Versioned,
    Write, //
};
