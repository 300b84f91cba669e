//! An instance that schedules, with the loops that call its workers.

use std::{
    collections::{
        BTreeMap,
        VecDeque, //
    },
    net::SocketAddr,
    sync::Arc,
    time::Duration, //
};

use dotterelsill_jobs::{
    Configuration,
    DispatcherReport,
    Dispatchers,
    JobId,
    JobSpec,
    Limits,
    OperatorRequests,
    Order,
    Scheduler,
    WorkerKey, //
};

use crate::{
    store::Store,
    worker::MAX_LEASE_MS, //
};

/// Lifetime of the scheduler's own lease.
pub(crate) const TTL_MS: u64 = 1500;

/// Duration of the leases granted to workers.
const LEASE_MS: u64 = 5000;

/// What the status loop of a worker does next.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum StatusPhase {
    /// Begins its next round at a time.
    Round { at_ms: u64 },
    /// Waits until it is woken.
    Asleep,
    /// Requests the status after a pause.
    Request { at_ms: u64 },
    /// Waits for the answer to a call.
    Called,
    /// Waits from a time on until the listed ends are stored, at most until another.
    Storing { from_ms: u64, until_ms: u64 },
}

/// An order that a loop sends until it is settled.
#[derive(Clone, Debug)]
pub(crate) struct Sending {
    pub(crate) order: Order,
    pub(crate) may_come_late: bool,
    /// Time of the next try; `None` while a call is under way.
    pub(crate) at_ms: Option<u64>,
    pub(crate) pause_ms: u64,
}

impl Sending {
    pub(crate) fn first(order: Order, now_ms: u64) -> Self {
        Self {
            order,
            may_come_late: false,
            at_ms: Some(now_ms),
            pause_ms: UNSENT_ORDER_PAUSE_MS,
        }
    }

    pub(crate) fn repeated(order: Order, now_ms: u64) -> Self {
        Self {
            may_come_late: true,
            at_ms: Some(now_ms + RETRY_PAUSE_MS),
            ..Self::first(order, now_ms)
        }
    }
}

pub(crate) const RETRY_PAUSE_MS: u64 = 100;
pub(crate) const UNSENT_ORDER_PAUSE_MS: u64 = 20;
pub(crate) const MAX_UNSENT_ORDER_PAUSE_MS: u64 = 320;

/// The loops of one worker.
#[derive(Debug)]
pub(crate) struct Loops {
    pub(crate) worker: usize,
    /// Port that they call.
    pub(crate) port: u16,
    /// Number that no other loops have.
    pub(crate) number: u64,
    pub(crate) status: StatusPhase,
    pub(crate) is_first: bool,
    pub(crate) unanswered: u32,
    pub(crate) is_woken: bool,
    /// Last acknowledgement that was sent while the worker was not silent.
    pub(crate) last_acknowledged: u64,
    pub(crate) queue: VecDeque<(Order, bool)>,
    pub(crate) current: Option<Sending>,
    pub(crate) repeats: BTreeMap<u64, Sending>,
}

impl Loops {
    pub(crate) fn new(worker: usize, port: u16, number: u64, begins_at_ms: u64) -> Self {
        Self {
            worker,
            port,
            number,
            status: StatusPhase::Round {
                at_ms: begins_at_ms,
            },
            is_first: true,
            unanswered: 0,
            is_woken: false,
            last_acknowledged: 0,
            queue: VecDeque::new(),
            current: None,
            repeats: BTreeMap::new(),
        }
    }
}

