//! The simulated network and faults, and the events between schedulers, workers and the
//! store.

use std::{
    collections::{
        BTreeMap,
        BTreeSet,
        VecDeque, //
    },
    sync::Arc,
    time::Duration, //
};

use dotterelsill_jobs::{
    Configuration,
    Instance,
    InstanceState,
    JobChange,
    JobId,
    JobSpec,
    Order,
    Pool,
    Queue,
    Recipient,
    Resources,
    Route,
    RunOutcome,
    StepId,
    TaskId,
    WorkerReport,
    FORMAT, //
};
use dotterelsill_proto::jobs::{
    self,
    GrantedWorker,
    JobRecord, //
};
use rand::{
    rngs::StdRng,
    RngExt as _,
    SeedableRng as _, //
};

use crate::{
    calls::{
        Call,
        CallBody,
        CallResult,
        ClientId,
        Clients,
        DISPATCH_MARGIN_MS,
        MAX_HEARTBEAT_AGE_MS,
        ORDER_TIMEOUT_MS, //
    },
    driver::{
        at,
        Driver,
        TTL_MS, //
    },
    rules::Rules,
    store::{
        Store,
        Written, //
    },
    worker::{
        ActiveRun,
        Worker, //
    }, //
};

pub(crate) const WORKERS: usize = 4;
const STEP_MS: u64 = 10;
const LENGTH_MS: u64 = 30_000;
const SNAPSHOT_MS: u64 = 100;

/// Interval at which workers write their registrations.
const HEARTBEAT_MS: u64 = 300;

/// Interval at which registrations of silent workers are removed.
const EXPIRY_MS: u64 = 1500;

/// Maximum delay until the list of instances shows a change.
const LIST_LAG_MS: u64 = 1500;

/// Time after which a run ends that waits for the rest of its gang.
const GANG_TIMEOUT_MS: u64 = 3000;

/// First port of the workers, and the number of ports that they use in turn.
const FIRST_PORT: u16 = 1000;
const PORTS: u16 = WORKERS as u16 + 2;

/// Maximum time for which changes are stored before scheduling is handed over.
const FLUSH_MS: u64 = 1000;

/// Total resources of each worker.
const CAPACITY: Resources = Resources {
    cpu_milli: 4000,
    memory_mb: 4000,
    accelerators: 0,
};

/// What may happen to the schedulers and workers.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Environment {
    /// Workers crash, and restart under their identifiers.
    pub(crate) restarts: bool,
    /// Schedulers read the platform's list of instances.
    pub(crate) lists: bool,
    /// Schedulers lose the store, freeze or crash, and others take over.
    pub(crate) takeovers: bool,
    /// Calls are made over dispatchers.
    pub(crate) dispatchers: bool,
    /// Jobs are cancelled, so that runs are stopped.
    pub(crate) cancels: bool,
    /// Workers that restart may have another address, and that of another worker.
    pub(crate) moves: bool,
    /// Tasks form gangs, and tasks with a tail latency run beside fillers, which are paced.
    pub(crate) gangs_and_fillers: bool,
    /// Schedulers hand over in order.
    pub(crate) hand_overs: bool,
    /// Workers accept connections before they serve.
    pub(crate) early_listening: bool,
    /// Some workers close each connection after their answer.
    pub(crate) closed_connections: bool,
    /// Runs report their progress, some runs and one worker at a time are slow, and some
    /// steps may have two runs of a task at once.
    pub(crate) slow_runs: bool,
}

/// Bugs that are injected into the loops of the schedulers.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct Bugs {
    /// Ends are acknowledged before their effects are stored.
    pub(crate) acknowledges_early: bool,
    /// Ends of the life before are acknowledged to a worker that was silent.
    pub(crate) acknowledges_to_another_life: bool,
    /// Runs on a worker that gives no answer for some time count as ended.
    pub(crate) gives_up_without_proof: bool,
    /// Leases are judged by a scheduler whose own lease may have ended.
    pub(crate) judges_without_authority: bool,
    /// Starts are sent over any connection.
    pub(crate) starts_on_any_connection: bool,
}

#[derive(Clone, Debug)]
enum Event {
    ArriveAtDispatcher(u64),
    /// A call that was held up on its way reaches the worker that listens then.
    PassOn(u64),
    Execute(u64),
    ArriveAtClient(u64, CallResult),
    TimeOutAtClient(u64),
    ArriveAtScheduler(u64, CallResult),
    Store {
        token: u64,
        change: JobChange,
        is_lost: bool,
    },
    /// A write whose answer nobody waits for any more.
    StoreLate {
        token: u64,
        change: JobChange,
    },
    Stored {
        token: u64,
        change: JobChange,
        written: Written,
    },
    StoreGranted {
        token: u64,
        granted: Vec<GrantedWorker>,
        is_lost: bool,
    },
    GrantedStored {
        token: u64,
        granted: Option<Vec<GrantedWorker>>,
    },
}

