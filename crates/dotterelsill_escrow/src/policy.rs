//! Rules for taking and giving back credits, including their hysteresis.

use std::time::Duration;

/// Rules that decide when a holder takes and gives back credits.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
pub struct Policy {
    /// Time for which credits must be idle before they are given back.
    pub idle_after: Duration,
    /// Idle time that applies instead while other incarnations want more credits
    /// than are free.
    pub idle_after_contended: Duration,
    /// Number of credits kept even while idle, so that an instance that loses its
    /// connection to the store can keep serving the team.
    pub reserve: u32,
    /// Whether a take asks for enough credits for all waiting requests, instead
    /// of only half the number of credits held.
    pub take_covers_waiting: bool,
    /// Delay of a take for each incarnation that wants credits and holds fewer.
    /// The total is divided by the number of free credits.
    pub take_delay: Duration,
}

impl Policy {
    /// Baseline rules: no reserve, no shorter idle time under contention, no
    /// takes for all waiting requests, and no delayed takes.
    pub const BASIC: Self = Self {
        idle_after: Duration::from_secs(2),
        idle_after_contended: Duration::from_secs(2),
        reserve: 0,
        take_covers_waiting: false,
        take_delay: Duration::ZERO,
    };

    /// Returns the number of credits to ask for in one take.
    pub(crate) fn take_size(&self, held: u32, waiting: u32) -> u32 {
        let half = (held / 2).max(1);
        if self.take_covers_waiting {
            half.max(waiting)
        } else {
            half
        }
    }
}

impl Default for Policy {
    /// Returns the rules selected with the simulation in `examples/fleet`: they
    /// serve more demand than [`Policy::BASIC`] with about as many store writes.
    fn default() -> Self {
        Self {
            idle_after_contended: Duration::from_millis(200),
            take_covers_waiting: true,
            take_delay: Duration::from_millis(10),
            ..Self::BASIC
        }
    }
}

/// Returns the reserve of each of `incarnations` live incarnations.
///
/// The reserve is an eighth of an equal part of the limit, and at least one
/// credit if that part is two or more. It is kept small, because a busy instance
/// cannot use the reserves of idle ones.
pub fn reserve_per_incarnation(limit: u32, incarnations: u32) -> u32 {
    let part = limit / incarnations.max(1);
    if part < 2 {
        0
    } else {
        (part / 8).max(1)
    }
}

/// Returns the number of credits to keep for a peak of concurrent requests: the
/// peak plus a quarter.
pub(crate) fn credits_for_peak(peak: u32) -> u32 {
    peak + peak.div_ceil(4)
}
