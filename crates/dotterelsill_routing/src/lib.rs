//! Load balancing of requests over the upstreams of a service, with outlier
//! ejection, retry budgets and hedging.
//!
//! The crate does no I/O, spawns no threads or tasks and reads no clock. The
//! request path (choice, reservation, report, retry budget, hedge) is
//! lock-free. The only lock guards the review of ejections; the request path
//! tries to take it and never waits for it.
//!
//! A driver keeps one [`UpstreamSet`] per service behind a read-copy-update
//! pointer. On a new configuration it replaces the set with the result of
//! [`UpstreamSet::rebuild`].

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
