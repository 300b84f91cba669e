//! Proofs on the local clock and proofs relayed by peers.

use std::time::{
    Duration,
    Instant, //
};

use crate::Drift;

/// Evidence that every write completed before `at` has a revision of at most
/// `revision`.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
pub struct Proof {
    /// Instant for which the proof holds, on the local monotonic clock.
    pub at: Instant,
    /// Upper bound on the revisions of the writes completed before `at`.
    pub revision: u64,
}

impl Proof {
    /// Combines the higher revision with the later instant.
    ///
    /// The result is valid: a higher revision is still an upper bound for the
    /// later instant.
    pub fn merge(self, other: Self) -> Self {
        Self {
            at: self.at.max(other.at),
            revision: self.revision.max(other.revision),
        }
    }

    /// Returns the time since the instant of the proof, or zero when `now` is
    /// earlier.
    pub fn age(&self, now: Instant) -> Duration {
        now.saturating_duration_since(self.at)
    }
}

/// Proof received from a peer.
///
/// It states an age instead of an instant, because instants of different clocks
/// cannot be compared.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
pub struct RelayedProof {
    /// Age on the peer's clock when it sent the response. An encoding coarser
    /// than nanoseconds must round up.
    pub age: Duration,
    /// Upper bound on the revisions of the writes completed before the proof.
    pub revision: u64,
}

impl RelayedProof {
    /// Converts the proof to the local clock.
    ///
    /// `asked_at` is the local instant before the request was sent to the peer.
    /// The age is extended by the clock drift. Returns `None` when the age
    /// overflows or the resulting instant cannot be represented.
    pub fn into_local(self, asked_at: Instant, drift: Drift) -> Option<Proof> {
        let age = drift.checked_widen(self.age)?;
        let at = asked_at.checked_sub(age)?;
        Some(Proof {
            at,
            revision: self.revision,
        })
    }
}
