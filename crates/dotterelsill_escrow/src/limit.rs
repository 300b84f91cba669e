//! Changes of the limit, and reclaiming of credits.

use snafu::ensure;

use crate::{
    error::{
        LimitTooHighSnafu,
        OlderRevisionSnafu,
        RevisionConflictSnafu, //
    },
    Ledger,
    LedgerError,
    ReclaimProof,
    MAX_LIMIT, //
};

impl Ledger {
    /// Sets the limit that a configuration revision gives to the team.
    ///
    /// The revision is the number of this operation: the limit of the recorded
    /// revision changes nothing, and an older one is refused, so that an entry
    /// that has not seen the newest revision cannot restore a withdrawn limit.
    /// A lower limit stays pending until enough credits were given back.
    ///
    /// # Errors
    ///
    /// Returns [`LedgerError::LimitTooHigh`], [`LedgerError::OlderRevision`] or
    /// [`LedgerError::RevisionConflict`].
    pub fn set_limit(&self, limit: u32, revision: u64) -> Result<Self, LedgerError> {
        let recorded = self.revision;
        ensure!(
            revision >= recorded,
            OlderRevisionSnafu { recorded, revision }
        );
        if revision == recorded {
            let recorded = self.limit;
            let conflict = RevisionConflictSnafu {
                limit,
                recorded,
                revision,
            };
            ensure!(limit == recorded, conflict);
            return Ok(self.clone());
        }
        ensure!(limit <= MAX_LIMIT, LimitTooHighSnafu { limit });
        let mut next = self.clone();
        next.older_limit = Some(self.limit_in_force());
        next.limit = limit;
        next.revision = revision;
        Ok(next.settle())
    }

    /// Frees the credits of a dead incarnation and deletes its share.
    ///
    /// A repeated call finds no share and changes nothing.
    pub fn reclaim(&self, dead: &ReclaimProof) -> Self {
        self.without_holding(dead.incarnation())
    }

    /// Frees credits that no incarnation holds any more.
    pub(crate) fn release(mut self, credits: u32) -> Self {
        if self.older_limit.is_none() {
            self.free += credits;
        }
        self.settle()
    }

    /// Puts a pending limit in force once the credits held allow it.
    fn settle(mut self) -> Self {
        if self.older_limit.is_none() {
            return self;
        }
        let held = self.held_total();
        if held <= self.limit {
            self.older_limit = None;
            self.free = self.limit - held;
        } else {
            self.free = 0;
        }
        self
    }
}
