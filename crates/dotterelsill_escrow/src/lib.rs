//! Division of the upper limit of each team.
//!
//! The limit of a team is divided into credits. A [`Ledger`] is the record in
//! the store, with the pure operations on it. A [`Holder`] is the local state
//! of one incarnation; it lends the credits it holds through [`Credits`] and
//! decides on the next operation on the record. A [`ReclaimTracker`] decides when the
//! credits of a dead incarnation are free again.
//!
//! The driver applies an operation to the record it was decided on and writes
//! the result by compare-and-swap on that record's version. The safety of this
//! crate rests on two properties of the store: a write that expects an older
//! version never takes effect, and the versions of a key never repeat, not
//! even after the key was deleted and created again.

mod abort;
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
mod word;

pub use abort::{
    credit_release_time,
    ABORT_GRACE, //
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
pub use word::{
    Counts,
    MAX_LIMIT, //
};
