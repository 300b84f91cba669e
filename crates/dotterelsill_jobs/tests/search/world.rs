//! The simulated store, workers and faults, and the invariants.

use std::{
    collections::BTreeMap,
    sync::Arc, //
};

use dotterelsill_jobs::{
    Answer,
    Configuration,
    JobId,
    JobSpec,
    Order,
    Pool,
    Queue,
    Resources,
    RunOutcome,
    TaskId,
    WorkerKey,
    WorkerOrder,
    Workspace,
    FORMAT, //
};
use dotterelsill_proto::jobs::{
    self,
    GrantedWorker,
    JobRecord,
    Phase,
    ProgressRecord, //
};
use rand::{
    rngs::StdRng,
    RngExt as _,
    SeedableRng as _, //
};

use crate::{
    driver::{
        at,
        report,
        Driver,
        PendingOrder,
        CAPACITY,
        TTL_MS, //
    },
    fleet::{
        ActiveRun,
        Worker, //
    }, //
};

const WORKERS: usize = 6;
const STEP_MS: u64 = 20;
const JOBS_UNTIL_MS: u64 = 20_000;
const FAULTS_UNTIL_MS: u64 = 30_000;
const END_MS: u64 = 75_000;
const MAX_ATTEMPTS: u32 = 3;
const CAP_MILLI: u64 = 9_000;

/// Bugs that are injected into the scheduler's environment; all other faults always
/// occur.
#[derive(Clone, Copy)]
pub(crate) struct Faults {
    pub(crate) judges_without_authority: bool,
    pub(crate) acknowledges_early: bool,
    pub(crate) forgets_workers: bool,
}

impl Faults {
    /// All faults of the environment, without injected bugs.
    pub(crate) const ALL: Self = Self {
        judges_without_authority: false,
        acknowledges_early: false,
        forgets_workers: false,
    };
}

/// Contents of the store.
#[derive(Default)]
pub(crate) struct Store {
    pub(crate) token: u64,
    pub(crate) lease_ends_ms: u64,
    pub(crate) revision: u64,
    pub(crate) jobs: BTreeMap<JobId, JobRecord>,
    pub(crate) progress: BTreeMap<JobId, (ProgressRecord, u64)>,
    pub(crate) granted: Vec<GrantedWorker>,
}

/// An order that is executed some time after it was sent.
struct DelayedOrder {
    at_ms: u64,
    worker: usize,
    started_ms: u64,
    order: Order,
    token: u64,
    lease_end_ms: u64,
}

pub(crate) struct World {
    random: StdRng,
    faults: Faults,
    now_ms: u64,
    pub(crate) store: Store,
    workers: Vec<Worker>,
    configuration: Arc<Configuration>,
    /// The current scheduler last, and earlier ones that have not noticed their
    /// loss yet.
    drivers: Vec<Driver>,
    delayed: Vec<DelayedOrder>,
    /// Data centre that new schedulers cannot reach.
    cut_off: Option<String>,
    next_job: u64,
    specs: BTreeMap<JobId, JobSpec>,
    /// Tasks whose end `done` was acknowledged.
    done: BTreeMap<TaskId, u64>,
    failed: BTreeMap<TaskId, u32>,
    /// Whether runs report their progress, some runs and one worker at a time are slow,
    /// and some steps may have two runs of a task at once.
    has_slow_runs: bool,
    /// Number of starts beside another run of the task.
    pub(crate) copies: usize,
    /// Number of runs that were stopped to be started elsewhere.
    pub(crate) moves: u64,
    /// Violation at a start.
    violation: Option<String>,
}

fn configuration() -> Configuration {
    let queue = Queue {
        name: "queue".to_owned(),
        host: "host".to_owned(),
        path_prefix: "/".to_owned(),
        pool: "pool".to_owned(),
        urgency: 0,
        max_attempts: MAX_ATTEMPTS,
        slack_factor: 1.6,
        target: at(600),
        is_open: false,
        advisor: None,
    };
    let cap = Resources {
        cpu_milli: CAP_MILLI,
        ..Resources::default()
    };
    let mut configuration = Configuration {
        version: 1,
        queues: [queue].into_iter().collect(),
        ..Configuration::default()
    };
    configuration
        .pools
        .insert("pool".to_owned(), Pool::default());
    configuration
        .workspaces
        .insert("red".to_owned(), Workspace { weight: 1, cap });
    configuration
}

