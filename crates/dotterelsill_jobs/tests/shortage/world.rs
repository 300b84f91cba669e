//! Replay of jobs on a scheduler with simulated workers.

use std::{
    collections::BTreeMap,
    sync::Arc,
    time::Duration, //
};

use dotterelsill_jobs::{
    Answer,
    Configuration,
    InstanceState,
    JobId,
    JobSpec,
    ListedEnd,
    Order,
    RunOutcome,
    Scheduler,
    TaskId,
    WorkerKey,
    WorkerReport,
    WorkerStatus,
    Workspace, //
};
use dotterelsill_proto::jobs::ProgressRecord;
use rand::{
    rngs::StdRng,
    RngExt as _,
    SeedableRng as _, //
};

use crate::{
    common::{
        self,
        ms, //
    },
    load::{
        Arrival,
        Pattern,
        WORKSPACES, //
    },
};

pub(crate) const WORKERS: usize = 20;
pub(crate) const CPU_MILLI: u64 = 4000;

/// Number of workers on the rack that goes dark.
const DARK_WORKERS: usize = 6;

/// Begin of the replays, later than any age.
const BEGIN_MS: u64 = 100_000;
const STEP_MS: u64 = 5;
const END_MS: u64 = 90_000;

/// Time after which a list of instances shows a dark rack.
const LIST_MS: u64 = 1600;

/// Order of the waiting steps.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum StepOrder {
    /// By latest start time, as without a division.
    LatestStart,
    /// By time of acceptance.
    Acceptance,
    /// By class, then by latest start time.
    Divided,
}

pub(crate) struct World {
    order: StepOrder,
    jobs: Vec<Arrival>,
    scheduler: Scheduler,
    keys: Vec<WorkerKey>,
    started_ms: Vec<u64>,
    is_dark: Vec<bool>,
    /// Runs with the time of their end.
    running: Vec<BTreeMap<TaskId, (u64, u64)>>,
    ended: Vec<Vec<ListedEnd>>,
    next_end: u64,
    progress: BTreeMap<JobId, (ProgressRecord, u64)>,
    /// Time from the arrival to the end, by job.
    pub(crate) took: Vec<Option<Duration>>,
}

fn configuration(order: StepOrder) -> Arc<Configuration> {
    let mut configuration = Configuration::clone(&common::configuration());
    if order == StepOrder::Acceptance {
        // The latest start time is then that of the acceptance and a constant.
        configuration.queues = common::with_queue(&configuration.queues, "urgent", |queue| {
            queue.slack_factor = 1.0;
            queue.target = ms(1_000_000);
        });
    }
    for workspace in 0..WORKSPACES {
        let entry = Workspace {
            weight: 10,
            ..Workspace::default()
        };
        configuration
            .workspaces
            .insert(format!("w{workspace}"), entry);
    }
    Arc::new(configuration)
}

fn at(now_ms: u64) -> Duration {
    ms(BEGIN_MS + now_ms)
}

impl World {
    pub(crate) fn new(order: StepOrder, jobs: Vec<Arrival>) -> Self {
        let mut world = Self {
            order,
            scheduler: common::scheduler(1, at(0)),
            keys: Vec::new(),
            started_ms: vec![1; WORKERS],
            is_dark: vec![false; WORKERS],
            running: vec![BTreeMap::new(); WORKERS],
            ended: vec![Vec::new(); WORKERS],
            next_end: 0,
            progress: BTreeMap::new(),
            took: vec![None; jobs.len()],
            jobs,
        };
        world.take_over(1, 0, 0);
        world
    }

    /// Replays the jobs until all have ended or the time is over.
    pub(crate) fn run(&mut self, pattern: &Pattern) {
        let mut next = 0;
        for now_ms in (0..END_MS).step_by(STEP_MS as usize) {
            if pattern.takeover_ms == Some(now_ms) {
                self.take_over(2, now_ms, next);
            }
            if let Some(dark_ms) = pattern.dark_ms {
                self.switch_rack(dark_ms, now_ms);
            }
            while self.jobs.get(next).is_some_and(|job| job.at_ms <= now_ms) {
                let mut record = self.jobs[next].record.clone();
                record.accepted_unix_ms = at(now_ms).as_millis() as u64;
                let spec = JobSpec::try_from(&record).expect("the job is usable");
                let id = JobId(next as u64);
                self.scheduler.submit(id, spec, at(now_ms), at(now_ms));
                next += 1;
            }
            self.report_ends(now_ms);
            if now_ms % 50 == 0 {
                self.scheduler.replan();
            }
            self.start(now_ms);
            if next == self.jobs.len() && self.took.iter().all(Option::is_some) {
                return;
            }
        }
    }

    fn take_over(&mut self, token: u64, now_ms: u64, jobs: usize) {
        let now = at(now_ms);
        let mut scheduler = common::scheduler(token, now);
        scheduler.configure(configuration(self.order), Arc::default());
        scheduler.set_wall_clock(now, now);
        scheduler.set_division(self.order == StepOrder::Divided);
        for (number, job) in self.jobs[..jobs].iter().enumerate() {
            if self.took[number].is_none() {
                let id = JobId(number as u64);
                let mut record = job.record.clone();
                record.accepted_unix_ms = at(job.at_ms).as_millis() as u64;
                let progress = self.progress.get(&id);
                let progress = progress.map(|(record, revision)| (record, *revision));
                let restored = scheduler.restore(id, &record, progress, now);
                restored.expect("the job is usable");
            }
        }
        scheduler.open_due_jobs(now);
        let reports = (0..WORKERS).map(|index| self.report(index));
        self.keys = reports
            .map(|report| scheduler.on_report(report, now).0)
            .collect();
        let granted = scheduler.granted();
        scheduler.on_granted_stored(&granted);
        self.scheduler = scheduler;
        for index in 0..WORKERS {
            if !self.is_dark[index] {
                self.read_status(index, now_ms);
            }
        }
    }

