//! Limits of freshness.

use std::time::Duration;

use crate::Drift;

/// Limits of freshness.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
pub struct Limits {
    /// Time for which a proof is fresh.
    pub fresh_for: Duration,
    /// Age of the own proof from which a peer is asked.
    pub ask_peer_after: Duration,
    /// Margin on the age of a relayed proof.
    pub drift: Drift,
}

impl Default for Limits {
    /// Returns 3 s of freshness, a peer asked after 1.5 s, and a drift of 1/1000.
    fn default() -> Self {
        Self {
            fresh_for: Duration::from_secs(3),
            ask_peer_after: Duration::from_millis(1_500),
            drift: Drift::default(),
        }
    }
}