pub(crate) struct World {
    pub(crate) random: StdRng,
    pub(crate) environment: Environment,
    pub(crate) bugs: Bugs,
    pub(crate) now_ms: u64,
    pub(crate) store: Store,
    pub(crate) workers: Vec<Worker>,
    pub(crate) rules: Rules,
    configuration: Arc<Configuration>,
    pub(crate) drivers: Vec<Driver>,
    /// Data centre that new schedulers cannot reach.
    cut_off: Option<usize>,
    /// A scheduler that was elected and reads the store until a time.
    restoring: Option<(u64, u64)>,
    events: BTreeMap<(u64, u64), Event>,
    next_number: u64,
    pub(crate) calls: BTreeMap<u64, Call>,
    pub(crate) clients: Clients,
    /// Calls whose senders still wait for them.
    pub(crate) awaited: BTreeSet<u64>,
    /// Calls whose responses are lost.
    loses_answer: BTreeSet<u64>,
    /// Calls over connections that workers which are down have accepted, with their ports.
    early_calls: Vec<(u16, u64)>,
    /// Status requests that wait for an end at a worker until a time.
    waiting: Vec<(u64, u64)>,
    /// Workers that each dispatcher cannot reach.
    unreachable: Vec<Vec<bool>>,
    /// Time at which the last message on each link arrives, by direction.
    link_arrivals: BTreeMap<(u64, bool), u64>,
    /// Orders that wait for their turn at a dispatcher, by client; the first is under
    /// way.
    turns: BTreeMap<ClientId, VecDeque<u64>>,
    /// Highest token that each dispatcher has seen.
    highest_token: Vec<u64>,
    /// Which workers were up, at each interval.
    snapshots: Vec<Vec<bool>>,
    next_job: u64,
    specs: BTreeMap<JobId, JobSpec>,
    pub(crate) counts: WorldCounts,
}

/// Numbers of what happened besides starts and ends.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct WorldCounts {
    /// Gangs that were complete.
    pub(crate) gangs: usize,
    /// Copies that were started, and runs that were moved.
    pub(crate) copies: u64,
    pub(crate) moved_runs: u64,
    /// Pace orders that arrived.
    pub(crate) paces: usize,
    /// Calls that were answered by another worker.
    pub(crate) other_workers: usize,
    /// Schedulers that handed over in order.
    pub(crate) hand_overs: usize,
}

