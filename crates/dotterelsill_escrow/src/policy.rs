//! Hysteresis of the transfers.

use std::time::Duration;

/// Rules by which a holder takes and gives back credits.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
pub struct Policy {
    /// Time for which credits are idle before they are given back.
    pub idle_after: Duration,
    /// The same time while another incarnation wants credits and none is free.
    pub idle_after_contended: Duration,
    /// Credits kept while idle, so that an instance that is cut off from the
    /// store can go on serving the team.
    pub reserve: u32,
    /// Whether a take covers all waiting requests, and not only half of what is held.
    pub take_covers_waiting: bool,
    /// Delay of a take for each incarnation that wants credits and holds fewer,
    /// divided by the number of free credits.
    pub take_delay: Duration,
}

impl Policy {
    /// Rules of the design without the extensions.
    pub const BASIC: Self = Self {
        idle_after: Duration::from_secs(2),
        idle_after_contended: Duration::from_secs(2),
        reserve: 0,
        take_covers_waiting: false,
        take_delay: Duration::ZERO,
    };

    /// Returns the credits to ask for.
    pub(crate) fn ask(&self, held: u32, waiting: u32) -> u32 {
        let half = (held / 2).max(1);
        if self.take_covers_waiting {
            half.max(waiting)
        } else {
            half
        }
    }
}

impl Default for Policy {
    /// Returns the rules chosen by the example `fleet`: they serve more demand
    /// than [`Policy::BASIC`] with about as many store writes.
    fn default() -> Self {
        Self {
            idle_after_contended: Duration::from_millis(200),
            take_covers_waiting: true,
            take_delay: Duration::from_millis(10),
            ..Self::BASIC
        }
    }
}

/// Returns the reserve of one of several live incarnations: an eighth of an
/// equal part of the limit, at least one credit if there are two for each.
///
/// The reserves of idle instances are stranded for a busy one, so they are kept
/// small.
pub fn reserve_per_incarnation(limit: u32, incarnations: u32) -> u32 {
    let part = limit / incarnations.max(1);
    if part < 2 {
        0
    } else {
        (part / 8).max(1)
    }
}

/// Returns the credits kept for a peak of running requests: the peak and a quarter.
pub(crate) fn kept_for(peak: u32) -> u32 {
    peak + peak.div_ceil(4)
}
