//! Review of all upstreams of a set: ejection and readmission within the
//! availability floor.

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
    /// Ejects outliers, worst first, down to the availability floor. If fewer
    /// upstreams are usable than that, readmits ejected ones, least bad first.
    ///
    /// Only one review runs at a time, so that many simultaneous failures
    /// cannot bring the number of upstreams below the floor. A call returns
    /// immediately if a review is running. The driver must also call this once
    /// a second, because the passing of time alone can make upstreams usable or
    /// unusable.
    pub fn review(&self, now: Instant) {
        let newest = match self.newest.try_lock() {
            Ok(newest) => newest,
            Err(TryLockError::Poisoned(poisoned)) => poisoned.into_inner(),
            Err(TryLockError::WouldBlock) => return,
        };
        // The floor of a replaced set is outdated.
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

    fn eject_outliers(&self, max: usize, now_ms: u64) {
        let mut outliers =
            self.select(|upstream| upstream.window.is_outlier() && upstream.is_usable(now_ms));
        outliers.sort_by_key(|upstream| Reverse(upstream.window.failures()));
        for upstream in outliers.iter().take(max) {
            upstream.ejection.eject(now_ms);
        }
    }

    fn readmit(&self, max: usize, now_ms: u64) {
        let mut ejected =
            self.select(|upstream| upstream.is_ejected() && upstream.accepts_requests(now_ms));
        ejected.sort_by_key(|upstream| upstream.window.failures());
        for upstream in ejected.iter().take(max) {
            upstream.window.clear();
            upstream.ejection.readmit(now_ms);
        }
    }

    fn select(&self, predicate: impl Fn(&Upstream) -> bool) -> Vec<&Arc<Upstream>> {
        self.all
            .iter()
            .filter(|upstream| predicate(upstream))
            .collect()
    }
}
