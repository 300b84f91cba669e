//! Validated record of one team.

use std::collections::BTreeMap;

use snafu::ensure;

use crate::{
    error::{
        DuplicateHoldingSnafu,
        LimitTooHighSnafu,
        UnbalancedSnafu, //
    },
    Holding,
    Incarnation,
    LedgerError,
    Record,
    MAX_LIMIT, //
};

/// Record of one team that satisfies the ledger invariant.
///
/// If no lower limit is pending, free and held credits add up to the limit. If
/// one is pending, no credit is free, and the number of held credits is above
/// the limit and at most the older limit. Operations return a new ledger and
/// leave the original unchanged, because the write of the new one may fail.
#[derive(Clone, Debug, Eq, Hash, PartialEq)]
pub struct Ledger {
    pub(crate) free: u32,
    pub(crate) holdings: BTreeMap<Incarnation, Holding>,
    pub(crate) limit: u32,
    pub(crate) older_limit: Option<u32>,
    pub(crate) revision: u64,
}

impl Ledger {
    /// Creates the record of a team with all credits free.
    ///
    /// # Errors
    ///
    /// Returns [`LedgerError::LimitTooHigh`] if the limit is above [`MAX_LIMIT`].
    pub fn new(limit: u32, revision: u64) -> Result<Self, LedgerError> {
        Self::try_from(Record {
            free: limit,
            holdings: Vec::new(),
            limit,
            older_limit: None,
            revision,
        })
    }

    /// Returns the record in its encodable form, with holdings in ascending order
    /// of their incarnations.
    pub fn to_record(&self) -> Record {
        Record {
            free: self.free,
            holdings: self.holdings.values().copied().collect(),
            limit: self.limit,
            older_limit: self.older_limit,
            revision: self.revision,
        }
    }

    /// Returns the number of credits that no incarnation holds.
    pub fn free(&self) -> u32 {
        self.free
    }

    /// Returns the configured limit, which may not be in force yet.
    pub fn limit(&self) -> u32 {
        self.limit
    }

    /// Returns the limit in force.
    pub fn limit_in_force(&self) -> u32 {
        self.older_limit.unwrap_or(self.limit)
    }

    /// Returns the configuration revision that sets the configured limit.
    pub fn revision(&self) -> u64 {
        self.revision
    }

    /// Returns the number of credits held by all incarnations.
    pub fn held_total(&self) -> u32 {
        self.holdings.values().map(|holding| holding.held).sum()
    }

    /// Returns the number of credits that must be given back before the
    /// configured limit takes effect.
    pub fn excess(&self) -> u32 {
        self.held_total().saturating_sub(self.limit)
    }

    /// Returns the holding of an incarnation, if it has one.
    pub fn holding(&self, incarnation: Incarnation) -> Option<&Holding> {
        self.holdings.get(&incarnation)
    }

    /// Returns all holdings in ascending order of their incarnations.
    pub fn holdings(&self) -> impl Iterator<Item = &Holding> {
        self.holdings.values()
    }

    /// Returns the number of further credits wanted by all incarnations.
    pub fn wanted_total(&self) -> u64 {
        self.holdings()
            .map(|holding| u64::from(holding.wanted))
            .sum()
    }

    /// Returns the number of further credits wanted by all incarnations but the
    /// given one.
    pub fn wanted_by_others(&self, incarnation: Incarnation) -> u64 {
        let own = self
            .holding(incarnation)
            .map_or(0, |holding| holding.wanted);
        self.wanted_total() - u64::from(own)
    }

    /// Returns the ledger if it satisfies the invariant.
    fn validate(self) -> Result<Self, LedgerError> {
        let limit = self.limit;
        let highest = self.limit_in_force();
        ensure!(highest <= MAX_LIMIT, LimitTooHighSnafu { limit: highest });
        let held: u64 = self.holdings().map(|holding| u64::from(holding.held)).sum();
        let is_balanced = match self.older_limit {
            None => u64::from(self.free) + held == u64::from(limit),
            Some(older) => self.free == 0 && held > u64::from(limit) && held <= u64::from(older),
        };
        let free = self.free;
        ensure!(is_balanced, UnbalancedSnafu { free, held, limit });
        Ok(self)
    }
}

impl TryFrom<Record> for Ledger {
    type Error = LedgerError;

    /// Validates a decoded record.
    ///
    /// # Errors
    ///
    /// Returns [`LedgerError::DuplicateHolding`], [`LedgerError::LimitTooHigh`]
    /// or [`LedgerError::Unbalanced`] if the record violates the invariant.
    fn try_from(record: Record) -> Result<Self, LedgerError> {
        let mut holdings = BTreeMap::new();
        for holding in record.holdings {
            let incarnation = holding.incarnation;
            let previous = holdings.insert(incarnation, holding);
            ensure!(previous.is_none(), DuplicateHoldingSnafu { incarnation });
        }
        let ledger = Self {
            free: record.free,
            holdings,
            limit: record.limit,
            older_limit: record.older_limit,
            revision: record.revision,
        };
        ledger.validate()
    }
}
