//! Review of all upstreams of a set against the availability floor.

use std::{
    cmp::Reverse,
    sync::{
        Arc,
        TryLockError, //
    },
    time::Instant, //
};

use crate::{
    Upstream,
    UpstreamSet, //
};

impl UpstreamSet {
    /// Ejects outliers, worst first, down to the availability floor, and takes
    /// ejected upstreams back, least bad first, when fewer are left than that.
    ///
    /// One review at a time sees all upstreams at once, so that many failures
    /// at the same moment cannot go below the floor together. A call that finds
    /// a review running returns at once. The driver calls it once a second as
    /// well, since upstreams also become available or leave by time alone.
    pub fn review(&self, now: Instant) {
        let newest = match self.newest.try_lock() {
            Ok(newest) => newest,
            Err(TryLockError::Poisoned(poisoned)) => poisoned.into_inner(),
            Err(TryLockError::WouldBlock) => return,
        };
        // A set that was replaced has an outdated floor.
        if *newest != self.generation {
            return;
        }
        let now_ms = self.clock.ms(now);
        let usable = self
            .all
            .iter()
            .filter(|upstream| upstream.is_usable(now_ms));
        let usable = usable.count();
        self.eject_outliers(usable.saturating_sub(self.floor), now_ms);
        self.readmit(self.floor.saturating_sub(usable), now_ms);
    }

    fn eject_outliers(&self, most: usize, now_ms: u64) {
        let mut outliers =
            self.select(|upstream| upstream.window.is_outlier() && upstream.is_usable(now_ms));
        outliers.sort_by_key(|upstream| Reverse(upstream.window.failures()));
        for upstream in outliers.iter().take(most) {
            upstream.ejection.eject(now_ms);
        }
    }

    fn readmit(&self, most: usize, now_ms: u64) {
        let mut ejected = self.select(|upstream| upstream.is_ejected() && upstream.is_open(now_ms));
        ejected.sort_by_key(|upstream| upstream.window.failures());
        for upstream in ejected.iter().take(most) {
            upstream.window.clear();
            upstream.ejection.readmit(now_ms);
        }
    }

    fn select(&self, wanted: impl Fn(&Upstream) -> bool) -> Vec<&Arc<Upstream>> {
        self.all
            .iter()
            .filter(|upstream| wanted(upstream))
            .collect()
    }
}