fn configuration() -> Configuration {
    let queue = Queue {
        name: "queue".to_owned(),
        host: "host".to_owned(),
        path_prefix: "/".to_owned(),
        pool: "pool".to_owned(),
        urgency: 0,
        max_attempts: 50,
        slack_factor: 1.6,
        target: at(600),
        is_open: false,
        advisor: None,
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
}

pub(crate) fn address_of(port: u16) -> String {
    format!("127.0.0.1:{port}")
}

fn dispatcher_index(route: Route) -> Option<usize> {
    let Route::Over(std::net::SocketAddr::V4(address)) = route else {
        return None;
    };
    Some(usize::from(address.ip().octets()[3]) - 1)
}

impl World {
    pub(crate) fn new(seed: u64, environment: Environment, bugs: Bugs) -> Self {
        let mut random = StdRng::seed_from_u64(seed);
        let workers = (0..WORKERS)
            .map(|index| Worker::new(index, random.random_range(0..=20)))
            .collect();
        Self {
            random,
            environment,
            bugs,
            now_ms: 1000,
            store: Store {
                registered: (0..WORKERS as u16)
                    .map(|index| Some((1, FIRST_PORT + index)))
                    .collect(),
                ..Store::default()
            },
            workers,
            rules: Rules::default(),
            configuration: Arc::new(configuration()),
            drivers: Vec::new(),
            cut_off: None,
            restoring: None,
            events: BTreeMap::new(),
            next_number: 0,
            calls: BTreeMap::new(),
            clients: Clients::default(),
            awaited: BTreeSet::new(),
            loses_answer: BTreeSet::new(),
            early_calls: Vec::new(),
            waiting: Vec::new(),
            unreachable: vec![vec![false; WORKERS]; 2],
            link_arrivals: BTreeMap::new(),
            turns: BTreeMap::new(),
            highest_token: vec![0; 2],
            snapshots: vec![vec![true; WORKERS]],
            next_job: 1,
            specs: BTreeMap::new(),
            counts: WorldCounts::default(),
        }
    }

    /// Runs the simulation until its end or a violation.
    pub(crate) fn run(&mut self) -> Result<(), String> {
        while self.now_ms < LENGTH_MS {
            let until_ms = self.now_ms + STEP_MS;
            while let Some(entry) = self.events.first_entry() {
                let due_ms = entry.key().0;
                if due_ms > until_ms {
                    break;
                }
                let event = entry.remove();
                self.now_ms = self.now_ms.max(due_ms);
                self.handle(event);
            }
            self.now_ms = until_ms;
            self.inject_faults();
            self.elect();
            self.submit();
            for worker in &mut self.workers {
                if worker.is_up {
                    worker.advance(until_ms, &mut self.rules);
                }
            }
            self.advance_gangs();
            self.answer_waiting();
            self.drive_all();
            self.rules.check_runs(&self.workers);
            if let Some(violation) = &self.rules.violation {
                return Err(format!("at {until_ms} ms: {violation}"));
            }
        }
        Ok(())
    }

    pub(crate) fn chance(&mut self, one_in: u32) -> bool {
        self.random.random_ratio(1, one_in)
    }

    pub(crate) fn number(&mut self) -> u64 {
        self.next_number += 1;
        self.next_number
    }

    fn schedule(&mut self, at_ms: u64, event: Event) {
        let number = self.number();
        self.events.insert((at_ms, number), event);
    }

    fn schedule_in(&mut self, delay_ms: std::ops::Range<u64>, event: Event) {
        let at_ms = self.now_ms + self.random.random_range(delay_ms);
        self.schedule(at_ms, event);
    }

    /// Latency of one way between two machines: a few milliseconds, at times much more.
    fn latency(&mut self) -> u64 {
        if self.chance(25) {
            self.random.random_range(20..500)
        } else {
            self.random.random_range(1..6)
        }
    }

    /// Returns when a message on the link of a call arrives. The dispatcher may be slow;
    /// messages in one direction do not overtake each other.
    fn link_arrival(&mut self, link: u64, is_answer: bool) -> u64 {
        let latency_ms = if self.chance(40) {
            self.random.random_range(50..1500)
        } else {
            self.random.random_range(1..10)
        };
        let last_ms = self.link_arrivals.entry((link, is_answer)).or_default();
        *last_ms = (*last_ms).max(self.now_ms + latency_ms);
        *last_ms
    }

    pub(crate) fn driver_of(&self, token: u64) -> Option<usize> {
        let is_it = |driver: &Driver| driver.token == token && !driver.is_lost;
        self.drivers.iter().position(is_it)
    }

    fn inject_faults(&mut self) {
        let now_ms = self.now_ms;
        if now_ms.is_multiple_of(SNAPSHOT_MS) {
            let up = self.workers.iter().map(|worker| worker.is_up).collect();
            self.snapshots.push(up);
        }
        self.update_registrations();
        if self.environment.restarts {
            if self.chance(250) {
                let index = self.random.random_range(0..WORKERS);
                let down_ms = if self.chance(2) {
                    self.random.random_range(20..600)
                } else {
                    self.random.random_range(600..6000)
                };
                if self.workers[index].is_up {
                    self.workers[index].crash(now_ms + down_ms);
                }
                // Workers that are down together may get each other's addresses.
                if self.environment.moves && self.chance(2) {
                    let other = (index + self.random.random_range(1..WORKERS)) % WORKERS;
                    if self.workers[other].is_up {
                        self.workers[other].crash(now_ms + down_ms + 50);
                    }
                }
            }
            for index in 0..WORKERS {
                if !self.workers[index].is_up && self.workers[index].starts_at_ms <= now_ms {
                    self.choose_port(index);
                    self.workers[index].restart(now_ms);
                    self.read_early_calls(index);
                }
            }
        }
        if self.chance(300) {
            let index = self.random.random_range(0..WORKERS);
            let dispatcher = self.random.random_range(0..3);
            let is_cut = self.chance(2);
            match self.unreachable.get_mut(dispatcher) {
                Some(unreachable) => unreachable[index] = is_cut,
                None => {
                    if let Some(driver) = self.drivers.last_mut() {
                        driver.unreachable[index] = is_cut;
                    }
                }
            }
        }
        if self.chance(200) {
            for unreachable in &mut self.unreachable {
                unreachable.fill(false);
            }
            for driver in &mut self.drivers {
                driver.unreachable.fill(false);
            }
        }
        if self.environment.takeovers {
            self.inject_takeovers();
        }
    }

    /// Has a worker that has started read the calls on the connections that it accepted
    /// before.
    fn read_early_calls(&mut self, index: usize) {
        let (port, born_ms) = (self.workers[index].port, self.workers[index].born_ms);
        let is_its = |call: &mut (u16, u64)| call.0 == port;
        let early: Vec<(u16, u64)> = self.early_calls.extract_if(.., is_its).collect();
        for (_, number) in early {
            self.calls.get_mut(&number).expect("calls are kept").life = born_ms;
            let latency_ms = self.latency();
            self.schedule(self.now_ms + latency_ms, Event::Execute(number));
        }
    }

    /// Returns whether a worker closes each connection after its answer.
    fn closes_connections(&self, worker: usize) -> bool {
        self.environment.closed_connections && worker % 2 == 1
    }

    /// Gives a worker that starts again a port that no other one listens on.
    fn choose_port(&mut self, index: usize) {
        if !self.environment.moves {
            return;
        }
        let is_free = |port: &u16| self.holder_of(*port).is_none();
        let free: Vec<u16> = (FIRST_PORT..FIRST_PORT + PORTS).filter(is_free).collect();
        let own = self.workers[index].port;
        let is_left = |port: &u16| {
            let mut workers = self.workers.iter();
            *port != own && workers.any(|worker| !worker.is_up && worker.port == *port)
        };
        let left: Vec<u16> = free.iter().copied().filter(is_left).collect();
        if !left.is_empty() && self.chance(2) {
            self.workers[index].port = left[self.random.random_range(0..left.len())];
        } else if !free.contains(&own) || self.chance(2) {
            self.workers[index].port = free[self.random.random_range(0..free.len())];
        }
    }

    /// Returns the worker that listens on a port.
    fn holder_of(&self, port: u16) -> Option<usize> {
        self.workers
            .iter()
            .position(|worker| worker.is_up && worker.port == port)
    }

    /// Completes gangs whose members are all there, and breaks those that have lost one.
    fn advance_gangs(&mut self) {
        let mut gangs: BTreeMap<(StepId, u64), Vec<(usize, TaskId)>> = BTreeMap::new();
        for (index, worker) in self.workers.iter().enumerate() {
            for (task, run) in &worker.runs {
                if worker.is_up && run.gang_takes_ms.is_some() {
                    let members = gangs.entry((task.step, run.attempt)).or_default();
                    members.push((index, *task));
                }
            }
        }
        for ((step, _), members) in gangs {
            let is_complete = members.len() == self.rules.gangs[&step] as usize;
            let runs = |world: &Self| -> Vec<ActiveRun> {
                let run = |(index, task): &(usize, TaskId)| world.workers[*index].runs[task];
                members.iter().map(run).collect()
            };
            let runs = runs(self);
            let has_begun = runs.iter().any(|run| run.is_in_gang);
            let takes_ms = runs.iter().filter_map(|run| run.gang_takes_ms).max();
            let ends_at_ms = self.now_ms + takes_ms.unwrap_or_default();
            for (index, task) in &members {
                let worker = &mut self.workers[*index];
                if has_begun && !is_complete {
                    worker.end(*task, RunOutcome::Broken, &mut self.rules);
                } else if let Some(run) = worker.runs.get_mut(task) {
                    if is_complete && !has_begun {
                        run.is_in_gang = true;
                        run.ends_at_ms = ends_at_ms;
                    }
                }
            }
            self.counts.gangs += usize::from(is_complete && !has_begun);
        }
    }

    fn inject_takeovers(&mut self) {
        let now_ms = self.now_ms;
        if self.environment.hand_overs && self.chance(300) {
            if let Some(driver) = self.drivers.last_mut() {
                log::debug!("{now_ms}: {} hands over", driver.token);
                driver.hands_over_until_ms.get_or_insert(now_ms + FLUSH_MS);
            }
        }
        if self.chance(500) {
            self.store.down_until_ms = now_ms + self.random.random_range(300..6000);
            log::debug!(
                "{now_ms}: the store is down until {}",
                self.store.down_until_ms
            );
        }
        if self.chance(400) {
            let pause_ms = self.random.random_range(200..6000);
            if let Some(driver) = self.drivers.last_mut() {
                log::debug!("{now_ms}: {} freezes for {pause_ms}", driver.token);
                driver.frozen_until_ms = now_ms + pause_ms;
            }
        }
        if self.chance(900) {
            self.drivers.pop();
        }
        if self.chance(250) {
            // The scheduler may be partitioned together with a data centre; the next one
            // then reaches only the other.
            let inside = self.random.random_range(0..2);
            let is_partitioned = self.chance(2);
            if let Some(driver) = self.drivers.last_mut() {
                log::debug!("{now_ms}: {} loses the store", driver.token);
                driver.is_cut_from_store = true;
                if is_partitioned {
                    log::debug!("{now_ms}: {} reaches only dc{inside}", driver.token);
                    driver.cut_data_centre = Some(1 - inside);
                    self.cut_off = Some(inside);
                }
            }
        }
        if self.chance(600) {
            self.cut_off = None;
            for driver in &mut self.drivers {
                driver.is_cut_from_store = false;
                driver.cut_data_centre = None;
            }
        }
    }

    /// Registers the workers that are up, and removes those that are silent.
    fn update_registrations(&mut self) {
        let is_beat = self.now_ms.is_multiple_of(HEARTBEAT_MS);
        for (entry, worker) in self.store.registered.iter_mut().zip(&self.workers) {
            if worker.is_up && is_beat && self.store.down_until_ms <= self.now_ms {
                *entry = Some((worker.born_ms, worker.port));
            }
            let silent_ms = worker.starts_at_ms.saturating_sub(self.now_ms);
            if !worker.is_up && self.now_ms.is_multiple_of(EXPIRY_MS) && silent_ms > 0 {
                *entry = None;
            }
        }
        // An outage of the store lets some registrations expire.
        if !self.store.is_up(self.now_ms) && self.chance(200) {
            let index = self.random.random_range(0..WORKERS);
            self.store.registered[index] = None;
        }
    }

    fn elect(&mut self) {
        let now_ms = self.now_ms;
        if let Some((elected_at_ms, restored_at_ms)) = self.restoring {
            if now_ms < restored_at_ms {
                return;
            }
            self.restoring = None;
            let own_milli = if self.environment.dispatchers {
                4
            } else {
                100_000
            };
            let mut driver = Driver::take_over(
                &self.store,
                &self.configuration,
                elected_at_ms,
                own_milli,
                WORKERS,
                now_ms,
            );
            if self.chance(3) {
                let index = self.random.random_range(0..WORKERS);
                driver.unreachable[index] = true;
            }
            driver.cut_data_centre = self.cut_off;
            log::debug!(
                "{now_ms}: {} schedules, cut off {:?}",
                driver.token,
                self.cut_off
            );
            self.drivers.push(driver);
        }
        if self.store.is_up(now_ms) && self.store.lease_ends_ms <= now_ms {
            self.store.elect(now_ms + TTL_MS);
            let takes_ms = self.random.random_range(5..150);
            self.restoring = Some((now_ms, now_ms + takes_ms));
        }
    }

    fn submit(&mut self) {
        if !self.chance(15) || !self.store.is_up(self.now_ms) {
            return;
        }
        // Slow runs are copied and moved only while there is room.
        if self.environment.slow_runs && !self.chance(3) {
            return;
        }
        let (now_ms, token) = (self.now_ms, self.store.token);
        let Some(index) = self.driver_of(token) else {
            return;
        };
        if self.drivers[index].is_cut_from_store || !self.drivers[index].is_valid(now_ms) {
            return;
        }
        let id = JobId(self.next_job);
        self.next_job += 1;
        let mut step = |after: Vec<u32>| jobs::Step {
            count: self.random.random_range(1..4),
            room: Some(jobs::Room {
                cpu_milli: self.random.random_range(1..4) * 400,
                memory_mb: 10,
                accelerators: 0,
            }),
            estimated_ms: 700,
            after,
            ..jobs::Step::default()
        };
        let mut steps = vec![step(vec![]), step(vec![0])];
        if self.environment.gangs_and_fillers {
            for step in &mut steps {
                match self.random.random_range(0..6) {
                    0 | 1 => step.is_gang = step.count > 1,
                    2 => step.is_filler = true,
                    3 => step.target_ms = 100,
                    _ => {}
                }
            }
            for (number, step) in (0..).zip(&steps).filter(|(_, step)| step.is_gang) {
                let id = StepId {
                    job: id,
                    occurrence: 0,
                    step: number,
                };
                self.rules.gangs.insert(id, step.count);
            }
        }
        if self.environment.slow_runs {
            for (number, step) in (0..).zip(&mut steps) {
                step.is_speculative = self.random.random_bool(0.4);
                if step.is_speculative {
                    let id = StepId {
                        job: id,
                        occurrence: 0,
                        step: number,
                    };
                    self.rules.speculative.insert(id);
                }
            }
        }
        let home = match self.random.random_range(0..3) {
            2 => String::new(),
            index => format!("dc{index}"),
        };
        let record = JobRecord {
            format: FORMAT,
            queue: "queue".to_owned(),
            spec: "text".to_owned(),
            steps,
            accepted_token: token,
            home,
            ..JobRecord::default()
        };
        let spec = JobSpec::try_from(&record).expect("the job is usable");
        self.store.jobs.insert(id, record);
        self.specs.insert(id, spec.clone());
        let delay_ms = self.random.random_range(1..200);
        let driver = &mut self.drivers[index];
        driver.submissions.push((now_ms + delay_ms, id, spec));
        if self.environment.cancels && self.next_job > 4 && self.random.random_bool(0.3) {
            let cancelled = JobId(self.next_job - self.random.random_range(2..5));
            driver.scheduler.cancel(cancelled, at(now_ms));
        }
    }

    /// Returns the platform's list of instances as it was up to `lag` ago.
    pub(crate) fn instances(&mut self) -> Vec<Instance> {
        let lag = self.random.random_range(0..LIST_LAG_MS / SNAPSHOT_MS) as usize;
        let index = self.snapshots.len().saturating_sub(1 + lag);
        let up = &self.snapshots[index];
        let entry = |(index, worker): (usize, &Worker)| Instance {
            name: format!("i{index}"),
            pool: "pool".to_owned(),
            state: InstanceState::Up,
            data_centre: worker.data_centre.clone(),
            labels: vec![],
            capacity: CAPACITY,
            worker: if up[index] {
                worker.id.clone()
            } else {
                String::new()
            },
        };
        self.workers.iter().enumerate().map(entry).collect()
    }

    pub(crate) fn report(&self, index: usize, started_unix_ms: u64, port: u16) -> WorkerReport {
        let worker = &self.workers[index];
        WorkerReport {
            id: worker.id.clone(),
            started_unix_ms,
            address: address_of(port),
            pool: "pool".to_owned(),
            data_centre: worker.data_centre.clone(),
            labels: vec!["a".to_owned(), "r1".to_owned()],
            capacity: CAPACITY,
            is_draining: false,
        }
    }

    /// Sends a call.
    pub(crate) fn send(&mut self, call: Call) -> u64 {
        let number = self.number();
        let (route, link) = (call.route, call.link);
        self.awaited.insert(number);
        let limit_ms = call.time_limit_ms() + DISPATCH_MARGIN_MS;
        self.calls.insert(number, call);
        if route == Route::Direct {
            self.connect(number);
        } else {
            let at_ms = self.link_arrival(link, false);
            self.schedule(at_ms, Event::ArriveAtDispatcher(number));
            let failed = CallResult::Failed { was_sent: true };
            let event = Event::ArriveAtScheduler(number, failed);
            self.schedule(self.now_ms + limit_ms, event);
        }
        number
    }

    fn handle(&mut self, event: Event) {
        match event {
            Event::ArriveAtDispatcher(number) => self.dispatch(number),
            Event::PassOn(number) => self.pass_on(number),
            Event::Execute(number) => self.execute(number),
            Event::ArriveAtClient(number, result) => self.arrive_at_client(number, result),
            Event::TimeOutAtClient(number) => {
                // A response that arrived while the instance was frozen is read first.
                if let Some(thaw_ms) = self.thaw_of(number) {
                    self.schedule(thaw_ms + 1, Event::TimeOutAtClient(number));
                } else {
                    let failed = CallResult::Failed { was_sent: true };
                    self.arrive_at_client(number, failed);
                }
            }
            Event::ArriveAtScheduler(number, result) => {
                self.arrive_at_scheduler(number, result);
            }
            Event::Store {
                token,
                change,
                is_lost,
            } => {
                let written = self.store.write(token, &change, self.now_ms);
                let written = if is_lost { Written::Unknown } else { written };
                let event = Event::Stored {
                    token,
                    change,
                    written,
                };
                self.schedule_in(1..60, event);
            }
            Event::StoreLate { token, change } => {
                self.store.write(token, &change, self.now_ms);
            }
            Event::Stored {
                token,
                change,
                written,
            } => self.on_written(token, change, written),
            Event::StoreGranted {
                token,
                granted,
                is_lost,
            } => {
                let is_done = self.store.is_up(self.now_ms)
                    && token == self.store.token
                    && self.now_ms < self.store.lease_ends_ms;
                if is_done {
                    self.store.granted.clone_from(&granted);
                }
                let granted = (is_done && !is_lost).then_some(granted);
                self.schedule_in(1..60, Event::GrantedStored { token, granted });
            }
            Event::GrantedStored { token, granted } => {
                let Some(index) = self.driver_of(token) else {
                    return;
                };
                let driver = &mut self.drivers[index];
                driver.is_granted_write_open = false;
                if let Some(granted) = granted {
                    driver.scheduler.on_granted_stored(&granted);
                }
            }
        }
    }

    /// Returns when the instance whose client makes the call goes on, if it is frozen.
    fn thaw_of(&self, number: u64) -> Option<u64> {
        let call = &self.calls[&number];
        let index = self.driver_of(call.token)?;
        let thaw_ms = self.drivers[index].frozen_until_ms;
        (call.route == Route::Direct && thaw_ms > self.now_ms).then_some(thaw_ms)
    }

    /// Makes a call at its dispatcher. Orders to a worker are sent one after the other.
    fn dispatch(&mut self, number: u64) {
        let call = &self.calls[&number];
        if !call.is_status() {
            let turns = self.turns.entry(call.client()).or_default();
            turns.push_back(number);
            if turns.len() > 1 {
                return;
            }
        }
        self.dispatch_now(number);
    }

    fn end_turn(&mut self, call: &Call) {
        let turns = self.turns.entry(call.client()).or_default();
        turns.pop_front();
        if let Some(&next) = turns.front() {
            self.dispatch_now(next);
        }
    }

    fn dispatch_now(&mut self, number: u64) {
        let call = self.calls[&number].clone();
        let token = call.token;
        let index = dispatcher_index(call.route).expect("the call has a dispatcher");
        let is_link_open = self.driver_of(token).is_some_and(|driver| {
            let links = &self.drivers[driver].links;
            links.values().any(|link| *link == call.link)
        });
        if !is_link_open {
            // The calls of a stream end with it.
            self.turns.remove(&call.client());
            return;
        }
        let age_ms = self.now_ms - call.sent_at_ms;
        self.highest_token[index] = self.highest_token[index].max(token);
        let result = if token < self.highest_token[index] {
            CallResult::Answer(dotterelsill_jobs::Answer::Fenced)
        } else if age_ms >= MAX_HEARTBEAT_AGE_MS {
            CallResult::Failed { was_sent: false }
        } else {
            self.connect(number);
            return;
        };
        let at_ms = self.link_arrival(call.link, true);
        self.schedule(at_ms, Event::ArriveAtScheduler(number, result));
        if !call.is_status() {
            self.end_turn(&call);
        }
    }

    fn can_reach(&self, call: &Call) -> bool {
        match dispatcher_index(call.route) {
            Some(index) => !self.unreachable[index][call.worker],
            None => self.driver_of(call.token).is_none_or(|index| {
                let driver = &self.drivers[index];
                let data_centre = Some(call.worker % 2);
                !driver.unreachable[call.worker] && driver.cut_data_centre != data_centre
            }),
        }
    }

    /// Puts a call on a connection of its client.
    fn connect(&mut self, number: u64) {
        let mut call = self.calls[&number].clone();
        call.is_open = true;
        self.schedule(
            self.now_ms + call.time_limit_ms(),
            Event::TimeOutAtClient(number),
        );
        let holder = self.holder_of(call.port);
        let born_ms = holder.map(|holder| self.workers[holder].born_ms);
        let idle = self.clients.take(&call);
        let idle_life = idle.map(|(life, _)| life);
        let is_broken = born_ms.is_none() || idle_life.is_some_and(|life| Some(life) != born_ms);
        call.life = idle_life.or(born_ms).unwrap_or_default();
        call.has_told = idle.is_some_and(|(_, has_told)| has_told);
        let told_life = call.has_told.then_some(call.life);
        if let CallBody::Status(request) = &mut call.body {
            // Lease and acknowledgement are sent only over a connection on which their life
            // has answered.
            let is_known = told_life == Some(request.processed.started_unix_ms);
            if !is_known && !self.bugs.acknowledges_to_another_life {
                request.lease_end_ms = None;
                request.acknowledged = 0;
            }
        }
        let needs_connection = matches!(
            call.body,
            CallBody::Order {
                needs_connection: true,
                ..
            }
        );
        let (can_reach, is_reused) = (self.can_reach(&call), idle.is_some());
        let (recipient, port) = (call.recipient(), call.port);
        let closes = self.closes_connections(call.worker);
        self.calls.insert(number, call);
        if needs_connection && !is_reused {
            self.schedule_in(1..2, Event::ArriveAtClient(number, CallResult::Unconnected));
            return;
        }
        if !can_reach {
            return;
        }
        let is_early = self.environment.early_listening && born_ms.is_none() && !is_reused;
        match recipient {
            // A status request shows first to which life a new connection leads.
            Recipient::Life { started_unix_ms } if !is_reused => {
                if born_ms != Some(started_unix_ms) {
                    let failed = CallResult::Failed { was_sent: false };
                    self.schedule_in(1..ORDER_TIMEOUT_MS, Event::ArriveAtClient(number, failed));
                    return;
                }
                if closes {
                    let event = Event::ArriveAtClient(number, CallResult::NotKept);
                    self.schedule_in(1..10, event);
                    return;
                }
            }
            _ if is_early => {
                self.early_calls.push((port, number));
                return;
            }
            // A proxy holds the call back, and connects to the worker when it passes it on.
            _ if self.environment.early_listening && !is_reused && self.chance(20) => {
                self.schedule_in(100..9000, Event::PassOn(number));
                return;
            }
            _ => {}
        }
        if is_broken {
            let was_sent = is_reused && self.chance(2);
            let failed = CallResult::Failed { was_sent };
            self.schedule_in(1..4, Event::ArriveAtClient(number, failed));
            return;
        }
        let latency_ms = self.latency();
        let mut at_ms = self.now_ms + latency_ms;
        match self.random.random_range(0..120) {
            0..2 => return,
            2..6 => at_ms += self.random.random_range(100..9000),
            6..9 => {
                self.loses_answer.insert(number);
            }
            _ => {}
        }
        self.schedule(at_ms, Event::Execute(number));
    }

    /// Connects a call that was held up to the present life at its port.
    fn pass_on(&mut self, number: u64) {
        let port = self.calls[&number].port;
        if let Some(holder) = self.holder_of(port) {
            let call = self.calls.get_mut(&number).expect("calls are kept");
            call.life = self.workers[holder].born_ms;
            self.execute(number);
        }
    }

    fn execute(&mut self, number: u64) {
        let call = self.calls[&number].clone();
        let now_ms = self.now_ms;
        let mut order_run = self.order_run(call.worker);
        if let CallBody::Order { order, .. } = &call.body {
            self.counts.paces += usize::from(matches!(order, Order::Pace { .. }));
            if self.rules.gangs.contains_key(&order.run().0.step) {
                let takes_ms = order_run.ends_at_ms - now_ms;
                order_run.gang_takes_ms = Some(takes_ms);
                order_run.ends_at_ms = now_ms + GANG_TIMEOUT_MS;
                order_run.fails = false;
            }
        }
        // The connection of a call ends with the life to which it leads.
        let holder = self.holder_of(call.port);
        let holder = holder.filter(|holder| self.workers[*holder].born_ms == call.life);
        let Some(holder) = holder else {
            let failed = CallResult::Failed { was_sent: true };
            self.schedule_in(1..4, Event::ArriveAtClient(number, failed));
            return;
        };
        if holder != call.worker {
            self.counts.other_workers += 1;
            let answer = dotterelsill_jobs::Answer::OtherWorker;
            self.respond(number, CallResult::Answer(answer));
            return;
        }
        let worker = &mut self.workers[call.worker];
        if !call.is_open {
            log::debug!("{now_ms}: late at {}: {:?}", worker.id, call.body);
        }
        let rules = &mut self.rules;
        let answer = match &call.body {
            CallBody::Status(request) => match worker.accept_status(request, now_ms, rules) {
                Ok(()) => {
                    self.waiting.push((number, now_ms + request.wait_ms));
                    return;
                }
                Err(answer) => answer,
            },
            CallBody::Order { order, terms, .. } => {
                let case = self.random.random_range(0..160);
                let mut execute = || {
                    worker.execute(
                        order,
                        call.token,
                        terms.lease_end_ms,
                        order_run,
                        now_ms,
                        rules,
                    )
                };
                match case {
                    0..2 => dotterelsill_jobs::Answer::Unhealthy,
                    // A program in between answers, whether the order reaches the worker
                    // or not.
                    2 => dotterelsill_jobs::Answer::Unclear,
                    3 => {
                        execute();
                        dotterelsill_jobs::Answer::Unclear
                    }
                    _ => execute(),
                }
            }
        };
        self.respond(number, CallResult::Answer(answer));
    }

    /// Returns the properties of a run that an order begins, or the end of one that it
    /// stops.
    fn order_run(&mut self, worker: usize) -> ActiveRun {
        let mut takes_ms = if self.chance(3) {
            self.random.random_range(10..150)
        } else {
            self.random.random_range(150..2500)
        };
        if self.environment.slow_runs {
            let is_slow = (self.now_ms / 5000) as usize % WORKERS == worker || self.chance(4);
            takes_ms = takes_ms.max(600) * if is_slow { 6 } else { 1 };
        }
        ActiveRun {
            attempt: 0,
            begins_at_ms: self.environment.slow_runs.then_some(self.now_ms),
            ends_at_ms: self.now_ms + takes_ms,
            fails: self.chance(20),
            gang_takes_ms: None,
            is_in_gang: false,
            stops_at_ms: Some(self.now_ms + self.random.random_range(0..400)),
        }
    }

    fn respond(&mut self, number: u64, result: CallResult) {
        if self.loses_answer.contains(&number) || !self.can_reach(&self.calls[&number]) {
            return;
        }
        let latency_ms = self.latency();
        let event = Event::ArriveAtClient(number, result);
        self.schedule(self.now_ms + latency_ms, event);
    }

    /// Answers the status requests that wait at workers.
    fn answer_waiting(&mut self) {
        let now_ms = self.now_ms;
        for (number, until_ms) in std::mem::take(&mut self.waiting) {
            let call = &self.calls[&number];
            let worker = &self.workers[call.worker];
            if !worker.is_up || worker.born_ms != call.life {
                let failed = CallResult::Failed { was_sent: true };
                self.schedule_in(1..4, Event::ArriveAtClient(number, failed));
            } else if worker.has_ends() || until_ms <= now_ms {
                let status = worker.status(now_ms);
                self.respond(number, CallResult::Status(status));
            } else {
                self.waiting.push((number, until_ms));
            }
        }
    }

    fn arrive_at_client(&mut self, number: u64, result: CallResult) {
        if let Some(thaw_ms) = self.thaw_of(number) {
            self.schedule(thaw_ms, Event::ArriveAtClient(number, result));
            return;
        }
        let call = self.calls.get_mut(&number).expect("calls are kept");
        if !std::mem::take(&mut call.is_open) {
            return;
        }
        let call = call.clone();
        let mut result = result;
        let mut call = call;
        match (&mut result, &call.body) {
            (CallResult::Failed { .. } | CallResult::NotKept, _) => {
                self.clients.close_idle(&call);
            }
            (CallResult::Unconnected, _) => {}
            (CallResult::Status(status), CallBody::Status(request)) => {
                status.drop_processed(&request.processed);
                call.has_told = true;
                self.keep_connection(&call);
            }
            _ => self.keep_connection(&call),
        }
        if call.route == Route::Direct {
            self.arrive_at_scheduler(number, result);
        } else {
            let at_ms = self.link_arrival(call.link, true);
            self.schedule(at_ms, Event::ArriveAtScheduler(number, result));
            if !call.is_status() {
                self.end_turn(&call);
            }
        }
    }

    fn keep_connection(&mut self, call: &Call) {
        if !self.closes_connections(call.worker) {
            self.clients.put_back(call);
        }
    }

    fn arrive_at_scheduler(&mut self, number: u64, result: CallResult) {
        let token = self.calls[&number].token;
        let Some(index) = self.driver_of(token) else {
            return;
        };
        let thaw_ms = self.drivers[index].frozen_until_ms;
        if thaw_ms > self.now_ms {
            let is_failed = matches!(result, CallResult::Failed { .. });
            let at_ms = thaw_ms + u64::from(is_failed);
            self.schedule(at_ms, Event::ArriveAtScheduler(number, result));
            return;
        }
        if self.awaited.remove(&number) {
            self.on_result(index, number, result);
        }
    }

    pub(crate) fn store_change(&mut self, token: u64, change: JobChange) {
        let is_lost = self.chance(12);
        let is_late = is_lost && self.chance(2);
        let at_ms = self.now_ms + self.random.random_range(1..60);
        if is_late {
            let written = Written::Unknown;
            let event = Event::Stored {
                token,
                change: change.clone(),
                written,
            };
            self.schedule(at_ms + 300, event);
            let late_ms = at_ms + self.random.random_range(300..4000);
            self.schedule(late_ms, Event::StoreLate { token, change });
            return;
        }
        let event = Event::Store {
            token,
            change,
            is_lost,
        };
        self.schedule(at_ms, event);
    }

    pub(crate) fn store_granted(&mut self, token: u64, granted: Vec<GrantedWorker>) {
        let is_lost = self.chance(15);
        let event = Event::StoreGranted {
            token,
            granted,
            is_lost,
        };
        self.schedule_in(1..60, event);
    }

    fn on_written(&mut self, token: u64, change: JobChange, written: Written) {
        let Some(index) = self.driver_of(token) else {
            return;
        };
        let thaw_ms = self.drivers[index].frozen_until_ms;
        if thaw_ms > self.now_ms {
            let event = Event::Stored {
                token,
                change,
                written,
            };
            self.schedule(thaw_ms, event);
            return;
        }
        let driver = &mut self.drivers[index];
        driver.writes = driver.writes.saturating_sub(1);
        match written {
            Written::Done { revision } if !driver.is_cut_from_store => {
                driver
                    .scheduler
                    .on_stored(change.job, change.number, revision);
            }
            Written::Conflict { revision } if !driver.is_cut_from_store => {
                driver.scheduler.on_revision_conflict(change.job, revision);
            }
            Written::Deposed if !driver.is_cut_from_store => driver.is_lost = true,
            _ => driver.scheduler.on_not_stored(change.job),
        }
    }

    pub(crate) fn now(&self) -> Duration {
        at(self.now_ms)
    }
}
