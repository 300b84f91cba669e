//! At most one run of each request that may not be repeated.
//!
//! A request carries an [`Identifier`]. The owner of the identifier's bucket
//! writes a claim to the bucket's [`ClaimLog`] in the store before the request may
//! run. The claim names the incarnation that may run it; that incarnation
//! tracks in [`Runs`] whether it did. An [`Attempt`] is the path of one request
//! on one instance, from the question to the owner to the outcome.
//!
//! The crate does no I/O, reads no clock and spawns nothing.

mod action;
mod aged;
mod answers;
mod attempt;
mod entry;
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

/// Shortest time that an entry of the log must exist in the store, counted from
/// the creation of the entry and not from the grant of its lease.
pub const MIN_ENTRY_LIFETIME: Duration = Duration::from_secs(2 * 3600);
