//! Record of the pools and orders for an independent observer.

use std::collections::BTreeMap;

use dotterelsill_proto::platform::{
    Change,
    ObserveResponse,
    PoolSeen, //
};

/// Counts and completed orders since the start.
#[derive(Default)]
pub(crate) struct Record {
    changes: Vec<Change>,
    /// Number of orders that interrupted work or put an instance in two pools.
    pub(crate) harmful: u64,
    /// Number of orders and queries that a gate rejected.
    pub(crate) overtaken: u64,
    /// Instances in service in each pool: the current number and the lowest one so
    /// far.
    pools: BTreeMap<String, (u32, u32)>,
}

impl Record {
    /// Adds an order that was completed.
    pub(crate) fn add(&mut self, change: Change) {
        self.changes.push(change);
    }

    /// Records the current number of instances in service in a pool.
    pub(crate) fn set_in_service(&mut self, pool: &str, in_service: u32) {
        let seen = self.pools.entry(pool.to_owned());
        let (current, lowest) = seen.or_insert((in_service, in_service));
        *current = in_service;
        *lowest = in_service.min(*lowest);
    }

    /// Returns the names of the pools recorded so far.
    pub(crate) fn pools(&self) -> Vec<String> {
        self.pools.keys().cloned().collect()
    }

    /// Returns the record as the message that the observer reads.
    pub(crate) fn to_message(&self) -> ObserveResponse {
        let pools = self.pools.iter().map(|(pool, (current, lowest))| PoolSeen {
            pool: pool.clone(),
            in_service: *current,
            least_in_service: *lowest,
        });
        ObserveResponse {
            pools: pools.collect(),
            changes: self.changes.clone(),
            overtaken: self.overtaken,
            harmful: self.harmful,
        }
    }
}
