//! The scheduler: its jobs, its workers and its instances.

use std::{
    collections::{
        BTreeMap,
        BTreeSet,
        HashMap,
        VecDeque, //
    },
    sync::Arc,
    time::Duration, //
};

use dotterelsill_proto::jobs::GrantedWorker;

use crate::{
    advice::Tickets,
    arrivals::Arrivals,
    changes::DirtyJobs,
    ended_jobs::RestoredEnd,
    given_up::GivenUpRuns,
    home::FreeCpu,
    instance_orders::KnownInstance,
    job::Job,
    job_memory::JobMemory,
    overload::Overload,
    run_times::Stragglers,
    shortage::{
        DeferralCounts,
        PoolShortage,
        QueueSizes,
        RecentArrivals, //
    },
    unended::Unended,
    waves::WaveState,
    worker::{
        Worker,
        WorkerReport, //
    },
    Configuration,
    ExpiredRecord,
    JobId,
    OperatorRequests,
    Order,
    Resources,
    RunState,
    RunTimes,
    StepId,
    TaskId,
    WorkerKey,
    WorkerOrder, //
};

/// Time limits that the scheduler applies.
#[derive(Clone, Copy, Debug)]
pub struct Limits {
    /// Duration of the leases granted to workers.
    pub lease: Duration,
    /// Maximum duration of a lease that a worker accepts.
    pub max_lease: Duration,
    /// Time for which the state of an ended job can be queried.
    pub ended_job_retention: Duration,
    /// Time after the start of this scheduler at which a disconnected predecessor
    /// has certainly stopped granting leases.
    pub takeover_margin: Duration,
    /// Time within which two schedulers must not give alternating orders to the
    /// same instance.
    pub alternation_window: Duration,
    /// Time that the maintenance of an instance takes.
    pub maintenance_time: Duration,
    /// Memory for jobs from which on a workspace that uses more than its share of it
    /// gets no new ones, in bytes.
    pub job_memory_bytes: u64,
}

/// Decides for all pools under one fencing token.
///
/// It does no I/O: the caller reports events with their times, and takes out orders
/// and changes. All times are of a clock that keeps running while the machine is
/// suspended.
pub struct Scheduler {
    pub(crate) token: u64,
    pub(crate) limits: Limits,
    pub(crate) configuration: Arc<Configuration>,
    pub(crate) operator_requests: Arc<OperatorRequests>,
    pub(crate) jobs: HashMap<JobId, Job>,
    pub(crate) memory: JobMemory,
    pub(crate) workers: BTreeMap<WorkerKey, Worker>,
    pub(crate) by_id: HashMap<String, WorkerKey>,
    next_worker: u32,
    /// Ready steps with tasks that wait for a worker, by pool.
    pub(crate) ready: BTreeMap<String, BTreeSet<StepId>>,
    /// Resources reserved by the runs of each workspace.
    pub(crate) usage: HashMap<String, Resources>,
    /// Resources that unseen runs of an earlier scheduler may use, by workspace.
    pub(crate) unseen_usage: HashMap<String, Resources>,
    /// Runs of jobs that ended under earlier schedulers, which may go on.
    pub(crate) unended: Vec<Unended>,
    pub(crate) orders: Vec<WorkerOrder>,
    /// Jobs whose progress must be stored.
    pub(crate) dirty: DirtyJobs,
    /// Time since which each job has progress that is not stored.
    pub(crate) unstored_since: HashMap<JobId, Duration>,
    /// Time of the last plan.
    pub(crate) planned_at: Duration,
    /// Workers whose next end can be acknowledged once the progress of a job is
    /// stored.
    pub(crate) unacknowledged: HashMap<JobId, BTreeSet<WorkerKey>>,
    /// Open jobs with occurrences that are not due yet.
    pub(crate) scheduled: BTreeSet<JobId>,
    /// Open jobs with a schedule.
    pub(crate) recurring: BTreeSet<JobId>,
    pub(crate) ended: VecDeque<JobId>,
    /// Jobs that ended under earlier schedulers.
    pub(crate) restored_ends: HashMap<JobId, RestoredEnd>,
    /// Time at which the last of them was restored.
    pub(crate) ends_restored_at: Duration,
    /// Records of ended jobs that are to be removed from the store.
    pub(crate) expired: VecDeque<ExpiredRecord>,
    pub(crate) started_at: Duration,
    /// Whether this scheduler's own lease is valid, so that no later scheduler can
    /// exist.
    pub(crate) has_authority: bool,
    pub(crate) needs_plan: bool,
    pub(crate) instances: BTreeMap<String, KnownInstance>,
    /// Whether the list of instances was read.
    pub(crate) has_instances: bool,
    pub(crate) waves: BTreeMap<u64, WaveState>,
    /// Start time and maintained instances of waves that an earlier scheduler
    /// started.
    pub(crate) restored_waves: BTreeMap<u64, (Duration, Vec<String>)>,
    /// Workers in the stored record of workers that may run tasks.
    pub(crate) granted_stored: BTreeSet<String>,
    /// Time until which starts of an earlier scheduler may be carried out by a later life of
    /// a worker than the one that this scheduler has read; zero if there are none.
    pub(crate) earlier_starts_until: Duration,
    /// Ended workers whose outstanding orders may still be executed by a new
    /// incarnation with the same identifier, and until when.
    pub(crate) late_orders: BTreeMap<String, (GrantedWorker, Duration)>,
    /// Time of the last order to each instance, or of the response to it.
    pub(crate) ordered_at: BTreeMap<String, Duration>,
    /// Time until which instances get no orders, because an earlier scheduler may
    /// just have given one.
    pub(crate) held_until: BTreeMap<String, Duration>,
    /// Time since which each instance is idle.
    pub(crate) idle_since: BTreeMap<String, Duration>,
    /// Answers of the advisor, by step.
    pub(crate) tickets: BTreeMap<StepId, Tickets>,
    /// Arrival rates, by pool.
    pub(crate) arrivals: BTreeMap<String, Arrivals>,
    /// Order of the jobs of pools with a shortage, by pool.
    pub(crate) shortage: BTreeMap<String, PoolShortage>,
    /// Sizes of the latest jobs, by queue.
    pub(crate) sizes: BTreeMap<String, QueueSizes>,
    /// Numbers of deferred jobs, for the metrics.
    pub(crate) deferrals: DeferralCounts,
    /// Jobs that arrived lately, by pool.
    pub(crate) recent: BTreeMap<String, RecentArrivals>,
    /// A time, and the same since the Unix epoch. Steps of the wall clock after it have
    /// no effect.
    pub(crate) wall_clock: Option<(Duration, Duration)>,
    /// Whether jobs are divided into classes when a pool has a shortage.
    pub(crate) divides_jobs: bool,
    /// Free processor time for new jobs, by pool.
    pub(crate) free_cpu: BTreeMap<String, FreeCpu>,
    /// Admission control for new jobs.
    pub(crate) overload: Overload,
    /// Runs that were given up without an end of their own, for the logs.
    pub(crate) given_up: GivenUpRuns,
    pub(crate) run_times: RunTimes,
    /// Workers that were found to be slow.
    pub(crate) slow_workers: BTreeSet<WorkerKey>,
    pub(crate) stragglers: Stragglers,
}

