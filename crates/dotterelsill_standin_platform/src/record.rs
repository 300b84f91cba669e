//! What an independent observer sees of the pools.

use std::collections::BTreeMap;

use dotterelsill_proto::platform::{
    Change,
    ObserveResponse,
    PoolSeen, //
};

/// Counts and changes since the start.
#[derive(Default)]
pub(crate) struct Record {
    changes: Vec<Change>,
    pub(crate) harmful: u64,
    pub(crate) overtaken: u64,
    pools: BTreeMap<String, (u32, u32)>,
}

impl Record {
    /// Adds a change that was carried out.
    pub(crate) fn add(&mut self, change: Change) {
        self.changes.push(change);
    }

    /// Takes the instances in service of a pool at this instant.
    pub(crate) fn count(&mut self, pool: &str, in_service: u32) {
        let seen = self.pools.entry(pool.to_owned());
        let (now, least) = seen.or_insert((in_service, in_service));
        *now = in_service;
        *least = in_service.min(*least);
    }

    /// Returns the pools seen so far.
    pub(crate) fn pools(&self) -> Vec<String> {
        self.pools.keys().cloned().collect()
    }

    /// Returns the message for the observer.
    pub(crate) fn to_message(&self) -> ObserveResponse {
        let pools = self.pools.iter().map(|(pool, (now, least))| PoolSeen {
            pool: pool.clone(),
            in_service: *now,
            least_in_service: *least,
        });
        ObserveResponse {
            pools: pools.collect(),
            changes: self.changes.clone(),
            overtaken: self.overtaken,
            harmful: self.harmful,
        }
    }
}
