//! The best proof that an instance holds.

use std::time::{
    Duration,
    Instant, //
};

use crate::{
    Limits,
    Proof,
    RelayedProof, //
};

/// What a read or a relayed proof changed.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
pub enum ProofUpdate {
    /// The proof has a higher revision or a later instant than before.
    Advanced,
    /// The proof is no better than the one held: the answer was late or doubled.
    Unchanged,
    /// The revision is lower than the one known; this proves nothing.
    Stale,
}

/// The best proof that an instance holds.
#[derive(Clone, Debug, Eq, Hash, PartialEq)]
pub struct Freshness {
    limits: Limits,
    proof: Option<Proof>,
    stale_reads: u64,
}

impl Freshness {
    /// Creates a state without a proof.
    pub fn new(limits: Limits) -> Self {
        Self {
            limits,
            proof: None,
            stale_reads: 0,
        }
    }

    /// Adds the answer to a linearizable read of the store.
    ///
    /// `sent_at` is the instant before the read was sent, never the instant at
    /// which its answer arrived.
    pub fn on_store_read(&mut self, sent_at: Instant, revision: u64) -> ProofUpdate {
        let observation = self.add(Proof {
            at: sent_at,
            revision,
        });
        if observation == ProofUpdate::Stale {
            self.stale_reads += 1;
        }
        observation
    }

    /// Adds a peer's answer to the request that was sent to it at `asked_at`.
    ///
    /// `age` is the age of the peer's proof on the peer's clock. A peer that
    /// lags behind is not counted as a stale read.
    pub fn on_relay(&mut self, asked_at: Instant, revision: u64, age: Duration) -> ProofUpdate {
        let relayed = RelayedProof { age, revision };
        match relayed.into_local(asked_at, self.limits.drift) {
            Some(proof) => self.add(proof),
            None => ProofUpdate::Unchanged,
        }
    }

    /// Returns the best proof.
    pub fn proof(&self) -> Option<Proof> {
        self.proof
    }

    /// Returns the proof as it is passed to a peer that asks.
    ///
    /// `now` is read after the peer's request arrived.
    pub fn relay(&self, now: Instant) -> Option<RelayedProof> {
        let proof = self.proof?;
        Some(RelayedProof {
            age: proof.age(now),
            revision: proof.revision,
        })
    }

    /// Returns whether the proof is fresh.
    ///
    /// `now` is read after the last step that could have paused.
    pub fn is_fresh(&self, now: Instant) -> bool {
        self.fresh_until().is_some_and(|until| now < until)
    }

    /// Returns the first instant at which the proof held now is no longer fresh.
    pub fn fresh_until(&self) -> Option<Instant> {
        Some(self.proof?.at + self.limits.fresh_for)
    }

    /// Returns the age of the proof.
    pub fn age(&self, now: Instant) -> Option<Duration> {
        Some(self.proof?.age(now))
    }

    /// Returns whether a peer is to be asked for a proof.
    pub fn should_ask_peer(&self, now: Instant) -> bool {
        self.age(now)
            .is_none_or(|age| age > self.limits.ask_peer_after)
    }

    /// Returns the number of stale reads since the last call, for a counter.
    pub fn take_stale_reads(&mut self) -> u64 {
        std::mem::take(&mut self.stale_reads)
    }

    fn add(&mut self, proof: Proof) -> ProofUpdate {
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
