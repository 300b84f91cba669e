//! Reserved slots of an upstream.

use std::sync::Arc;

use crate::Upstream;

/// Guard of a reserved slot of an upstream, which releases the slot when
/// dropped.
///
/// The value cannot be copied and [`UpstreamSet::report`] consumes it, so no
/// slot is released twice.
///
/// [`UpstreamSet::report`]: crate::UpstreamSet::report
#[derive(Debug)]
#[must_use = "dropping the slot releases it"]
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

    /// Returns whether the request probes an ejected upstream.
    pub fn is_probe(&self) -> bool {
        self.probe
    }
}

impl Drop for Slot {
    fn drop(&mut self) {
        if self.probe {
            // This has no effect if the result of the probe was reported.
            self.upstream.ejection.abandon_probe();
        }
        self.upstream.release_slot();
    }
}
