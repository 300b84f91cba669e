//! Operations that holders apply to the record.

use snafu::{
    ensure,
    OptionExt as _, //
};

use crate::{
    error::{
        InsufficientCreditsSnafu,
        NoFreeCreditSnafu,
        NotListedSnafu,
        OlderOperationSnafu,
        ZeroCreditsSnafu,
        ZeroNumberSnafu, //
    },
    Holding,
    Incarnation,
    Ledger,
    LedgerError, //
};

/// Kind of an operation on the record.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
pub enum OperationKind {
    /// Frees credits that the incarnation holds and clears its number of wanted
    /// credits.
    GiveBack {
        /// Number of credits to give back.
        credits: u32,
    },
    /// Frees all credits and deletes the holding. The incarnation applies no
    /// further operation after that.
    Leave,
    /// Takes free credits and records the number that were not free as wanted.
    Take {
        /// Number of credits asked for.
        credits: u32,
    },
    /// Records the number of further credits wanted.
    Want {
        /// Number of further credits wanted; 0 clears the recorded number.
        credits: u32,
    },
}

/// Operation of an incarnation, with the sequence number that makes it idempotent.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
pub struct Operation {
    /// Sequence number, which starts at 1 and increases with each operation of an
    /// incarnation.
    pub number: u64,
    /// Change that the operation makes to the record.
    pub kind: OperationKind,
}

impl Ledger {
    /// Applies an operation of an incarnation.
    ///
    /// Repeating the last operation that took effect changes nothing. Numbers may
    /// be skipped, because an operation whose write lost to another one is
    /// replaced by one with a new number.
    ///
    /// # Errors
    ///
    /// Returns the error of [`Ledger::take`], [`Ledger::give_back`],
    /// [`Ledger::want`] or [`Ledger::leave`].
    pub fn apply(
        &self,
        incarnation: Incarnation,
        operation: &Operation,
    ) -> Result<Self, LedgerError> {
        let number = operation.number;
        match operation.kind {
            OperationKind::GiveBack { credits } => self.give_back(incarnation, number, credits),
            OperationKind::Leave => self.leave(incarnation, number),
            OperationKind::Take { credits } => self.take(incarnation, number, credits),
            OperationKind::Want { credits } => self.want(incarnation, number, credits),
        }
    }

    /// Moves up to `credits` free credits to an incarnation and records the
    /// missing ones as wanted.
    ///
    /// # Errors
    ///
    /// Returns [`LedgerError::NoFreeCredit`], [`LedgerError::ZeroCredits`],
    /// [`LedgerError::OlderOperation`] or [`LedgerError::ZeroNumber`].
    pub fn take(
        &self,
        incarnation: Incarnation,
        number: u64,
        credits: u32,
    ) -> Result<Self, LedgerError> {
        let Some(mut holding) = self.advance(incarnation, number)? else {
            return Ok(self.clone());
        };
        ensure!(
            credits > 0,
            ZeroCreditsSnafu {
                incarnation,
                number
            }
        );
        ensure!(self.free > 0, NoFreeCreditSnafu { limit: self.limit });
        let taken = credits.min(self.free);
        holding.held += taken;
        holding.wanted = credits - taken;
        let mut next = self.with_holding(holding);
        next.free -= taken;
        Ok(next)
    }

    /// Frees credits of an incarnation and clears its number of wanted credits.
    ///
    /// # Errors
    ///
    /// Returns [`LedgerError::InsufficientCredits`], [`LedgerError::NotListed`],
    /// [`LedgerError::ZeroCredits`], [`LedgerError::OlderOperation`] or
    /// [`LedgerError::ZeroNumber`].
    pub fn give_back(
        &self,
        incarnation: Incarnation,
        number: u64,
        credits: u32,
    ) -> Result<Self, LedgerError> {
        let Some(mut holding) = self.advance(incarnation, number)? else {
            return Ok(self.clone());
        };
        ensure!(
            credits > 0,
            ZeroCreditsSnafu {
                incarnation,
                number
            }
        );
        self.require_holding(incarnation)?;
        let held = holding.held;
        let asked = credits;
        let sufficient = InsufficientCreditsSnafu {
            asked,
            held,
            incarnation,
        };
        ensure!(asked <= held, sufficient);
        holding.held -= credits;
        holding.wanted = 0;
        Ok(self.with_holding(holding).release(credits))
    }

    /// Records the number of further credits that an incarnation wants.
    ///
    /// # Errors
    ///
    /// Returns [`LedgerError::OlderOperation`] or [`LedgerError::ZeroNumber`].
    pub fn want(
        &self,
        incarnation: Incarnation,
        number: u64,
        credits: u32,
    ) -> Result<Self, LedgerError> {
        let Some(mut holding) = self.advance(incarnation, number)? else {
            return Ok(self.clone());
        };
        holding.wanted = credits;
        Ok(self.with_holding(holding))
    }

    /// Frees all credits of an incarnation and deletes its holding.
    ///
    /// # Errors
    ///
    /// Returns [`LedgerError::NotListed`] if the incarnation has no holding, also
    /// if that is because an earlier attempt took effect. Otherwise returns
    /// [`LedgerError::OlderOperation`] or [`LedgerError::ZeroNumber`].
    pub fn leave(&self, incarnation: Incarnation, number: u64) -> Result<Self, LedgerError> {
        self.require_holding(incarnation)?;
        self.advance(incarnation, number)?;
        Ok(self.without_holding(incarnation))
    }

    /// Returns the holding with the new operation number, or `None` if the last
    /// operation is repeated.
    ///
    /// An incarnation without a holding gets an empty one.
    fn advance(
        &self,
        incarnation: Incarnation,
        number: u64,
    ) -> Result<Option<Holding>, LedgerError> {
        ensure!(number > 0, ZeroNumberSnafu { incarnation });
        let holding = self.holding(incarnation);
        let last = holding.map_or(0, |holding| holding.operation);
        let newer = OlderOperationSnafu {
            incarnation,
            last,
            number,
        };
        ensure!(number >= last, newer);
        if number == last {
            return Ok(None);
        }
        Ok(Some(Holding {
            held: holding.map_or(0, |holding| holding.held),
            incarnation,
            operation: number,
            wanted: holding.map_or(0, |holding| holding.wanted),
        }))
    }

    fn require_holding(&self, incarnation: Incarnation) -> Result<&Holding, LedgerError> {
        self.holding(incarnation)
            .context(NotListedSnafu { incarnation })
    }

    fn with_holding(&self, holding: Holding) -> Self {
        let mut next = self.clone();
        next.holdings.insert(holding.incarnation, holding);
        next
    }

    /// Deletes the holding of an incarnation, if there is one, and frees its credits.
    pub(crate) fn without_holding(&self, incarnation: Incarnation) -> Self {
        let mut next = self.clone();
        let held = next
            .holdings
            .remove(&incarnation)
            .map_or(0, |holding| holding.held);
        next.release(held)
    }
}
