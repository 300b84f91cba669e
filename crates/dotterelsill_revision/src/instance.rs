//! State of one incarnation: freshness, revisions and authority.

use std::time::{
    Duration,
    Instant, //
};

use dotterelsill_freshness::{
    Freshness,
    ProofUpdate, //
};

use crate::{
    Authority,
    Head,
    HeadUpdate,
    Incarnation,
    Limits,
    Registration,
    RegistrationError,
    RevisionTracker,
    Snapshot, //
};

/// Response of an instance to a peer that asks for its proof.
#[derive(Clone, Debug, Eq, Hash, PartialEq)]
pub struct RelayedState {
    /// Newest head known to the instance.
    pub head: Option<Head>,
    /// Revision in force. It confirms the changes up to that revision to an
    /// observer.
    pub in_force: Option<u64>,
    /// Incarnation that responds.
    pub incarnation: Incarnation,
    /// Age of the proof, or `None` when there is no proof. An encoding coarser than
    /// nanoseconds must round up.
    pub proof_age: Option<Duration>,
}

/// State of one incarnation: freshness, revisions and authority.
#[derive(Clone, Debug, Eq, Hash, PartialEq)]
pub struct Instance {
    authority: Authority,
    freshness: Freshness,
    incarnation: Incarnation,
    limits: Limits,
    tracker: RevisionTracker,
}

impl Instance {
    /// Creates the state of a newly registered incarnation.
    ///
    /// # Errors
    ///
    /// Returns an error when the registration is invalid.
    pub fn new(
        incarnation: Incarnation,
        registration: Registration,
        limits: Limits,
        freshness_limits: dotterelsill_freshness::Limits,
    ) -> Result<Self, RegistrationError> {
        Ok(Self {
            authority: Authority::new(registration, limits.lease)?,
            freshness: Freshness::new(freshness_limits),
            incarnation,
            limits,
            tracker: RevisionTracker::new(),
        })
    }

    /// Continues as a new incarnation and keeps the known revisions.
    ///
    /// The authority of the previous incarnation must have ended or been given up
    /// before the registration is sent.
    ///
    /// # Errors
    ///
    /// Returns an error when the registration is invalid. The previous incarnation
    /// is then kept.
    pub fn register_again(
        &mut self,
        incarnation: Incarnation,
        registration: Registration,
    ) -> Result<(), RegistrationError> {
        self.authority = Authority::new(registration, self.limits.lease)?;
        self.incarnation = incarnation;
        Ok(())
    }

    /// Records the response to a read of the head, `None` when there is no head
    /// yet.
    ///
    /// `sent_at` is the instant before the read was sent. A head that conflicts
    /// with a known one is ignored and reported as stale.
    pub fn on_store_read(&mut self, sent_at: Instant, head: Option<&Head>) -> ProofUpdate {
        match self.record_head(head) {
            Some(revision) => self.freshness.on_store_read(sent_at, revision),
            None => ProofUpdate::Stale,
        }
    }

    /// Records a peer's response to the request that was sent at `asked_at`.
    pub fn on_relay(&mut self, asked_at: Instant, relayed: &RelayedState) -> ProofUpdate {
        let Some(revision) = self.record_head(relayed.head.as_ref()) else {
            return ProofUpdate::Stale;
        };
        match relayed.proof_age {
            Some(age) => self.freshness.on_relay(asked_at, revision, age),
            None => ProofUpdate::Unchanged,
        }
    }

    /// Records a head without a proof, such as one written by this instance.
    pub fn on_head(&mut self, head: &Head) -> HeadUpdate {
        self.tracker.on_head(head)
    }

    /// Records that the body of a head is loaded and returns whether its revision
    /// is now in force.
    pub fn on_body(&mut self, head: &Head) -> bool {
        self.tracker.on_body(head)
    }

    /// Returns the response to a peer.
    ///
    /// `now` must be read after the peer's request arrived.
    pub fn relay(&self, now: Instant) -> RelayedState {
        RelayedState {
            head: self.tracker.known().cloned(),
            in_force: self.tracker.in_force().map(|head| head.revision),
            incarnation: self.incarnation,
            proof_age: self.freshness.age(now),
        }
    }

    /// Returns the snapshot that decides about starts of work until the next event.
    pub fn snapshot(&self) -> Snapshot {
        Snapshot::new(&self.freshness, &self.tracker, &self.authority)
    }

    /// Returns the current incarnation.
    pub fn incarnation(&self) -> Incarnation {
        self.incarnation
    }

    /// Returns the authority of the current incarnation.
    pub fn authority(&self) -> &Authority {
        &self.authority
    }

    /// Returns the authority for recording renewals, applying isolation limits and
    /// giving it up.
    pub fn authority_mut(&mut self) -> &mut Authority {
        &mut self.authority
    }

    /// Returns the newest proof and its freshness.
    pub fn freshness(&self) -> &Freshness {
        &self.freshness
    }

    /// Returns the number of stale reads since the last call and resets it.
    pub fn take_stale_reads(&mut self) -> u64 {
        self.freshness.take_stale_reads()
    }

    /// Returns the known revisions.
    pub fn tracker(&self) -> &RevisionTracker {
        &self.tracker
    }

    /// Records a head and returns its revision, 0 without a head, or `None` when
    /// the head conflicts with a known one.
    fn record_head(&mut self, head: Option<&Head>) -> Option<u64> {
        let Some(head) = head else {
            return Some(0);
        };
        match self.tracker.on_head(head) {
            HeadUpdate::Conflict => None,
            HeadUpdate::Known | HeadUpdate::New => Some(head.revision),
        }
    }
}
