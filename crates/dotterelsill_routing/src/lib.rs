//! Choice of the upstream that runs a request.
//!
//! The crate does no I/O, starts nothing and reads no clock. The request path
//! (choice, reservation, report, retry budget, hedge) uses atomics only; a lock
//! guards nothing but the review of ejections, which the request path only
//! tries and never waits for.
//!
//! A driver keeps one [`UpstreamSet`] per service behind a read-copy-update
//! pointer and replaces it by [`UpstreamSet::rebuild`] on a new configuration.

mod choice;
mod clock;
mod connections;
mod deadline;
mod ejection;
mod hedge;
mod latency;
mod learned_limit;
mod outcome;
mod retry;
mod review;
mod set;
mod slot;
mod upstream;
mod window;

pub use choice::AttemptConstraints;
pub use connections::{
    may_reuse_for_unrepeatable,
    Connection,
    Connections,
    MAX_IDLE_FOR_UNREPEATABLE, //
};
pub use deadline::Deadline;
pub use ejection::{
    BASE_EJECTION_TIME,
    MAX_EJECTION_TIME, //
};
pub use hedge::{
    HedgeDecision,
    InFlightRequest, //
};
pub use latency::LatencyHistogram;
pub use learned_limit::{
    RAISE_INTERVAL,
    YIELD_INTERVAL, //
};
pub use outcome::AttemptOutcome;
pub use retry::{
    RetryBudget,
    RETRY_PERCENT, //
};
pub use set::{
    ServiceSpec,
    UpstreamSet, //
};
pub use slot::Slot;
pub use upstream::{
    Upstream,
    UpstreamSpec,
    LEAVING_HOLD, //
};
pub use window::{
    MIN_FAILURES,
    WINDOW_ANSWERS, //
};