impl World {
    pub(crate) fn new(seed: u64, faults: Faults) -> Self {
        let mut random = StdRng::seed_from_u64(seed);
        let workers = (0..WORKERS)
            .map(|index| Worker::new(index, random.random_range(0..=20)))
            .collect();
        Self {
            random,
            faults,
            now_ms: 1000,
            store: Store::default(),
            workers,
            configuration: Arc::new(configuration()),
            drivers: Vec::new(),
            delayed: Vec::new(),
            cut_off: None,
            next_job: 1,
            specs: BTreeMap::new(),
            done: BTreeMap::new(),
            failed: BTreeMap::new(),
            has_slow_runs: false,
            copies: 0,
            moves: 0,
            violation: None,
        }
    }

    /// Creates a world in which runs are slow.
    pub(crate) fn with_slow_runs(seed: u64) -> Self {
        Self {
            has_slow_runs: true,
            ..Self::new(seed, Faults::ALL)
        }
    }

    /// Runs the simulation to its end.
    pub(crate) fn run(&mut self) -> Result<(), String> {
        while self.now_ms < END_MS {
            self.now_ms += STEP_MS;
            log::debug!("at {}", self.now_ms);
            if self.now_ms < FAULTS_UNTIL_MS {
                self.inject_faults();
            } else {
                self.end_faults();
            }
            self.elect();
            if self.now_ms < JOBS_UNTIL_MS && self.random.random_ratio(1, 12) {
                self.submit();
            }
            for worker in &mut self.workers {
                worker.advance(self.now_ms);
            }
            self.execute_delayed();
            self.check_invariants()?;
            for index in 0..self.drivers.len() {
                self.drive(index)?;
            }
            self.drivers.retain(|driver| !driver.is_lost);
            self.check_invariants()?;
        }
        Ok(())
    }

    /// Returns the stored jobs that have not ended.
    pub(crate) fn open_jobs(&self) -> Vec<JobId> {
        let is_open = |id: &&JobId| {
            let progress = self.store.progress.get(id);
            progress.is_none_or(|(record, _)| record.phase() == Phase::Open)
        };
        self.store.jobs.keys().filter(is_open).copied().collect()
    }

    fn chance(&mut self, one_in: u32) -> bool {
        self.random.random_ratio(1, one_in)
    }

    fn inject_faults(&mut self) {
        if self.chance(300) {
            let pause_ms = self.random.random_range(200..7000);
            if let Some(driver) = self.drivers.last_mut() {
                driver.paused_until_ms = self.now_ms + pause_ms;
            }
        }
        if self.chance(300) {
            // The process crashes.
            self.drivers.pop();
        }
        if self.chance(200) {
            let cut = format!("dc{}", self.random.random_range(0..2));
            let from_store = self.random.random_bool(0.5);
            if let Some(driver) = self.drivers.last_mut() {
                driver.unreachable_data_centre = Some(cut);
                driver.is_cut_from_store = from_store;
            }
        }
        if self.chance(250) {
            // The scheduler is partitioned together with one data centre; the next
            // scheduler reaches only the other one.
            let inside = self.random.random_range(0..2);
            if let Some(driver) = self.drivers.last_mut() {
                driver.unreachable_data_centre = Some(format!("dc{}", 1 - inside));
                driver.is_cut_from_store = true;
                self.cut_off = Some(format!("dc{inside}"));
            }
        }
        if self.chance(300) {
            self.cut_off = None;
            for driver in &mut self.drivers {
                driver.unreachable_data_centre = None;
                driver.is_cut_from_store = false;
            }
        }
        if self.chance(200) {
            if let Some(driver) = self.drivers.last_mut() {
                driver.unreachable_data_centre = None;
                driver.is_cut_from_store = false;
            }
        }
        if self.chance(150) {
            let index = self.random.random_range(0..WORKERS);
            self.workers[index].is_up = false;
            self.workers[index].runs.clear();
        }
        if self.chance(100) {
            let index = self.random.random_range(0..WORKERS);
            if !self.workers[index].is_up {
                self.workers[index].restart(self.now_ms);
            }
        }
    }

