//! Plain-data snapshot of a holder's state.

use std::time::Instant;

use crate::{
    Counts,
    Operation, //
};

/// Operation whose result is still unknown.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
pub struct InFlight {
    /// Whether the write failed or its answer was lost, so that the operation may
    /// be retried.
    pub failed: bool,
    /// Operation that the write applies to the record.
    pub operation: Operation,
    /// Record version that the write expects.
    pub version: u64,
}

/// Complete state of a holder, for diagnostics and model checking.
#[derive(Clone, Copy, Debug, Default, Eq, Hash, PartialEq)]
pub struct HolderState {
    /// Counters shared with the request path.
    pub counts: Counts,
    /// Whether the incarnation is fenced and may never hold credits again.
    pub fenced: bool,
    /// Time since which the record has had free credits while this holder is
    /// short of credits.
    pub free_since: Option<Instant>,
    /// Credits held according to the newest record seen.
    pub held: u32,
    /// Highest number of concurrent requests since some credits became idle.
    pub idle_peak: u32,
    /// Time at which some credits became idle.
    pub idle_since: Option<Instant>,
    /// Operation whose result is still unknown.
    pub in_flight: Option<InFlight>,
    /// Sequence number of the last operation decided on.
    pub last_number: u64,
    /// Whether the holder is shutting down and giving back all its credits.
    pub leaving: bool,
    /// Whether the newest record seen contains a holding of this incarnation.
    pub listed: bool,
    /// Time at which the holder was last short of credits.
    pub short_at: Option<Instant>,
    /// Version of the newest record seen.
    pub version: Option<u64>,
    /// Further credits wanted according to the newest record seen.
    pub wanted: u32,
}
