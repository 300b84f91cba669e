//! Choice of the next operation.

use std::time::Instant;

use crate::{
    policy::kept_for,
    Counts,
    Holder,
    Holding,
    Ledger,
    OperationKind, //
};

impl Holder {
    /// Returns what to ask of the record, with the allowance already lowered
    /// by what is given back.
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
            .or_else(|| self.withdraw_wanted(now))
    }

    fn shut_down(&self, counts: Counts) -> Option<OperationKind> {
        if counts.running == 0 {
            return self.state.listed.then_some(OperationKind::Leave);
        }
        self.reduce(counts)
    }

    /// Gives back what exceeds both the allowance and the work still running.
    ///
    /// The allowance bounds further starts, so the number running cannot rise
    /// above this sum after the sample was taken.
    fn reduce(&self, counts: Counts) -> Option<OperationKind> {
        let kept = counts.allowance.max(counts.running);
        let credits = self.state.held.saturating_sub(kept);
        (credits > 0).then_some(OperationKind::GiveBack { credits })
    }

    /// Takes credits, those who hold the fewest first, or posts the number wanted.
    ///
    /// Without the order, all that want credits write at once when one is free.
    fn acquire(&mut self, ledger: &Ledger, waiting: u32, now: Instant) -> Option<OperationKind> {
        let credits = self.policy.ask(self.state.held, waiting);
        if ledger.free() > 0 {
            let since = *self.state.free_since.get_or_insert(now);
            let turn = self.policy.take_delay * (self.predecessors(ledger) / ledger.free());
            let due = now.saturating_duration_since(since) >= turn;
            return due.then_some(OperationKind::Take { credits });
        }
        self.state.free_since = None;
        // The number is posted once; updating it would cost a write per request.
        (self.state.wanted == 0).then_some(OperationKind::Want { credits })
    }

    /// Takes credits that nobody else wants, up to the reserve.
    fn fill_reserve(&self, ledger: &Ledger) -> Option<OperationKind> {
        let missing = self.policy.reserve.saturating_sub(self.state.held);
        let wanted = ledger.wanted_by_others(self.incarnation);
        let wanted = u32::try_from(wanted).unwrap_or(u32::MAX);
        let credits = missing.min(ledger.free().saturating_sub(wanted));
        (credits > 0).then_some(OperationKind::Take { credits })
    }

    /// Returns the number of incarnations that want credits and hold fewer.
    fn predecessors(&self, ledger: &Ledger) -> u32 {
        let own = (self.state.held, self.incarnation);
        let before = |other: &&Holding| other.wanted > 0 && (other.held, other.incarnation) < own;
        u32::try_from(ledger.holdings().filter(before).count()).unwrap_or(u32::MAX)
    }

    fn release_idle(
        &mut self,
        ledger: &Ledger,
        counts: Counts,
        now: Instant,
    ) -> Option<OperationKind> {
        if self.state.held <= self.kept_for(counts.peak) {
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
            .saturating_sub(self.kept_for(self.state.idle_peak));
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

    fn kept_for(&self, peak: u32) -> u32 {
        kept_for(peak).max(self.policy.reserve)
    }

    /// Lowers the allowance and gives back the part that no start used meanwhile.
    fn give_back(&self, surplus: u32) -> Option<OperationKind> {
        let held = self.state.held;
        let running = self.credits.set_allowance(held - surplus);
        let credits = surplus.min(held.saturating_sub(running));
        self.credits.set_allowance(held - credits);
        (credits > 0).then_some(OperationKind::GiveBack { credits })
    }

    /// Withdraws a posted number once the holder has not been short for a while.
    ///
    /// Withdrawing after the shorter time of contention only adds writes, as
    /// holders that are short now and then post the number again.
    fn withdraw_wanted(&self, now: Instant) -> Option<OperationKind> {
        let short_at = self.state.short_at?;
        let over = now.saturating_duration_since(short_at) >= self.policy.idle_after;
        (over && self.state.wanted > 0).then_some(OperationKind::Want { credits: 0 })
    }
}

fn is_short(counts: Counts, waiting: u32) -> bool {
    (waiting > 0 || counts.refused) && counts.running >= counts.allowance
}
