//! Ends of runs and answers to orders.

use std::time::Duration;

use crate::{
    job::RunState,
    Answer,
    Order,
    RunOutcome,
    Scheduler,
    StepId,
    TaskId,
    WorkerKey, //
};

/// Pause before a task is started again after its first failed run; doubled with
/// each further one.
const FIRST_RETRY_PAUSE: Duration = Duration::from_millis(50);

/// Longest pause before a task is started again.
const LONGEST_RETRY_PAUSE: Duration = Duration::from_millis(800);

/// Failed runs of one task after which its job is taken for one that may never
/// be done; the workers are not blamed for it any more.
const FAILURES_OF_THE_TASK: usize = 2;

/// The end of a run.
pub(crate) struct RunEnd<'a> {
    pub(crate) task: TaskId,
    pub(crate) attempt: u32,
    pub(crate) outcome: RunOutcome,
    pub(crate) checkpoint: &'a str,
}

impl Scheduler {
    /// Notes the end of a run; returns the change of the job that must be stored
    /// before the end is acknowledged, 0 for none.
    pub(crate) fn end_run(&mut self, key: WorkerKey, end: &RunEnd<'_>, now: Duration) -> u64 {
        self.needs_plan = true;
        let (task, attempt) = (end.task, end.attempt);
        if let Some(worker) = self.workers.get_mut(&key) {
            if let Some(booked) = worker.free(task, attempt) {
                let workspace = self.workspace_of(task.step.job);
                self.subtract_usage(workspace, &booked.resources);
            }
        }
        let max_attempts = self.max_attempts(task);
        let Some(job) = self.jobs.get_mut(&task.step.job) else {
            return 0;
        };
        if task.step.step as usize >= job.spec.steps.len() {
            return 0;
        }
        if task.step.occurrence >= job.spec.occurrences() {
            return 0;
        }
        // The end may be listed before the occurrence is opened by its time.
        job.ensure(task.step.occurrence);
        let is_lasting = job.spec.steps[task.step.step as usize].is_lasting;
        if let Some(state) = job.task(task.step, task.index) {
            state
                .runs
                .retain(|run| !(run.worker == key && run.attempt == attempt));
            state.next_attempt = state.next_attempt.max(attempt + 1);
            if !end.checkpoint.is_empty() {
                end.checkpoint.clone_into(&mut state.checkpoint);
            }
        }
        job.has_begun = true;
        log::debug!(
            task:%, attempt, how:? = end.outcome, worker = key.0; "run_ended"
        );
        let change = match end.outcome {
            RunOutcome::Done if !is_lasting => self.note_done(key, task, now),
            RunOutcome::Failed => self.note_failed(key, end, max_attempts, now),
            _ => 0,
        };
        self.make_ready(task.step);
        change
    }

    /// Ends a run that is known to be gone although no end was listed.
    pub(crate) fn lapse_run(&mut self, key: WorkerKey, task: TaskId, attempt: u32, now: Duration) {
        let end = RunEnd {
            task,
            attempt,
            outcome: RunOutcome::Lapsed,
            checkpoint: "",
        };
        self.end_run(key, &end, now);
    }

    fn note_done(&mut self, key: WorkerKey, task: TaskId, now: Duration) -> u64 {
        if let Some(worker) = self.workers.get_mut(&key) {
            worker.health.on_done();
        }
        let Some(job) = self.jobs.get_mut(&task.step.job) else {
            return 0;
        };
        if !job.is_open() {
            // Nothing more of the job is stored than its end.
            return job.changes;
        }
        let is_new = job.complete(task.step, task.index);
        let changes = job.changes;
        let has_ended = !job.is_open();
        if is_new {
            self.stop_other_runs(task);
            self.list_followers(task.step);
        }
        if has_ended {
            self.end_job(task.step.job, now);
        } else {
            self.mark_dirty(task.step.job);
        }
        changes
    }

    /// Stops the other runs of a task that is done, and of the gang that the
    /// task belongs to.
    fn stop_other_runs(&mut self, task: TaskId) {
        let Some(job) = self.jobs.get_mut(&task.step.job) else {
            return;
        };
        let mut others = Vec::new();
        if let Some(step) = job.step(task.step) {
            for (index, state) in step.tasks.iter().enumerate().filter(|(_, t)| t.is_done) {
                for run in &state.runs {
                    others.push((run.worker, task.step.task(index as u32), run.attempt));
                }
            }
        }
        let is_gang = job.spec.steps[task.step.step as usize].is_gang;
        for (worker, other, attempt) in others {
            // The members of a gang end together by themselves.
            if !is_gang {
                self.stop(worker, other, attempt);
            }
        }
    }

    fn list_followers(&mut self, step: StepId) {
        let Some(job) = self.jobs.get(&step.job) else {
            return;
        };
        let waits = |(_, candidate): &(usize, &crate::Step)| candidate.after.contains(&step.step);
        let followers: Vec<u32> = job
            .spec
            .steps
            .iter()
            .enumerate()
            .filter(waits)
            .map(|(index, _)| index as u32)
            .collect();
        for follower in followers {
            self.make_ready(StepId {
                step: follower,
                ..step
            });
        }
    }

