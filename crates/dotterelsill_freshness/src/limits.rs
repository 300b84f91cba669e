//! Time limits for proofs.

use std::time::Duration;

use crate::Drift;

/// Time limits for proofs.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
pub struct Limits {
    /// Time from the instant of a proof during which the proof counts as fresh.
    pub fresh_for: Duration,
    /// Age of the local proof above which a peer is asked for a newer one.
    pub ask_peer_after: Duration,
    /// Clock drift that is added to the age of a proof relayed by a peer.
    pub drift: Drift,
}

impl Default for Limits {
    /// Returns 3 s of freshness, 1.5 s until a peer is asked and a drift of 1/1000.
    fn default() -> Self {
        Self {
            fresh_for: Duration::from_secs(3),
            ask_peer_after: Duration::from_millis(1_500),
            drift: Drift::default(),
        }
    }
}
