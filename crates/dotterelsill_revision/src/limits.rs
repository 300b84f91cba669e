//! Limits of authority and acceptance.

use std::time::Duration;

use dotterelsill_freshness::Drift;

/// Lease under which an incarnation is registered.
pub const LEASE: Duration = Duration::from_secs(5);

/// Longest isolation limit.
///
/// A seal on a claim log lives for 2 h and must outlive the authority of every
/// deposed owner.
pub const MAX_ISOLATION_LIMIT: Duration = Duration::from_secs(30 * 60);

/// Limits of authority and acceptance, the same on every instance.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
pub struct Limits {
    /// Lease under which an incarnation is registered.
    pub lease: Duration,
    /// Longest time from the expiry of a lease until its observation.
    pub detection_delay: Duration,
    /// Margin for clocks that run at different rates.
    pub drift: Drift,
}

impl Limits {
    /// Returns how long a lease must have been seen as expired until its holder
    /// can start nothing more.
    ///
    /// The holder measures the lease and the isolation limit on its own clock.
    /// The store measures the lease on another one and may end it early by the
    /// drift of the lease, so the margin covers both durations.
    pub fn wait_after_expiry(&self, isolation_limit: Duration) -> Duration {
        let early = self.margin(self.lease);
        let measured = isolation_limit.saturating_add(early);
        measured.saturating_add(self.margin(measured))
    }

    /// Returns the longest time until a holder whose last renewal was received
    /// now, and who renews no more, can start nothing more.
    pub(crate) fn wait_while_alive(&self, isolation_limit: Duration) -> Duration {
        let lease = self.lease.saturating_add(self.margin(self.lease));
        let observed = lease.saturating_add(self.detection_delay);
        observed.saturating_add(self.wait_after_expiry(isolation_limit))
    }

    fn margin(&self, measured: Duration) -> Duration {
        let margin = self.drift.checked_margin(measured);
        margin.unwrap_or(Duration::MAX)
    }
}

impl Default for Limits {
    /// Returns a lease of 5 s, an observation within 2 s (1 s between two
    /// observations, 1 s for their store call) and a drift of 1/1000.
    fn default() -> Self {
        Self {
            lease: LEASE,
            detection_delay: Duration::from_secs(2),
            drift: Drift::default(),
        }
    }
}
