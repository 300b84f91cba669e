//! Registered instances and their state during the confirmation of a change.

use std::{
    sync::Arc,
    time::{
        Duration,
        Instant, //
    }, //
};

use crate::{
    Incarnation,
    Limits,
    UnconfirmedInstance,
    UnconfirmedReason, //
};

/// State of a registered instance.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
pub enum MemberState {
    /// The instance serves work.
    Live,
    /// The instance is shutting down and may still start work.
    Leaving,
    /// The instance can no longer start work: it was superseded by a new
    /// registration, or an observer waited until its authority had ended.
    Fenced,
}

/// A registered instance, as stated in its `member` key.
#[derive(Clone, Debug, Eq, Hash, PartialEq)]
pub struct Member {
    /// Incarnation that is registered.
    pub incarnation: Incarnation,
    /// Name of the instance.
    pub instance: Arc<str>,
    /// Isolation limit with which the incarnation is registered. Observers base
    /// their wait on it, whatever limit is in force.
    pub isolation_limit: Duration,
    /// State of the incarnation.
    pub state: MemberState,
}

/// A member and what the observer learned about it since the change was stored.
#[derive(Clone, Debug, Eq, Hash, PartialEq)]
pub(crate) struct MemberProgress {
    pub(crate) member: Member,
    /// Whether the member has reported the revision of the change, or a newer
    /// one, as in force.
    pub(crate) confirmed: bool,
    /// Revision in force that the member reported last; `None` if it has not
    /// responded.
    pub(crate) reported_revision: Option<Option<u64>>,
    /// Instant since which the lease is known to be expired.
    pub(crate) expired_since: Option<Instant>,
}

impl MemberProgress {
    pub(crate) fn new(member: Member) -> Self {
        Self {
            member,
            confirmed: false,
            reported_revision: None,
            expired_since: None,
        }
    }

    /// Records the revision in force that the member reported.
    pub(crate) fn on_response(&mut self, in_force: Option<u64>, revision: u64) {
        self.reported_revision = Some(in_force);
        self.confirmed |= in_force.is_some_and(|in_force| in_force >= revision);
    }

    /// Records the result of a lease read.
    ///
    /// The expiry counts from the arrival of the response, because the lease may
    /// have expired just before the response.
    pub(crate) fn on_lease(&mut self, alive: bool, arrived_at: Instant) {
        if alive {
            self.expired_since = None;
        } else {
            self.expired_since.get_or_insert(arrived_at);
        }
    }

    /// Returns the longest time until the member can no longer start work under
    /// an older revision, or zero if it already cannot.
    pub(crate) fn remaining(&self, limits: &Limits, now: Instant) -> Duration {
        if self.confirmed {
            return Duration::ZERO;
        }
        let isolation_limit = self.member.isolation_limit;
        match self.expired_since {
            Some(since) => limits
                .wait_after_expiry(isolation_limit)
                .saturating_sub(now.saturating_duration_since(since)),
            None => limits.wait_while_alive(isolation_limit),
        }
    }

    /// Describes the member as unconfirmed, with the reason.
    pub(crate) fn unconfirmed(&self, max_wait: Duration) -> UnconfirmedInstance {
        let reason = match (self.expired_since, self.reported_revision) {
            (Some(_), _) => UnconfirmedReason::LeaseExpired,
            (None, Some(in_force)) => UnconfirmedReason::OlderRevision { in_force },
            (None, None) => UnconfirmedReason::NoResponse,
        };
        UnconfirmedInstance {
            max_wait,
            incarnation: self.member.incarnation,
            instance: self.member.instance.clone(),
            reason,
        }
    }
}