impl Scheduler {
    /// Creates a scheduler without jobs or workers. `token` is the fencing token of
    /// all its orders.
    pub fn new(token: u64, limits: Limits, now: Duration) -> Self {
        Self {
            token,
            limits,
            configuration: Arc::default(),
            operator_requests: Arc::default(),
            jobs: HashMap::new(),
            memory: JobMemory::default(),
            workers: BTreeMap::new(),
            by_id: HashMap::new(),
            next_worker: 0,
            ready: BTreeMap::new(),
            usage: HashMap::new(),
            unseen_usage: HashMap::new(),
            unended: Vec::new(),
            orders: Vec::new(),
            dirty: DirtyJobs::default(),
            unstored_since: HashMap::new(),
            planned_at: now,
            unacknowledged: HashMap::new(),
            scheduled: BTreeSet::new(),
            recurring: BTreeSet::new(),
            ended: VecDeque::new(),
            restored_ends: HashMap::new(),
            ends_restored_at: now,
            expired: VecDeque::new(),
            started_at: now,
            has_authority: true,
            needs_plan: true,
            instances: BTreeMap::new(),
            has_instances: false,
            waves: BTreeMap::new(),
            restored_waves: BTreeMap::new(),
            granted_stored: BTreeSet::new(),
            earlier_starts_until: Duration::ZERO,
            late_orders: BTreeMap::new(),
            ordered_at: BTreeMap::new(),
            held_until: BTreeMap::new(),
            idle_since: BTreeMap::new(),
            tickets: BTreeMap::new(),
            arrivals: BTreeMap::new(),
            shortage: BTreeMap::new(),
            sizes: BTreeMap::new(),
            deferrals: DeferralCounts::default(),
            recent: BTreeMap::new(),
            wall_clock: None,
            divides_jobs: true,
            free_cpu: BTreeMap::new(),
            overload: Overload::default(),
            given_up: GivenUpRuns::default(),
            run_times: RunTimes::default(),
            slow_workers: BTreeSet::new(),
            stragglers: Stragglers::default(),
        }
    }

