//! Maintenance waves on a loaded deployment: 350 instances in two pools and a standby
//! pool, long-running tasks with disruption budgets, a new scheduler and an outage of
//! the store. The decisions are those of the real scheduler; instances and workers are
//! simulated.

use std::{
    collections::BTreeMap,
    sync::Arc, //
};

use dotterelsill_jobs::{
    Configuration,
    Instance,
    InstanceAction,
    InstanceAnswer,
    InstanceOrder,
    InstanceState,
    JobId,
    Limits,
    ListedEnd,
    OperatorRequests,
    Order,
    Pool,
    RunOutcome,
    Scheduler,
    TaskId,
    Wave,
    WaveChange,
    WorkerKey,
    WorkerOrder, //
};
use dotterelsill_proto::jobs::{
    self,
    GrantedWorker,
    JobRecord,
    ProgressRecord, //
};

mod common;
use common::*;

const STEP_MS: u64 = 50;
const CAP: usize = 68;
const MAINTENANCE_MS: u64 = 2000;
const MOVE_MS: u64 = 1500;
const STATUS_MS: u64 = 1000;
const STOP_MS: u64 = 500;
const SHORT_TASK_MS: u64 = 1000;
/// Time at which the wave is requested; the long-running tasks are available before.
const WAVE_START_MS: u64 = 8000;
const LASTING_STEPS: u64 = 6;
const LASTING_TASKS: u32 = 24;
const MAY_MISS: u32 = 3;

/// Load and faults, with times since the start of the wave.
#[derive(Clone, Debug)]
struct Scenario {
    duration_ms: u64,
    max_per_worker: u32,
    /// Time until a long-running task that was started is available.
    ready_ms: u64,
    /// Short tasks that arrive in each pool in 100 ms, outside and in the burst.
    usual: u32,
    burst: u32,
    /// Time of the burst of the pool `work`.
    burst_ms: (u64, u64),
    /// Time until an order to an instance is executed.
    order_ms: u64,
    /// Times without a scheduler; another one takes over at the end of each.
    unscheduled_ms: Vec<(u64, u64)>,
    /// Time in which the store answers no call.
    store_outage_ms: (u64, u64),
}

impl Default for Scenario {
    fn default() -> Self {
        Self {
            duration_ms: 25_000,
            max_per_worker: 2,
            ready_ms: 1500,
            usual: 4,
            burst: 30,
            burst_ms: (2000, 9000),
            order_ms: 100,
            unscheduled_ms: vec![(13_000, 14_700), (19_500, 22_200)],
            store_outage_ms: (18_000, 22_000),
        }
    }
}

struct SimRun {
    attempt: u64,
    is_lasting: bool,
    since_ms: u64,
    stops_at_ms: Option<u64>,
}

struct Machine {
    pool: String,
    state: InstanceState,
    back_at_ms: u64,
    life: u64,
    key: Option<WorkerKey>,
    runs: BTreeMap<TaskId, SimRun>,
    ends: Vec<ListedEnd>,
    has_news: bool,
    maintained_ms: Option<u64>,
}

#[derive(Default)]
struct Stored {
    jobs: BTreeMap<JobId, JobRecord>,
    progress: BTreeMap<JobId, (ProgressRecord, u64)>,
    granted: Vec<GrantedWorker>,
    ordered: Vec<String>,
    wave: Option<WaveChange>,
}

struct World {
    scenario: Scenario,
    now_ms: u64,
    token: u64,
    revision: u64,
    next_job: u64,
    machines: Vec<Machine>,
    in_flight: Vec<(u64, u64, InstanceOrder)>,
    stored: Stored,
    scheduler: Option<Scheduler>,
    is_list_wanted: bool,
    /// Instances of the bursting pool whose maintenance began in its burst.
    begun_in_burst: usize,
    orders_by_second: BTreeMap<u64, usize>,
}

fn is_in_wave(index: usize) -> bool {
    index % 35 < 18
}

fn pools() -> Arc<Configuration> {
    let mut pools = (*configuration()).clone();
    pools.pools.insert("other".to_owned(), Pool::default());
    pools.queues = with_queue(&pools.queues, "patient", |queue| {
        queue.pool = "other".to_owned();
    });
    Arc::new(pools)
}

