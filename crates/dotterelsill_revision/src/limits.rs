//! Time limits for the authority of instances and the confirmation of changes.

use std::time::Duration;

use dotterelsill_freshness::Drift;

/// Duration of the lease under which an incarnation is registered.
pub const LEASE: Duration = Duration::from_secs(5);

/// Maximum isolation limit that an incarnation may register.
///
/// A seal on a claim log is kept for 2 h and must outlast the authority of every
/// previous owner of the log.
pub const MAX_ISOLATION_LIMIT: Duration = Duration::from_secs(30 * 60);

/// Time limits for authority and confirmation.
///
/// They must be the same on every instance, because observers derive from them
/// how long another instance can still start work.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
pub struct Limits {
    /// Duration of the lease under which an incarnation is registered.
    pub lease: Duration,
    /// Longest time from the expiry of a lease until an observer detects it.
    pub detection_delay: Duration,
    /// Bound on the drift between the clocks of two machines.
    pub drift: Drift,
}

impl Limits {
    /// Returns how long an observer must wait after it detected the expiry of a
    /// lease until the holder can no longer start work.
    ///
    /// The holder measures the lease and the isolation limit on its own clock.
    /// The store measures the lease on a different clock and may end it early by
    /// the drift over the lease, so the margin covers both durations.
    pub fn wait_after_expiry(&self, isolation_limit: Duration) -> Duration {
        let early_expiry = self.drift_margin(self.lease);
        let measured = isolation_limit.saturating_add(early_expiry);
        measured.saturating_add(self.drift_margin(measured))
    }

    /// Returns the longest time until a holder can no longer start work, provided
    /// that the store received its last renewal just now.
    pub(crate) fn wait_while_alive(&self, isolation_limit: Duration) -> Duration {
        let lease = self.lease.saturating_add(self.drift_margin(self.lease));
        let detected = lease.saturating_add(self.detection_delay);
        detected.saturating_add(self.wait_after_expiry(isolation_limit))
    }

    fn drift_margin(&self, measured: Duration) -> Duration {
        let margin = self.drift.checked_margin(measured);
        margin.unwrap_or(Duration::MAX)
    }
}

impl Default for Limits {
    /// Returns a lease of 5 s, a detection delay of 2 s (1 s between two reads of
    /// the leases, 1 s for the store call) and a drift of 1/1000.
    fn default() -> Self {
        Self {
            lease: LEASE,
            detection_delay: Duration::from_secs(2),
            drift: Drift::default(),
        }
    }
}