    /// Returns the fencing token.
    pub fn token(&self) -> u64 {
        self.token
    }

    /// Sets whether this scheduler's own lease is valid, so that no later scheduler
    /// can exist.
    pub fn set_authority(&mut self, has_authority: bool) {
        self.has_authority = has_authority;
    }

    /// Sets the time since the Unix epoch, from which the ages of restored jobs are
    /// determined. Without it they count from their restoration.
    pub fn set_wall_clock(&mut self, unix: Duration, now: Duration) {
        self.wall_clock = Some((now, unix));
    }

    /// Returns whether runs of an earlier scheduler may be active on a worker.
    ///
    /// The end of the earlier scheduler's leases is relied on only with authority:
    /// without it, a later scheduler may have started the same tasks there and
    /// renewed the lease. A worker that is not in the stored record was never given
    /// any tasks.
    pub(crate) fn may_run_unseen(&self, worker: &Worker, now: Duration) -> bool {
        worker.is_expected
            && worker.is_unread()
            && (now < worker.unknown_until || !self.has_authority)
    }

    /// Sets the configuration and the operators' requests.
    pub fn configure(
        &mut self,
        configuration: Arc<Configuration>,
        operator_requests: Arc<OperatorRequests>,
    ) {
        self.configuration = configuration;
        self.operator_requests = operator_requests;
        // Queues may have been assigned to other pools.
        for step in std::mem::take(&mut self.ready).into_values().flatten() {
            self.make_ready(step);
        }
        self.needs_plan = true;
    }

    /// Returns the run times learned so far.
    pub fn run_times(&self) -> &RunTimes {
        &self.run_times
    }

    /// Sets whether jobs are divided into classes when a pool has a shortage, and their
    /// ages kept over a takeover. Otherwise steps are ordered by urgency, on-time before
    /// late, and latest start time. Must be called before jobs are restored.
    pub fn set_division(&mut self, is_on: bool) {
        self.divides_jobs = is_on;
        self.shortage.clear();
    }

    /// Returns the share of new jobs to refuse, in percent. It is above 0 while
    /// starts are late because jobs arrive faster than this scheduler can place
    /// them.
    pub fn refused_percent(&mut self, now: Duration) -> u32 {
        ((1.0 - self.overload.share(now)) * 100.0) as u32
    }

    /// Returns whether a job is known.
    pub fn has_job(&self, id: JobId) -> bool {
        self.jobs.contains_key(&id) || self.restored_ends.contains_key(&id)
    }

    /// Adds a step to the ready steps if its dependencies are completed.
    pub(crate) fn make_ready(&mut self, step: StepId) {
        let Some(job) = self.jobs.get(&step.job) else {
            return;
        };
        if !job.is_open() || !job.is_ready(step) {
            return;
        }
        let Some(queue) = self.configuration.queue_of_job(&job.spec) else {
            // The queue was removed from the configuration or is not in it yet.
            // These steps are checked again with the next configuration.
            self.ready.entry(String::new()).or_default().insert(step);
            return;
        };
        let pool = queue.pool.clone();
        self.ready.entry(pool).or_default().insert(step);
        self.needs_plan = true;
    }

    /// Orders a run to stop. Its resources stay reserved until the end is reported.
    pub(crate) fn stop(&mut self, key: WorkerKey, task: TaskId, attempt: u64) {
        if let Some(run) = self.run_mut(key, task, attempt) {
            if run.state == RunState::Stopping {
                return;
            }
            run.state = RunState::Stopping;
        }
        let Some(worker) = self.workers.get_mut(&key) else {
            return;
        };
        if let Some(booked) = worker.booked.get_mut(&task) {
            booked.is_stopping |= booked.attempt == attempt;
        }
        self.orders.push(WorkerOrder {
            worker: key,
            order: Order::Stop { task, attempt },
        });
    }

    pub(crate) fn run_mut(
        &mut self,
        key: WorkerKey,
        task: TaskId,
        attempt: u64,
    ) -> Option<&mut crate::Run> {
        let job = self.jobs.get_mut(&task.step.job)?;
        let state = job.task(task.step, task.index)?;
        let is_it = |run: &&mut crate::Run| run.worker == key && run.attempt == attempt;
        state.runs.iter_mut().find(is_it)
    }

    pub(crate) fn new_worker(&mut self, report: WorkerReport, now: Duration) -> WorkerKey {
        let key = WorkerKey(self.next_worker);
        self.next_worker += 1;
        let unknown_until = self.started_at + self.limits.takeover_margin;
        self.by_id.insert(report.id.clone(), key);
        self.workers
            .insert(key, Worker::new(report, unknown_until, now));
        key
    }
}
