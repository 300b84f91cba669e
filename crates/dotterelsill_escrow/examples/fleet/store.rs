//! Simulated store with the record of one team, which answers after one step.

use dotterelsill_escrow::{
    Incarnation,
    Ledger,
    LedgerError,
    Operation, //
};

use crate::demand::steps;

/// Store that holds the record of one team.
pub(crate) struct Store {
    /// Current version and record.
    current: (u64, Ledger),
    pub(crate) conflicts: usize,
    /// Writes sent in this step: sender, expected version and operation.
    sent: Vec<(Incarnation, u64, Operation)>,
    /// Version and record that the instances see.
    visible: (u64, Ledger),
    /// Incarnation whose write succeeded last.
    winner: Option<Incarnation>,
    pub(crate) writes: usize,
    pub(crate) writes_by_second: Vec<usize>,
}

impl Store {
    pub(crate) fn new(limit: u32) -> Result<Self, LedgerError> {
        let first = (1, Ledger::new(limit, 1)?);
        Ok(Self {
            conflicts: 0,
            current: first.clone(),
            sent: Vec::new(),
            visible: first,
            winner: None,
            writes: 0,
            writes_by_second: Vec::new(),
        })
    }

    /// Returns the version and the record that the instances see.
    pub(crate) fn visible(&self) -> (u64, &Ledger) {
        (self.visible.0, &self.visible.1)
    }

    /// Sends a write, which is delivered in the next step.
    pub(crate) fn send(&mut self, from: Incarnation, version: u64, operation: Operation) {
        self.sent.push((from, version, operation));
    }

    /// Returns whether a write that expected `version` lost to another one.
    pub(crate) fn is_lost(&self, version: u64, from: Incarnation) -> bool {
        self.visible.0 > version && self.winner != Some(from)
    }

    /// Delivers the writes of the last step, beginning with a different instance
    /// each time, and makes the resulting record visible.
    pub(crate) fn advance(&mut self, step: usize) {
        let mut sent = std::mem::take(&mut self.sent);
        if !sent.is_empty() {
            let first = step % sent.len();
            sent.rotate_left(first);
        }
        let second = step / steps(1.0);
        self.writes_by_second.resize(second + 1, 0);
        self.writes_by_second[second] += sent.len();
        for (from, version, operation) in sent {
            self.writes += 1;
            let next = self.current.1.apply(from, &operation);
            match next {
                Ok(next) if version == self.current.0 => {
                    self.current = (version + 1, next);
                    self.winner = Some(from);
                }
                _ => self.conflicts += 1,
            }
        }
        self.visible = self.current.clone();
    }
}
