//! Errors of the operations on a record.

use snafu::Snafu;

use crate::{
    Incarnation,
    MAX_LIMIT, //
};

/// An operation on a record was refused, or a record is inconsistent.
#[derive(Clone, Copy, Debug, Eq, PartialEq, Snafu)]
#[snafu(visibility(pub(crate)))]
pub enum LedgerError {
    /// Two shares of the record name one incarnation.
    #[snafu(display(
        "record lists incarnation {incarnation} twice; restore the record from its last valid version"
    ))]
    DuplicateHolding {
        /// Incarnation that is listed twice.
        incarnation: Incarnation,
    },
    /// The incarnation holds fewer credits than it gives back.
    #[snafu(display(
        "incarnation {incarnation} gives back {asked} credits but holds {held}; read the record again"
    ))]
    InsufficientCredits {
        /// Credits to give back.
        asked: u32,
        /// Credits held.
        held: u32,
        /// Incarnation that gives back.
        incarnation: Incarnation,
    },
    /// The limit is above what a holder can count.
    #[snafu(display("limit {limit} is above {MAX_LIMIT}; configure a lower limit"))]
    LimitTooHigh {
        /// Limit that was refused.
        limit: u32,
    },
    /// No credit is free.
    #[snafu(display("no credit is free under limit {limit}; post the number wanted and wait"))]
    NoFreeCredit {
        /// Limit of the team.
        limit: u32,
    },
    /// The incarnation has no share in the record.
    #[snafu(display(
        "incarnation {incarnation} has no share in the record; register a new incarnation"
    ))]
    NotListed {
        /// Incarnation that is missing.
        incarnation: Incarnation,
    },
    /// The operation has an older number than the last one that took effect.
    #[snafu(display(
        "operation {number} of incarnation {incarnation} is older than its operation {last}; read the record again"
    ))]
    OlderOperation {
        /// Incarnation of the operation.
        incarnation: Incarnation,
        /// Number of the last operation that took effect.
        last: u64,
        /// Number of the refused operation.
        number: u64,
    },
    /// The limit comes from an older configuration revision than the recorded one.
    #[snafu(display(
        "limit of revision {revision} is older than the recorded revision {recorded}; read the configuration again"
    ))]
    OlderRevision {
        /// Revision in the record.
        recorded: u64,
        /// Revision that was refused.
        revision: u64,
    },
    /// One revision was used with two limits.
    #[snafu(display(
        "revision {revision} sets limit {limit} but is recorded with limit {recorded}; store the limit under a new revision"
    ))]
    RevisionConflict {
        /// Limit that was refused.
        limit: u32,
        /// Limit in the record.
        recorded: u32,
        /// Revision of both limits.
        revision: u64,
    },
    /// Credits were created or lost.
    #[snafu(display(
        "record has {free} free and {held} held credits, which does not match limit {limit}; restore the record from its last valid version"
    ))]
    Unbalanced {
        /// Free credits.
        free: u32,
        /// Sum of the credits held.
        held: u64,
        /// Limit of the team.
        limit: u32,
    },
    /// The operation asks for no credit.
    #[snafu(display(
        "operation {number} of incarnation {incarnation} asks for 0 credits; ask for at least 1"
    ))]
    ZeroCredits {
        /// Incarnation of the operation.
        incarnation: Incarnation,
        /// Number of the operation.
        number: u64,
    },
    /// The operation has the number that stands for no operation.
    #[snafu(display(
        "incarnation {incarnation} sent operation number 0; number operations from 1"
    ))]
    ZeroNumber {
        /// Incarnation of the operation.
        incarnation: Incarnation,
    },
}
