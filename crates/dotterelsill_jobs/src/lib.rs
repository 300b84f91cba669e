//! Scheduling decisions: the life cycle of jobs, the placement of their tasks on
//! workers, workspace limits, and the takeover from an earlier scheduler.
//!
//! The crate does no I/O and reads no clock. The caller tells a [`Scheduler`] what
//! happened and when, and takes the resulting [`Order`]s for workers and
//! [`JobChange`]s for the store.

mod acceptance;
mod advice;
mod arrivals;
mod backlog;
mod changes;
mod configuration;
mod dispatch_batch;
mod dispatchers;
mod done_occurrences;
mod ended_jobs;
mod ends;
mod explain;
mod fleet;
mod given_up;
mod granted;
mod health;
mod held_back;
mod home;
mod ids;
mod instance;
mod instance_orders;
mod job;
mod job_life;
mod job_memory;
mod late_starts;
mod life;
mod may_send;
mod moves;
mod order;
mod overload;
mod pace;
mod pending;
mod placement;
mod plan;
mod rank;
mod resources;
mod run_times;
mod scheduler;
pub mod shortage;
mod spec;
mod submissions;
mod tasks;
mod unended;
mod unread_places;
mod validity;
mod waves;
mod worker;
mod worker_status;

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
pub use dispatch_batch::{
    HeartbeatClock,
    PayloadCache, //
};
pub use dispatchers::{
    DispatcherReport,
    Dispatchers,
    Route, //
};
pub use ended_jobs::ExpiredRecord;
pub use given_up::{
    EndCounts,
    GivenUpReason, //
};
pub use held_back::{
    HeldBack,
    HoldReason,
    WaitingLasting, //
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
pub use job_life::JobState;
pub use order::{
    Acknowledgement,
    Answer,
    ListedEnd,
    ListedRun,
    Order,
    ProcessedEnds,
    Recipient,
    RunOutcome,
    StartTerms,
    WorkerOrder,
    WorkerStatus, //
};
pub use pending::{
    IntakeReads,
    PendingCount,
    PendingUnknown,
    MAX_PENDING_AGE, //
};
pub use resources::Resources;
pub use run_times::{
    RunCounts,
    RunTimes, //
};
pub use scheduler::{
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
pub use waves::{
    WaveChange,
    WaveProgress, //
};
pub use worker::WorkerReport;
