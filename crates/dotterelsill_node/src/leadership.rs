//! The scheduler and its shared state on the instance that holds the lease.

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
use async_lock::Semaphore;
use dotterelsill_jobs::{
    IntakeReads,
    Limits,
    Order,
    Route,
    Scheduler,
    WorkerKey,
    WorkerOrder, //
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
    dispatch::{
        DispatchLinks,
        SentOrder,
        WorkerTarget, //
    },
    guarded::GuardedRecord,
    keys,
    load::Load,
    operators::OperatorState,
    signal::Signal,
    submission::Submissions, //
};

/// Duration of the leases granted to workers: running tasks survive outages of the
/// store of about 8 s. A crashed worker is detected from the list of instances,
/// long before its lease ends.
const WORKER_LEASE: Duration = Duration::from_millis(9000);

/// Extra time after the leases granted by the previous scheduler have ended, before
/// a worker that does not answer counts as empty. It comes on top of the 2% of the
/// lease that allows for a slow clock of the worker.
const TAKEOVER_RESERVE: Duration = Duration::from_millis(500);

/// Part of the memory of an instance that jobs may take by their estimate before new
/// ones are refused. Shares of workspaces that come to use theirs later can double it.
const JOB_MEMORY_DIVISOR: u64 = 4;

/// Interval between checks for expired leases and due jobs.
const TICK_INTERVAL: Duration = Duration::from_millis(50);

/// Minimum time for which events are batched before a plan is made.
const MIN_PLAN_PAUSE: Duration = Duration::from_millis(3);

/// Maximum time for which events are batched before a plan is made.
const MAX_PLAN_PAUSE: Duration = Duration::from_millis(100);

/// Ratio of the pause before a plan to the duration of the previous plan. Planning
/// takes at most a fifth of the time, and the rest is left for orders.
const PLAN_PAUSE_FACTOR: u32 = 4;

/// Maximum number of workers whose status the scheduler itself requests at once without
/// a wait.
const MAX_DIRECT_POLLS: usize = 32;

/// Channels into the loops of one worker.
pub(crate) struct WorkerHandle {
    pub(crate) target: Arc<WorkerTarget>,
    pub(crate) orders: Sender<QueuedOrder>,
    pub(crate) wake: Arc<Signal>,
}

/// An order for the order loop of a worker.
#[derive(Debug)]
pub(crate) struct QueuedOrder {
    pub(crate) order: Order,
    /// Whether the order was sent before and may still be carried out.
    pub(crate) may_come_late: bool,
}

/// State of this instance while it is the elected scheduler, shared by the tasks
/// that schedule.
pub(crate) struct Leadership {
    scheduler: Mutex<Scheduler>,
    handles: Mutex<HashMap<WorkerKey, WorkerHandle>>,
    pub(crate) instances: InstanceClient,
    pub(crate) store: Arc<Operations>,
    pub(crate) authority: Arc<Authority>,
    pub(crate) operators: Arc<OperatorState>,
    pub(crate) submissions: Submissions,
    pub(crate) lateness: Arc<Lateness>,
    pub(crate) load: Load,
    pub(crate) dispatch: DispatchLinks,
    /// Turns of status calls that the scheduler makes itself.
    pub(crate) direct_polls: Semaphore,
    /// Stored record of the workers that may run tasks.
    pub(crate) granted: async_lock::Mutex<GuardedRecord>,
    pub(crate) tasks: Tasks,
    pub(crate) token: u64,
    plan_wanted: Signal,
    pub(crate) write_wanted: Signal,
    /// Set to request a listing of the instances without delay.
    pub(crate) list_wanted: Signal,
    /// Notified after each attempt to store jobs and their changes.
    pub(crate) stored: Event,
    intake_reads: Mutex<IntakeReads>,
}

/// Returns the scheduler's time limits, derived from the bounds of the platform.
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
        job_memory_bytes: settings.memory_bytes / JOB_MEMORY_DIVISOR,
    }
}

impl Leadership {
    /// Creates the state for a scheduler that was restored from the store.
    pub(crate) fn new(
        scheduler: Scheduler,
        settings: &Settings,
        store: Arc<Operations>,
        authority: Arc<Authority>,
        operators: Arc<OperatorState>,
        lateness: Arc<Lateness>,
        tasks: Tasks,
    ) -> Self {
        Self {
            token: scheduler.token(),
            scheduler: Mutex::new(scheduler),
            handles: Mutex::default(),
            instances: InstanceClient::new(settings.instances_address, &settings.instance, &tasks),
            store,
            authority,
            operators,
            submissions: Submissions::default(),
            lateness,
            load: Load::default(),
            dispatch: DispatchLinks::new(settings.processor_milli()),
            direct_polls: Semaphore::new(MAX_DIRECT_POLLS),
            granted: async_lock::Mutex::new(GuardedRecord::new(keys::GRANTED)),
            tasks,
            plan_wanted: Signal::default(),
            write_wanted: Signal::default(),
            list_wanted: Signal::default(),
            stored: Event::new(),
            intake_reads: Mutex::default(),
        }
    }

