//! Logs when a service that this instance depends on is lost or regained.

use std::{
    fmt::Display,
    sync::atomic::{
        AtomicBool,
        Ordering, //
    }, //
};

/// Availability of one dependency, as seen by its last call.
pub(crate) struct Dependency {
    name: &'static str,
    is_lost: AtomicBool,
}

impl Dependency {
    /// Creates a dependency that counts as available.
    pub(crate) const fn new(name: &'static str) -> Self {
        Self {
            name,
            is_lost: AtomicBool::new(false),
        }
    }

    /// Records a failed call; warns only about the first of several failures in a row.
    pub(crate) fn on_error(&self, error: &dyn Display) {
        if self.is_lost.swap(true, Ordering::Relaxed) {
            log::debug!(dependency = self.name, error:%; "dependency_still_lost");
        } else {
            log::warn!(dependency = self.name, error:%; "dependency_lost");
        }
    }

    /// Records a call that was answered; logs it if the previous call failed.
    pub(crate) fn on_answer(&self) {
        if self.is_lost.swap(false, Ordering::Relaxed) {
            log::info!(dependency = self.name; "dependency_regained");
        }
    }
}
