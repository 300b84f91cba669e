//! The revision in force, acceptance of changes and authority of instances.

mod acceptance;
mod answer;
mod authority;
mod change;
mod ids;
mod instance;
mod limits;
mod member;
mod tracker;
mod verdict;

pub use acceptance::{
    Acceptance,
    Acknowledgement,
    ReadTooEarly,
    Unconfirmed,
    UnconfirmedReason, //
};
pub use answer::{
    Action,
    Base,
    BodyAnswer,
    HeadRead,
    Outcome,
    Predecessor,
    SwapAnswer,
    UnknownReason, //
};
pub use authority::{
    Authority,
    Registration,
    RegistrationError, //
};
pub use change::Change;
pub use ids::{
    Head,
    Incarnation,
    WriteId, //
};
pub use instance::{
    Instance,
    RelayAnswer, //
};
pub use limits::{
    Limits,
    LEASE,
    MAX_ISOLATION_LIMIT, //
};
pub use member::{
    Member,
    MemberState, //
};
pub use tracker::{
    HeadObservation,
    Tracker, //
};
pub use verdict::{
    Decision,
    Mode,
    Snapshot,
    Verdict,
    WhenIsolated, //
};
