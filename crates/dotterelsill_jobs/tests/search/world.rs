//! The store, the workers, the faults, and what must hold.

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
        Giving,
        CAPACITY,
        TTL_MS, //
    },
    fleet::{
        Running,
        Worker, //
    },
};

const WORKERS: usize = 6;
const STEP_MS: u64 = 20;
const JOBS_UNTIL_MS: u64 = 20_000;
const FAULTS_UNTIL_MS: u64 = 30_000;
const END_MS: u64 = 75_000;
const MAX_ATTEMPTS: u32 = 3;
const CAP_MILLI: u64 = 9_000;

/// What goes wrong, and which decisions are left out.
#[derive(Clone, Copy)]
pub(crate) struct Faults {
    pub(crate) judges_without_authority: bool,
    pub(crate) acknowledges_early: bool,
    pub(crate) forgets_workers: bool,
}

impl Faults {
    /// All faults of the world, none in the decisions.
    pub(crate) const ALL: Self = Self {
        judges_without_authority: false,
        acknowledges_early: false,
        forgets_workers: false,
    };
}

/// What the store keeps.
#[derive(Default)]
pub(crate) struct Store {
    pub(crate) token: u64,
    pub(crate) lease_ends_ms: u64,
    pub(crate) revision: u64,
    pub(crate) jobs: BTreeMap<JobId, JobRecord>,
    pub(crate) progress: BTreeMap<JobId, (ProgressRecord, u64)>,
    pub(crate) granted: Vec<GrantedWorker>,
}

