//! Measures the processor time of the scheduler's decisions under the load of a
//! large deployment, without I/O: `cargo run --release -p dotterelsill_jobs
//! --example scheduler_cost -- [WORKERS] [JOBS_PER_S]`.
//!
//! Load pattern: four queues, each with its own pool, have bursts in turn. During a
//! burst the queue gets most of the jobs, more than its pool holds.

use std::{
    cmp::Reverse,
    collections::{
        BTreeMap,
        BinaryHeap, //
    },
    env,
    sync::Arc,
    time::{
        Duration,
        Instant, //
    }, //
};

use dotterelsill_jobs::{
    Answer,
    Configuration,
    JobChange,
    JobId,
    JobSpec,
    Limits,
    ListedEnd,
    ListedRun,
    Order,
    Pool,
    Queue,
    Resources,
    RunOutcome,
    Scheduler,
    TaskId,
    WorkerKey,
    WorkerOrder,
    WorkerReport,
    WorkerStatus,
    FORMAT, //
};
use dotterelsill_proto::jobs::{
    self,
    JobRecord, //
};

const POOLS: usize = 5;
const DATA_CENTRES: [&str; 4] = ["a", "b", "c", "d"];

/// Duration of the simulation, and of its part in which jobs arrive.
const END_MS: u64 = 25_000;
const LOAD_MS: u64 = 12_000;
const BURST_MS: u64 = 3_000;
/// Share of the jobs, in percent, that go to the queue that has its burst.
const BURST_PERCENT: u64 = 95;

// Intervals of the daemon's loops.
const ANSWER_MS: u64 = 1;
const PLAN_PAUSE_MS: u64 = 3;
const STATUS_INTERVAL_MS: u64 = 60;
const STATUS_WAIT_MS: u64 = 1500;
const STORE_MS: u64 = 10;
const MAX_CHANGES: usize = 10;
const MAX_IN_FLIGHT: usize = 4;
const TICK_MS: u64 = 50;
const REPORT_MS: u64 = 1500;
const INSTANCES_MS: u64 = 100;

#[derive(Eq, Ord, PartialEq, PartialOrd)]
enum Event {
    Submit(u64),
    Plan,
    Answered(usize),
    End(usize, TaskId, u64),
    Status(usize),
    Stored(usize),
    Write,
    Tick,
    Report(usize),
    Instances,
}

#[derive(Default)]
struct Worker {
    running: BTreeMap<TaskId, u64>,
    ended: Vec<ListedEnd>,
    next_end: u64,
    /// Time of the next status request, and whether the current one waits for an
    /// end.
    next_status_ms: u64,
    is_waiting: bool,
    is_stopped: bool,
}

