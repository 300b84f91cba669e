//! Pool moves, availability budgets and maintenance.
//!
//! A [`Mover`] moves one instance to another pool, or takes it out of its pool
//! for maintenance and attaches it again. It charges the outage to the
//! [`BudgetRecord`] of the service, records each step in the [`PoolRecord`] of
//! the instance before it orders the step, and clears the charge after the
//! instance was seen in service. A mover with a higher [`Token`] resumes an
//! interrupted move from the record.
//!
//! [`plan_maintenance`] schedules the maintenance of all instances. A [`Wave`]
//! restarts, updates or maintains instances in batches of growing size and
//! halts when failures accumulate. Each decision has a [`Reason`], which
//! implements `Display`. A [`BufferPlan`] computes the minimum spare capacity
//! of a pool, and a [`PoolSizer`] limits how often instances are moved into and
//! out of it.
//!
//! The driver performs the returned [`Action`]s and passes the results back as
//! [`Event`]s. Safety depends on three properties:
//!
//! - A write that expects an outdated version never takes effect, and the
//!   versions of a key never repeat.
//! - An instance executes an order only if its [`Gate`] admits it. The state of
//!   the gate lives as long as the instance; an instance that loses it must
//!   return under a new name.
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