    fn end_faults(&mut self) {
        self.cut_off = None;
        for driver in &mut self.drivers {
            driver.unreachable_data_centre = None;
            driver.is_cut_from_store = false;
        }
        for worker in &mut self.workers {
            if !worker.is_up {
                worker.restart(self.now_ms);
            }
        }
    }

    fn elect(&mut self) {
        if self.now_ms < self.store.lease_ends_ms {
            return;
        }
        self.store.revision += 1;
        self.store.token = self.store.revision;
        self.store.lease_ends_ms = self.now_ms + TTL_MS;
        log::debug!("takeover {}", self.store.token);
        let mut driver = Driver::take_over(&self.store, &self.configuration, self.now_ms);
        driver.unreachable_data_centre.clone_from(&self.cut_off);
        self.drivers.push(driver);
    }

    fn submit(&mut self) {
        let id = JobId(self.next_job);
        self.next_job += 1;
        let step = |random: &mut StdRng, after: Vec<u32>| jobs::Step {
            count: random.random_range(1..4),
            room: Some(jobs::Room {
                cpu_milli: random.random_range(1..4) * 700,
                memory_mb: 10,
                accelerators: 0,
            }),
            estimated_ms: 700,
            after,
            ..jobs::Step::default()
        };
        let mut steps = vec![step(&mut self.random, vec![])];
        if self.random.random_bool(0.5) {
            steps.push(step(&mut self.random, vec![0]));
        }
        if self.has_slow_runs {
            for step in &mut steps {
                step.is_speculative = self.random.random_bool(0.5);
            }
        }
        let home = if self.random.random_bool(0.7) {
            format!("dc{}", self.random.random_range(0..2))
        } else {
            String::new()
        };
        let record = JobRecord {
            format: FORMAT,
            queue: "queue".to_owned(),
            workspace: "red".to_owned(),
            spec: "text".to_owned(),
            steps,
            accepted_token: self.store.token,
            home,
            ..JobRecord::default()
        };
        let now_ms = self.now_ms;
        let token = self.store.token;
        let current = self.drivers.last_mut().filter(|driver| {
            driver.scheduler.token() == token
                && !driver.is_cut_from_store
                && driver.paused_until_ms <= now_ms
        });
        let Some(driver) = current else {
            return;
        };
        let spec = JobSpec::try_from(&record).expect("the job is usable");
        self.store.jobs.insert(id, record);
        self.specs.insert(id, spec.clone());
        driver.scheduler.submit(id, spec, at(now_ms), at(now_ms));
    }

    fn drive(&mut self, index: usize) -> Result<(), String> {
        let now_ms = self.now_ms;
        if self.drivers[index].paused_until_ms > now_ms || self.drivers[index].is_lost {
            return Ok(());
        }
        self.renew(index);
        self.read_registrations(index);
        let driver = &mut self.drivers[index];
        if driver.is_valid(now_ms) || self.faults.judges_without_authority {
            driver.scheduler.expire_leases(at(now_ms));
        }
        driver.scheduler.open_due_jobs(at(now_ms));
        driver.scheduler.replan();
        self.poll_workers(index);
        self.store_changes(index);
        let driver = &mut self.drivers[index];
        let has_authority = driver.is_valid(now_ms) || self.faults.judges_without_authority;
        driver.scheduler.set_authority(has_authority);
        for order in driver.scheduler.plan(at(now_ms)) {
            driver.pending.push(PendingOrder {
                order,
                may_come_late: false,
                next_at_ms: now_ms,
            });
        }
        self.moves += driver.scheduler.take_run_counts().runs_moved;
        self.send_pending(index)
    }

    fn renew(&mut self, index: usize) {
        let driver = &mut self.drivers[index];
        let is_current = driver.scheduler.token() == self.store.token;
        if driver.is_cut_from_store {
            return;
        }
        if is_current && self.now_ms < self.store.lease_ends_ms {
            self.store.lease_ends_ms = self.now_ms + TTL_MS;
            driver.valid_until_ms = self.now_ms + TTL_MS - TTL_MS / 50;
        } else if !is_current {
            driver.is_lost = true;
        }
    }

