//! Reads the credit records of the teams: all of them now and then, and those of
//! active teams in between.

use std::{
    collections::HashMap,
    time::{
        Duration,
        Instant, //
    }, //
};

use dotterelsill_escrow::{
    Incarnation,
    Ledger, //
};

use crate::{
    ledgers,
    shared::Shared,
    snapshot::Snapshot, //
};

/// Time between two lists of all records.
const LIST_INTERVAL: Duration = Duration::from_secs(4);

/// Maximum number of records that are read one by one; more are read by a list.
const MAX_SINGLE_READS: usize = 8;

/// Decides which records are read.
///
/// A list of all records is long in a large fleet, so most reads cover only the
/// records of teams that are active here.
#[derive(Default)]
pub(crate) struct Reader {
    listed_at: Option<Instant>,
    /// Incarnation and revision for which the records were last listed.
    listed_for: Option<(Incarnation, u64)>,
}

impl Reader {
    /// Reads the records that are due, by team.
    pub(crate) async fn read(
        &mut self,
        shared: &Shared,
        incarnation: Incarnation,
        snapshot: &Snapshot,
    ) -> Result<HashMap<String, ledgers::Versioned>, dotterelsill_store::Error> {
        let now = Instant::now();
        let is_listed = self.listed_for == Some((incarnation, snapshot.revision))
            && self
                .listed_at
                .is_some_and(|at| now.duration_since(at) < LIST_INTERVAL);
        let active = shared
            .limits
            .active_teams(&snapshot.limits, shared.peers.live_count());
        if is_listed && active.len() <= MAX_SINGLE_READS {
            return ledgers::read(shared, &active).await;
        }
        let records = ledgers::list(shared).await?;
        self.listed_at = Some(now);
        self.listed_for = Some((incarnation, snapshot.revision));
        let ledgers = records.values().flat_map(|(_, ledger)| ledger);
        let holdings = ledgers.flat_map(Ledger::holdings);
        let incarnations = holdings.map(|holding| holding.incarnation).collect();
        shared.limits.set_listed(incarnations);
        Ok(records)
    }

    /// Returns whether all records were listed at or after an instant.
    pub(crate) fn has_listed_since(&self, begin: Instant) -> bool {
        self.listed_at.is_some_and(|at| at >= begin)
    }
}
