//! One incarnation: its freshness, its revisions and its authority.

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
    RevisionTracker, //
    Snapshot,
};

/// Answer of an instance to a peer that asks for its proof.
#[derive(Clone, Debug, Eq, Hash, PartialEq)]
pub struct RelayedState {
    /// Highest head known.
    pub head: Option<Head>,
    /// Revision in force, which confirms it to an observer.
    pub in_force: Option<u64>,
    /// Incarnation that answers.
    pub incarnation: Incarnation,
    /// Age of the proof; `None` when there is no proof. An encoding that is
    /// coarser than nanoseconds rounds it up.
    pub proof_age: Option<Duration>,
}

/// One incarnation: its freshness, its revisions and its authority.
#[derive(Clone, Debug, Eq, Hash, PartialEq)]
pub struct Instance {
    authority: Authority,
    freshness: Freshness,
    incarnation: Incarnation,
    limits: Limits,
    tracker: RevisionTracker,
}

impl Instance {
    /// Creates the state of an incarnation that has just been registered.
    ///
    /// # Errors
    ///
    /// Returns an error when the registration gives no authority.
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

    /// Goes on under another incarnation, which keeps the revisions.
    ///
    /// The authority of the earlier incarnation has to be given up or ended
    /// before the registration is sent.
    ///
    /// # Errors
    ///
    /// Returns an error when the registration gives no authority; the earlier
    /// incarnation then stays.
    pub fn register_again(
        &mut self,
        incarnation: Incarnation,
        registration: Registration,
    ) -> Result<(), RegistrationError> {
        self.authority = Authority::new(registration, self.limits.lease)?;
        self.incarnation = incarnation;
        Ok(())
    }

    /// Adds the answer to a read of the head, `None` when there is no head yet.
    ///
    /// `sent_at` is the instant before the read was sent. A head that conflicts
    /// with a known one proves nothing.
    pub fn on_store_read(&mut self, sent_at: Instant, head: Option<&Head>) -> ProofUpdate {
        match self.adopt(head) {
            Some(revision) => self.freshness.on_store_read(sent_at, revision),
            None => ProofUpdate::Stale,
        }
    }

    /// Adds a peer's answer to the request that was sent to it at `asked_at`.
    pub fn on_relay(&mut self, asked_at: Instant, answer: &RelayedState) -> ProofUpdate {
        let Some(revision) = self.adopt(answer.head.as_ref()) else {
            return ProofUpdate::Stale;
        };
        match answer.proof_age {
            Some(age) => self.freshness.on_relay(asked_at, revision, age),
            None => ProofUpdate::Unchanged,
        }
    }

    /// Adds a head that comes without a proof, such as one written here.
    pub fn on_head(&mut self, head: &Head) -> HeadUpdate {
        self.tracker.on_head(head)
    }

    /// Adds the loaded body of a head and returns whether it is now in force.
    pub fn on_body(&mut self, head: &Head) -> bool {
        self.tracker.on_body(head)
    }

    /// Returns the answer to a peer. `now` is read after its request arrived.
    pub fn relay(&self, now: Instant) -> RelayedState {
        RelayedState {
            head: self.tracker.known().cloned(),
            in_force: self.tracker.in_force().map(|head| head.revision),
            incarnation: self.incarnation,
            proof_age: self.freshness.age(now),
        }
    }

    /// Returns what decides about starts until the next event.
    pub fn snapshot(&self) -> Snapshot {
        Snapshot::new(&self.freshness, &self.tracker, &self.authority)
    }

    /// Returns the incarnation.
    pub fn incarnation(&self) -> Incarnation {
        self.incarnation
    }

    /// Returns the authority.
    pub fn authority(&self) -> &Authority {
        &self.authority
    }

    /// Returns the authority, to add renewals, limits and its end.
    pub fn authority_mut(&mut self) -> &mut Authority {
        &mut self.authority
    }

    /// Returns the freshness.
    pub fn freshness(&self) -> &Freshness {
        &self.freshness
    }

    /// Returns the number of stale reads since the last call, for a counter.
    pub fn take_stale_reads(&mut self) -> u64 {
        self.freshness.take_stale_reads()
    }

    /// Returns the revisions.
    pub fn tracker(&self) -> &RevisionTracker {
        &self.tracker
    }

    /// Adds a head and returns its revision, or `None` when it conflicts with a
    /// known one.
    fn adopt(&mut self, head: Option<&Head>) -> Option<u64> {
        let Some(head) = head else {
            return Some(0);
        };
        match self.tracker.on_head(head) {
            HeadUpdate::Conflict => None,
            HeadUpdate::Known | HeadUpdate::New => Some(head.revision),
        }
    }
}