    fn read_registrations(&mut self, index: usize) {
        let now_ms = self.now_ms;
        let driver = &mut self.drivers[index];
        if driver.is_cut_from_store || driver.is_lost || now_ms < driver.next_report_ms {
            return;
        }
        driver.next_report_ms = now_ms + 300;
        for worker in &self.workers {
            if worker.is_up {
                driver.scheduler.on_report(report(worker), at(now_ms));
            } else {
                driver.scheduler.on_unlisted(&worker.id, at(now_ms));
            }
        }
        if driver.scheduler.has_granted_change() {
            if driver.scheduler.token() != self.store.token {
                // The write is conditional on the scheduler's key.
                driver.is_lost = true;
                return;
            }
            let granted = driver.scheduler.granted();
            driver.scheduler.on_granted_stored(&granted);
            self.store.granted = if self.faults.forgets_workers {
                Vec::new()
            } else {
                granted
            };
        }
    }

    /// Returns the index of the worker that a scheduler knows under a key.
    fn worker(&self, index: usize, key: WorkerKey) -> Option<usize> {
        let (id, _) = self.drivers[index].scheduler.worker_address(key)?;
        self.workers.iter().position(|worker| worker.id == id)
    }

    fn poll_workers(&mut self, index: usize) {
        let now_ms = self.now_ms;
        let keys: Vec<WorkerKey> = (0..200).map(WorkerKey).collect();
        for key in keys {
            let driver = &self.drivers[index];
            if !driver.scheduler.has_worker(key) {
                continue;
            }
            let next = driver.next_poll_ms.get(&key).copied().unwrap_or(0);
            let Some(worker_index) = self.worker(index, key).filter(|_| now_ms >= next) else {
                continue;
            };
            self.read_status(index, key, worker_index);
        }
    }

    fn read_status(&mut self, index: usize, key: WorkerKey, worker_index: usize) {
        let now_ms = self.now_ms;
        let is_lost_answer = now_ms < FAULTS_UNTIL_MS && self.random.random_ratio(1, 15);
        let driver = &mut self.drivers[index];
        driver.next_poll_ms.insert(key, now_ms + 200);
        let may_extend = driver.is_valid(now_ms);
        let lease_end = driver.scheduler.lease_end(key, may_extend, at(now_ms));
        let mut acknowledged = driver.scheduler.acknowledged(key);
        if self.faults.acknowledges_early {
            acknowledged = self.workers[worker_index].next_end - 1;
        }
        let token = driver.scheduler.token();
        let started_ms = self.workers[worker_index].started_ms;
        let is_broken = driver
            .connected
            .insert(key, started_ms)
            .is_some_and(|started| started != started_ms);
        if !driver.reaches(&self.workers[worker_index]) || is_broken {
            driver.scheduler.on_silence(key, at(now_ms));
            return;
        }
        let before = self.workers[worker_index].acknowledged.len();
        let result = self.workers[worker_index].status(token, lease_end, acknowledged, now_ms);
        for (task, attempt, outcome) in self.workers[worker_index].acknowledged[before..]
            .iter()
            .copied()
        {
            match outcome {
                RunOutcome::Done => {
                    self.done.insert(task, attempt);
                }
                RunOutcome::Failed => *self.failed.entry(task).or_default() += 1,
                _ => {}
            }
        }
        match result {
            Ok(_) if is_lost_answer => driver.scheduler.on_silence(key, at(now_ms)),
            Ok(mut status) => {
                status.sent_at = at(now_ms - 1);
                status.read_at = at(now_ms);
                driver.scheduler.on_worker_status(key, &status, at(now_ms));
            }
            Err(Answer::Fenced) => driver.is_lost = true,
            Err(_) => {}
        }
    }

    fn store_changes(&mut self, index: usize) {
        if self.drivers[index].is_cut_from_store || !self.random.random_ratio(1, 4) {
            return;
        }
        let driver = &mut self.drivers[index];
        let is_current = driver.scheduler.token() == self.store.token;
        for change in driver.scheduler.take_changes(10) {
            if !is_current {
                driver.is_lost = true;
                return;
            }
            let stored = self.store.progress.get(&change.job);
            let revision = stored.map_or(0, |(_, revision)| *revision);
            if revision != change.expected_revision {
                driver.scheduler.on_revision_conflict(change.job, revision);
                continue;
            }
            self.store.revision += 1;
            let entry = (change.record.clone(), self.store.revision);
            self.store.progress.insert(change.job, entry);
            // The response may be lost although the write was executed.
            if self.now_ms < FAULTS_UNTIL_MS && self.random.random_ratio(1, 10) {
                driver.scheduler.on_not_stored(change.job);
            } else {
                let revision = self.store.revision;
                driver
                    .scheduler
                    .on_stored(change.job, change.number, revision);
            }
        }
    }

