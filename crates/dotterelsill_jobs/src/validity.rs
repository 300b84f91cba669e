//! Validity of a configuration that may have changed in the meantime.

use std::time::Duration;

/// Time limits for a configuration change to take effect.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct ApplyBounds {
    /// Time after a change within which it must take effect.
    pub apply: Duration,
    /// Additional time that is allowed while an instance is impaired.
    pub extension: Duration,
}

/// What a configuration can still be used for.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Validity {
    /// It decides what is allowed and what is denied.
    Current,
    /// It may still allow, but what it denies may have been allowed since.
    Unconfirmed,
    /// It may not even allow: permissions may have been withdrawn too long ago.
    Outdated,
}

impl ApplyBounds {
    /// Returns the validity of a configuration that was known to be current `age`
    /// ago.
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