    /// Locks the scheduler, and tells it whether it has authority now: this process may
    /// have been paused since. The guard must not be held across an `await`.
    pub(crate) fn scheduler(&self) -> MutexGuard<'_, Scheduler> {
        let mut scheduler = self
            .scheduler
            .lock()
            .unwrap_or_else(PoisonError::into_inner);
        scheduler.set_authority(self.is_valid());
        scheduler
    }

    pub(crate) fn handles(&self) -> MutexGuard<'_, HashMap<WorkerKey, WorkerHandle>> {
        self.handles.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Locks what is known of the reads of the intake. The guard must not be held across
    /// an `await`.
    pub(crate) fn intake_reads(&self) -> MutexGuard<'_, IntakeReads> {
        self.intake_reads
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
    }

    /// Returns the share of new jobs to refuse, in percent.
    pub(crate) fn refused_percent(&self) -> u32 {
        self.scheduler().refused_percent(clock::now())
    }

    /// Returns whether the lease is certain to be valid, so that no other instance can
    /// schedule.
    pub(crate) fn is_valid(&self) -> bool {
        self.authority.is_valid(clock::now())
    }

    /// Sets the fencing token, the queue's path and pool, and the home data centre in the
    /// record of a new job.
    pub(crate) fn complete_record(&self, record: &mut JobRecord) {
        record.accepted_token = self.token;
        self.scheduler().complete_queue(record);
        // Lasting tasks get no home: they are spread, so that an outage hits few of them.
        if record.steps.iter().all(|step| !step.is_lasting) {
            let home = self.scheduler().choose_home(record, clock::now());
            record.home = home.unwrap_or_default();
        }
    }

    /// Requests a plan, and a write if there are unstored changes. Called after each
    /// change of the scheduler's state.
    pub(crate) fn on_changed(&self) {
        self.plan_wanted.set();
        if self.scheduler().has_change() {
            self.write_wanted.set();
        }
    }

    /// Makes plans and dispatches their orders until the task group stops.
    pub(crate) async fn plan(&self) {
        let mut plan_time = Duration::ZERO;
        loop {
            self.plan_wanted.wait().await;
            let pause = (plan_time * PLAN_PAUSE_FACTOR).clamp(MIN_PLAN_PAUSE, MAX_PLAN_PAUSE);
            Timer::after(pause).await;
            if self.authority.is_lost() {
                return;
            }
            let started_at = clock::now();
            let (orders, has_change) = {
                let mut scheduler = self.scheduler();
                let orders = scheduler.plan(clock::now());
                (orders, scheduler.has_change())
            };
            plan_time = clock::now().saturating_sub(started_at);
            self.load.on_plan(plan_time, orders.len());
            if has_change {
                self.write_wanted.set();
            }
            self.hand_out(orders);
        }
    }

    /// Sends the starts for workers that are called over dispatchers, and hands the
    /// other orders to the loops of their workers.
    fn hand_out(&self, orders: Vec<WorkerOrder>) {
        let now = clock::now();
        let may_extend = self.authority.is_valid(now);
        let mut scheduler = self.scheduler();
        let dispatchers = self.dispatch.dispatchers();
        let handles = self.handles();
        for WorkerOrder { worker, order } in orders {
            let Some(handle) = handles.get(&worker) else {
                continue;
            };
            let mut is_sent = false;
            // Without authority, starts go through the loops, which ask for an open connection.
            if let (true, Order::Start { task, .. }, Route::Over(address)) =
                (may_extend, &order, dispatchers.order_route(worker))
            {
                if !scheduler.may_send(worker, &order, false, now) {
                    // The task of a start that was withdrawn waits for the next plan.
                    self.plan_wanted.set();
                    continue;
                }
                if let Some(terms) = scheduler.start_terms(worker, *task, may_extend, now) {
                    let sent = SentOrder {
                        target: handle.target.clone(),
                        order: order.clone(),
                        terms,
                        sent_at: now,
                    };
                    is_sent = self.dispatch.send_order(address, sent);
                }
            }
            if !is_sent {
                // Sending fails only if the worker is gone and its loop has ended.
                let _ = handle.orders.try_send(QueuedOrder {
                    order,
                    may_come_late: false,
                });
            }
            handle.wake.set();
        }
    }

    /// Wakes the status loops of workers whose status must be read, and those of
    /// removed workers, which end. Doing so at each tick covers every event that makes
    /// the status of an idle worker outdated.
    fn wake_status_loops(&self, scheduler: &Scheduler, removed: &[WorkerKey]) {
        let mut handles = self.handles();
        for key in scheduler.unread_workers() {
            if let Some(handle) = handles.get(&key) {
                handle.wake.set();
            }
        }
        for key in removed {
            if let Some(handle) = handles.remove(key) {
                handle.wake.set();
            }
        }
    }

    /// Applies configuration changes, expired leases and due jobs at each tick, until
    /// the task group stops.
    pub(crate) async fn tick(&self) {
        let mut applied = (0, None);
        loop {
            Timer::after(TICK_INTERVAL).await;
            let view = self.operators.view();
            let requests = Arc::as_ptr(&view.requests) as usize;
            let mut scheduler = self.scheduler();
            if applied != (view.revision, Some(requests)) {
                applied = (view.revision, Some(requests));
                scheduler.configure(view.configuration.clone(), view.requests.clone());
            }
            let now = clock::now();
            // Once this scheduler's own lease has ended, another scheduler may have
            // renewed the leases of workers.
            let removed = if self.is_valid() {
                scheduler.expire_leases(now)
            } else {
                Vec::new()
            };
            self.wake_status_loops(&scheduler, &removed);
            scheduler.open_due_jobs(clock::unix());
            scheduler.forget_ended(now);
            scheduler.replan();
            drop(scheduler);
            self.on_changed();
        }
    }
}