pub(crate) struct Driver {
    pub(crate) token: u64,
    pub(crate) scheduler: Scheduler,
    pub(crate) dispatchers: Dispatchers,
    /// Open links to dispatchers, with their numbers.
    pub(crate) links: BTreeMap<SocketAddr, u64>,
    pub(crate) valid_until_ms: u64,
    pub(crate) is_lost: bool,
    /// Time until which changes are stored at most before scheduling is handed over.
    pub(crate) hands_over_until_ms: Option<u64>,
    pub(crate) frozen_until_ms: u64,
    pub(crate) is_cut_from_store: bool,
    /// Data centre whose workers and dispatchers this instance cannot reach.
    pub(crate) cut_data_centre: Option<usize>,
    /// Workers that this instance cannot reach directly.
    pub(crate) unreachable: Vec<bool>,
    pub(crate) loops: BTreeMap<WorkerKey, Loops>,
    pub(crate) next_renewal_ms: u64,
    pub(crate) next_registrations_ms: u64,
    pub(crate) next_list_ms: u64,
    pub(crate) next_tick_ms: u64,
    pub(crate) next_links_ms: u64,
    pub(crate) writes: u32,
    pub(crate) is_granted_write_open: bool,
    /// Jobs whose storage is answered at a time.
    pub(crate) submissions: Vec<(u64, JobId, JobSpec)>,
}

pub(crate) fn at(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

pub(crate) fn dispatcher_address(index: usize) -> SocketAddr {
    SocketAddr::from(([10, 0, 0, index as u8 + 1], 1))
}

impl Driver {
    /// Creates the scheduler that was elected at one time and has read the store at
    /// another.
    pub(crate) fn take_over(
        store: &Store,
        configuration: &Arc<Configuration>,
        elected_at_ms: u64,
        own_milli: u32,
        workers: usize,
        now_ms: u64,
    ) -> Self {
        let lease = at(LEASE_MS);
        let limits = Limits {
            lease,
            max_lease: at(MAX_LEASE_MS),
            ended_job_retention: at(1_000_000),
            takeover_margin: lease + lease / 50 + at(500),
            alternation_window: at(3000),
            maintenance_time: at(2000),
            job_memory_bytes: 64 << 20,
        };
        let mut scheduler = Scheduler::new(store.token, limits, at(elected_at_ms));
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
        let report = |index: usize| {
            let report = DispatcherReport {
                data_centre: format!("dc{index}"),
                processor_milli: 4000,
            };
            (dispatcher_address(index), report)
        };
        let mut dispatchers = Dispatchers::new(own_milli);
        dispatchers.on_registered(&(0..2).map(report).collect());
        Self {
            token: store.token,
            scheduler,
            dispatchers,
            links: BTreeMap::new(),
            valid_until_ms: elected_at_ms + TTL_MS - TTL_MS / 50,
            is_lost: false,
            hands_over_until_ms: None,
            frozen_until_ms: 0,
            is_cut_from_store: false,
            cut_data_centre: None,
            unreachable: vec![false; workers],
            loops: BTreeMap::new(),
            next_renewal_ms: elected_at_ms,
            next_registrations_ms: now_ms,
            next_list_ms: now_ms,
            next_tick_ms: now_ms,
            next_links_ms: now_ms,
            writes: 0,
            is_granted_write_open: false,
            submissions: Vec::new(),
        }
    }

    /// Replaces the loops of a worker by those for another port. The orders that they have
    /// not settled are passed on; the result of one that is under way is handled when it
    /// arrives.
    pub(crate) fn move_loops(&mut self, key: WorkerKey, mut loops: Loops) {
        if let Some(old) = self.loops.remove(&key) {
            let current = old.current.filter(|sending| sending.at_ms.is_some());
            let repeats = old.repeats.into_values();
            let unsettled = current.into_iter().chain(repeats);
            let unsettled = unsettled.filter(|sending| sending.at_ms.is_some());
            let unsettled = unsettled.map(|sending| (sending.order, sending.may_come_late));
            loops.queue.extend(unsettled.chain(old.queue));
        }
        self.loops.insert(key, loops);
    }

    pub(crate) fn is_valid(&self, now_ms: u64) -> bool {
        !self.is_lost && now_ms < self.valid_until_ms
    }

    pub(crate) fn is_running(&self, now_ms: u64) -> bool {
        !self.is_lost && self.frozen_until_ms <= now_ms
    }
}
