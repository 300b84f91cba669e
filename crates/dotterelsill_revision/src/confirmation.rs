//! Whether a stored change is in force everywhere.

use std::{
    fmt,
    sync::Arc,
    time::{
        Duration,
        Instant, //
    }, //
};

use snafu::{
    ensure,
    Snafu, //
};

use crate::{
    member::Observed,
    Incarnation,
    Limits,
    Member,
    MemberState, //
};

/// A read of the store that was sent before the change was known to be stored.
#[derive(Clone, Copy, Debug, Eq, PartialEq, Snafu)]
#[snafu(display(
    "acceptance: the read was sent before the change was known to be stored; send it again"
))]
pub struct ReadTooEarly;

/// Why an instance can still start work under an older revision.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
pub enum UnconfirmedReason {
    /// The instance has not answered and its lease is alive or not yet read.
    NoAnswer,
    /// The instance has answered with an older revision in force.
    OlderRevision {
        /// Revision in force, if any.
        in_force: Option<u64>,
    },
    /// The lease has expired, and the instance may still work isolated.
    LeaseExpired,
}

impl fmt::Display for UnconfirmedReason {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::NoAnswer => f.write_str("no answer"),
            Self::OlderRevision {
                in_force: Some(revision),
            } => write!(f, "revision {revision} is in force there"),
            Self::OlderRevision { in_force: None } => f.write_str("no revision is in force there"),
            Self::LeaseExpired => f.write_str("lease expired, may still work isolated"),
        }
    }
}

/// An instance that can still start work under an older revision.
#[derive(Clone, Debug, Eq, Hash, PartialEq)]
pub struct UnconfirmedInstance {
    /// Longest time until it can start nothing under an older revision, provided
    /// that it renews its lease no more.
    pub max_wait: Duration,
    /// Incarnation.
    pub incarnation: Incarnation,
    /// Name of the instance.
    pub instance: Arc<str>,
    /// Reason.
    pub reason: UnconfirmedReason,
}

/// How far a stored change has come.
#[derive(Clone, Debug, Eq, Hash, PartialEq)]
pub enum ConfirmationStatus {
    /// No instance can start work under an older revision.
    InForce {
        /// Revision of the change.
        revision: u64,
    },
    /// The change is stored and not yet in force everywhere.
    Stored {
        /// Revision of the change.
        revision: u64,
        /// Instances that can still start work under an older revision.
        unconfirmed: Vec<UnconfirmedInstance>,
        /// Whether credits above a lowered limit are still held.
        waits_for_credits: bool,
        /// Whether the registered instances are still to be read.
        waits_for_members: bool,
    },
}

/// Decides whether a stored change is in force everywhere.
///
/// An instance that is missing from a list read after the change was stored
/// needs no confirmation: it has deleted its key or was fenced and starts nothing
/// more, or it registers later and its first proof includes the change.
#[derive(Clone, Debug, Eq, Hash, PartialEq)]
pub struct ChangeConfirmation {
    credits_pending: bool,
    limits: Limits,
    members: Option<Vec<Observed>>,
    revision: u64,
    stored_at: Instant,
}

impl ChangeConfirmation {
    /// Creates the acceptance of a change.
    ///
    /// `stored_at` is the instant at which the change was known to be stored.
    /// `lowers_limit` says whether credits above a lowered limit must be given
    /// back first.
    pub fn new(revision: u64, stored_at: Instant, lowers_limit: bool, limits: Limits) -> Self {
        Self {
            credits_pending: lowers_limit,
            limits,
            members: None,
            revision,
            stored_at,
        }
    }

    /// Adds a list of all `member` keys.
    ///
    /// # Errors
    ///
    /// Returns an error when the read was sent before the change was known to be
    /// stored.
    pub fn on_members(&mut self, sent_at: Instant, listed: &[Member]) -> Result<(), ReadTooEarly> {
        self.check_order(sent_at)?;
        let registered = |member: &&Member| member.state != MemberState::Fenced;
        let Some(members) = &mut self.members else {
            let listed = listed.iter().filter(registered).cloned();
            self.members = Some(listed.map(Observed::new).collect());
            return Ok(());
        };
        members.retain(|observed| {
            let mut same = listed.iter().filter(registered);
            same.any(|member| member.incarnation == observed.member.incarnation)
        });
        Ok(())
    }

    /// Adds a list of all `alive` keys; members without one have no lease.
    ///
    /// An expiry counts from `arrived_at`, the instant at which the list arrived.
    ///
    /// # Errors
    ///
    /// Returns an error when the read was sent before the change was known to be
    /// stored.
    pub fn on_leases(
        &mut self,
        sent_at: Instant,
        arrived_at: Instant,
        alive: &[Incarnation],
    ) -> Result<(), ReadTooEarly> {
        self.check_order(sent_at)?;
        for observed in self.members.iter_mut().flatten() {
            let is_alive = alive.contains(&observed.member.incarnation);
            observed.on_lease(is_alive, arrived_at);
        }
        Ok(())
    }

    /// Adds the answer of an incarnation that was asked for its revision in
    /// force.
    pub fn on_answer(&mut self, incarnation: Incarnation, in_force: Option<u64>) {
        let mut members = self.members.iter_mut().flatten();
        if let Some(observed) = members.find(|observed| observed.member.incarnation == incarnation)
        {
            observed.on_answer(in_force, self.revision);
        }
    }

    /// Adds that the credits held are no more than the lowered limits.
    pub fn on_credits_within_limits(&mut self) {
        self.credits_pending = false;
    }

    /// Returns the members to be asked for their revision in force.
    pub fn members_to_query(&self) -> impl Iterator<Item = &Member> {
        let members = self.members.iter().flatten();
        members
            .filter(|observed| !observed.confirmed)
            .map(|observed| &observed.member)
    }

    /// Returns how far the change has come.
    pub fn status(&self, now: Instant) -> ConfirmationStatus {
        let unconfirmed = self.unconfirmed(now);
        let waits_for_members = self.members.is_none();
        if unconfirmed.is_empty() && !waits_for_members && !self.credits_pending {
            return ConfirmationStatus::InForce {
                revision: self.revision,
            };
        }
        ConfirmationStatus::Stored {
            revision: self.revision,
            unconfirmed,
            waits_for_credits: self.credits_pending,
            waits_for_members,
        }
    }

    fn unconfirmed(&self, now: Instant) -> Vec<UnconfirmedInstance> {
        let mut unconfirmed = Vec::new();
        for observed in self.members.iter().flatten() {
            let max_wait = observed.remaining(&self.limits, now);
            if !max_wait.is_zero() {
                unconfirmed.push(observed.unconfirmed(max_wait));
            }
        }
        unconfirmed
    }

    fn check_order(&self, sent_at: Instant) -> Result<(), ReadTooEarly> {
        ensure!(sent_at >= self.stored_at, ReadTooEarlySnafu);
        Ok(())
    }
}