impl World {
    fn new(scenario: Scenario) -> Self {
        let machine = |index: usize| Machine {
            pool: ["work", "other", "work", "other", "off"][index % 5].to_owned(),
            state: InstanceState::Up,
            back_at_ms: 0,
            life: 1,
            key: None,
            runs: BTreeMap::new(),
            ends: Vec::new(),
            has_news: true,
            maintained_ms: None,
        };
        let mut world = Self {
            scenario,
            now_ms: 1000,
            token: 6,
            revision: 1,
            next_job: 1,
            machines: (0..350).map(machine).collect(),
            in_flight: Vec::new(),
            stored: Stored::default(),
            scheduler: None,
            is_list_wanted: true,
            begun_in_burst: 0,
            orders_by_second: BTreeMap::new(),
        };
        world.take_over();
        for index in 0..LASTING_STEPS {
            let step = jobs::Step {
                is_lasting: true,
                may_miss: MAY_MISS,
                max_per_worker: world.scenario.max_per_worker,
                ..step(LASTING_TASKS, 1000)
            };
            let queue = ["urgent", "patient"][index as usize % 2];
            world.submit(queue, step);
        }
        world
    }

    fn take_over(&mut self) {
        self.token += 1;
        let now = ms(self.now_ms);
        let limits = Limits {
            alternation_window: ms(3000),
            ..limits()
        };
        let mut next = Scheduler::new(self.token, limits, now);
        for (id, record) in &self.stored.jobs {
            let progress = self.stored.progress.get(id);
            let progress = progress.map(|(record, revision)| (record, *revision));
            next.restore(*id, record, progress, now)
                .expect("stored jobs are usable");
        }
        for granted in &self.stored.granted {
            next.restore_granted_worker(granted, now);
        }
        next.restore_ordered_instances(&self.stored.ordered);
        if let Some(wave) = &self.stored.wave {
            next.restore_wave(1, wave.started_unix, &wave.done);
        }
        next.configure(pools(), self.requests());
        self.scheduler = Some(next);
        for machine in &mut self.machines {
            machine.key = None;
            machine.has_news = true;
        }
        self.is_list_wanted = true;
    }

    fn requests(&self) -> Arc<OperatorRequests> {
        let in_wave = (0..self.machines.len()).filter(|index| is_in_wave(*index));
        let wave = Wave {
            number: 1,
            instances: in_wave.map(|index| format!("i{index}")).collect(),
            duration: ms(self.scenario.duration_ms),
            cap: CAP as u32,
        };
        let has_begun = self.now_ms >= WAVE_START_MS;
        Arc::new(OperatorRequests {
            waves: Vec::from_iter(has_begun.then_some(wave)),
            ..OperatorRequests::default()
        })
    }

    fn submit(&mut self, queue: &str, step: jobs::Step) {
        let id = JobId(self.next_job);
        self.next_job += 1;
        let record = record(queue, self.token, vec![step]);
        if let Some(scheduler) = &mut self.scheduler {
            submit(scheduler, id.0, &record, ms(self.now_ms));
            self.stored.jobs.insert(id, record);
        }
    }

    /// Returns the time since the start of the wave.
    fn wave_ms(&self) -> Option<u64> {
        self.now_ms.checked_sub(WAVE_START_MS)
    }

    fn run(&mut self) {
        while self
            .wave_ms()
            .is_none_or(|at| at < self.scenario.duration_ms)
        {
            self.now_ms += STEP_MS;
            let at = self.wave_ms();
            let is_in = |(from, to): &(u64, u64)| at.is_some_and(|at| (*from..*to).contains(&at));
            let is_scheduled = !self.scenario.unscheduled_ms.iter().any(is_in);
            let has_store = !is_in(&self.scenario.store_outage_ms);
            let is_burst = is_in(&self.scenario.burst_ms);
            self.advance_machines();
            self.execute_orders(is_burst);
            if !is_scheduled {
                self.scheduler = None;
            } else if self.scheduler.is_none() {
                self.take_over();
            } else if at == Some(0) {
                let requests = self.requests();
                self.scheduler
                    .as_mut()
                    .expect("there is a scheduler")
                    .configure(pools(), requests);
            }
            if self.scheduler.is_some() {
                self.schedule(has_store, is_burst);
            }
            self.check();
        }
    }