    fn send_pending(&mut self, index: usize) -> Result<(), String> {
        let pending = std::mem::take(&mut self.drivers[index].pending);
        for mut pending in pending {
            if self.now_ms < pending.next_at_ms {
                self.drivers[index].pending.push(pending);
                continue;
            }
            let WorkerOrder { worker: key, order } = pending.order.clone();
            let now = at(self.now_ms);
            let scheduler = &mut self.drivers[index].scheduler;
            if !scheduler.may_send(key, &order, pending.may_come_late, now) {
                continue;
            }
            match self.send_order(index, key, &order) {
                Some(answer) => {
                    let driver = &mut self.drivers[index];
                    if answer == Answer::Fenced {
                        driver.is_lost = true;
                        return Ok(());
                    }
                    let now = at(self.now_ms);
                    let may_come_late = pending.may_come_late;
                    let is_open =
                        driver
                            .scheduler
                            .on_answer(key, &order, answer, may_come_late, now);
                    if is_open {
                        pending.next_at_ms = self.now_ms + 300;
                        driver.pending.push(pending);
                    }
                }
                None => {
                    let driver = &mut self.drivers[index];
                    driver.scheduler.on_silence(key, at(self.now_ms));
                    pending.may_come_late = true;
                    pending.next_at_ms = self.now_ms + 300;
                    driver.pending.push(pending);
                }
            }
            self.check_invariants()?;
        }
        Ok(())
    }

    /// Sends an order; returns `None` if no response arrives.
    fn send_order(&mut self, index: usize, key: WorkerKey, order: &Order) -> Option<Answer> {
        let now_ms = self.now_ms;
        let worker_index = self.worker(index, key)?;
        let driver = &mut self.drivers[index];
        let may_extend = driver.is_valid(now_ms);
        let lease_end_ms = match order {
            Order::Start { task, .. } => {
                let scheduler = &mut driver.scheduler;
                let terms = scheduler.start_terms(key, *task, may_extend, at(now_ms))?;
                terms.lease_end_ms
            }
            Order::Stop { .. } | Order::Pace { .. } => 0,
        };
        let token = driver.scheduler.token();
        let is_connected =
            driver.connected.get(&key) == Some(&self.workers[worker_index].started_ms);
        if !driver.reaches(&self.workers[worker_index]) || !is_connected {
            return None;
        }
        if now_ms < FAULTS_UNTIL_MS && self.random.random_ratio(1, 12) {
            // The order is lost, or executed up to seconds later.
            if self.random.random_bool(0.7) {
                self.delayed.push(DelayedOrder {
                    at_ms: now_ms + self.random.random_range(100..9000),
                    worker: worker_index,
                    started_ms: self.workers[worker_index].started_ms,
                    order: order.clone(),
                    token,
                    lease_end_ms,
                });
            }
            return None;
        }
        log::debug!("{token} to {}: {order:?}", self.workers[worker_index].id);
        Some(self.execute(worker_index, order, token, lease_end_ms))
    }

    fn execute_delayed(&mut self) {
        let now_ms = self.now_ms;
        let (due, delayed): (Vec<DelayedOrder>, Vec<DelayedOrder>) = self
            .delayed
            .drain(..)
            .partition(|delayed| delayed.at_ms <= now_ms);
        self.delayed = delayed;
        for delayed in due {
            let worker = &self.workers[delayed.worker];
            if worker.is_up && worker.started_ms == delayed.started_ms {
                log::debug!("delayed order on {}: {:?}", worker.id, delayed.order);
                self.execute(
                    delayed.worker,
                    &delayed.order,
                    delayed.token,
                    delayed.lease_end_ms,
                );
            } else {
                // Each order takes the same random numbers.
                self.run_for(delayed.worker, &delayed.order);
            }
        }
    }

