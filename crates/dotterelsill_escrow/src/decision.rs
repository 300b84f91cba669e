//! Decides which operation a holder applies to the record next.

use std::time::Instant;

use crate::{
    policy::credits_for_peak,
    Counts,
    Holder,
    Holding,
    Ledger,
    OperationKind, //
};

impl Holder {
    /// Returns the operation to apply to the record, if any.
    ///
    /// The allowance is already lowered by the credits that the operation gives
    /// back.
    pub(crate) fn decide(
        &mut self,
        ledger: &Ledger,
        waiting: u32,
        now: Instant,
    ) -> Option<OperationKind> {
        let counts = self.credits.sample();
        if self.state.leaving {
            return self.shut_down(counts);
        }
        if ledger.excess() > 0 {
            self.state.idle_since = None;
            return self.reduce(counts);
        }
        if is_short(counts, waiting) {
            self.state.short_at = Some(now);
            self.state.idle_since = None;
            return self.acquire(ledger, waiting, now);
        }
        self.state.free_since = None;
        self.fill_reserve(ledger)
            .or_else(|| self.release_idle(ledger, counts, now))
            .or_else(|| self.clear_wanted(now))
    }

    /// Gives back credits as requests end, and leaves the record after the last one.
    fn shut_down(&self, counts: Counts) -> Option<OperationKind> {
        if counts.running == 0 {
            return self.state.listed.then_some(OperationKind::Leave);
        }
        self.reduce(counts)
    }

    /// Gives back the credits in excess of both the allowance and the number of
    /// running requests.
    ///
    /// The allowance bounds further starts, so after the sample was taken the
    /// number of running requests cannot rise above the larger of the two.
    fn reduce(&self, counts: Counts) -> Option<OperationKind> {
        let kept = counts.allowance.max(counts.running);
        let credits = self.state.held.saturating_sub(kept);
        (credits > 0).then_some(OperationKind::GiveBack { credits })
    }

    /// Takes free credits, or records how many credits are wanted if none is free.
    ///
    /// The take is delayed for each incarnation that wants credits and holds
    /// fewer, so that those take first. Without this order, all incarnations that
    /// want credits would write at the same time when one becomes free.
    fn acquire(&mut self, ledger: &Ledger, waiting: u32, now: Instant) -> Option<OperationKind> {
        let credits = self.policy.take_size(self.state.held, waiting);
        if ledger.free() > 0 {
            let since = *self.state.free_since.get_or_insert(now);
            let delay = self.policy.take_delay * (self.predecessors(ledger) / ledger.free());
            let is_due = now.saturating_duration_since(since) >= delay;
            return is_due.then_some(OperationKind::Take { credits });
        }
        self.state.free_since = None;
        // The number is recorded only once, because updating it would cost a
        // write per request.
        (self.state.wanted == 0).then_some(OperationKind::Want { credits })
    }

    /// Takes free credits that no other incarnation wants, up to the reserve.
    fn fill_reserve(&self, ledger: &Ledger) -> Option<OperationKind> {
        let missing = self.policy.reserve.saturating_sub(self.state.held);
        let wanted = ledger.wanted_by_others(self.incarnation);
        let wanted = u32::try_from(wanted).unwrap_or(u32::MAX);
        let credits = missing.min(ledger.free().saturating_sub(wanted));
        (credits > 0).then_some(OperationKind::Take { credits })
    }

    /// Returns the number of incarnations that want credits and take before this
    /// one, because they hold fewer credits or, among equals, have a lower
    /// identifier.
    fn predecessors(&self, ledger: &Ledger) -> u32 {
        let own = (self.state.held, self.incarnation);
        let precedes = |other: &&Holding| other.wanted > 0 && (other.held, other.incarnation) < own;
        u32::try_from(ledger.holdings().filter(precedes).count()).unwrap_or(u32::MAX)
    }

    /// Gives back credits that have been idle for long enough.
    ///
    /// While other incarnations want more credits than are free, up to the missing
    /// number is given back after a shorter idle time.
    fn release_idle(
        &mut self,
        ledger: &Ledger,
        counts: Counts,
        now: Instant,
    ) -> Option<OperationKind> {
        if self.state.held <= self.credits_to_keep(counts.peak) {
            self.state.idle_since = None;
            return None;
        }
        let since = *self.state.idle_since.get_or_insert_with(|| {
            self.state.idle_peak = 0;
            now
        });
        self.state.idle_peak = self.state.idle_peak.max(counts.peak);
        let idle_for = now.saturating_duration_since(since);
        let surplus = self
            .state
            .held
            .saturating_sub(self.credits_to_keep(self.state.idle_peak));
        if idle_for >= self.policy.idle_after {
            self.state.idle_since = None;
            return self.give_back(surplus);
        }
        let wanted = ledger.wanted_by_others(self.incarnation);
        let missing = wanted.saturating_sub(u64::from(ledger.free()));
        let missing = u32::try_from(missing).unwrap_or(u32::MAX);
        if missing > 0 && idle_for >= self.policy.idle_after_contended {
            return self.give_back(surplus.min(missing));
        }
        None
    }

    /// Returns the number of credits to keep for a peak of concurrent requests,
    /// which is at least the reserve.
    fn credits_to_keep(&self, peak: u32) -> u32 {
        credits_for_peak(peak).max(self.policy.reserve)
    }

    /// Lowers the allowance and gives back the part of the surplus that no
    /// request has started to use in the meantime.
    fn give_back(&self, surplus: u32) -> Option<OperationKind> {
        let held = self.state.held;
        let running = self.credits.set_allowance(held - surplus);
        let credits = surplus.min(held.saturating_sub(running));
        self.credits.set_allowance(held - credits);
        (credits > 0).then_some(OperationKind::GiveBack { credits })
    }

    /// Clears the recorded number of wanted credits once the holder has not been
    /// short of credits for [`crate::Policy::idle_after`].
    ///
    /// Clearing it after the shorter time that applies under contention would
    /// only add writes, because a holder that is short from time to time would
    /// record the number again.
    fn clear_wanted(&self, now: Instant) -> Option<OperationKind> {
        let short_at = self.state.short_at?;
        let is_satisfied = now.saturating_duration_since(short_at) >= self.policy.idle_after;
        (is_satisfied && self.state.wanted > 0).then_some(OperationKind::Want { credits: 0 })
    }
}

/// Returns whether requests need more credits than the allowance grants.
fn is_short(counts: Counts, waiting: u32) -> bool {
    (waiting > 0 || counts.refused) && counts.running >= counts.allowance
}
