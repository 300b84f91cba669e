//! Service-level objectives.

use std::time::Duration;

use snafu::{
    ensure,
    Snafu, //
};

/// Period over which an objective is measured: 30 days.
pub const PERIOD: Duration = Duration::from_secs(30 * 24 * 3600);

const MILLION: u32 = 1_000_000;

/// An objective is not between 0% and 100%, exclusive.
#[derive(Debug, Eq, PartialEq, Snafu)]
#[snafu(display(
    "objective {good_ppm} ppm leaves no error budget or allows all errors; use 1 to 999999 ppm, such as \
     999000 for 99.9%"
))]
pub struct ObjectiveError {
    /// Requested ratio of good requests, in parts per million.
    pub good_ppm: u32,
}

/// Required ratio of good requests over [`PERIOD`].
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Objective {
    good_ppm: u32,
}

impl Objective {
    /// Creates an objective from the ratio of good requests, in parts per million.
    ///
    /// # Errors
    ///
    /// Returns an error if the ratio is 0, or is a million or more: without allowed
    /// errors, the burn rate is not defined.
    pub fn new(good_ppm: u32) -> Result<Self, ObjectiveError> {
        ensure!(
            (1..MILLION).contains(&good_ppm),
            ObjectiveSnafu { good_ppm }
        );
        Ok(Self { good_ppm })
    }

    /// Returns the required ratio of good requests, in parts per million.
    pub fn good_ppm(self) -> u32 {
        self.good_ppm
    }

    /// Returns the allowed ratio of errors, in parts per million.
    pub fn allowed_ppm(self) -> u32 {
        MILLION - self.good_ppm
    }
}
