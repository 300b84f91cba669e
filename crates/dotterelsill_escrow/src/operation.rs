//! Operations of a holder on the record.

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

/// What a holder asks of the record.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
pub enum OperationKind {
    /// Returns credits to the free ones and withdraws the number wanted.
    GiveBack {
        /// Credits to return.
        credits: u32,
    },
    /// Returns all credits and deletes the share; the incarnation asks for nothing more.
    Leave,
    /// Takes up to this many free credits and posts the rest as wanted.
    Take {
        /// Credits asked for.
        credits: u32,
    },
    /// Posts the number of further credits wanted.
    Want {
        /// Credits wanted; 0 withdraws the number posted before.
        credits: u32,
    },
}

/// A request with the number that makes it idempotent.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
pub struct Operation {
    /// Sequence number, starting at 1 and rising with each operation of an incarnation.
    pub number: u64,
    /// What the operation asks for.
    pub kind: OperationKind,
}

impl Ledger {
    /// Applies an operation of an incarnation.
    ///
    /// An operation whose number is the last one that took effect changes
    /// nothing. Numbers may be skipped: an operation that lost against another
    /// write is replaced by one with a new number.
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

    /// Moves up to `credits` free credits to an incarnation.
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

    /// Moves credits of an incarnation to the free ones.
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
        self.listed(incarnation)?;
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

    /// Posts the number of credits an incarnation wants.
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

    /// Moves all credits of an incarnation to the free ones and deletes its share.
    ///
    /// # Errors
    ///
    /// Returns [`LedgerError::NotListed`] when the share is missing, also
    /// because an earlier attempt took effect; otherwise
    /// [`LedgerError::OlderOperation`] or [`LedgerError::ZeroNumber`].
    pub fn leave(&self, incarnation: Incarnation, number: u64) -> Result<Self, LedgerError> {
        self.listed(incarnation)?;
        self.advance(incarnation, number)?;
        Ok(self.without_holding(incarnation))
    }

    /// Returns the share with the new number, or `None` for the last operation again.
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

    fn listed(&self, incarnation: Incarnation) -> Result<&Holding, LedgerError> {
        self.holding(incarnation)
            .context(NotListedSnafu { incarnation })
    }

    fn with_holding(&self, holding: Holding) -> Self {
        let mut next = self.clone();
        next.holdings.insert(holding.incarnation, holding);
        next
    }

    /// Deletes a share and frees its credits.
    pub(crate) fn without_holding(&self, incarnation: Incarnation) -> Self {
        let mut next = self.clone();
        let held = next
            .holdings
            .remove(&incarnation)
            .map_or(0, |share| share.held);
        next.release(held)
    }
}