/// Total processor time, number of calls and longest call, by name.
#[derive(Default)]
struct Costs(BTreeMap<&'static str, (Duration, u64, Duration)>);

impl Costs {
    fn time<T>(&mut self, name: &'static str, call: impl FnOnce() -> T) -> T {
        let begin = Instant::now();
        let result = call();
        let took = begin.elapsed();
        let (sum, count, longest) = self.0.entry(name).or_default();
        *sum += took;
        *count += 1;
        *longest = took.max(*longest);
        result
    }
}

fn ms(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

fn configuration() -> Configuration {
    let mut configuration = Configuration {
        version: 1,
        ..Configuration::default()
    };
    for pool in 0..POOLS {
        configuration.queues.push(Queue {
            name: format!("queue-{pool}"),
            host: "host".to_owned(),
            path_prefix: format!("/queue-{pool}/"),
            pool: format!("pool-{pool}"),
            urgency: 0,
            max_attempts: 3,
            slack_factor: 1.6,
            target: ms(600),
            is_open: true,
            advisor: None,
        });
        configuration
            .pools
            .insert(format!("pool-{pool}"), Pool::default());
    }
    configuration
}

fn report(index: usize) -> WorkerReport {
    WorkerReport {
        id: format!("w{index}"),
        started_unix_ms: 1,
        address: format!("10.0.0.1:{}", 2000 + index),
        pool: format!("pool-{}", index % POOLS),
        data_centre: DATA_CENTRES[index / POOLS % DATA_CENTRES.len()].to_owned(),
        labels: vec!["a".to_owned(), format!("r{}", index / 20)],
        capacity: Resources {
            cpu_milli: 16_000,
            memory_mb: 32_000,
            accelerators: 0,
        },
        is_draining: false,
    }
}

fn record(index: u64, queue: u64, home: Option<String>) -> JobRecord {
    let step = |after: Vec<u32>| jobs::Step {
        count: 8,
        room: Some(jobs::Room {
            cpu_milli: 3000,
            memory_mb: 10,
            accelerators: 0,
        }),
        estimated_ms: 450,
        after,
        ..jobs::Step::default()
    };
    let mut steps = vec![step(vec![])];
    if index % 5 < 3 {
        steps.push(step(vec![0]));
    }
    JobRecord {
        format: FORMAT,
        queue: format!("queue-{queue}"),
        spec: "text".to_owned(),
        steps,
        accepted_token: 1,
        home: home.unwrap_or_default(),
        ..JobRecord::default()
    }
}

struct World {
    scheduler: Scheduler,
    workers: Vec<Worker>,
    keys: Vec<WorkerKey>,
    index_of: BTreeMap<WorkerKey, usize>,
    events: BinaryHeap<Reverse<(u64, u64, Event)>>,
    sequence: u64,
    now_ms: u64,
    is_plan_due: bool,
    is_write_due: bool,
    answers: Vec<WorkerOrder>,
    stores: Vec<Vec<JobChange>>,
    in_flight: usize,
    starts: u64,
    revision: u64,
    costs: Costs,
}

impl World {
    fn new(workers: usize, jobs_per_s: u64) -> Self {
        let limits = Limits {
            lease: ms(6000),
            max_lease: ms(6000),
            ended_job_retention: ms(120_000),
            takeover_margin: ms(6620),
            alternation_window: ms(3000),
            maintenance_time: ms(2000),
            job_memory_bytes: 64 << 20,
        };
        let mut scheduler = Scheduler::new(1, limits, ms(1));
        scheduler.configure(Arc::new(configuration()), Arc::default());
        let keys: Vec<WorkerKey> = (0..workers)
            .map(|index| scheduler.on_report(report(index), ms(1)).0)
            .collect();
        let granted = scheduler.granted();
        scheduler.on_granted_stored(&granted);
        let mut world = Self {
            scheduler,
            workers: (0..workers).map(|_| Worker::default()).collect(),
            index_of: keys.iter().copied().zip(0..).collect(),
            keys,
            events: BinaryHeap::new(),
            sequence: 0,
            now_ms: 0,
            is_plan_due: false,
            is_write_due: false,
            answers: Vec::new(),
            stores: Vec::new(),
            in_flight: 0,
            starts: 0,
            revision: 1,
            costs: Costs::default(),
        };
        for job in 0..jobs_per_s * LOAD_MS / 1000 {
            world.add(100 + job * 1000 / jobs_per_s, Event::Submit(job));
        }
        for index in 0..workers {
            world.add(5, Event::Status(index));
            let first = 10 + index as u64 * REPORT_MS / workers as u64;
            world.add(first, Event::Report(index));
        }
        world.add(TICK_MS, Event::Tick);
        world.add(INSTANCES_MS, Event::Instances);
        world
    }

    fn add(&mut self, at_ms: u64, event: Event) {
        self.sequence += 1;
        self.events.push(Reverse((at_ms, self.sequence, event)));
    }

    fn changed(&mut self) {
        if !self.is_plan_due {
            self.is_plan_due = true;
            self.add(self.now_ms + PLAN_PAUSE_MS, Event::Plan);
        }
        let has_change = self.scheduler.has_change();
        if has_change && !self.is_write_due && self.in_flight < MAX_IN_FLIGHT {
            self.is_write_due = true;
            let is_urgent = self
                .costs
                .time("has_urgent_change", || self.scheduler.has_urgent_change());
            self.add(self.now_ms + if is_urgent { 0 } else { 80 }, Event::Write);
        }
    }

    fn run(&mut self) {
        while let Some(Reverse((at_ms, _, event))) = self.events.pop() {
            if at_ms > END_MS {
                return;
            }
            self.now_ms = at_ms;
            self.handle(event);
        }
    }

    fn handle(&mut self, event: Event) {
        let (now, now_ms) = (ms(self.now_ms), self.now_ms);
        match event {
            Event::Submit(job) => {
                let queue = 1 + job * 4 * 1000 / 4 % 4;
                let queue = match (job % 100) < BURST_PERCENT {
                    true => 1 + (now_ms / BURST_MS) % 4,
                    false => queue,
                };
                let scheduler = &mut self.scheduler;
                let mut record = record(job, queue, None);
                let home = self
                    .costs
                    .time("choose_home", || scheduler.choose_home(&record, now));
                record.home = home.unwrap_or_default();
                let spec = JobSpec::try_from(&record).expect("the job is usable");
                self.costs.time("submit", || {
                    scheduler.submit(JobId(job + 1), spec, now, now);
                });
                self.changed();
            }
            Event::Plan => {
                self.is_plan_due = false;
                let orders = self.costs.time("plan", || self.scheduler.plan(now));
                for order in orders {
                    self.send(order);
                }
                if self.scheduler.has_change() {
                    self.changed();
                }
            }
            Event::Answered(number) => self.answered(number),
            Event::End(index, task, attempt) => {
                let worker = &mut self.workers[index];
                if worker.running.remove(&task).is_none() {
                    return;
                }
                worker.next_end += 1;
                worker.ended.push(ListedEnd {
                    number: worker.next_end,
                    task,
                    attempt,
                    outcome: RunOutcome::Done,
                    checkpoint: String::new(),
                });
                if worker.is_waiting {
                    worker.is_waiting = false;
                    let at_ms = now_ms.max(worker.next_status_ms);
                    self.add(at_ms, Event::Status(index));
                }
            }
            Event::Status(index) => self.read_status(index),
            Event::Write => {
                self.is_write_due = false;
                let changes = self
                    .costs
                    .time("take_changes", || self.scheduler.take_changes(MAX_CHANGES));
                if !changes.is_empty() {
                    self.in_flight += 1;
                    self.stores.push(changes);
                    self.add(now_ms + STORE_MS, Event::Stored(self.stores.len() - 1));
                    self.changed();
                }
            }
            Event::Stored(number) => {
                self.in_flight -= 1;
                self.revision += 1;
                for change in std::mem::take(&mut self.stores[number]) {
                    let (scheduler, revision) = (&mut self.scheduler, self.revision);
                    self.costs.time("on_stored", || {
                        scheduler.on_stored(change.job, change.number, revision);
                    });
                }
                self.changed();
            }
            Event::Tick => {
                let scheduler = &mut self.scheduler;
                self.costs.time("tick", || {
                    scheduler.expire_leases(now);
                    scheduler.open_due_jobs(now);
                    scheduler.forget_ended(now);
                    scheduler.replan();
                });
                self.changed();
                self.add(now_ms + TICK_MS, Event::Tick);
            }
            Event::Report(index) => {
                let scheduler = &mut self.scheduler;
                let report = report(index);
                self.costs
                    .time("on_report", || scheduler.on_report(report, now));
                self.add(now_ms + REPORT_MS, Event::Report(index));
            }
            Event::Instances => {
                let scheduler = &mut self.scheduler;
                self.costs
                    .time("plan_instances", || scheduler.plan_instances(now, now));
                self.add(now_ms + INSTANCES_MS, Event::Instances);
            }
        }
    }

    fn send(&mut self, worker_order: WorkerOrder) {
        let index = self.index_of[&worker_order.worker];
        if self.workers[index].is_stopped {
            // An order resumes the status requests of an idle worker.
            self.workers[index].is_stopped = false;
            let at_ms = self.now_ms.max(self.workers[index].next_status_ms);
            self.add(at_ms, Event::Status(index));
        }
        self.answers.push(worker_order);
        self.add(
            self.now_ms + ANSWER_MS,
            Event::Answered(self.answers.len() - 1),
        );
    }

    fn answered(&mut self, number: usize) {
        let now = ms(self.now_ms);
        let worker_order = self.answers[number].clone();
        let key = worker_order.worker;
        let index = self.index_of[&key];
        let scheduler = &mut self.scheduler;
        self.costs.time("may_send", || {
            scheduler.may_send(key, &worker_order.order, false, now)
        });
        self.costs.time("start_terms", || {
            scheduler.start_terms(key, worker_order.order.run().0, true, now);
        });
        if let Order::Start { task, attempt, .. } = &worker_order.order {
            self.starts += 1;
            let (task, attempt) = (*task, *attempt);
            self.workers[index].running.insert(task, attempt);
            let spread = task.step.job.0 * 7 % 300;
            self.add(self.now_ms + 300 + spread, Event::End(index, task, attempt));
        }
        let scheduler = &mut self.scheduler;
        self.costs.time("on_answer", || {
            scheduler.on_answer(key, &worker_order.order, Answer::Done, false, now)
        });
        self.changed();
    }

    fn read_status(&mut self, index: usize) {
        let (now, now_ms) = (ms(self.now_ms), self.now_ms);
        let key = self.keys[index];
        let acknowledged = self.scheduler.acknowledged(key);
        let worker = &mut self.workers[index];
        worker.ended.retain(|end| end.number > acknowledged);
        let status = WorkerStatus {
            sent_at: ms(now_ms.saturating_sub(1)),
            read_at: now,
            worker_ms: now_ms,
            started_unix_ms: 1,
            running: worker
                .running
                .iter()
                .map(|(task, attempt)| ListedRun {
                    task: *task,
                    attempt: *attempt,
                    checkpoint: String::new(),
                    percent: 100,
                    measure: 0,
                })
                .collect(),
            ended: worker.ended.clone(),
            ..WorkerStatus::default()
        };
        let scheduler = &mut self.scheduler;
        self.costs.time("lease_end", || {
            scheduler.lease_end(key, true, now);
        });
        self.costs
            .time("on_look", || scheduler.on_worker_status(key, &status, now));
        self.changed();
        let is_busy = self.costs.time("is_busy", || self.scheduler.is_busy(key));
        let worker = &mut self.workers[index];
        worker.next_status_ms = now_ms + STATUS_INTERVAL_MS;
        if !is_busy {
            worker.is_stopped = true;
        } else if worker.ended.is_empty() {
            worker.is_waiting = true;
            worker.next_status_ms = now_ms;
        } else {
            self.add(now_ms + STATUS_INTERVAL_MS, Event::Status(index));
        }
        let _ = STATUS_WAIT_MS;
    }
}

fn main() {
    let argument = |index: usize, default: u64| {
        env::args()
            .nth(index)
            .and_then(|text| text.parse().ok())
            .unwrap_or(default)
    };
    let (workers, jobs_per_s) = (argument(1, 361), argument(2, 58));
    let mut world = World::new(workers as usize, jobs_per_s);
    world.run();
    let starts = world.starts.max(1);
    let total: Duration = world.costs.0.values().map(|(sum, _, _)| *sum).sum();
    println!("{workers} workers, {jobs_per_s} jobs/s, {starts} starts in {END_MS} ms");
    println!(
        "{:.1} us a start, {:.4} cores over the load",
        total.as_secs_f64() * 1e6 / starts as f64,
        total.as_secs_f64() * 1000.0 / LOAD_MS as f64
    );
    let mut rows: Vec<_> = world.costs.0.iter().collect();
    rows.sort_by_key(|(_, (sum, _, _))| Reverse(*sum));
    for (name, (sum, count, longest)) in rows {
        println!(
            "{name:18} {:6.1}% {count:7} calls {:8.2} us each {:9.1} us longest",
            sum.as_secs_f64() * 100.0 / total.as_secs_f64(),
            sum.as_secs_f64() * 1e6 / *count as f64,
            longest.as_secs_f64() * 1e6
        );
    }
}
