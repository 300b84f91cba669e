//! Detection of dead incarnations whose credits can be reclaimed.

use std::time::{
    Duration,
    Instant, //
};

use crate::Incarnation;

/// Divisor for the highest drift between two clocks: at most 1/1000 of the
/// elapsed time.
const DRIFT_DIVISOR: u32 = 1000;

/// Durations that bound how long an incarnation can have work running.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
pub struct ReclaimLimits {
    /// Time for which an incarnation may start work after its lease expires.
    pub isolation_limit: Duration,
    /// Duration of the lease.
    pub lease: Duration,
    /// Longest run time of any queue plus [`crate::ABORT_GRACE`].
    pub max_run: Duration,
}

/// State of an incarnation's lease as read from the store.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
pub enum LeaseState {
    /// The `alive` key of the incarnation exists.
    Alive,
    /// The `alive` key of the incarnation does not exist.
    Expired,
}

/// State of an incarnation's member record as read from the store.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
pub enum MemberState {
    /// The record does not exist. An incarnation registers before it does
    /// anything else, and only once, so the record was deleted after fencing or
    /// at shutdown.
    Absent,
    /// The record is marked as fenced.
    Fenced,
    /// The record is in another state.
    Present,
}

/// Proof that an incarnation can no longer have work running.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
pub struct ReclaimProof {
    incarnation: Incarnation,
}

impl ReclaimProof {
    /// Returns the dead incarnation.
    pub fn incarnation(&self) -> Incarnation {
        self.incarnation
    }
}

/// Tracks the lease and the member record of one incarnation.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
pub struct ReclaimTracker {
    expired_since: Option<Instant>,
    incarnation: Incarnation,
    member: MemberState,
    wait: Duration,
}

impl ReclaimTracker {
    /// Starts tracking an incarnation, which is assumed to be registered.
    pub fn new(incarnation: Incarnation, limits: ReclaimLimits) -> Self {
        Self {
            expired_since: None,
            incarnation,
            member: MemberState::Present,
            wait: limits.wait(),
        }
    }

    /// Extends the waiting time to the limits of another revision under which
    /// the incarnation may still act. Shorter limits have no effect.
    pub fn on_limits(&mut self, limits: ReclaimLimits) {
        self.wait = self.wait.max(limits.wait());
    }

    /// Records the state of the lease.
    ///
    /// `answered_at` is the time at which the store's answer arrived. The lease
    /// may have expired at any time before it.
    pub fn on_lease(&mut self, lease: LeaseState, answered_at: Instant) {
        self.expired_since = match lease {
            LeaseState::Alive => None,
            LeaseState::Expired => self.expired_since.or(Some(answered_at)),
        };
    }

    /// Records the state of the member record.
    pub fn on_member(&mut self, member: MemberState) {
        self.member = member;
    }

    /// Returns whether the driver should mark the member record as fenced.
    pub fn should_fence(&self, now: Instant) -> bool {
        self.is_wait_over(now) && self.member == MemberState::Present
    }

    /// Returns the proof for [`crate::Ledger::reclaim`] once the waiting time
    /// has passed and the member record is fenced or absent.
    pub fn reclaim_proof(&self, now: Instant) -> Option<ReclaimProof> {
        let incarnation = self.incarnation;
        let is_reclaimable = self.is_wait_over(now) && self.member != MemberState::Present;
        is_reclaimable.then_some(ReclaimProof { incarnation })
    }

    fn is_wait_over(&self, now: Instant) -> bool {
        self.expired_since
            .is_some_and(|since| now.saturating_duration_since(since) >= self.wait)
    }
}

impl ReclaimLimits {
    /// Returns the longest time from the expiry of the lease to the end of all
    /// work of the incarnation.
    ///
    /// Clock drift also applies to the lease and to the run time, because they
    /// are measured by clocks other than the observer's.
    fn wait(&self) -> Duration {
        let nominal = self.isolation_limit + self.max_run;
        nominal + (self.lease + nominal) / DRIFT_DIVISOR
    }
}
