//! Margin for clocks that run at different rates.

use std::time::Duration;

/// Largest difference between the rates of two clocks.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
pub struct Drift {
    /// Difference, in thousandths of the time measured.
    pub per_mille: u32,
}

impl Drift {
    /// Returns the largest error of a duration measured on another clock,
    /// rounded up, or `None` on overflow.
    pub fn checked_margin(self, measured: Duration) -> Option<Duration> {
        if self.per_mille == 0 {
            return Some(Duration::ZERO);
        }
        let margin = measured.checked_mul(self.per_mille)? / 1000;
        margin.checked_add(Duration::from_nanos(1))
    }

    /// Returns the longest time that a duration measured on another clock can
    /// take on this one, or `None` on overflow.
    pub fn checked_widen(self, measured: Duration) -> Option<Duration> {
        measured.checked_add(self.checked_margin(measured)?)
    }
}

impl Default for Drift {
    /// Returns a drift of 1/1000.
    fn default() -> Self {
        Self { per_mille: 1 }
    }
}
