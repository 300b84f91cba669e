//! Confirmation that a stored change is in force on every instance.

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
    member::MemberProgress,
    Incarnation,
    Limits,
    Member,
    MemberState, //
};

/// The read was sent before the change was known to be stored.
///
/// Such a read may miss instances that start work under an older revision.
#[derive(Clone, Copy, Debug, Eq, PartialEq, Snafu)]
#[snafu(display(
    "confirmation: the read was sent before the change was known to be stored; send it again"
))]
pub struct ReadTooEarly;

/// Reason why an instance can still start work under an older revision.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
pub enum UnconfirmedReason {
    /// The instance has not responded, and its lease is alive or was not read yet.
    NoResponse,
    /// The instance has reported an older revision in force.
    OlderRevision {
        /// Revision that the instance reported as in force, if any.
        in_force: Option<u64>,
    },
    /// The lease has expired, but the instance may still start work until its
    /// isolation limit is over.
    LeaseExpired,
}

impl fmt::Display for UnconfirmedReason {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::NoResponse => f.write_str("no answer"),
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
    /// Longest time until the instance can no longer start work under an older
    /// revision, provided that it does not renew its lease again.
    pub max_wait: Duration,
    /// Incarnation that is registered.
    pub incarnation: Incarnation,
    /// Name of the instance.
    pub instance: Arc<str>,
    /// Reason why the change is not confirmed for the instance.
    pub reason: UnconfirmedReason,
}

/// Progress of a stored change towards being in force on every instance.
#[derive(Clone, Debug, Eq, Hash, PartialEq)]
pub enum ConfirmationStatus {
    /// No instance can start work under an older revision any more.
    InForce {
        /// Revision of the change.
        revision: u64,
    },
    /// The change is stored, but not yet in force on every instance.
    Stored {
        /// Revision of the change.
        revision: u64,
        /// Instances that can still start work under an older revision.
        unconfirmed: Vec<UnconfirmedInstance>,
        /// Whether instances still hold more credits than a lowered limit allows.
        waits_for_credits: bool,
        /// Whether the registered instances have not been listed yet.
        waits_for_members: bool,
    },
}

/// Tracks which instances still have to confirm a stored change.
///
/// An instance that is missing from a list read after the change was stored does
/// not need to confirm it. Either it deleted its key or was fenced and can no
/// longer start work, or it registers later and its first proof includes the
/// change.
#[derive(Clone, Debug, Eq, Hash, PartialEq)]
pub struct ChangeConfirmation {
    credits_pending: bool,
    limits: Limits,
    members: Option<Vec<MemberProgress>>,
    revision: u64,
    stored_at: Instant,
}

impl ChangeConfirmation {
    /// Creates the confirmation state of a stored change.
    ///
    /// `stored_at` is the instant at which the change was known to be stored.
    /// `lowers_limit` states whether the change lowers a credit limit, so that
    /// credits above the new limit must be returned first.
    pub fn new(revision: u64, stored_at: Instant, lowers_limit: bool, limits: Limits) -> Self {
        Self {
            credits_pending: lowers_limit,
            limits,
            members: None,
            revision,
            stored_at,
        }
    }

    /// Records a list of all `member` keys.
    ///
    /// The first list sets the members that have to confirm; later lists only
    /// remove members.
    ///
    /// # Errors
    ///
    /// Returns an error when the read was sent before the change was known to be
    /// stored.
    pub fn on_members(&mut self, sent_at: Instant, listed: &[Member]) -> Result<(), ReadTooEarly> {
        self.ensure_sent_after_stored(sent_at)?;
        let registered = |member: &&Member| member.state != MemberState::Fenced;
        let Some(members) = &mut self.members else {
            let listed = listed.iter().filter(registered).cloned();
            self.members = Some(listed.map(MemberProgress::new).collect());
            return Ok(());
        };
        members.retain(|progress| {
            let mut registered_members = listed.iter().filter(registered);
            registered_members.any(|member| member.incarnation == progress.member.incarnation)
        });
        Ok(())
    }

    /// Records a list of all `alive` keys. The lease of a member without such a
    /// key has expired.
    ///
    /// The expiry counts from `arrived_at`, the instant at which the list arrived.
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
        self.ensure_sent_after_stored(sent_at)?;
        for progress in self.members.iter_mut().flatten() {
            let is_alive = alive.contains(&progress.member.incarnation);
            progress.on_lease(is_alive, arrived_at);
        }
        Ok(())
    }

    /// Records the revision in force that an incarnation reported when it was
    /// asked.
    pub fn on_member_response(&mut self, incarnation: Incarnation, in_force: Option<u64>) {
        let mut members = self.members.iter_mut().flatten();
        if let Some(progress) = members.find(|progress| progress.member.incarnation == incarnation)
        {
            progress.on_response(in_force, self.revision);
        }
    }

    /// Records that all credits held are within the lowered limits.
    pub fn on_credits_within_limits(&mut self) {
        self.credits_pending = false;
    }

    /// Returns the members that have to be asked for their revision in force.
    pub fn members_to_query(&self) -> impl Iterator<Item = &Member> {
        let members = self.members.iter().flatten();
        members
            .filter(|progress| !progress.confirmed)
            .map(|progress| &progress.member)
    }

    /// Returns the progress of the change at `now`.
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
        for progress in self.members.iter().flatten() {
            let max_wait = progress.remaining(&self.limits, now);
            if !max_wait.is_zero() {
                unconfirmed.push(progress.unconfirmed(max_wait));
            }
        }
        unconfirmed
    }

    fn ensure_sent_after_stored(&self, sent_at: Instant) -> Result<(), ReadTooEarly> {
        ensure!(sent_at >= self.stored_at, ReadTooEarlySnafu);
        Ok(())
    }
}
