//! Local state of one team on one incarnation.

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

/// Credits of one team on one incarnation.
///
/// A holder starts with nothing. After a restart or after fencing, the process
/// creates a new holder under its new incarnation.
#[derive(Debug)]
pub struct Holder {
    pub(crate) credits: Credits,
    pub(crate) incarnation: Incarnation,
    pub(crate) policy: Policy,
    /// The counters in it are those of the last call that copied them.
    pub(crate) state: HolderState,
}

impl Holder {
    /// Creates a holder without credits.
    pub fn new(incarnation: Incarnation, policy: Policy) -> Self {
        Self::from_state(incarnation, policy, HolderState::default())
    }

    /// Creates a holder in a given state, for model checks.
    pub fn from_state(incarnation: Incarnation, policy: Policy, state: HolderState) -> Self {
        Self {
            credits: Credits::new(state.counts),
            incarnation,
            policy,
            state,
        }
    }

    /// Returns the complete state.
    pub fn state(&self) -> HolderState {
        HolderState {
            counts: self.credits.counts(),
            ..self.state
        }
    }

    /// Sets the credits to keep while idle.
    pub fn set_reserve(&mut self, credits: u32) {
        self.policy.reserve = credits;
    }

    /// Returns the handle for starts and ends.
    pub fn credits(&self) -> &Credits {
        &self.credits
    }

    /// Returns the incarnation whose credits these are.
    pub fn incarnation(&self) -> Incarnation {
        self.incarnation
    }

    /// Returns whether the incarnation was found to hold nothing any more.
    pub fn is_fenced(&self) -> bool {
        self.state.fenced
    }

    /// Returns whether a graceful shutdown has given everything back.
    pub fn has_left(&self) -> bool {
        let state = &self.state;
        state.fenced || state.leaving && !state.listed && state.in_flight.is_none()
    }

    /// Stops all starts for good, because the member record is fenced or the
    /// authority has lapsed.
    pub fn fence(&mut self) {
        self.credits.set_allowance(0);
        self.state.fenced = true;
        self.state.in_flight = None;
        self.state.held = 0;
    }

    /// Begins a graceful shutdown: stops all starts and gives back credits as
    /// running work ends.
    pub fn leave(&mut self) {
        self.credits.set_allowance(0);
        self.state.leaving = true;
    }

    /// Notes that the write in flight ended without success or without an
    /// answer; its result is read from the record.
    ///
    /// The driver waits a random time of up to 50 ms before the next operation.
    /// Otherwise the instances that a burst reaches at once conflict again.
    pub fn on_write_failed(&mut self) {
        if let Some(in_flight) = &mut self.state.in_flight {
            in_flight.failed = true;
        }
    }

    /// Adopts a record that was read, or written with success, at a version.
    ///
    /// A record older than the newest one seen is ignored.
    pub fn on_record(&mut self, version: u64, ledger: &Ledger) {
        if self.state.fenced || self.state.version.is_some_and(|seen| version < seen) {
            return;
        }
        let share = ledger.holding(self.incarnation);
        if share.is_none() && self.state.listed {
            // The share was reclaimed, or the operation to leave took effect.
            self.fence();
            return;
        }
        self.state.version = Some(version);
        self.state.listed = share.is_some();
        self.state.held = share.map_or(0, |share| share.held);
        self.state.wanted = share.map_or(0, |share| share.wanted);
        self.resolve(version, share.map_or(0, |share| share.operation));
        self.credits.set_allowance(self.entitled(ledger));
    }

    /// Returns the next operation on a record, at most one at a time.
    ///
    /// The driver applies it to this ledger and writes the result, expecting
    /// this version. It then reports the new record by [`Holder::on_record`],
    /// or calls [`Holder::on_write_failed`] and reads the record. An operation
    /// whose write failed is returned again with the same number as long as
    /// the record is still at the version that the first write expects.
    ///
    /// `waiting` is the number of requests that wait for a credit. The driver
    /// calls this every few milliseconds while there are any, and otherwise
    /// several times within [`Policy::idle_after_contended`].
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
        Some(self.begin(version, kind))
    }

    fn begin(&mut self, version: u64, kind: OperationKind) -> Operation {
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

    /// Ends the operation in flight when the record shows its result.
    ///
    /// It took effect when the record has its number. It never will when the
    /// record has a newer version than its write expects.
    fn resolve(&mut self, version: u64, last: u64) {
        self.state.in_flight = self
            .state
            .in_flight
            .filter(|in_flight| in_flight.operation.number > last && in_flight.version >= version);
    }

    /// Returns the allowance: the credits held without those being given back
    /// and without this holder's part of a pending reduction of the limit.
    ///
    /// The part does not depend on what is running. If it did, requests that
    /// start as soon as others end would keep the lower limit pending forever.
    fn entitled(&self, ledger: &Ledger) -> u32 {
        if self.state.leaving {
            return 0;
        }
        let held = self.state.held;
        let reserved = match self
            .state
            .in_flight
            .map(|in_flight| in_flight.operation.kind)
        {
            Some(OperationKind::GiveBack { credits }) => credits,
            Some(OperationKind::Leave) => held,
            _ => 0,
        };
        let reduction = reduction(held, ledger);
        held.saturating_sub(reserved.max(reduction))
    }
}

/// Returns a holder's part of a pending reduction, in proportion to what it holds.
fn reduction(held: u32, ledger: &Ledger) -> u32 {
    let excess = u64::from(ledger.excess());
    let total = u64::from(ledger.held_total()).max(1);
    let part = (excess * u64::from(held)).div_ceil(total);
    u32::try_from(part).unwrap_or(held)
}
