//! A scheduler with a few workers, for the tests of its decisions.
#![allow(dead_code, reason = "each test file uses a part of the helpers")]

use std::{
    sync::Arc,
    time::Duration, //
};

use dotterelsill_jobs::{
    Answer,
    Configuration,
    Instance,
    InstanceState,
    JobId,
    JobSpec,
    Limits,
    ListedEnd,
    ListedRun,
    Order,
    Pool,
    Queue,
    Queues,
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

pub(crate) const LEASE: Duration = Duration::from_secs(5);

pub(crate) fn ms(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

pub(crate) fn limits() -> Limits {
    Limits {
        lease: LEASE,
        max_lease: ms(10_000),
        ended_job_retention: ms(120_000),
        takeover_margin: ms(5600),
        alternation_window: ms(0),
        maintenance_time: ms(2000),
        job_memory_bytes: 64 << 20,
    }
}

pub(crate) fn configuration() -> Arc<Configuration> {
    let queue = |name: &str, urgency| Queue {
        name: name.to_owned(),
        host: "host".to_owned(),
        path_prefix: format!("/{name}/"),
        pool: "work".to_owned(),
        urgency,
        max_attempts: 2,
        slack_factor: 1.6,
        target: ms(600),
        is_open: true,
        advisor: None,
    };
    let mut configuration = Configuration {
        version: 1,
        queues: [queue("urgent", 0), queue("patient", 1)]
            .into_iter()
            .collect(),
        ..Configuration::default()
    };
    configuration
        .pools
        .insert("work".to_owned(), Pool::default());
    let off = Pool { is_standby: true };
    configuration.pools.insert("off".to_owned(), off);
    Arc::new(configuration)
}

pub(crate) fn scheduler(token: u64, now: Duration) -> Scheduler {
    let mut scheduler = Scheduler::new(token, limits(), now);
    scheduler.configure(configuration(), Arc::default());
    scheduler
}

pub(crate) fn step(count: u32, cpu_milli: u64) -> jobs::Step {
    jobs::Step {
        count,
        room: Some(jobs::Room {
            cpu_milli,
            memory_mb: 100,
            accelerators: 0,
        }),
        estimated_ms: 1000,
        ..jobs::Step::default()
    }
}

pub(crate) fn lasting(count: u32) -> jobs::Step {
    jobs::Step {
        is_lasting: true,
        may_miss: 1,
        ..step(count, 1000)
    }
}

pub(crate) fn record(queue: &str, token: u64, steps: Vec<jobs::Step>) -> JobRecord {
    JobRecord {
        format: FORMAT,
        queue: queue.to_owned(),
        spec: "text".to_owned(),
        steps,
        accepted_token: token,
        ..JobRecord::default()
    }
}

pub(crate) fn submit(scheduler: &mut Scheduler, id: u64, record: &JobRecord, now: Duration) {
    let spec = JobSpec::try_from(record).expect("the job is usable");
    scheduler.submit(JobId(id), spec, now, now);
}

pub(crate) fn report(index: usize, data_centre: &str) -> WorkerReport {
    WorkerReport {
        id: format!("w{index}"),
        started_unix_ms: 1,
        address: format!("127.0.0.1:{}", 2000 + index),
        pool: "work".to_owned(),
        data_centre: data_centre.to_owned(),
        labels: vec!["a".to_owned(), "r1".to_owned()],
        capacity: Resources {
            cpu_milli: 4000,
            memory_mb: 8000,
            accelerators: 0,
        },
        is_draining: false,
    }
}

pub(crate) fn status_at(now: Duration) -> WorkerStatus {
    WorkerStatus {
        sent_at: now - ms(1),
        read_at: now,
        worker_ms: now.as_millis() as u64,
        started_unix_ms: 1,
        ..WorkerStatus::default()
    }
}

/// Adds a worker and reports its first status.
pub(crate) fn add_worker(scheduler: &mut Scheduler, index: usize, now: Duration) -> WorkerKey {
    let (key, _) = scheduler.on_report(report(index, "dc"), now);
    let granted = scheduler.granted();
    scheduler.on_granted_stored(&granted);
    scheduler.on_worker_status(key, &status_at(now), now);
    key
}

pub(crate) fn task(id: u64, step: u32, index: u32) -> TaskId {
    dotterelsill_jobs::StepId {
        job: JobId(id),
        occurrence: 0,
        step,
    }
    .task(index)
}

pub(crate) fn running(task: TaskId, attempt: u64, percent: u32) -> ListedRun {
    ListedRun {
        task,
        attempt,
        checkpoint: String::new(),
        percent,
        measure: 0,
    }
}

pub(crate) fn ended(number: u64, task: TaskId, attempt: u64, outcome: RunOutcome) -> ListedEnd {
    ListedEnd {
        number,
        task,
        attempt,
        outcome,
        checkpoint: String::new(),
    }
}

/// Returns the started tasks with their workers.
pub(crate) fn starts(orders: &[WorkerOrder]) -> Vec<(TaskId, WorkerKey)> {
    let start = |worker_order: &WorkerOrder| match &worker_order.order {
        Order::Start { task, .. } => Some((*task, worker_order.worker)),
        _ => None,
    };
    orders.iter().filter_map(start).collect()
}

/// Answers all orders as executed.
pub(crate) fn confirm(scheduler: &mut Scheduler, orders: &[WorkerOrder], now: Duration) {
    for worker_order in orders {
        scheduler.lease_end(worker_order.worker, true, now);
        scheduler.on_answer(
            worker_order.worker,
            &worker_order.order,
            Answer::Done,
            false,
            now,
        );
    }
}

pub(crate) fn instance(index: usize, pool: &str, state: InstanceState) -> Instance {
    Instance {
        name: format!("i{index}"),
        pool: pool.to_owned(),
        state,
        data_centre: "dc".to_owned(),
        labels: vec![],
        capacity: report(index, "dc").capacity,
        worker: format!("w{index}"),
    }
}

/// Returns the queues, with `change` applied to one of them.
pub(crate) fn with_queue(queues: &Queues, name: &str, change: impl Fn(&mut Queue)) -> Queues {
    let mut queues: Vec<Queue> = queues.iter().cloned().collect();
    queues
        .iter_mut()
        .filter(|queue| queue.name == name)
        .for_each(change);
    queues.into_iter().collect()
}

/// Returns the resident memory of this process, in KiB.
pub(crate) fn memory_kib() -> u64 {
    let text = std::fs::read_to_string("/proc/self/status").expect("a process has a status");
    let line = text.lines().find_map(|line| line.strip_prefix("VmRSS:"));
    let kib = line.and_then(|line| line.split_whitespace().next()?.parse().ok());
    kib.expect("a process has resident memory")
}
