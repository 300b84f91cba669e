//! Divides the concurrency limit of each team among entry processes.
//!
//! The limit of a team is split into credits; each running request uses one.
//! A [`Ledger`] is the team's record in the store, with pure operations on it.
//! A [`Holder`] is the local state of one incarnation: it hands out the credits
//! it holds through [`Credits`] and decides on the next operation on the record.
//! A [`ReclaimTracker`] decides when the credits of a dead incarnation can be
//! freed.
//!
//! The driver applies an operation to the record for which it was decided and
//! writes the result by compare-and-swap on the version of that record. The
//! safety of this crate depends on two properties of the store: a write that
//! expects an older version never takes effect, and the versions of a key never
//! repeat, not even after the key is deleted and created again.

mod abort;
mod counts;
mod credits;
mod decision;
mod error;
mod holder;
mod incarnation;
mod ledger;
mod limit;
mod operation;
mod policy;
mod reclaim;
mod record;
mod state;

pub use abort::{
    credit_release_time,
    ABORT_GRACE, //
};
pub use counts::{
    Counts,
    MAX_LIMIT, //
};
pub use credits::{
    Credit,
    Credits, //
};
pub use error::LedgerError;
pub use holder::Holder;
pub use incarnation::Incarnation;
pub use ledger::Ledger;
pub use operation::{
    Operation,
    OperationKind, //
};
pub use policy::{
    reserve_per_incarnation,
    Policy, //
};
pub use reclaim::{
    LeaseState,
    MemberState,
    ReclaimLimits,
    ReclaimProof,
    ReclaimTracker, //
};
pub use record::{
    Holding,
    Record, //
};
pub use state::{
    HolderState,
    InFlight, //
};
