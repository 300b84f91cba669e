//! The newest proof of an instance and the checks on its age.

use std::time::{
    Duration,
    Instant, //
};

use crate::{
    Limits,
    Proof,
    RelayedProof, //
};

/// Effect of a read or a relayed proof on the stored proof.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
pub enum ProofUpdate {
    /// The stored proof got a higher revision or a later instant.
    Advanced,
    /// The stored proof is at least as new: the response was late, duplicated or
    /// without a usable proof.
    Unchanged,
    /// The revision is lower than the stored one, so the response is ignored.
    Stale,
}

/// Keeps the newest proof of an instance and decides whether it is fresh.
#[derive(Clone, Debug, Eq, Hash, PartialEq)]
pub struct Freshness {
    limits: Limits,
    proof: Option<Proof>,
    stale_reads: u64,
}

impl Freshness {
    /// Creates a state without a proof, which is not fresh.
    pub fn new(limits: Limits) -> Self {
        Self {
            limits,
            proof: None,
            stale_reads: 0,
        }
    }

    /// Records the response to a linearizable read of the store.
    ///
    /// `sent_at` must be taken before the read is sent. The arrival of the
    /// response is too late: writes may have completed after the read.
    pub fn on_store_read(&mut self, sent_at: Instant, revision: u64) -> ProofUpdate {
        let update = self.record(Proof {
            at: sent_at,
            revision,
        });
        if update == ProofUpdate::Stale {
            self.stale_reads += 1;
        }
        update
    }

    /// Records a peer's response to the request that was sent at `asked_at`.
    ///
    /// `age` is the age of the peer's proof on the peer's clock. A lower revision
    /// from a lagging peer does not count as a stale read.
    pub fn on_relay(&mut self, asked_at: Instant, revision: u64, age: Duration) -> ProofUpdate {
        let relayed = RelayedProof { age, revision };
        match relayed.into_local(asked_at, self.limits.drift) {
            Some(proof) => self.record(proof),
            None => ProofUpdate::Unchanged,
        }
    }

    /// Returns the newest proof, if any.
    pub fn proof(&self) -> Option<Proof> {
        self.proof
    }

    /// Returns the proof in the form that is sent to a peer.
    ///
    /// `now` must be read after the peer's request arrived, because the peer
    /// subtracts the age from the instant of its request.
    pub fn relay(&self, now: Instant) -> Option<RelayedProof> {
        let proof = self.proof?;
        Some(RelayedProof {
            age: proof.age(now),
            revision: proof.revision,
        })
    }

    /// Returns whether the proof is fresh.
    ///
    /// `now` must be read after the last operation at which the process could
    /// have been paused.
    pub fn is_fresh(&self, now: Instant) -> bool {
        self.fresh_until().is_some_and(|until| now < until)
    }

    /// Returns the first instant at which the current proof is no longer fresh.
    pub fn fresh_until(&self) -> Option<Instant> {
        Some(self.proof?.at + self.limits.fresh_for)
    }

    /// Returns the age of the proof, or `None` without a proof.
    pub fn age(&self, now: Instant) -> Option<Duration> {
        Some(self.proof?.age(now))
    }

    /// Returns whether to ask a peer for a proof, because there is none or it is
    /// older than [`Limits::ask_peer_after`].
    pub fn should_ask_peer(&self, now: Instant) -> bool {
        self.age(now)
            .is_none_or(|age| age > self.limits.ask_peer_after)
    }

    /// Returns the number of stale reads since the last call and resets it.
    pub fn take_stale_reads(&mut self) -> u64 {
        std::mem::take(&mut self.stale_reads)
    }

    fn record(&mut self, proof: Proof) -> ProofUpdate {
        let Some(known) = self.proof else {
            self.proof = Some(proof);
            return ProofUpdate::Advanced;
        };
        if proof.revision < known.revision {
            return ProofUpdate::Stale;
        }
        let merged = known.merge(proof);
        if merged == known {
            return ProofUpdate::Unchanged;
        }
        self.proof = Some(merged);
        ProofUpdate::Advanced
    }
}