    fn note_failed(
        &mut self,
        key: WorkerKey,
        end: &RunEnd<'_>,
        max_attempts: u32,
        now: Duration,
    ) -> u64 {
        let task = end.task;
        let Some(job) = self.jobs.get_mut(&task.step.job) else {
            return 0;
        };
        if !job.is_open() {
            return job.changes;
        }
        let is_lasting = job.spec.steps[task.step.step as usize].is_lasting;
        job.fail(task.step, task.index, end.attempt, max_attempts);
        let changes = if is_lasting { 0 } else { job.changes };
        let has_ended = !job.is_open();
        let mut failures = 0;
        if let Some(state) = job.task(task.step, task.index) {
            failures = state.failed_attempts.len();
            state.avoid = Some(key);
            let doublings = failures.saturating_sub(1).min(8) as u32;
            let pause = (FIRST_RETRY_PAUSE * 2_u32.pow(doublings)).min(LONGEST_RETRY_PAUSE);
            state.not_before = now + pause;
        }
        // A job that fails everywhere says nothing of its workers.
        if failures < FAILURES_OF_THE_TASK {
            if let Some(worker) = self.workers.get_mut(&key) {
                if worker.health.on_failed(task.step.job, now) {
                    log::warn!(worker = worker.report.id; "worker_set_aside");
                }
            }
        }
        if has_ended {
            self.end_job(task.step.job, now);
        } else if !is_lasting {
            self.mark_dirty(task.step.job);
        }
        changes
    }

    fn max_attempts(&self, task: TaskId) -> u32 {
        let job = self.jobs.get(&task.step.job);
        let queue = job.and_then(|job| self.configuration.queue(&job.spec.queue));
        // Without its queue nothing of the job is started.
        queue.map_or(u32::MAX, |queue| queue.max_attempts.max(1))
    }

    pub(crate) fn subtract_usage(
        &mut self,
        workspace: Option<String>,
        resources: &crate::Resources,
    ) {
        if let Some(usage) = workspace.and_then(|name| self.usage.get_mut(&name)) {
            usage.subtract(resources);
        }
    }

    /// Returns whether an order is still to be sent.
    pub fn is_wanted(&self, key: WorkerKey, order: &Order) -> bool {
        let (task, attempt) = order.run();
        let Some(worker) = self.workers.get(&key) else {
            return false;
        };
        let booked = worker
            .booked
            .get(&task)
            .filter(|booked| booked.attempt == attempt);
        match order {
            Order::Start { .. } => booked.is_some_and(|booked| !booked.is_stopping),
            Order::Stop { .. } => booked.is_some() || worker.booked.contains_key(&task),
            Order::Pace { percent, .. } => {
                booked.is_some_and(|booked| booked.pace_percent == *percent)
            }
        }
    }

    /// Notes the answer to an order; returns whether it is to be given again.
    /// `may_come_late` tells that the order was sent before without an answer, so
    /// that it may still be carried out.
    pub fn on_answer(
        &mut self,
        key: WorkerKey,
        order: &Order,
        answer: Answer,
        may_come_late: bool,
        now: Duration,
    ) -> bool {
        let (task, attempt) = order.run();
        if answer == Answer::OtherWorker {
            self.on_other_worker(key, now);
            return false;
        }
        if let Some(worker) = self.workers.get_mut(&key) {
            worker.on_answer(now);
        }
        match order {
            Order::Start { .. } => {
                let refuses = matches!(answer, Answer::NoRoom | Answer::Unhealthy | Answer::Ticket);
                if refuses && may_come_late {
                    // The answer to the stop settles that it never starts.
                    self.stop(key, task, attempt);
                } else {
                    self.on_start_answer(key, task, attempt, answer, now);
                }
                false
            }
            Order::Stop { .. } => {
                let settles = matches!(answer, Answer::Done | Answer::Old);
                self.confirm(key, task, attempt, settles.then_some(now));
                // A worker that refuses as unhealthy lets the task run on.
                !settles && answer != Answer::Fenced
            }
            Order::Pace { .. } => false,
        }
    }

    fn on_start_answer(
        &mut self,
        key: WorkerKey,
        task: TaskId,
        attempt: u32,
        answer: Answer,
        now: Duration,
    ) {
        match answer {
            Answer::Done => {
                if let Some(run) = self.run_mut(key, task, attempt) {
                    let took = now.saturating_sub(run.ordered_at);
                    if run.state == RunState::Ordered {
                        run.state = RunState::Running;
                    }
                    run.advanced_at = now;
                    self.overload.on_answered(took);
                }
                if let Some(job) = self.jobs.get_mut(&task.step.job) {
                    job.has_begun = true;
                }
                self.confirm(key, task, attempt, Some(now));
            }
            // The run may have ended already; the next look tells.
            Answer::Old => self.confirm(key, task, attempt, Some(now)),
            // The answer of another worker ends this one before.
            Answer::Fenced | Answer::OtherWorker => {}
            Answer::Ticket => {
                log::info!(task:%, attempt, worker = key.0; "ticket_refused");
                self.drop_ticket(task.step, key);
                self.lapse_run(key, task, attempt, now);
            }
            Answer::Late | Answer::NoRoom | Answer::Unhealthy => {
                if let Some(worker) = self.workers.get_mut(&key) {
                    worker.health.on_refused(now);
                    log::warn!(
                        task:%, attempt, worker = worker.report.id, answer:?; "start_refused"
                    );
                }
                self.lapse_run(key, task, attempt, now);
            }
        }
    }

    fn confirm(&mut self, key: WorkerKey, task: TaskId, attempt: u32, at: Option<Duration>) {
        let worker = self.workers.get_mut(&key);
        let booked = worker.and_then(|worker| worker.booked.get_mut(&task));
        if let Some(booked) = booked.filter(|booked| booked.attempt == attempt) {
            booked.confirmed_at = booked.confirmed_at.max(at);
        }
    }
}
