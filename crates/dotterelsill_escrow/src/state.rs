//! State of a holder as plain data.

use std::time::Instant;

use crate::{
    Counts,
    Operation, //
};

/// Operation whose result is not known yet.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
pub struct InFlight {
    /// Whether the write ended without a usable answer.
    pub failed: bool,
    /// Operation.
    pub operation: Operation,
    /// Version of the record that the write expects.
    pub version: u64,
}

/// Complete state of a holder, for diagnostics and model checks.
#[derive(Clone, Copy, Debug, Default, Eq, Hash, PartialEq)]
pub struct HolderState {
    /// Counters of the request path.
    pub counts: Counts,
    /// Whether the incarnation may hold nothing more.
    pub fenced: bool,
    /// Instant since which credits are free while this holder is short.
    pub free_since: Option<Instant>,
    /// Credits held in the newest record seen.
    pub held: u32,
    /// Highest number running since the credits became idle.
    pub idle_peak: u32,
    /// Instant at which credits became idle.
    pub idle_since: Option<Instant>,
    /// Operation whose result is not known yet.
    pub in_flight: Option<InFlight>,
    /// Number of the last operation decided.
    pub last_number: u64,
    /// Whether the holder gives everything back.
    pub leaving: bool,
    /// Whether the newest record seen had a share of this incarnation.
    pub listed: bool,
    /// Instant at which the holder was last short of credits.
    pub short_at: Option<Instant>,
    /// Version of the newest record seen.
    pub version: Option<u64>,
    /// Credits wanted in the newest record seen.
    pub wanted: u32,
}
