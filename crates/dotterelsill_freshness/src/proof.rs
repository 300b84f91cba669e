//! Proofs, own and relayed.

use std::time::{
    Duration,
    Instant, //
};

use crate::Drift;

/// Proof that every write completed before `at` has a revision of at most
/// `revision`.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
pub struct Proof {
    /// Instant on the local monotonic clock.
    pub at: Instant,
    /// Highest revision.
    pub revision: u64,
}

impl Proof {
    /// Returns the highest revision with the latest instant, which is again a
    /// proof.
    pub fn merge(self, other: Self) -> Self {
        Self {
            at: self.at.max(other.at),
            revision: self.revision.max(other.revision),
        }
    }

    /// Returns the time since the proof's instant, or zero when `now` is earlier.
    pub fn age(&self, now: Instant) -> Duration {
        now.saturating_duration_since(self.at)
    }
}

/// Proof as a peer passes it on: its instant is given as an age, because
/// instants of different clocks cannot be compared.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
pub struct RelayedProof {
    /// Age on the peer's clock at the time of its answer. An encoding that is
    /// coarser than nanoseconds rounds it up.
    pub age: Duration,
    /// Highest revision.
    pub revision: u64,
}

impl RelayedProof {
    /// Returns the proof on the clock of the instance that asked at `asked_at`.
    ///
    /// Returns `None` when the proof is older than the clock's first instant.
    pub fn into_local(self, asked_at: Instant, drift: Drift) -> Option<Proof> {
        let age = drift.checked_widen(self.age)?;
        let at = asked_at.checked_sub(age)?;
        Some(Proof {
            at,
            revision: self.revision,
        })
    }
}
