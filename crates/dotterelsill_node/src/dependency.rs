//! What this instance depends on, logged when it is lost or regained.

use std::{
    fmt::Display,
    sync::atomic::{
        AtomicBool,
        Ordering, //
    }, //
};

/// One dependency.
pub(crate) struct Dependency {
    name: &'static str,
    is_lost: AtomicBool,
}

impl Dependency {
    /// Creates a dependency that counts as reached.
    pub(crate) const fn new(name: &'static str) -> Self {
        Self {
            name,
            is_lost: AtomicBool::new(false),
        }
    }

    /// Notes a call that failed.
    pub(crate) fn on_error(&self, error: &dyn Display) {
        if self.is_lost.swap(true, Ordering::Relaxed) {
            log::debug!(dependency = self.name, error:%; "dependency_still_lost");
        } else {
            log::warn!(dependency = self.name, error:%; "dependency_lost");
        }
    }

    /// Notes a call that was answered.
    pub(crate) fn on_answer(&self) {
        if self.is_lost.swap(false, Ordering::Relaxed) {
            log::info!(dependency = self.name; "dependency_regained");
        }
    }
}
