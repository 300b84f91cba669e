//! Registered instances as an observer of a change sees them.

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
    /// The instance serves.
    Live,
    /// The instance shuts down; it may still start work.
    Leaving,
    /// An observer has waited until the instance can start nothing more.
    Fenced,
}

/// A registered instance, as its `member` key states.
#[derive(Clone, Debug, Eq, Hash, PartialEq)]
pub struct Member {
    /// Incarnation.
    pub incarnation: Incarnation,
    /// Name of the instance.
    pub instance: Arc<str>,
    /// Isolation limit that the incarnation registered.
    pub isolation_limit: Duration,
    /// State.
    pub state: MemberState,
}

/// A member and what is known about it since the change was stored.
#[derive(Clone, Debug, Eq, Hash, PartialEq)]
pub(crate) struct Observed {
    pub(crate) member: Member,
    pub(crate) confirmed: bool,
    /// Revision in force that the member answered last; `None` without an answer.
    pub(crate) answered: Option<Option<u64>>,
    /// Instant from which the lease is known to be expired.
    pub(crate) expired_since: Option<Instant>,
}

impl Observed {
    pub(crate) fn new(member: Member) -> Self {
        Self {
            member,
            confirmed: false,
            answered: None,
            expired_since: None,
        }
    }

    /// Adds the revision in force that the member answered.
    pub(crate) fn on_answer(&mut self, in_force: Option<u64>, revision: u64) {
        self.answered = Some(in_force);
        self.confirmed |= in_force.is_some_and(|in_force| in_force >= revision);
    }

    /// Adds a read of the lease. The expiry counts from the answer's arrival,
    /// because the lease may have expired just before the answer.
    pub(crate) fn on_lease(&mut self, alive: bool, arrived_at: Instant) {
        if alive {
            self.expired_since = None;
        } else {
            self.expired_since.get_or_insert(arrived_at);
        }
    }

    /// Returns the longest time until the member can start nothing under an
    /// older revision, or zero.
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

    pub(crate) fn unconfirmed(&self, max_wait: Duration) -> UnconfirmedInstance {
        let reason = match (self.expired_since, self.answered) {
            (Some(_), _) => UnconfirmedReason::LeaseExpired,
            (None, Some(in_force)) => UnconfirmedReason::OlderRevision { in_force },
            (None, None) => UnconfirmedReason::NoAnswer,
        };
        UnconfirmedInstance {
            max_wait,
            incarnation: self.member.incarnation,
            instance: self.member.instance.clone(),
            reason,
        }
    }
}
