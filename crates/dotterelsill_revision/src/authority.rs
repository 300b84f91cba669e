//! Authority of an incarnation to start work, based on its lease.

use std::time::{
    Duration,
    Instant, //
};

use snafu::{
    ensure,
    Snafu, //
};

use crate::MAX_ISOLATION_LIMIT;

/// Registration of an incarnation in the store.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
pub struct Registration {
    /// Instant before the request for the lease was sent.
    ///
    /// An incarnation has a single lease. When a response is lost, the writes are
    /// retried with the same lease. With a new lease, a delayed first write could
    /// attach the `alive` key to the older lease, which ends earlier.
    pub lease_requested_at: Instant,
    /// Instant after the responses to the writes of both the `alive` and the
    /// `member` key had arrived. Only proofs with a later instant are valid.
    pub registered_at: Instant,
    /// Isolation limit that is stated in the `member` key.
    pub isolation_limit: Duration,
}

/// Reason why a registration is invalid and gives no authority.
#[derive(Clone, Copy, Debug, Eq, PartialEq, Snafu)]
pub enum RegistrationError {
    /// The isolation limit is above [`MAX_ISOLATION_LIMIT`].
    #[snafu(display(
        "registration: an isolation limit of {} s is above {} s; lower it in the configuration",
        isolation_limit.as_secs(),
        MAX_ISOLATION_LIMIT.as_secs()
    ))]
    IsolationLimit {
        /// Isolation limit of the registration.
        isolation_limit: Duration,
    },
    /// The registration was completed before its lease was requested.
    #[snafu(display(
        "registration: it was completed before its lease was requested; pass the instants in order"
    ))]
    Order,
}

/// Authority of a registered incarnation to start work.
///
/// It lasts for the lease plus the isolation limit, counted from the instant at
/// which the lease was requested or the last confirmed renewal was sent. Once it
/// has ended, it cannot be extended any more.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
pub struct Authority {
    isolation_limit: Duration,
    lease: Duration,
    lease_expired: bool,
    registration: Registration,
    renewed_at: Instant,
    resigned: bool,
}

impl Authority {
    /// Creates the authority that results from a registration.
    ///
    /// # Errors
    ///
    /// Returns an error when the isolation limit is above
    /// [`MAX_ISOLATION_LIMIT`] or the instants are in the wrong order.
    pub fn new(registration: Registration, lease: Duration) -> Result<Self, RegistrationError> {
        let isolation_limit = registration.isolation_limit;
        ensure!(
            isolation_limit <= MAX_ISOLATION_LIMIT,
            IsolationLimitSnafu { isolation_limit }
        );
        ensure!(
            registration.lease_requested_at <= registration.registered_at,
            OrderSnafu
        );
        Ok(Self {
            isolation_limit,
            lease,
            lease_expired: false,
            registration,
            renewed_at: registration.lease_requested_at,
            resigned: false,
        })
    }

    /// Records the response to a renewal that was sent directly or through a peer.
    ///
    /// `sent_at` is the instant before this instance sent the renewal, or asked
    /// the peer to send it. A renewal that is confirmed after the authority has
    /// ended has no effect, because another incarnation may be registered by then.
    pub fn on_renewal(&mut self, sent_at: Instant, alive: bool, now: Instant) {
        if !alive {
            self.lease_expired = true;
            return;
        }
        if !self.has_ended(now) {
            self.renewed_at = self.renewed_at.max(sent_at);
        }
    }

    /// Applies the isolation limit of the revision in force, capped at the
    /// registered limit.
    ///
    /// Observers base their wait on the registered limit, so a higher limit
    /// requires a new registration.
    pub fn on_isolation_limit(&mut self, limit: Duration, now: Instant) {
        if !self.has_ended(now) {
            self.isolation_limit = limit.min(self.registration.isolation_limit);
        }
    }

    /// Gives up the authority for good.
    ///
    /// This must happen before the `member` key is deleted or another incarnation
    /// is registered.
    pub fn resign(&mut self) {
        self.resigned = true;
    }

    /// Returns the first instant without authority, or `None` when the authority
    /// was given up.
    pub fn ends_at(&self) -> Option<Instant> {
        if self.resigned {
            return None;
        }
        Some(self.renewed_at + self.lease + self.isolation_limit)
    }

    /// Returns whether the authority has ended or was given up.
    pub fn has_ended(&self, now: Instant) -> bool {
        self.ends_at().is_none_or(|ends_at| now >= ends_at)
    }

    /// Returns whether a new incarnation must be registered, because the authority
    /// has ended or the lease has expired and cannot be renewed any more.
    pub fn must_register_again(&self, now: Instant) -> bool {
        self.lease_expired || self.has_ended(now)
    }

    /// Returns the isolation limit currently applied.
    pub fn isolation_limit(&self) -> Duration {
        self.isolation_limit
    }

    /// Returns the registration on which the authority is based.
    pub fn registration(&self) -> &Registration {
        &self.registration
    }
}
