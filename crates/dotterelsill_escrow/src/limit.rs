//! Ledger operations that change the limit or reclaim credits.

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
    /// Sets the team's limit according to a configuration revision.
    ///
    /// The revision makes this operation idempotent: setting the recorded
    /// revision again has no effect, and an older revision is refused, so that an
    /// entry that has not seen the newest revision cannot restore an outdated
    /// limit. A lower limit stays pending until enough credits have been given
    /// back.
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
        Ok(next.apply_pending_limit())
    }

    /// Frees the credits of a dead incarnation and deletes its holding.
    ///
    /// A repeated call finds no holding and has no effect.
    pub fn reclaim(&self, proof: &ReclaimProof) -> Self {
        self.without_holding(proof.incarnation())
    }

    /// Frees credits that have been removed from a holding.
    ///
    /// While a lower limit is pending, the credits only reduce the excess.
    pub(crate) fn release(mut self, credits: u32) -> Self {
        if self.older_limit.is_none() {
            self.free += credits;
        }
        self.apply_pending_limit()
    }

    /// Puts a pending limit in force if the held credits no longer exceed it.
    fn apply_pending_limit(mut self) -> Self {
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