    fn advance_machines(&mut self) {
        let now_ms = self.now_ms;
        for machine in &mut self.machines {
            if machine.state != InstanceState::Up {
                if machine.back_at_ms <= now_ms {
                    machine.state = InstanceState::Up;
                    machine.life += 1;
                    machine.has_news = true;
                }
                continue;
            }
            let ends = &mut machine.ends;
            let before = machine.runs.len();
            machine.runs.retain(|task, run| {
                let is_stopped = run.stops_at_ms.is_some_and(|at| now_ms >= at);
                let is_done = !run.is_lasting && now_ms >= run.since_ms + SHORT_TASK_MS;
                let outcome = match is_stopped {
                    true => RunOutcome::Stopped,
                    false => RunOutcome::Done,
                };
                if is_stopped || is_done {
                    let number = ends.len() as u64 + 1;
                    ends.push(ended(number, *task, run.attempt, outcome));
                }
                !is_stopped && !is_done
            });
            let ready_ms = self.scenario.ready_ms;
            let mut runs = machine.runs.values();
            machine.has_news |= machine.runs.len() < before
                || runs.any(|run| run.is_lasting && run.since_ms + ready_ms == now_ms);
        }
    }

    fn execute_orders(&mut self, is_burst: bool) {
        let due = |(at, _, _): &mut (u64, u64, InstanceOrder)| *at <= self.now_ms;
        let arrived: Vec<_> = self.in_flight.extract_if(.., due).collect();
        for (_, token, order) in arrived {
            let down = |machine: &&Machine| machine.state == InstanceState::Maintenance;
            let down = self.machines.iter().filter(down).count();
            let index: usize = order.instance[1..].parse().expect("names are numbered");
            let machine = &mut self.machines[index];
            let is_maintenance = matches!(order.action, InstanceAction::Maintain { .. });
            let answer = if machine.state != InstanceState::Up {
                InstanceAnswer::Busy
            } else if is_maintenance && machine.maintained_ms.is_some() {
                InstanceAnswer::Done
            } else {
                let (state, takes_ms) = match &order.action {
                    InstanceAction::Move { pool } => {
                        machine.pool.clone_from(pool);
                        (InstanceState::Moving, MOVE_MS)
                    }
                    InstanceAction::Maintain { .. } => {
                        assert!(down < CAP, "more than the cap at {}", self.now_ms);
                        machine.maintained_ms = Some(self.now_ms - WAVE_START_MS);
                        self.begun_in_burst += usize::from(is_burst && machine.pool == "work");
                        (InstanceState::Maintenance, MAINTENANCE_MS)
                    }
                };
                machine.state = state;
                machine.back_at_ms = self.now_ms + takes_ms;
                machine.runs.clear();
                machine.ends.clear();
                // The pending status call fails.
                machine.has_news = true;
                InstanceAnswer::Done
            };
            let is_current = token == self.token;
            if let Some(scheduler) = self.scheduler.as_mut().filter(|_| is_current) {
                if scheduler.on_instance_answer(&order, answer, ms(self.now_ms)) {
                    self.in_flight.push((self.now_ms + 300, token, order));
                }
                self.is_list_wanted |= is_maintenance;
            }
        }
    }

    fn schedule(&mut self, has_store: bool, is_burst: bool) {
        if self.now_ms.is_multiple_of(100) {
            for queue in ["urgent", "patient"] {
                let is_busy = is_burst && queue == "urgent";
                let count = if is_busy {
                    self.scenario.burst
                } else {
                    self.scenario.usual
                };
                if count > 0 {
                    self.submit(queue, step(count, 2000));
                }
            }
        }
        if self.is_list_wanted || self.now_ms.is_multiple_of(1000) {
            self.is_list_wanted = false;
            self.list_instances();
        }
        self.read_statuses();
        let now = ms(self.now_ms);
        let scheduler = self.scheduler.as_mut().expect("there is a scheduler");
        scheduler.set_authority(has_store);
        let mut instance_orders = Vec::new();
        if has_store {
            let granted = scheduler.granted();
            scheduler.on_granted_stored(&granted);
            self.stored.granted = granted;
            for change in scheduler.take_changes(usize::MAX) {
                self.revision += 1;
                scheduler.on_stored(change.job, change.number, self.revision);
                if change.is_final {
                    self.stored.jobs.remove(&change.job);
                    self.stored.progress.remove(&change.job);
                } else {
                    let stored = (change.record, self.revision);
                    self.stored.progress.insert(change.job, stored);
                }
            }
            if self.now_ms.is_multiple_of(100) {
                instance_orders = scheduler.plan_instances(now, now);
                self.stored.ordered = scheduler.ordered_instances(now);
                for change in scheduler.wave_changes() {
                    scheduler.on_wave_stored(&change);
                    self.stored.wave = Some(change);
                }
            }
        }
        let orders = scheduler.plan(now);
        confirm(scheduler, &orders, now);
        for order in instance_orders {
            if matches!(order.action, InstanceAction::Maintain { .. }) {
                let second = (self.now_ms - WAVE_START_MS) / 1000;
                *self.orders_by_second.entry(second).or_default() += 1;
            }
            self.in_flight
                .push((self.now_ms + self.scenario.order_ms, self.token, order));
        }
        self.execute(&orders);
    }

