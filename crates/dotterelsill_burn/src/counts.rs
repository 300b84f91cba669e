//! Numbers of requests and errors in a time span.

use std::ops::{
    Add,
    Sub, //
};

use crate::Objective;

/// Numbers of errors and of requests.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct Counts {
    /// Number of requests that were not good.
    pub errors: u64,
    /// Number of all requests.
    pub total: u64,
}

impl Counts {
    /// Returns the burn rate, which is the error rate divided by the allowed error
    /// rate, or `None` without requests.
    pub fn burn_rate(self, objective: Objective) -> Option<f64> {
        let allowed = self.total as f64 * f64::from(objective.allowed_ppm());
        (self.total > 0).then(|| self.errors as f64 * 1e6 / allowed)
    }

    /// Returns whether the burn rate is at least `hundredths / 100`, or `None` without
    /// requests.
    ///
    /// The comparison uses integers, so that a rate of exactly the threshold is not
    /// missed because of rounding.
    pub(crate) fn burns_at_least(self, objective: Objective, hundredths: u32) -> Option<bool> {
        let allowed = u128::from(self.total) * u128::from(objective.allowed_ppm());
        let used = u128::from(self.errors) * 100_000_000;
        (self.total > 0).then(|| used >= allowed * u128::from(hundredths))
    }

    /// Returns both numbers scaled by `numerator / denominator`, rounded down.
    pub(crate) fn scale(self, numerator: u64, denominator: u64) -> Self {
        Self {
            errors: scale(self.errors, numerator, denominator),
            total: scale(self.total, numerator, denominator),
        }
    }
}

impl Add for Counts {
    type Output = Self;

    fn add(self, other: Self) -> Self {
        Self {
            errors: self.errors.saturating_add(other.errors),
            total: self.total.saturating_add(other.total),
        }
    }
}

impl Sub for Counts {
    type Output = Self;

    fn sub(self, other: Self) -> Self {
        Self {
            errors: self.errors.saturating_sub(other.errors),
            total: self.total.saturating_sub(other.total),
        }
    }
}

fn scale(count: u64, numerator: u64, denominator: u64) -> u64 {
    let product = u128::from(count) * u128::from(numerator);
    u64::try_from(product / u128::from(denominator.max(1))).unwrap_or(u64::MAX)
}
