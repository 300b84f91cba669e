//! The authority that a registration gives to an incarnation.

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
    /// Instant before the grant of the lease was sent.
    ///
    /// An incarnation has one lease. When an answer is lost, the writes are sent
    /// again with the same lease: with another one, a late first write could move
    /// the `alive` key back to the lease that ends earlier.
    pub lease_requested_at: Instant,
    /// Instant after the answers to the writes of both the `alive` and the
    /// `member` key had arrived. Only proofs of a later instant count.
    pub registered_at: Instant,
    /// Isolation limit that the `member` key states.
    pub isolation_limit: Duration,
}

/// A registration that gives no authority.
#[derive(Clone, Copy, Debug, Eq, PartialEq, Snafu)]
pub enum RegistrationError {
    /// The isolation limit is too long.
    #[snafu(display(
        "registration: an isolation limit of {} s is above {} s; lower it in the operators' text",
        isolation_limit.as_secs(),
        MAX_ISOLATION_LIMIT.as_secs()
    ))]
    IsolationLimit {
        /// Limit that was asked for.
        isolation_limit: Duration,
    },
    /// The instants are in the wrong order.
    #[snafu(display(
        "registration: it ended before its lease was asked for; pass the instants in order"
    ))]
    Order,
}

/// The authority that a registration gives to an incarnation.
///
/// It ends at the last renewal sent whose answer arrived, plus the lease, plus
/// the isolation limit. An end that has passed is final.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
pub struct Authority {
    isolation_limit: Duration,
    lease: Duration,
    lease_gone: bool,
    registration: Registration,
    renewed_at: Instant,
    resigned: bool,
}

impl Authority {
    /// Creates the authority that a registration gives.
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
            lease_gone: false,
            registration,
            renewed_at: registration.lease_requested_at,
            resigned: false,
        })
    }

    /// Adds the answer to a renewal, sent directly or by a peer.
    ///
    /// `sent_at` is the instant before this instance sent the renewal, or asked
    /// the peer for it. An answer that arrives after the authority has ended
    /// changes nothing, because another incarnation may be registered by then.
    pub fn on_renewal(&mut self, sent_at: Instant, alive: bool, now: Instant) {
        if !alive {
            self.lease_gone = true;
            return;
        }
        if !self.has_ended(now) {
            self.renewed_at = self.renewed_at.max(sent_at);
        }
    }

    /// Adopts the isolation limit of the revision in force, up to the limit that
    /// was registered.
    ///
    /// Observers wait for the registered limit, so a higher one needs another
    /// registration.
    pub fn on_isolation_limit(&mut self, limit: Duration, now: Instant) {
        if !self.has_ended(now) {
            self.isolation_limit = limit.min(self.registration.isolation_limit);
        }
    }

    /// Gives up the authority, before the `member` key is deleted or another
    /// incarnation is registered.
    pub fn resign(&mut self) {
        self.resigned = true;
    }

    /// Returns the first instant without authority, or `None` when it was given
    /// up.
    pub fn ends_at(&self) -> Option<Instant> {
        if self.resigned {
            return None;
        }
        Some(self.renewed_at + self.lease + self.isolation_limit)
    }

    /// Returns whether the authority has ended.
    pub fn has_ended(&self, now: Instant) -> bool {
        self.ends_at().is_none_or(|ends_at| now >= ends_at)
    }

    /// Returns whether another incarnation is to be registered: the authority
    /// has ended, or the lease has expired and cannot be renewed any more.
    pub fn must_register_again(&self, now: Instant) -> bool {
        self.lease_gone || self.has_ended(now)
    }

    /// Returns the isolation limit that applies now.
    pub fn isolation_limit(&self) -> Duration {
        self.isolation_limit
    }

    /// Returns the registration.
    pub fn registration(&self) -> &Registration {
        &self.registration
    }
}
