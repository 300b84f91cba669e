//! Workers whose runs make progress at different speeds, and the rules for starts.

use std::{
    collections::{
        BTreeMap,
        BTreeSet, //
    },
    time::Duration, //
};

use dotterelsill_jobs::{
    Answer,
    JobId,
    ListedEnd,
    Order,
    RunOutcome,
    Scheduler,
    TaskId,
    WorkerKey,
    WorkerOrder,
    WorkerStatus, //
};
use dotterelsill_proto::jobs::JobRecord;

use crate::common::{
    add_worker,
    ended,
    ms,
    running,
    scheduler,
    status_at,
    submit, //
};

/// Time of one step of the simulation.
const STEP: Duration = Duration::from_millis(10);

/// Longest wait of a status call.
const STATUS_WAIT: Duration = Duration::from_millis(1500);

/// Time that a run takes to stop.
const STOP_TIME: Duration = Duration::from_millis(400);

/// Run time of a task on a worker of usual speed.
pub(crate) const RUN_TIME: Duration = Duration::from_millis(1000);

struct SimRun {
    attempt: u64,
    done: Duration,
    /// Factor on the run time of this run.
    factor: u32,
    stops_at: Option<Duration>,
}

pub(crate) struct SimWorker {
    pub(crate) key: WorkerKey,
    /// Factor on the run time of all runs.
    pub(crate) factor: u32,
    pub(crate) is_silent: bool,
    runs: BTreeMap<TaskId, SimRun>,
    ended: Vec<ListedEnd>,
    next_end: u64,
    looked_at: Duration,
}

/// A start that was ordered.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Started {
    pub(crate) task: TaskId,
    pub(crate) worker: usize,
    pub(crate) attempt: u64,
}

pub(crate) struct Sim {
    pub(crate) scheduler: Scheduler,
    pub(crate) now: Duration,
    pub(crate) workers: Vec<SimWorker>,
    pub(crate) starts: Vec<Started>,
    pub(crate) stops: Vec<TaskId>,
    /// Factor on the run time of a start, by its number among all starts.
    pub(crate) straggles: fn(usize, TaskId) -> u32,
    pub(crate) done_at: BTreeMap<TaskId, Duration>,
    /// Whether the tasks reserve no processor time.
    pub(crate) are_fillers: bool,
    speculative: BTreeSet<JobId>,
}

impl Sim {
    pub(crate) fn new(workers: usize) -> Self {
        let mut scheduler = scheduler(7, ms(1000));
        let now = ms(1000);
        let worker = |index| SimWorker {
            key: add_worker(&mut scheduler, index, now),
            factor: 1,
            is_silent: false,
            runs: BTreeMap::new(),
            ended: Vec::new(),
            next_end: 1,
            looked_at: now,
        };
        Self {
            workers: (0..workers).map(worker).collect(),
            scheduler,
            now,
            starts: Vec::new(),
            stops: Vec::new(),
            straggles: |_, _| 1,
            done_at: BTreeMap::new(),
            are_fillers: false,
            speculative: BTreeSet::new(),
        }
    }

    pub(crate) fn submit(&mut self, id: u64, record: &JobRecord) {
        if record.steps.iter().all(|step| step.is_speculative) {
            self.speculative.insert(JobId(id));
        }
        submit(&mut self.scheduler, id, record, self.now);
    }

    /// Runs until a time.
    pub(crate) fn run_until(&mut self, end: Duration) {
        while self.now < end {
            self.now += STEP;
            self.advance();
            for index in 0..self.workers.len() {
                self.look(index);
            }
            self.scheduler.replan();
            for order in self.scheduler.plan(self.now) {
                self.carry_out(&order);
            }
            self.check();
        }
    }

    /// Replaces the scheduler by one that takes over.
    pub(crate) fn take_over(&mut self, token: u64, jobs: &[(u64, JobRecord)]) {
        let mut next = scheduler(token, self.now);
        for worker in &self.scheduler.granted() {
            next.restore_granted_worker(worker, self.now);
        }
        for (id, record) in jobs {
            next.restore(JobId(*id), record, None, self.now)
                .expect("the job is usable");
        }
        next.open_due_jobs(self.now);
        for (index, worker) in self.workers.iter_mut().enumerate() {
            let report = crate::common::report(index, "dc");
            worker.key = next.on_report(report, self.now).0;
            worker.looked_at = Duration::ZERO;
        }
        let granted = next.granted();
        next.on_granted_stored(&granted);
        self.scheduler = next;
    }

    /// Returns the starts of a task.
    pub(crate) fn starts_of(&self, task: TaskId) -> Vec<Started> {
        let of_task = self.starts.iter().filter(|start| start.task == task);
        of_task.copied().collect()
    }