    fn report(&self, index: usize) -> WorkerReport {
        WorkerReport {
            started_unix_ms: self.started_ms[index],
            ..common::report(index, "dc")
        }
    }

    fn read_status(&mut self, index: usize, now_ms: u64) {
        let running = self.running[index].iter();
        let status = WorkerStatus {
            running: running
                .map(|(&task, &(attempt, _))| common::running(task, attempt, 0))
                .collect(),
            ended: std::mem::take(&mut self.ended[index]),
            started_unix_ms: self.started_ms[index],
            ..common::status_at(at(now_ms))
        };
        let key = self.keys[index];
        self.scheduler.on_worker_status(key, &status, at(now_ms));
    }

    fn switch_rack(&mut self, (begin_ms, end_ms): (u64, u64), now_ms: u64) {
        if now_ms == begin_ms {
            for index in 0..DARK_WORKERS {
                self.is_dark[index] = true;
                self.running[index].clear();
                self.ended[index].clear();
            }
        }
        if now_ms == begin_ms + LIST_MS || now_ms == end_ms {
            let state = |index| match index < DARK_WORKERS && now_ms < end_ms {
                true => InstanceState::Down,
                false => InstanceState::Up,
            };
            let list = (0..WORKERS).map(|index| common::instance(index, "work", state(index)));
            let (list, now) = (list.collect(), at(now_ms));
            self.scheduler.on_instances(list, now - ms(1), now);
        }
        if now_ms == end_ms {
            for index in 0..DARK_WORKERS {
                self.is_dark[index] = false;
                self.started_ms[index] = 2;
                self.keys[index] = self.scheduler.on_report(self.report(index), at(now_ms)).0;
            }
            let granted = self.scheduler.granted();
            self.scheduler.on_granted_stored(&granted);
            (0..DARK_WORKERS).for_each(|index| self.read_status(index, now_ms));
        }
    }

    fn report_ends(&mut self, now_ms: u64) {
        for index in 0..WORKERS {
            let runs = std::mem::take(&mut self.running[index]);
            let (over, left): (BTreeMap<_, _>, _) = runs
                .into_iter()
                .partition(|(_, (_, end_ms))| *end_ms <= now_ms);
            self.running[index] = left;
            for (task, (attempt, _)) in over {
                self.next_end += 1;
                let end = common::ended(self.next_end, task, attempt, RunOutcome::Done);
                self.ended[index].push(end);
            }
            if !self.ended[index].is_empty() {
                self.read_status(index, now_ms);
            }
        }
        for change in self.scheduler.take_changes(usize::MAX) {
            let revision = change.expected_revision + 1;
            let id = change.job;
            if change.is_final {
                let arrived = self.jobs[id.0 as usize].at_ms;
                self.took[id.0 as usize].get_or_insert(ms(now_ms - arrived));
            }
            self.progress.insert(id, (change.record, revision));
            self.scheduler.on_stored(id, change.number, revision);
        }
    }

    fn start(&mut self, now_ms: u64) {
        let now = at(now_ms);
        for order in self.scheduler.plan(now) {
            let Some(index) = self.keys.iter().position(|key| *key == order.worker) else {
                continue;
            };
            if self.is_dark[index] {
                continue;
            }
            if let Order::Start { task, attempt, .. } = &order.order {
                let steps = &self.jobs[task.step.job.0 as usize].record.steps;
                let estimated_ms = steps[task.step.step as usize].estimated_ms;
                let end_ms = now_ms + duration_ms(*task, estimated_ms);
                self.running[index].insert(*task, (*attempt, end_ms));
            }
            self.scheduler.lease_end(order.worker, true, now);
            self.scheduler
                .on_answer(order.worker, &order.order, Answer::Done, false, now);
        }
    }
}

/// Returns the run time of a task. Estimates are off by half, and some tasks take several
/// times as long.
fn duration_ms(task: TaskId, estimated_ms: u32) -> u64 {
    let seed = task.step.job.0 << 32 | u64::from(task.step.step << 16 | task.index);
    let mut random = StdRng::seed_from_u64(seed);
    let factor = match random.random_bool(0.03) {
        true => 7.0,
        false => random.random_range(0.5..1.5),
    };
    (f64::from(estimated_ms) * factor) as u64
}

/// Returns the processor time of a job, as the time for which it takes the whole pool.
pub(crate) fn pool_ms(number: usize, job: &Arrival) -> f64 {
    let mut work = 0;
    for (step, of_step) in job.record.steps.iter().enumerate() {
        let cpu_milli = of_step.room.as_ref().map_or(0, |room| room.cpu_milli);
        for index in 0..of_step.count {
            let task = common::task(number as u64, step as u32, index);
            work += cpu_milli * duration_ms(task, of_step.estimated_ms);
        }
    }
    work as f64 / (WORKERS as u64 * CPU_MILLI) as f64
}
