//! Bound on the drift between the clocks of two machines.

use std::time::Duration;

/// Upper bound on the relative difference between the rates of two clocks.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
pub struct Drift {
    /// Rate difference in thousandths of the measured duration.
    pub per_mille: u32,
}

impl Drift {
    /// Returns the largest error of a duration measured on another clock, or
    /// `None` on overflow.
    ///
    /// The division truncates, so one nanosecond is added to round up.
    pub fn checked_margin(self, measured: Duration) -> Option<Duration> {
        if self.per_mille == 0 {
            return Some(Duration::ZERO);
        }
        let margin = measured.checked_mul(self.per_mille)? / 1000;
        margin.checked_add(Duration::from_nanos(1))
    }

    /// Returns the longest time that can pass on the local clock during a
    /// duration measured on another clock, or `None` on overflow.
    pub fn checked_widen(self, measured: Duration) -> Option<Duration> {
        measured.checked_add(self.checked_margin(measured)?)
    }
}

impl Default for Drift {
    /// Returns a drift of 1/1000 of the measured duration.
    fn default() -> Self {
        Self { per_mille: 1 }
    }
}
