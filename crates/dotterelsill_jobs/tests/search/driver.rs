//! An instance that schedules: the scheduler with the state of its calls.

use std::{
    collections::BTreeMap,
    sync::Arc,
    time::Duration, //
};

use dotterelsill_jobs::{
    Configuration,
    Limits,
    OperatorRequests,
    Resources,
    Scheduler,
    WorkerKey,
    WorkerOrder,
    WorkerReport, //
};

use crate::{
    fleet::Worker,
    world::Store, //
};

/// Lifetime of the scheduler's own lease.
pub(crate) const TTL_MS: u64 = 2000;

/// Duration of the leases granted to workers.
pub(crate) const LEASE_MS: u64 = 5000;

/// Total resources of each worker.
pub(crate) const CAPACITY: Resources = Resources {
    cpu_milli: 4000,
    memory_mb: 4000,
    accelerators: 0,
};

/// An order that is sent until it is answered.
pub(crate) struct PendingOrder {
    pub(crate) order: WorkerOrder,
    pub(crate) may_come_late: bool,
    pub(crate) next_at_ms: u64,
}

pub(crate) struct Driver {
    pub(crate) scheduler: Scheduler,
    pub(crate) valid_until_ms: u64,
    pub(crate) is_lost: bool,
    pub(crate) paused_until_ms: u64,
    pub(crate) is_cut_from_store: bool,
    /// Data centre whose workers this instance cannot reach.
    pub(crate) unreachable_data_centre: Option<String>,
    pub(crate) pending: Vec<PendingOrder>,
    pub(crate) next_poll_ms: BTreeMap<WorkerKey, u64>,
    /// Start time of the worker incarnation that each status connection was opened
    /// to.
    pub(crate) connected: BTreeMap<WorkerKey, u64>,
    pub(crate) next_report_ms: u64,
}

pub(crate) fn at(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

impl Driver {
    pub(crate) fn take_over(
        store: &Store,
        configuration: &Arc<Configuration>,
        now_ms: u64,
    ) -> Self {
        let lease = at(LEASE_MS);
        let limits = Limits {
            lease,
            max_lease: at(10_000),
            ended_job_retention: at(1_000_000),
            takeover_margin: lease + lease / 50 + at(500),
            alternation_window: at(3000),
            maintenance_time: at(2000),
            job_memory_bytes: 64 << 20,
        };
        let mut scheduler = Scheduler::new(store.token, limits, at(now_ms));
        scheduler.configure(configuration.clone(), Arc::new(OperatorRequests::default()));
        for (id, record) in &store.jobs {
            let progress = store.progress.get(id);
            let progress = progress.map(|(record, revision)| (record, *revision));
            scheduler
                .restore(*id, record, progress, at(now_ms))
                .expect("stored jobs are usable");
        }
        for granted in &store.granted {
            scheduler.restore_granted_worker(granted, at(now_ms));
        }
        Self {
            scheduler,
            valid_until_ms: now_ms + TTL_MS,
            is_lost: false,
            paused_until_ms: 0,
            is_cut_from_store: false,
            unreachable_data_centre: None,
            pending: Vec::new(),
            next_poll_ms: BTreeMap::new(),
            connected: BTreeMap::new(),
            next_report_ms: now_ms,
        }
    }

    pub(crate) fn is_valid(&self, now_ms: u64) -> bool {
        !self.is_lost && now_ms < self.valid_until_ms
    }

    pub(crate) fn reaches(&self, worker: &Worker) -> bool {
        worker.is_up && self.unreachable_data_centre.as_ref() != Some(&worker.data_centre)
    }
}

pub(crate) fn report(worker: &Worker) -> WorkerReport {
    WorkerReport {
        id: worker.id.clone(),
        started_unix_ms: worker.started_ms,
        address: worker.address.clone(),
        pool: "pool".to_owned(),
        data_centre: worker.data_centre.clone(),
        labels: vec!["a".to_owned(), "r1".to_owned()],
        capacity: CAPACITY,
        is_draining: false,
    }
}
