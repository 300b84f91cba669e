//! At-most-once execution of requests that are not idempotent.
//!
//! A request carries an [`Identifier`]. Before the request may run, the owner
//! of the identifier's bucket appends a claim to the bucket's log in the store
//! (see [`ClaimLog`]). The claim names the only incarnation that may run the
//! request; that incarnation records in [`Runs`] whether it did. An [`Attempt`]
//! is the state machine of one request on one instance, from requesting the
//! claim to the outcome.
//!
//! The crate does no I/O, reads no clock and spawns no threads or tasks: a
//! driver executes the [`Action`]s and [`Step`]s that it returns.

mod action;
mod answers;
mod attempt;
mod entry;
mod expiring_map;
mod identifier;
mod log;
mod outcome;
mod placement;
mod runs;

pub use crate::{
    action::{
        Action,
        ClaimReply,
        StoreAnswer, //
    },
    attempt::{
        Attempt,
        Event,
        RunEnd,
        Step, //
    },
    entry::{
        Claim,
        Entry,
        Incarnation,
        OwnerRecord,
        Position,
        WriteId, //
    },
    identifier::{
        Identifier,
        IdentifierError,
        Key, //
    },
    log::{
        ClaimLog,
        Limits, //
    },
    outcome::{
        NotRunReason,
        Outcome,
        UnknownReason, //
    },
    placement::{
        bucket,
        owner,
        BUCKET_COUNT, //
    },
    runs::{
        AttemptId,
        RunLimits,
        RunStatus,
        Runs, //
    }, //
};

use std::time::Duration;

/// Minimum time for which an entry of a claim log must exist in the store.
///
/// It counts from the creation of the entry, not from the grant of its lease.
pub const MIN_ENTRY_LIFETIME: Duration = Duration::from_secs(2 * 3600);