    fn execute(&mut self, orders: &[WorkerOrder]) {
        for WorkerOrder { worker, order } in orders {
            let on = |machine: &&mut Machine| machine.key == Some(*worker);
            let Some(machine) = self.machines.iter_mut().find(on) else {
                continue;
            };
            if machine.state != InstanceState::Up {
                continue;
            }
            match order {
                Order::Start { task, attempt, .. } => {
                    let run = SimRun {
                        attempt: *attempt,
                        is_lasting: task.step.job.0 <= LASTING_STEPS,
                        since_ms: self.now_ms,
                        stops_at_ms: None,
                    };
                    machine.runs.insert(*task, run);
                }
                Order::Stop { task, .. } => {
                    if let Some(run) = machine.runs.get_mut(task) {
                        run.stops_at_ms.get_or_insert(self.now_ms + STOP_MS);
                    }
                }
                _ => {}
            }
        }
    }

    fn list_instances(&mut self) {
        let now = ms(self.now_ms);
        let scheduler = self.scheduler.as_mut().expect("there is a scheduler");
        let mut list: Vec<Instance> = Vec::new();
        for (index, machine) in self.machines.iter_mut().enumerate() {
            let mut entry = instance(index, &machine.pool, machine.state);
            entry.worker.clear();
            if machine.state == InstanceState::Up && machine.pool != "off" {
                let mut report = report(index, "dc");
                report.id = format!("w{index}-{}", machine.life);
                report.started_unix_ms = machine.life;
                report.pool.clone_from(&machine.pool);
                entry.worker.clone_from(&report.id);
                machine.key = Some(scheduler.on_report(report, now).0);
                if machine.life > 1 {
                    scheduler.on_unlisted(&format!("w{index}-{}", machine.life - 1), now);
                }
            }
            list.push(entry);
        }
        scheduler.on_instances(list, now, now);
    }

    fn read_statuses(&mut self) {
        let now = ms(self.now_ms);
        let scheduler = self.scheduler.as_mut().expect("there is a scheduler");
        for (index, machine) in self.machines.iter_mut().enumerate() {
            let is_due =
                machine.has_news || (self.now_ms + index as u64 * 50).is_multiple_of(STATUS_MS);
            let Some(key) = machine
                .key
                .filter(|key| is_due && scheduler.has_worker(*key))
            else {
                continue;
            };
            if machine.state != InstanceState::Up {
                scheduler.on_silence(key, now);
                continue;
            }
            machine.has_news = false;
            let ready_ms = self.scenario.ready_ms;
            let listed = |(task, run): (&TaskId, &SimRun)| {
                let is_ready = run.is_lasting && self.now_ms >= run.since_ms + ready_ms;
                running(*task, run.attempt, if is_ready { 100 } else { 10 })
            };
            let mut status = status_at(now);
            status.started_unix_ms = machine.life;
            status.running = machine.runs.iter().map(listed).collect();
            let acknowledged = scheduler.acknowledged(key);
            let unprocessed = machine.ends.iter().filter(|end| end.number > acknowledged);
            status.ended = unprocessed.cloned().collect();
            scheduler.on_worker_status(key, &status, now);
        }
    }

