//! What a configuration that may have changed still decides.

use std::time::Duration;

/// Times within which a change of the configuration is in force.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct ApplyBounds {
    /// Time after a change within which it is in force.
    pub apply: Duration,
    /// Further time while an instance is disturbed.
    pub extension: Duration,
}

/// What a configuration still decides.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Validity {
    /// It decides what is allowed and what is not.
    Current,
    /// What it does not allow may have been added since.
    Unconfirmed,
    /// What it allows may have been withdrawn too long ago as well.
    Outdated,
}

impl ApplyBounds {
    /// Returns what a configuration decides that was last known to be current some
    /// time ago.
    pub fn validity(&self, age: Duration) -> Validity {
        if age < self.apply {
            Validity::Current
        } else if age < self.apply + self.extension {
            Validity::Unconfirmed
        } else {
            Validity::Outdated
        }
    }
}
