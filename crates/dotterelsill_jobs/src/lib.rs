//! Decisions on jobs: their life cycle, the placement of their tasks on workers,
//! the limits of workspaces, and what a new scheduler takes over.
//!
//! Nothing here does I/O or reads a clock. A [`Scheduler`] is told what happened
//! and when, and hands out [`Order`]s for workers and [`JobChange`]s for the store.

mod acceptance;
mod advice;
mod arrivals;
mod backlog;
mod changes;
mod configuration;
mod ends;
mod explain;
mod fleet;
mod granted;
mod health;
mod held_back;
mod home;
mod ids;
mod instance;
mod job;
mod moves;
mod order;
mod orders_to_instances;
mod overload;
mod pace;
mod place;
mod plan;
mod rank;
mod resources;
mod scheduler;
mod spec;
mod submissions;
mod validity;
mod waves;
mod worker;

pub use acceptance::effective_record;
pub use advice::{
    Advisor,
    AdvisorQuery, //
};
pub use backlog::Backlog;
pub use changes::JobChange;
pub use configuration::{
    CallerLimits,
    Configuration,
    OperatorRequests,
    Pool,
    Queue,
    Queues,
    Wave,
    Workspace, //
};
pub use held_back::{
    HeldBack,
    HoldReason, //
};
pub use ids::{
    JobId,
    StepId,
    TaskId,
    WorkerKey, //
};
pub use instance::{
    Instance,
    InstanceAction,
    InstanceAnswer,
    InstanceOrder,
    InstanceState, //
};
pub use job::{
    Run,
    RunState, //
};
pub use order::{
    Answer,
    ListedEnd,
    ListedRun,
    Order, //
    RunOutcome,
    WorkerOrder,
    WorkerStatus,
};
pub use resources::Resources;
pub use scheduler::{
    JobState,
    Limits,
    Scheduler, //
};
pub use spec::{
    JobSpec,
    Schedule,
    SpecError,
    Step,
    FORMAT, //
};
pub use submissions::{
    slots_for_jobs,
    Submission,
    Submissions, //
};
pub use validity::{
    ApplyBounds,
    Validity, //
};
pub use waves::WaveChange;
pub use worker::WorkerReport;
