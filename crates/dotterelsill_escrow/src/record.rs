//! Plain form of the record in the store.

use crate::Incarnation;

/// Share of one incarnation in a record.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
pub struct Holding {
    /// Credits held.
    pub held: u32,
    /// Incarnation that holds them.
    pub incarnation: Incarnation,
    /// Number of the incarnation's last operation that took effect.
    pub operation: u64,
    /// Further credits the incarnation would take if they were free.
    pub wanted: u32,
}

/// Unchecked contents of a record, for encoding and decoding.
#[derive(Clone, Debug, Eq, Hash, PartialEq)]
pub struct Record {
    /// Credits that no incarnation holds.
    pub free: u32,
    /// Shares, one for each incarnation.
    pub holdings: Vec<Holding>,
    /// Upper limit of the team, in requests running at once.
    pub limit: u32,
    /// Limit that stays in force until enough credits were given back.
    pub older_limit: Option<u32>,
    /// Configuration revision that `limit` comes from.
    pub revision: u64,
}
