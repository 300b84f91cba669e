//! Validity of a configuration that may have changed in the meantime.

use std::time::Duration;

/// Time limits for a configuration change to take effect.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct ApplyBounds {
    /// Time after a change within which it must take effect.
    pub apply: Duration,
    /// Additional time that is allowed while an instance is impaired.
    pub extension: Duration,
    /// Time after which a withdrawn key must not be accepted by any instance, however
    /// impaired; `None` if the other limits hold for keys as well.
    pub revocation: Option<Duration>,
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
    /// ago, for a request with or without a key.
    pub fn validity(&self, age: Duration, has_key: bool) -> Validity {
        let outdated_at = match self.revocation {
            Some(revocation) if has_key => revocation.min(self.apply + self.extension),
            _ => self.apply + self.extension,
        };
        if age >= outdated_at {
            Validity::Outdated
        } else if age < self.apply {
            Validity::Current
        } else {
            Validity::Unconfirmed
        }
    }
}
