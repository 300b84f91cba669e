//! Scheduling on the instance that holds the scheduler's lease.

use std::{
    collections::HashMap,
    sync::{
        Arc,
        Mutex,
        MutexGuard,
        PoisonError, //
    },
    time::Duration, //
};

use async_channel::Sender;
use async_io::Timer;
use dotterelsill_jobs::{
    Limits,
    Order,
    Scheduler,
    WorkerKey, //
};
use dotterelsill_platform::{
    InstanceClient,
    Settings, //
};
use dotterelsill_proto::jobs::JobRecord;
use dotterelsill_rpc::{
    Lateness,
    Tasks, //
};
use dotterelsill_store::Operations;
use event_listener::Event;

use crate::{
    authority::Authority,
    clock,
    guarded::Guarded,
    keys,
    load::Load,
    operators::Operators,
    signal::Signal,
    submission::Submissions, //
};

/// Time for which workers are granted leases: what runs goes on through outages of
/// the store of about 8 s. A worker that has crashed is known by the list of
/// instances, long before its lease ends.
const WORKER_LEASE: Duration = Duration::from_millis(9000);

/// Time beyond the leases of an earlier scheduler before a worker that does not
/// answer counts as empty: its clock may be 2% slow.
const TAKEOVER_RESERVE: Duration = Duration::from_millis(500);

/// Time between two looks at what is due.
const TICK: Duration = Duration::from_millis(50);

/// Least time for which events are gathered before a plan is made.
const PLAN_PAUSE: Duration = Duration::from_millis(3);

/// Longest time for which events are gathered.
const LONGEST_PLAN_PAUSE: Duration = Duration::from_millis(100);

/// Factor from the time that the last plan took to the pause before the next, so
/// that plans take a fifth of the time at most and the rest is left for orders.
const PLAN_PAUSE_FACTOR: u32 = 4;

/// What the loops of a worker listen on.
pub(crate) struct Handle {
    pub(crate) orders: Sender<Order>,
    pub(crate) wake: Arc<Signal>,
}

/// The scheduler with what its loops share.
pub(crate) struct Lead {
    scheduler: Mutex<Scheduler>,
    handles: Mutex<HashMap<WorkerKey, Handle>>,
    pub(crate) instances: InstanceClient,
    pub(crate) store: Arc<Operations>,
    pub(crate) authority: Arc<Authority>,
    pub(crate) operators: Arc<Operators>,
    pub(crate) submissions: Submissions,
    pub(crate) lateness: Arc<Lateness>,
    pub(crate) load: Load,
    /// Record of the workers that may run tasks.
    pub(crate) granted: async_lock::Mutex<Guarded>,
    pub(crate) tasks: Tasks,
    pub(crate) token: u64,
    plan_wanted: Signal,
    pub(crate) write_wanted: Signal,
    /// Set when the list of instances is to be asked for at once.
    pub(crate) list_wanted: Signal,
    /// Notified when changes of jobs are stored.
    pub(crate) stored: Event,
}

/// Returns the times that the scheduler keeps on this platform.
pub(crate) fn limits(settings: &Settings) -> Limits {
    let bounds = &settings.bounds;
    let lease = WORKER_LEASE.min(bounds.max_lease);
    Limits {
        lease,
        max_lease: bounds.max_lease,
        ended_job_retention: bounds.ended_job_retention,
        takeover_margin: lease + lease / 50 + TAKEOVER_RESERVE,
        alternation_window: bounds.alternation_window,
        maintenance_time: bounds.maintenance_time,
    }
}

impl Lead {
    /// Creates the state around a scheduler that has taken over.
    pub(crate) fn new(
        scheduler: Scheduler,
        instances: InstanceClient,
        store: Arc<Operations>,
        authority: Arc<Authority>,
        operators: Arc<Operators>,
        lateness: Arc<Lateness>,
        tasks: Tasks,
    ) -> Self {
        Self {
            token: scheduler.token(),
            scheduler: Mutex::new(scheduler),
            handles: Mutex::default(),
            instances,
            store,
            authority,
            operators,
            submissions: Submissions::default(),
            lateness,
            load: Load::default(),
            granted: async_lock::Mutex::new(Guarded::new(keys::GRANTED)),
            tasks,
            plan_wanted: Signal::default(),
            write_wanted: Signal::default(),
            list_wanted: Signal::default(),
            stored: Event::new(),
        }
    }

    /// Locks the scheduler; it is never held across a suspension.
    pub(crate) fn scheduler(&self) -> MutexGuard<'_, Scheduler> {
        self.scheduler
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
    }

    pub(crate) fn handles(&self) -> MutexGuard<'_, HashMap<WorkerKey, Handle>> {
        self.handles.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Returns the share of new jobs that is to be refused, in percent.
    pub(crate) fn refused_percent(&self) -> u32 {
        self.scheduler().refused_percent(clock::now())
    }

    /// Returns whether no other instance can schedule.
    pub(crate) fn is_valid(&self) -> bool {
        self.authority.is_valid(clock::now())
    }

    /// Completes the record of a job that is to be stored.
    pub(crate) fn adopt(&self, record: &mut JobRecord) {
        record.accepted_token = self.token;
        // Lasting tasks are spread, so that few of them are lost at once.
        if record.steps.iter().all(|step| !step.is_lasting) {
            let home = self.scheduler().choose_home(record, clock::now());
            record.home = home.unwrap_or_default();
        }
    }

    /// Notes that the scheduler's state has changed.
    pub(crate) fn on_changed(&self) {
        self.plan_wanted.set();
        if self.scheduler().has_change() {
            self.write_wanted.set();
        }
    }

    /// Makes plans until the group stops.
    pub(crate) async fn plan(&self) {
        let mut took = Duration::ZERO;
        loop {
            self.plan_wanted.wait().await;
            let pause = (took * PLAN_PAUSE_FACTOR).clamp(PLAN_PAUSE, LONGEST_PLAN_PAUSE);
            Timer::after(pause).await;
            if self.authority.is_lost() {
                return;
            }
            let begin = clock::now();
            let (orders, has_change) = {
                let mut scheduler = self.scheduler();
                scheduler.set_authority(self.is_valid());
                let orders = scheduler.plan(clock::now());
                (orders, scheduler.has_change())
            };
            took = clock::now().saturating_sub(begin);
            self.load.on_plan(took, orders.len());
            if has_change {
                self.write_wanted.set();
            }
            let handles = self.handles();
            for order in orders {
                if let Some(handle) = handles.get(&order.worker) {
                    // The loop of a worker that is gone has ended with it.
                    let _ = handle.orders.try_send(order.order);
                    handle.wake.set();
                }
            }
        }
    }

    /// Notes the passing of time until the group stops.
    pub(crate) async fn tick(&self) {
        let mut configured = (0, None);
        loop {
            Timer::after(TICK).await;
            let view = self.operators.view();
            let requests = Arc::as_ptr(&view.requests) as usize;
            let mut scheduler = self.scheduler();
            if configured != (view.revision, Some(requests)) {
                configured = (view.revision, Some(requests));
                scheduler.configure(view.configuration.clone(), view.requests.clone());
            }
            let now = clock::now();
            // Another scheduler may have renewed the leases once this one's own
            // lease is over.
            if self.is_valid() {
                scheduler.expire_leases(now);
            }
            scheduler.open_due_jobs(clock::unix());
            scheduler.forget_ended(now);
            scheduler.replan();
            drop(scheduler);
            self.on_changed();
        }
    }
}
