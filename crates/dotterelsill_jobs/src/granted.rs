//! The stored record of workers that may run tasks.
//!
//! A worker is granted a lease only once it is in the record, so that the next
//! scheduler knows where tasks may be running.

use std::time::Duration;

use dotterelsill_proto::jobs::GrantedWorker;

use crate::{
    Resources,
    Scheduler,
    WorkerKey,
    WorkerReport, //
};

/// Time within which an order that was not answered may still be executed.
pub(crate) const MAX_ORDER_DELAY: Duration = Duration::from_secs(13);

impl Scheduler {
    /// Adds a worker that an earlier scheduler granted a lease and that is not
    /// registered.
    pub fn restore_granted_worker(
        &mut self,
        granted: &GrantedWorker,
        now: Duration,
    ) -> Option<WorkerKey> {
        self.granted_stored.insert(granted.id.clone());
        if self.by_id.contains_key(&granted.id) {
            return None;
        }
        let report = WorkerReport {
            id: granted.id.clone(),
            started_unix_ms: 0,
            address: granted.address.clone(),
            pool: granted.pool.clone(),
            data_centre: granted.data_centre.clone(),
            labels: Vec::new(),
            capacity: Resources::default(),
            is_draining: true,
        };
        let key = self.new_worker(report, now);
        if let Some(worker) = self.workers.get_mut(&key) {
            worker.is_listed = false;
            worker.is_expected = true;
            if granted.closes_connections {
                worker.has_unbound_starts = true;
                let late_until = self.started_at + MAX_ORDER_DELAY;
                worker.unknown_until = worker.unknown_until.max(late_until);
                self.earlier_starts_until = late_until;
            }
        }
        Some(key)
    }

    /// Returns whether the stored record must be updated: a worker is missing, or a
    /// listed one has certainly ended.
    pub fn has_granted_change(&self) -> bool {
        let may_run = |id: &String| {
            let worker = self.by_id.get(id).and_then(|key| self.workers.get(key));
            worker.is_some_and(|worker| !worker.is_vacated()) || self.late_orders.contains_key(id)
        };
        let is_missing = |worker: &crate::worker::Worker| !worker.may_grant && !worker.is_vacated();
        self.workers.values().any(is_missing) || !self.granted_stored.iter().all(may_run)
    }

    /// Returns the identifiers of all known workers.
    pub fn worker_ids(&self) -> Vec<String> {
        self.by_id.keys().cloned().collect()
    }

    /// Returns the entries for the record: all workers that may run tasks.
    pub fn granted(&self) -> Vec<GrantedWorker> {
        let present = self.workers.values().filter(|worker| !worker.is_vacated());
        let is_gone = |id: &&String| !self.by_id.contains_key(*id);
        let late = self.late_orders.keys().filter(is_gone);
        let late = late.map(|id| self.late_orders[id].0.clone());
        present
            .map(crate::worker::Worker::granted_record)
            .chain(late)
            .collect()
    }

    /// Handles the storage of the record; its workers may be granted leases from
    /// now on, and no others.
    pub fn on_granted_stored(&mut self, granted: &[GrantedWorker]) {
        self.granted_stored = granted.iter().map(|worker| worker.id.clone()).collect();
        for worker in self.workers.values_mut() {
            worker.may_grant &= self.granted_stored.contains(&worker.report.id);
        }
        for granted in granted {
            let key = self.by_id.get(&granted.id);
            if let Some(worker) = key.and_then(|key| self.workers.get_mut(key)) {
                // The record may be older than the fact that the worker closes connections.
                worker.may_grant |= granted.closes_connections || worker.life.keeps_connections;
            }
        }
        self.needs_plan = true;
    }
}
