//! Unvalidated form of a team's record in the store.

use crate::Incarnation;

/// Credits of one incarnation in a record.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
pub struct Holding {
    /// Number of credits held.
    pub held: u32,
    /// Incarnation that holds the credits.
    pub incarnation: Incarnation,
    /// Sequence number of the incarnation's last operation that took effect.
    pub operation: u64,
    /// Number of further credits the incarnation would take if they were free.
    pub wanted: u32,
}

/// Contents of a record, not yet validated, for encoding and decoding.
///
/// [`crate::Ledger`] is the validated form.
#[derive(Clone, Debug, Eq, Hash, PartialEq)]
pub struct Record {
    /// Number of credits that no incarnation holds.
    pub free: u32,
    /// Holdings, one per incarnation.
    pub holdings: Vec<Holding>,
    /// Configured limit of the team, in concurrent requests.
    pub limit: u32,
    /// Earlier limit that stays in force until enough credits have been given
    /// back; `None` if `limit` itself is in force.
    pub older_limit: Option<u32>,
    /// Configuration revision that sets `limit`.
    pub revision: u64,
}