    /// Returns the number of tasks that were started more than once.
    pub(crate) fn tasks_started_again(&self) -> usize {
        let tasks: BTreeSet<TaskId> = self.starts.iter().map(|start| start.task).collect();
        self.starts.len() - tasks.len()
    }

    /// Returns the workers that run a task.
    pub(crate) fn runs_on(&self, task: TaskId) -> Vec<usize> {
        let runs = |(_, worker): &(usize, &SimWorker)| worker.runs.contains_key(&task);
        let workers = self.workers.iter().enumerate().filter(runs);
        workers.map(|(index, _)| index).collect()
    }

    fn advance(&mut self) {
        for worker in &mut self.workers {
            let mut over = Vec::new();
            for (task, run) in &mut worker.runs {
                run.done += STEP / (worker.factor * run.factor);
                if run.done >= RUN_TIME {
                    over.push((*task, run.attempt, RunOutcome::Done));
                    self.done_at.entry(*task).or_insert(self.now);
                } else if run.stops_at.is_some_and(|at| at <= self.now) {
                    over.push((*task, run.attempt, RunOutcome::Stopped));
                }
            }
            for (task, attempt, outcome) in over {
                worker.runs.remove(&task);
                worker
                    .ended
                    .push(ended(worker.next_end, task, attempt, outcome));
                worker.next_end += 1;
            }
        }
    }

    /// Reads the status of a worker that has an end to report, or after the longest wait.
    fn look(&mut self, index: usize) {
        let now = self.now;
        let worker = &mut self.workers[index];
        let is_due = !worker.ended.is_empty() || now >= worker.looked_at + STATUS_WAIT;
        if worker.is_silent || !is_due {
            return;
        }
        worker.looked_at = now;
        let percent = |run: &SimRun| (run.done.as_millis() * 100 / RUN_TIME.as_millis()) as u32;
        let status = WorkerStatus {
            running: worker
                .runs
                .iter()
                .map(|(task, run)| running(*task, run.attempt, percent(run)))
                .collect(),
            ended: worker.ended.clone(),
            ..status_at(now)
        };
        let key = worker.key;
        self.scheduler.lease_end(key, true, now);
        self.scheduler.on_worker_status(key, &status, now);
        for change in self.scheduler.take_changes(100) {
            let revision = change.expected_revision + 1;
            self.scheduler
                .on_stored(change.job, change.number, revision);
        }
        let acknowledged = self.scheduler.acknowledged(key);
        let ended = &mut self.workers[index].ended;
        ended.retain(|end| end.number > acknowledged);
    }

    fn carry_out(&mut self, order: &WorkerOrder) {
        let is_it = |worker: &SimWorker| worker.key == order.worker;
        let index = self.workers.iter().position(is_it);
        let index = index.expect("orders go to known workers");
        let (task, attempt) = order.order.run();
        match order.order {
            Order::Start { .. } => {
                self.check_start(task, attempt);
                let factor = (self.straggles)(self.starts.len(), task);
                self.starts.push(Started {
                    task,
                    worker: index,
                    attempt,
                });
                let run = SimRun {
                    attempt,
                    done: Duration::ZERO,
                    factor,
                    stops_at: None,
                };
                let other = self.workers[index].runs.insert(task, run);
                assert!(other.is_none(), "{task} runs twice on one worker");
            }
            Order::Stop { .. } => {
                self.stops.push(task);
                if let Some(run) = self.workers[index].runs.get_mut(&task) {
                    run.stops_at = Some(self.now + STOP_TIME);
                }
            }
            Order::Pace { .. } => {}
        }
        self.scheduler.lease_end(order.worker, true, self.now);
        self.scheduler
            .on_answer(order.worker, &order.order, Answer::Done, false, self.now);
    }

    /// Checks that a start is allowed: attempts rise, nothing is started after it was
    /// done, and another run may be active only of a speculative task.
    fn check_start(&self, task: TaskId, attempt: u64) {
        for earlier in self.starts_of(task) {
            assert!(attempt > earlier.attempt, "attempts of {task} rise");
        }
        let is_done = self.workers.iter().any(|worker| {
            let mut ends = worker.ended.iter();
            ends.any(|end| end.task == task && end.outcome == RunOutcome::Done)
        });
        assert!(
            !is_done && !self.done_at.contains_key(&task),
            "{task} is started after it was done"
        );
        let most = usize::from(self.speculative.contains(&task.step.job));
        assert!(self.runs_on(task).len() <= most, "{task} still runs");
    }

    /// Checks that no worker runs more than fits.
    fn check(&self) {
        for worker in &self.workers {
            assert!(
                self.are_fillers || worker.runs.len() <= 4,
                "four tasks fit on a worker"
            );
        }
    }
}