/// An order that is carried out later than it was given.
struct Late {
    at_ms: u64,
    worker: usize,
    born_ms: u64,
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
    /// The scheduler, and those that have not noticed yet that they are not.
    drivers: Vec<Driver>,
    late: Vec<Late>,
    /// Data centre that is cut off from new schedulers.
    cut_off: Option<String>,
    next_job: u64,
    specs: BTreeMap<JobId, JobSpec>,
    /// Tasks with an end `done` that was acknowledged.
    done: BTreeMap<TaskId, u32>,
    failed: BTreeMap<TaskId, u32>,
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
            late: Vec::new(),
            cut_off: None,
            next_job: 1,
            specs: BTreeMap::new(),
            done: BTreeMap::new(),
            failed: BTreeMap::new(),
        }
    }

    /// Plays the history to its end.
    pub(crate) fn play(&mut self) -> Result<(), String> {
        while self.now_ms < END_MS {
            self.now_ms += STEP_MS;
            log::debug!("at {}", self.now_ms);
            if self.now_ms < FAULTS_UNTIL_MS {
                self.fault();
            } else {
                self.heal();
            }
            self.elect();
            if self.now_ms < JOBS_UNTIL_MS && self.random.random_ratio(1, 12) {
                self.submit();
            }
            for worker in &mut self.workers {
                worker.advance(self.now_ms);
            }
            self.carry_out_late();
            self.check()?;
            for index in 0..self.drivers.len() {
                self.drive(index)?;
            }
            self.drivers.retain(|driver| !driver.is_lost);
            self.check()?;
        }
        Ok(())
    }

    /// Returns the jobs that are stored and have not ended.
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

    fn fault(&mut self) {
        if self.chance(300) {
            let pause_ms = self.random.random_range(200..7000);
            if let Some(driver) = self.drivers.last_mut() {
                driver.paused_until_ms = self.now_ms + pause_ms;
            }
        }
        if self.chance(300) {
            // The process is gone at once.
            self.drivers.pop();
        }
        if self.chance(200) {
            let cut = format!("dc{}", self.random.random_range(0..2));
            let from_store = self.random.random_bool(0.5);
            if let Some(driver) = self.drivers.last_mut() {
                driver.cut_from = Some(cut);
                driver.is_cut_from_store = from_store;
            }
        }
        if self.chance(250) {
            // A data centre is cut off with the scheduler in it; the next one
            // reaches only the other.
            let inside = self.random.random_range(0..2);
            if let Some(driver) = self.drivers.last_mut() {
                driver.cut_from = Some(format!("dc{}", 1 - inside));
                driver.is_cut_from_store = true;
                self.cut_off = Some(format!("dc{inside}"));
            }
        }
        if self.chance(300) {
            self.cut_off = None;
            for driver in &mut self.drivers {
                driver.cut_from = None;
                driver.is_cut_from_store = false;
            }
        }
        if self.chance(200) {
            if let Some(driver) = self.drivers.last_mut() {
                driver.cut_from = None;
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

    fn heal(&mut self) {
        self.cut_off = None;
        for driver in &mut self.drivers {
            driver.cut_from = None;
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
        driver.cut_from.clone_from(&self.cut_off);
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
        self.note_reports(index);
        let driver = &mut self.drivers[index];
        if driver.is_valid(now_ms) || self.faults.judges_without_authority {
            driver.scheduler.expire_leases(at(now_ms));
        }
        driver.scheduler.open_due_jobs(at(now_ms));
        driver.scheduler.replan();
        self.look_all(index);
        self.write(index);
        let driver = &mut self.drivers[index];
        let has_authority = driver.is_valid(now_ms) || self.faults.judges_without_authority;
        driver.scheduler.set_authority(has_authority);
        for order in driver.scheduler.plan(at(now_ms)) {
            driver.giving.push(Giving {
                order,
                may_come_late: false,
                next_at_ms: now_ms,
            });
        }
        self.give_all(index)
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

    fn note_reports(&mut self, index: usize) {
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
                // The write expects the scheduler's key.
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

    /// Returns the worker that a scheduler knows under a key, with the life that
    /// it means.
    fn worker(&self, index: usize, key: WorkerKey) -> Option<usize> {
        let (id, _) = self.drivers[index].scheduler.worker_address(key)?;
        self.workers.iter().position(|worker| worker.id == id)
    }

    fn look_all(&mut self, index: usize) {
        let now_ms = self.now_ms;
        let keys: Vec<WorkerKey> = (0..200).map(WorkerKey).collect();
        for key in keys {
            let driver = &self.drivers[index];
            if !driver.scheduler.has_worker(key) {
                continue;
            }
            let next = driver.next_look_ms.get(&key).copied().unwrap_or(0);
            let Some(place) = self.worker(index, key).filter(|_| now_ms >= next) else {
                continue;
            };
            self.look(index, key, place);
        }
    }

    fn look(&mut self, index: usize, key: WorkerKey, place: usize) {
        let now_ms = self.now_ms;
        let is_lost_answer = now_ms < FAULTS_UNTIL_MS && self.random.random_ratio(1, 15);
        let driver = &mut self.drivers[index];
        driver.next_look_ms.insert(key, now_ms + 200);
        let may_extend = driver.is_valid(now_ms);
        let lease_end = driver.scheduler.lease_end(key, may_extend, at(now_ms));
        let mut acknowledged = driver.scheduler.acknowledged(key);
        if self.faults.acknowledges_early {
            acknowledged = self.workers[place].next_end - 1;
        }
        let token = driver.scheduler.token();
        let born_ms = self.workers[place].born_ms;
        let is_broken = driver
            .connected
            .insert(key, born_ms)
            .is_some_and(|born| born != born_ms);
        if !driver.reaches(&self.workers[place]) || is_broken {
            driver.scheduler.on_silence(key, at(now_ms));
            return;
        }
        let before = self.workers[place].acknowledged.len();
        let result = self.workers[place].look(token, lease_end, acknowledged, now_ms);
        for (task, attempt, outcome) in self.workers[place].acknowledged[before..].iter().copied() {
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
            Ok(mut look) => {
                look.sent_at = at(now_ms - 1);
                look.read_at = at(now_ms);
                driver.scheduler.on_worker_status(key, &look, at(now_ms));
            }
            Err(Answer::Fenced) => driver.is_lost = true,
            Err(_) => {}
        }
    }

    fn write(&mut self, index: usize) {
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
            // The answer may be lost although the change was made.
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

    fn give_all(&mut self, index: usize) -> Result<(), String> {
        let giving = std::mem::take(&mut self.drivers[index].giving);
        for mut giving in giving {
            if self.now_ms < giving.next_at_ms {
                self.drivers[index].giving.push(giving);
                continue;
            }
            let WorkerOrder { worker: key, order } = giving.order.clone();
            if !self.drivers[index].scheduler.is_wanted(key, &order) {
                continue;
            }
            match self.give(index, key, &order) {
                Some(answer) => {
                    let driver = &mut self.drivers[index];
                    if answer == Answer::Fenced {
                        driver.is_lost = true;
                        return Ok(());
                    }
                    let now = at(self.now_ms);
                    let may_come_late = giving.may_come_late;
                    let is_open =
                        driver
                            .scheduler
                            .on_answer(key, &order, answer, may_come_late, now);
                    if is_open {
                        giving.next_at_ms = self.now_ms + 300;
                        driver.giving.push(giving);
                    }
                }
                None => {
                    let driver = &mut self.drivers[index];
                    driver.scheduler.on_silence(key, at(self.now_ms));
                    giving.may_come_late = true;
                    giving.next_at_ms = self.now_ms + 300;
                    driver.giving.push(giving);
                }
            }
            self.check()?;
        }
        Ok(())
    }

    /// Gives an order; `None` when no answer comes.
    fn give(&mut self, index: usize, key: WorkerKey, order: &Order) -> Option<Answer> {
        let now_ms = self.now_ms;
        let place = self.worker(index, key)?;
        let driver = &mut self.drivers[index];
        let may_extend = driver.is_valid(now_ms);
        let lease_end_ms = match order {
            Order::Start { .. } => driver
                .scheduler
                .start_lease_end(key, may_extend, at(now_ms))?,
            Order::Stop { .. } | Order::Pace { .. } => 0,
        };
        let token = driver.scheduler.token();
        let is_connected = driver.connected.get(&key) == Some(&self.workers[place].born_ms);
        if !driver.reaches(&self.workers[place]) || !is_connected {
            return None;
        }
        if now_ms < FAULTS_UNTIL_MS && self.random.random_ratio(1, 12) {
            // Lost, or carried out seconds later.
            if self.random.random_bool(0.7) {
                self.late.push(Late {
                    at_ms: now_ms + self.random.random_range(100..9000),
                    worker: place,
                    born_ms: self.workers[place].born_ms,
                    order: order.clone(),
                    token,
                    lease_end_ms,
                });
            }
            return None;
        }
        let run = self.run_of(order);
        log::debug!("{token} to {}: {order:?}", self.workers[place].id);
        Some(self.workers[place].order(order, token, lease_end_ms, run, now_ms))
    }

    fn carry_out_late(&mut self) {
        let now_ms = self.now_ms;
        let (due, late): (Vec<Late>, Vec<Late>) =
            self.late.drain(..).partition(|late| late.at_ms <= now_ms);
        self.late = late;
        for late in due {
            let run = self.run_of(&late.order);
            let worker = &mut self.workers[late.worker];
            if worker.is_up && worker.born_ms == late.born_ms {
                log::debug!("late on {}: {:?}", worker.id, late.order);
                worker.order(&late.order, late.token, late.lease_end_ms, run, now_ms);
            }
        }
    }

    /// Returns what a start would run.
    fn run_of(&mut self, order: &Order) -> Running {
        let (task, attempt) = order.run();
        let spec = &self.specs[&task.step.job];
        Running {
            attempt,
            ends_at_ms: self.now_ms + self.random.random_range(100..1500),
            fails: self.random.random_ratio(1, 10),
            resources: spec.steps[task.step.step as usize].resources,
        }
    }

    fn check(&self) -> Result<(), String> {
        let now_ms = self.now_ms;
        let mut running: BTreeMap<TaskId, &str> = BTreeMap::new();
        let mut used_milli = 0;
        for worker in self.workers.iter().filter(|worker| worker.is_up) {
            let mut here_milli = 0;
            for (task, run) in &worker.runs {
                here_milli += run.resources.cpu_milli;
                if let Some(other) = running.insert(*task, &worker.id) {
                    let here = &worker.id;
                    return Err(format!("{now_ms}: {task} runs on {other} and {here}"));
                }
                if self.done.contains_key(task) {
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
                return Err(format!("{now_ms}: {id} runs {here_milli} milli"));
            }
            used_milli += here_milli;
        }
        if used_milli > CAP_MILLI {
            return Err(format!("{now_ms}: the workspace runs {used_milli} milli"));
        }
        Ok(())
    }

    /// Checks that the tasks of the steps before have ended. A second run of one of
    /// them may still be on its way to its stop.
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
