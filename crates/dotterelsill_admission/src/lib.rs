//! Admission control for requests: API keys, team shares, urgency levels and a
//! fair queue.
//!
//! The crate does no I/O, spawns no threads or tasks and reads no clock. A
//! driver keeps one [`Gate`] per service, which admits requests without a lock
//! while slots are free, and one [`FairQueue`] behind a mutex for the requests
//! that wait.
//!
//! A driver must follow three rules:
//!
//! - It pushes a request that [`Gate::try_start`] does not start, under the
//!   lock.
//! - After each push, and whenever [`Gate::finish`] or [`Gate::set_capacity`]
//!   returns `true`, it calls [`FairQueue::pop_next`] under the lock until that
//!   returns `None`.
//! - It calls [`FairQueue::expire`] at [`FairQueue::next_expiry`].
//!
//! If an upstream refuses a request because it is full, the driver first sets
//! the lower capacity and then puts the request back: with
//! [`FairQueue::requeue`] if it had waited, and otherwise with
//! [`RunOutcome::NotRun`] and a push. In the opposite order the request would
//! start again immediately.

mod admit;
mod gate;
mod guarantee;
mod keys;
mod queue;
mod refusal;
mod request;
mod run_time;
mod running;
mod select;
mod team;
mod team_queue;
mod usage;
mod waits;

pub use gate::Gate;
pub use guarantee::LOWER_URGENCY_PERCENT;
pub use keys::{
    bearer_token,
    hash_key,
    KeyHash,
    KeyTable, //
};
pub use queue::FairQueue;
pub use refusal::Refusal;
pub use request::{
    Pushed,
    Request,
    StartedRequest,
    Ticket, //
};
pub use running::{
    RunOutcome,
    RunningRequest, //
};
pub use select::MAX_URGENT_LEAD;
pub use team::{
    Team,
    TeamShare,
    Teams,
    URGENCY_LEVELS, //
};
