//! Decision on when the credits of a dead incarnation are free again.

use std::time::{
    Duration,
    Instant, //
};

use crate::Incarnation;

/// Highest drift between two clocks, as a fraction: 1 / 1000.
const DRIFT_DIVISOR: u32 = 1000;

/// Times after which an incarnation has no work running any more.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
pub struct ReclaimLimits {
    /// Time after its lease for which an incarnation may start work.
    pub isolation_limit: Duration,
    /// Duration of the lease.
    pub lease: Duration,
    /// Longest run time of any queue, with [`crate::ABORT_GRACE`].
    pub max_run: Duration,
}

/// Lease of an incarnation as read from the store.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
pub enum LeaseState {
    /// The key `alive` exists.
    Alive,
    /// The key `alive` does not exist.
    Expired,
}

/// Member record of an incarnation as read from the store.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
pub enum MemberState {
    /// The record does not exist. An incarnation registers before anything
    /// else and only once, so it was deleted after fencing or at a shutdown.
    Absent,
    /// The record is fenced.
    Fenced,
    /// The record is in another state.
    Present,
}

/// Proof that an incarnation can have no work running.
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

/// Observation of one incarnation that is listed in a record.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
pub struct ReclaimTracker {
    expired_since: Option<Instant>,
    incarnation: Incarnation,
    member: MemberState,
    wait: Duration,
}

impl ReclaimTracker {
    /// Starts observing an incarnation.
    pub fn new(incarnation: Incarnation, limits: ReclaimLimits) -> Self {
        Self {
            expired_since: None,
            incarnation,
            member: MemberState::Present,
            wait: limits.wait(),
        }
    }

    /// Extends the wait to the limits of another revision under which the
    /// incarnation may still act; shorter limits change nothing.
    pub fn on_limits(&mut self, limits: ReclaimLimits) {
        self.wait = self.wait.max(limits.wait());
    }

    /// Notes the state of the lease.
    ///
    /// `answered_at` is the instant at which the store's answer arrived: the
    /// lease may have expired at any instant before it.
    pub fn on_lease(&mut self, lease: LeaseState, answered_at: Instant) {
        self.expired_since = match lease {
            LeaseState::Alive => None,
            LeaseState::Expired => self.expired_since.or(Some(answered_at)),
        };
    }

    /// Notes the state of the member record.
    pub fn on_member(&mut self, member: MemberState) {
        self.member = member;
    }

    /// Returns whether the observer should set the member record to fenced.
    pub fn should_fence(&self, now: Instant) -> bool {
        self.has_waited(now) && self.member == MemberState::Present
    }

    /// Returns the proof for [`crate::Ledger::reclaim`] once both conditions are met.
    pub fn reclaim_proof(&self, now: Instant) -> Option<ReclaimProof> {
        let incarnation = self.incarnation;
        let met = self.has_waited(now) && self.member != MemberState::Present;
        met.then_some(ReclaimProof { incarnation })
    }

    fn has_waited(&self, now: Instant) -> bool {
        self.expired_since
            .is_some_and(|since| now.saturating_duration_since(since) >= self.wait)
    }
}

impl ReclaimLimits {
    /// Returns the time from the expiry of the lease to the end of all work.
    ///
    /// The drift applies to the lease and to the run time as well, because
    /// other clocks than the observer's measure them.
    fn wait(&self) -> Duration {
        let nominal = self.isolation_limit + self.max_run;
        nominal + (self.lease + nominal) / DRIFT_DIVISOR
    }
}