    /// Executes an order on a worker, and checks what it starts.
    fn execute(&mut self, index: usize, order: &Order, token: u64, lease_end_ms: u64) -> Answer {
        let run = self.run_for(index, order);
        let (task, attempt) = order.run();
        let active = |worker: &Worker| worker.runs.get(&task).map(|run| run.attempt);
        let before = active(&self.workers[index]);
        let answer = self.workers[index].execute(order, token, lease_end_ms, run, self.now_ms);
        let worker = &self.workers[index];
        if before.is_some() || active(worker) != Some(attempt) {
            return answer;
        }
        let mut others = self.workers.iter().filter(|other| other.id != worker.id);
        self.copies += usize::from(others.any(|other| active(other).is_some()));
        if self.done.contains_key(&task) {
            let text = format!("{}: {task} starts after its end", self.now_ms);
            self.violation.get_or_insert(text);
        }
        answer
    }

    /// Returns the run that a start order begins.
    fn run_for(&mut self, index: usize, order: &Order) -> ActiveRun {
        let (task, attempt) = order.run();
        let (mut factor, mut divisor) = (1, 1);
        if self.has_slow_runs {
            // All jobs end in time although some runs take longer.
            divisor = 3;
            let slow_worker = (self.now_ms / 5000) as usize % WORKERS;
            let is_slow = slow_worker == index || self.random.random_ratio(1, 6);
            factor = if is_slow { 7 } else { 1 };
        }
        let spec = &self.specs[&task.step.job];
        ActiveRun {
            attempt,
            begins_at_ms: self.has_slow_runs.then_some(self.now_ms),
            ends_at_ms: self.now_ms + self.random.random_range(100..1500) * factor / divisor,
            fails: self.random.random_ratio(1, 10),
            resources: spec.steps[task.step.step as usize].resources,
        }
    }

    fn check_invariants(&self) -> Result<(), String> {
        if let Some(violation) = &self.violation {
            return Err(violation.clone());
        }
        let now_ms = self.now_ms;
        let mut running: BTreeMap<TaskId, &str> = BTreeMap::new();
        let mut copied: BTreeMap<TaskId, &str> = BTreeMap::new();
        let mut used_milli = 0;
        for worker in self.workers.iter().filter(|worker| worker.is_up) {
            let mut here_milli = 0;
            for (task, run) in &worker.runs {
                here_milli += run.resources.cpu_milli;
                let step = &self.specs[&task.step.job].steps[task.step.step as usize];
                if let Some(other) = running.insert(*task, &worker.id) {
                    let here = &worker.id;
                    if !step.is_speculative || copied.insert(*task, other).is_some() {
                        return Err(format!("{now_ms}: {task} runs on {other} and {here}"));
                    }
                }
                // The other run of a speculative task goes on until its stop arrives.
                if self.done.contains_key(task) && !step.is_speculative {
                    return Err(format!("{now_ms}: {task} runs after its end"));
                }
                let failed = self.failed.get(task).copied().unwrap_or(0);
                if failed >= MAX_ATTEMPTS {
                    return Err(format!("{now_ms}: {task} runs after {failed} failed runs"));
                }
                self.check_order(*task)?;
            }
            if here_milli > CAPACITY.cpu_milli {
                let id = &worker.id;
                return Err(format!("{now_ms}: {id} uses {here_milli} millicores"));
            }
            used_milli += here_milli;
        }
        if used_milli > CAP_MILLI {
            return Err(format!(
                "{now_ms}: the workspace uses {used_milli} millicores"
            ));
        }
        Ok(())
    }

    /// Checks that the tasks of all dependencies were completed. A second run of
    /// one of them may still be active until its stop arrives.
    fn check_order(&self, task: TaskId) -> Result<(), String> {
        let has_ended = |task: &TaskId| {
            let done = |worker: &Worker| worker.ever_done.contains(task);
            self.workers.iter().any(done)
        };
        let spec = &self.specs[&task.step.job];
        for &after in &spec.steps[task.step.step as usize].after {
            for index in 0..spec.steps[after as usize].count {
                let before = dotterelsill_jobs::StepId {
                    step: after,
                    ..task.step
                };
                let before = before.task(index);
                if !has_ended(&before) {
                    return Err(format!(
                        "{}: {task} runs before {before} ended",
                        self.now_ms
                    ));
                }
            }
        }
        Ok(())
    }
}
