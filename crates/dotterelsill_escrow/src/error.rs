//! Errors of ledger operations and of record validation.

use snafu::Snafu;

use crate::{
    Incarnation,
    MAX_LIMIT, //
};

/// Reason why an operation is refused or a record is invalid.
#[derive(Clone, Copy, Debug, Eq, PartialEq, Snafu)]
#[snafu(visibility(pub(crate)))]
pub enum LedgerError {
    /// The record has two holdings of one incarnation.
    #[snafu(display(
        "record lists incarnation {incarnation} twice; restore the record from its last valid version"
    ))]
    DuplicateHolding {
        /// Incarnation that is listed twice.
        incarnation: Incarnation,
    },
    /// The operation gives back more credits than the incarnation holds.
    #[snafu(display(
        "incarnation {incarnation} gives back {asked} credits but holds only {held}; read the record again"
    ))]
    InsufficientCredits {
        /// Number of credits to give back.
        asked: u32,
        /// Number of credits held.
        held: u32,
        /// Incarnation that gives back credits.
        incarnation: Incarnation,
    },
    /// The limit is above [`MAX_LIMIT`].
    #[snafu(display(
        "limit {limit} is above the maximum of {MAX_LIMIT}; configure a lower limit"
    ))]
    LimitTooHigh {
        /// Limit that was refused.
        limit: u32,
    },
    /// No credit is free.
    #[snafu(display(
        "no credit is free under limit {limit}; record the number of wanted credits and wait"
    ))]
    NoFreeCredit {
        /// Limit of the team.
        limit: u32,
    },
    /// The incarnation has no holding in the record.
    #[snafu(display(
        "incarnation {incarnation} has no holding in the record; register a new incarnation"
    ))]
    NotListed {
        /// Incarnation without a holding.
        incarnation: Incarnation,
    },
    /// The operation has a lower number than the last one that took effect.
    #[snafu(display(
        "operation {number} of incarnation {incarnation} is older than its operation {last}; read the record again"
    ))]
    OlderOperation {
        /// Incarnation that sent the operation.
        incarnation: Incarnation,
        /// Number of the last operation that took effect.
        last: u64,
        /// Number of the refused operation.
        number: u64,
    },
    /// The limit belongs to an older configuration revision than the recorded one.
    #[snafu(display(
        "limit of revision {revision} is older than the recorded revision {recorded}; read the configuration again"
    ))]
    OlderRevision {
        /// Revision in the record.
        recorded: u64,
        /// Revision that was refused.
        revision: u64,
    },
    /// Two different limits belong to the same configuration revision.
    #[snafu(display(
        "revision {revision} sets limit {limit} but was recorded with limit {recorded}; store the limit under a new revision"
    ))]
    RevisionConflict {
        /// Limit that was refused.
        limit: u32,
        /// Limit in the record.
        recorded: u32,
        /// Configuration revision of both limits.
        revision: u64,
    },
    /// The record's free and held credits do not match its limit, so credits were
    /// created or lost.
    #[snafu(display(
        "record has {free} free and {held} held credits, which does not match limit {limit}; restore the record from its last valid version"
    ))]
    Unbalanced {
        /// Number of free credits.
        free: u32,
        /// Number of credits held by all incarnations.
        held: u64,
        /// Limit of the team.
        limit: u32,
    },
    /// The operation takes or gives back no credit.
    #[snafu(display(
        "operation {number} of incarnation {incarnation} is for 0 credits; use at least 1"
    ))]
    ZeroCredits {
        /// Incarnation that sent the operation.
        incarnation: Incarnation,
        /// Number of the operation.
        number: u64,
    },
    /// The operation has number 0, which stands for no operation.
    #[snafu(display(
        "incarnation {incarnation} sent operation number 0; number operations from 1"
    ))]
    ZeroNumber {
        /// Incarnation that sent the operation.
        incarnation: Incarnation,
    },
}
