//! Local state of one team's credits in one incarnation.

use std::time::Instant;

use crate::{
    Credits,
    HolderState,
    InFlight,
    Incarnation,
    Ledger,
    Operation,
    OperationKind,
    Policy, //
};

/// Credits of one team that one incarnation holds.
///
/// A holder starts without credits. After a restart or after fencing, the
/// process creates a new holder for its new incarnation.
#[derive(Debug)]
pub struct Holder {
    pub(crate) credits: Credits,
    pub(crate) incarnation: Incarnation,
    pub(crate) policy: Policy,
    /// Its `counts` only keep the initial values; the current ones are in
    /// `credits`.
    pub(crate) state: HolderState,
}

impl Holder {
    /// Creates a holder without credits.
    pub fn new(incarnation: Incarnation, policy: Policy) -> Self {
        Self::from_state(incarnation, policy, HolderState::default())
    }

    /// Creates a holder in a given state, for model checking.
    pub fn from_state(incarnation: Incarnation, policy: Policy, state: HolderState) -> Self {
        Self {
            credits: Credits::new(state.counts),
            incarnation,
            policy,
            state,
        }
    }

    /// Returns the complete state with the current counters.
    pub fn state(&self) -> HolderState {
        HolderState {
            counts: self.credits.counts(),
            ..self.state
        }
    }

    /// Sets the number of credits to keep even while idle.
    pub fn set_reserve(&mut self, credits: u32) {
        self.policy.reserve = credits;
    }

    /// Returns the handle through which requests acquire credits.
    pub fn credits(&self) -> &Credits {
        &self.credits
    }

    /// Returns the incarnation that holds the credits.
    pub fn incarnation(&self) -> Incarnation {
        self.incarnation
    }

    /// Returns whether the holder has been fenced and can hold no credits again.
    pub fn is_fenced(&self) -> bool {
        self.state.fenced
    }

    /// Returns whether the holder has been fenced or has given back all credits
    /// in a graceful shutdown.
    pub fn has_left(&self) -> bool {
        let state = &self.state;
        state.fenced || state.leaving && !state.listed && state.in_flight.is_none()
    }

    /// Permanently stops further requests from starting, because the member
    /// record is fenced or the incarnation's authority has expired.
    pub fn fence(&mut self) {
        self.credits.set_allowance(0);
        self.state.fenced = true;
        self.state.in_flight = None;
        self.state.held = 0;
    }

    /// Begins a graceful shutdown: no further requests start, and credits are
    /// given back as running requests end.
    pub fn leave(&mut self) {
        self.credits.set_allowance(0);
        self.state.leaving = true;
    }

    /// Records that the write in flight failed or got no answer. Its result is
    /// determined from the next record.
    ///
    /// The driver must wait for a random time of up to 50 ms before the next
    /// operation. Otherwise, instances that receive a burst at the same time
    /// would conflict again.
    pub fn on_write_failed(&mut self) {
        if let Some(in_flight) = &mut self.state.in_flight {
            in_flight.failed = true;
        }
    }

    /// Adopts a record that was read or successfully written at a version.
    ///
    /// Ignores a record that is older than the newest one seen.
    pub fn on_record(&mut self, version: u64, ledger: &Ledger) {
        if self.state.fenced || self.state.version.is_some_and(|seen| version < seen) {
            return;
        }
        let holding = ledger.holding(self.incarnation);
        if holding.is_none() && self.state.listed {
            // The holding was reclaimed, or `OperationKind::Leave` took effect.
            self.fence();
            return;
        }
        self.state.version = Some(version);
        self.state.listed = holding.is_some();
        self.state.held = holding.map_or(0, |holding| holding.held);
        self.state.wanted = holding.map_or(0, |holding| holding.wanted);
        self.resolve_in_flight(version, holding.map_or(0, |holding| holding.operation));
        self.credits.set_allowance(self.allowance(ledger));
    }

    /// Returns the next operation on a record, at most one at a time.
    ///
    /// The driver applies the operation to `ledger` and writes the result,
    /// expecting `version`. It then passes the new record to
    /// [`Holder::on_record`], or calls [`Holder::on_write_failed`] and reads the
    /// record. An operation whose write failed is returned again with the same
    /// number as long as the record is still at the version that the first write
    /// expects.
    ///
    /// `waiting` is the number of requests waiting for a credit. The driver must
    /// call this method every few milliseconds while any are waiting, and
    /// otherwise several times per [`Policy::idle_after_contended`].
    pub fn next_operation(
        &mut self,
        version: u64,
        ledger: &Ledger,
        waiting: u32,
        now: Instant,
    ) -> Option<Operation> {
        self.on_record(version, ledger);
        if self.state.fenced || self.state.version != Some(version) {
            return None;
        }
        if let Some(in_flight) = &mut self.state.in_flight {
            return std::mem::take(&mut in_flight.failed).then_some(in_flight.operation);
        }
        let kind = self.decide(ledger, waiting, now)?;
        Some(self.begin_operation(version, kind))
    }

    fn begin_operation(&mut self, version: u64, kind: OperationKind) -> Operation {
        self.state.last_number += 1;
        let operation = Operation {
            number: self.state.last_number,
            kind,
        };
        self.state.in_flight = Some(InFlight {
            failed: false,
            operation,
            version,
        });
        operation
    }

    /// Clears the operation in flight once the record shows its result.
    ///
    /// `last` is the number of the incarnation's last operation in the record.
    /// The operation in flight took effect if the record has its number. It can
    /// no longer take effect if the record has a newer version than its write
    /// expects.
    fn resolve_in_flight(&mut self, version: u64, last: u64) {
        self.state.in_flight = self
            .state
            .in_flight
            .filter(|in_flight| in_flight.operation.number > last && in_flight.version >= version);
    }

    /// Returns the allowance: the credits held, minus the larger of those being
    /// given back and this holder's part of a pending reduction of the limit.
    ///
    /// The part does not depend on the number of running requests. Otherwise,
    /// requests that start as soon as others end would keep the lower limit
    /// pending forever.
    fn allowance(&self, ledger: &Ledger) -> u32 {
        if self.state.leaving {
            return 0;
        }
        let held = self.state.held;
        let returning = match self
            .state
            .in_flight
            .map(|in_flight| in_flight.operation.kind)
        {
            Some(OperationKind::GiveBack { credits }) => credits,
            Some(OperationKind::Leave) => held,
            _ => 0,
        };
        let reduction = reduction(held, ledger);
        held.saturating_sub(returning.max(reduction))
    }
}

/// Returns a holder's part of a pending reduction of the limit, in proportion to
/// the credits it holds, rounded up.
fn reduction(held: u32, ledger: &Ledger) -> u32 {
    let excess = u64::from(ledger.excess());
    let total = u64::from(ledger.held_total()).max(1);
    let part = (excess * u64::from(held)).div_ceil(total);
    u32::try_from(part).unwrap_or(held)
}
