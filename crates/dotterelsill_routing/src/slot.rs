//! Reserved slot of an upstream.

use std::sync::Arc;

use crate::Upstream;

/// Slot of an upstream, returned exactly once: when the value is dropped.
///
/// The value cannot be copied, and a report consumes it, so no slot is
/// returned twice.
#[derive(Debug)]
#[must_use = "dropping the slot returns it"]
pub struct Slot {
    upstream: Arc<Upstream>,
    probe: bool,
}

impl Slot {
    pub(crate) fn new(upstream: &Arc<Upstream>, probe: bool) -> Self {
        Self {
            upstream: Arc::clone(upstream),
            probe,
        }
    }

    /// Returns the upstream that the slot belongs to.
    pub fn upstream(&self) -> &Arc<Upstream> {
        &self.upstream
    }

    /// Returns whether the request is the probe of an ejected upstream.
    pub fn is_probe(&self) -> bool {
        self.probe
    }
}

impl Drop for Slot {
    fn drop(&mut self) {
        if self.probe {
            // Without effect when the probe's result was reported.
            self.upstream.ejection.abandon_probe();
        }
        self.upstream.return_slot();
    }
}