    /// Checks that no step misses more long-running tasks than it may.
    fn check(&self) {
        if self.wave_ms().is_none() {
            return;
        }
        let mut available: BTreeMap<JobId, u32> = BTreeMap::new();
        for machine in &self.machines {
            for (task, run) in &machine.runs {
                let is_ready = self.now_ms >= run.since_ms + self.scenario.ready_ms;
                if run.is_lasting && is_ready && run.stops_at_ms.is_none() {
                    *available.entry(task.step.job).or_default() += 1;
                }
            }
        }
        for job in (1..=LASTING_STEPS).map(JobId) {
            let count = available.get(&job).copied().unwrap_or(0);
            assert!(
                count + MAY_MISS >= LASTING_TASKS,
                "{count} tasks of {job} are available at {:?}",
                self.wave_ms()
            );
        }
    }

    fn left(&self) -> usize {
        let machines = self.machines.iter().enumerate();
        machines
            .filter(|(index, machine)| is_in_wave(*index) && machine.maintained_ms.is_none())
            .count()
    }
}

/// Runs a scenario and checks that the wave ends in time.
fn check_in_time(scenario: &Scenario) -> World {
    let mut world = World::new(scenario.clone());
    world.run();
    let orders = &world.orders_by_second;
    assert_eq!(
        world.left(),
        0,
        "{scenario:?}, orders by second: {orders:?}"
    );
    world
}

/// Guards against instances that are not maintained when the time of their wave is over:
/// the last ones run long-running tasks, of which few may be stopped at a time.
#[test]
fn wave_ends_in_time_with_a_new_scheduler_and_a_store_outage() {
    for (max_per_worker, ready_ms) in [(1, 1500), (2, 1500), (2, 2500)] {
        check_in_time(&Scenario {
            max_per_worker,
            ready_ms,
            ..Scenario::default()
        });
    }
}

/// Guards against budgets of long-running tasks that are exceeded where the time does not
/// suffice: each takes 5.5 s to be available again. The simulation checks the budgets.
#[test]
fn budgets_hold_where_the_time_does_not_suffice() {
    for max_per_worker in [1, 2] {
        let mut world = World::new(Scenario {
            max_per_worker,
            ready_ms: 5000,
            ..Scenario::default()
        });
        world.run();
        assert!(world.left() > 0, "the scenario is meant to be too short");
    }
}

/// Guards against a new scheduler that exceeds the cap or a budget while stops and orders
/// to instances of its predecessor still take effect. The simulation checks both.
#[test]
fn rules_hold_after_handovers_with_orders_in_flight() {
    for first_ms in (200..6000).step_by(700) {
        let handover = |at: u64| (at, at + STEP_MS);
        let mut world = World::new(Scenario {
            duration_ms: 14_000,
            order_ms: 1400,
            unscheduled_ms: vec![handover(first_ms), handover(first_ms + 4150)],
            store_outage_ms: (0, 0),
            ..Scenario::default()
        });
        world.run();
    }
}

/// Guards against a wave that takes instances from a pool in its burst, although there is
/// time to maintain them later.
#[test]
fn instances_of_a_pool_in_its_burst_come_last() {
    for max_per_worker in [1, 2] {
        let world = check_in_time(&Scenario {
            max_per_worker,
            burst: 45,
            ..Scenario::default()
        });
        // Those with long-running tasks, whose budgets need all of the time.
        let begun = world.begun_in_burst;
        assert!(
            begun <= 15,
            "{begun} instances, {:?}",
            world.orders_by_second
        );
    }
}

/// Guards against a wave that is late since it waits for the end of a shortage.
#[test]
fn wave_ends_in_time_though_a_pool_lacks_capacity_throughout() {
    check_in_time(&Scenario {
        burst: 60,
        burst_ms: (0, 25_000),
        ..Scenario::default()
    });
}

/// Guards against instances in use that are maintained before those that are switched off.
#[test]
fn switched_off_instances_come_first() {
    let mut world = World::new(Scenario {
        duration_ms: 500,
        ..Scenario::default()
    });
    world.run();
    let of_wave = world.machines.iter().enumerate();
    let of_wave = of_wave.filter(|(index, _)| is_in_wave(*index));
    let off = of_wave.filter(|(_, machine)| machine.pool == "off");
    let begun: Vec<bool> = off
        .map(|(_, machine)| machine.maintained_ms.is_some())
        .collect();
    assert!(
        begun.len() > 20 && begun.iter().all(|begun| *begun),
        "{begun:?}"
    );
}
