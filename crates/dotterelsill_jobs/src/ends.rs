//! Ends of runs and responses to orders.

use std::time::Duration;

use crate::{
    given_up::{
        Evidence,
        GivenUpReason, //
    },
    job::{
        LastEnd,
        Run,
        RunState, //
    },
    Answer,
    JobSpec,
    Order,
    RunOutcome,
    Scheduler,
    StepId,
    TaskId,
    WorkerKey, //
};

/// Delay before a task is restarted after its first failed run; it doubles with
/// each further failure.
const INITIAL_RETRY_DELAY: Duration = Duration::from_millis(50);

/// Maximum delay before a task is restarted.
const MAX_RETRY_DELAY: Duration = Duration::from_millis(800);

/// Number of failed runs after which the task itself is presumed to be faulty, and
/// further failures are no longer held against the workers.
const TASK_FAILURE_THRESHOLD: usize = 2;

/// The end of a run.
pub(crate) struct RunEnd<'a> {
    pub(crate) task: TaskId,
    pub(crate) attempt: u64,
    pub(crate) outcome: RunOutcome,
    pub(crate) checkpoint: &'a str,
    /// Why the run is given up if the worker reported no end.
    pub(crate) given_up: Option<GivenUpReason>,
}

impl Scheduler {
    /// Handles the end of a run; returns the number of the job's change that must
    /// be stored before the end is acknowledged, 0 for none.
    pub(crate) fn end_run(&mut self, key: WorkerKey, end: &RunEnd<'_>, now: Duration) -> u64 {
        self.needs_plan = true;
        let (task, attempt) = (end.task, end.attempt);
        if let Some(worker) = self.workers.get_mut(&key) {
            if let Some(booked) = worker.release(task, attempt) {
                if let Some(until) = booked.unbound_until.filter(|until| now < *until) {
                    // The life that lists the end refuses the start.
                    let settled_at = match end.given_up {
                        None => now,
                        Some(_) => booked.confirmed_at.unwrap_or_default(),
                    };
                    worker.late_starts.add(task, attempt, until, settled_at);
                }
                let workspace = self.workspace_of(task.step.job);
                self.subtract_usage(workspace, &booked.resources);
            }
        }
        let Some(job) = self.jobs.get(&task.step.job) else {
            return 0;
        };
        let max_attempts = self.max_attempts(&job.spec);
        if task.step.step as usize >= job.spec.steps.len() {
            return 0;
        }
        if task.step.occurrence >= job.spec.occurrences() {
            return 0;
        }
        // The worker may report the end before the occurrence was opened as due.
        self.reopen_occurrence(task.step.job, task.step.occurrence);
        let Some(job) = self.jobs.get_mut(&task.step.job) else {
            return 0;
        };
        let is_lasting = job.spec.steps[task.step.step as usize].is_lasting;
        let mut ended = None;
        if let Some(state) = job.task(task.step, task.index) {
            let is_ended = |run: &Run| run.worker == key && run.attempt == attempt;
            let position = state.runs.iter().position(is_ended);
            ended = position.map(|position| state.runs.remove(position));
            state.next_attempt = state.next_attempt.max(attempt + 1);
        }
        job.note_checkpoint(task.step, task.index, end.checkpoint);
        let change = match end.outcome {
            RunOutcome::Done if !is_lasting => {
                if let Some(run) = &ended {
                    self.note_run_time(key, task, &run.speed, now);
                }
                let is_copy = ended.as_ref().is_some_and(|run| run.is_copy);
                self.note_done(key, task, is_copy, now)
            }
            RunOutcome::Failed => self.note_failed(key, end, max_attempts, now),
            _ => 0,
        };
        self.record_last_end(key, end, now);
        if let Some(job) = self.jobs.get_mut(&task.step.job) {
            job.drop_if_over(task.step.occurrence);
        }
        self.shrink_if_over(task.step.job);
        self.make_ready(task.step);
        change
    }

    /// Ends a run that is known to be gone although the worker reported no end.
    pub(crate) fn lapse_run(
        &mut self,
        key: WorkerKey,
        task: TaskId,
        attempt: u64,
        evidence: Evidence,
        now: Duration,
    ) {
        self.record_given_up(key, task, attempt, evidence, now);
        let needs_authority = self.must_restart_with_authority(key, task, evidence.reason);
        let end = RunEnd {
            task,
            attempt,
            outcome: RunOutcome::Lapsed,
            checkpoint: "",
            given_up: Some(evidence.reason),
        };
        self.end_run(key, &end, now);
        let job = self.jobs.get_mut(&task.step.job);
        if let Some(state) = job.and_then(|job| job.task(task.step, task.index)) {
            state.needs_authority |= needs_authority;
        }
    }

    /// Returns whether a later scheduler may have seen the end `done` of a run that is
    /// given up: without authority, and unless the life that had the run shows to this
    /// scheduler that it is gone. A later one would have told that life its higher token.
    fn must_restart_with_authority(
        &self,
        key: WorkerKey,
        task: TaskId,
        reason: GivenUpReason,
    ) -> bool {
        let Some(worker) = self.workers.get(&key) else {
            return false;
        };
        let Some(booked) = worker.booked.get(&task) else {
            return false;
        };
        match reason {
            GivenUpReason::StartRefused | GivenUpReason::TicketRefused => false,
            // A start that waited for authority was not sent.
            GivenUpReason::StartWithdrawn => booked.needs_authority,
            GivenUpReason::NotListed if booked.life_since == worker.life.since => false,
            _ => !self.has_authority,
        }
    }

    /// Gives up a run that the worker did not start.
    pub(crate) fn lapse_start(
        &mut self,
        key: WorkerKey,
        task: TaskId,
        attempt: u64,
        reason: GivenUpReason,
        now: Duration,
    ) {
        self.lapse_run(key, task, attempt, Evidence { reason, at: now }, now);
        self.stop_rest_of_gang(task, attempt);
    }

    /// Stops the other members of a gang of which one is not started: they would wait for
    /// it until the worker ends them.
    pub(crate) fn stop_rest_of_gang(&mut self, task: TaskId, attempt: u64) {
        let Some(job) = self.jobs.get_mut(&task.step.job) else {
            return;
        };
        let step = job.spec.steps.get(task.step.step as usize);
        if !step.is_some_and(|step| step.is_gang) {
            return;
        }
        let mut others = Vec::new();
        if let Some(step) = job.step(task.step) {
            for (index, state) in step.tasks.iter().enumerate() {
                let other = task.step.task(index as u32);
                let members = state.runs.iter().filter(|run| run.attempt == attempt);
                others.extend(members.map(|run| (run.worker, other)));
            }
        }
        for (worker, other) in others.into_iter().filter(|(_, other)| *other != task) {
            self.stop(worker, other, attempt);
        }
    }

    /// Records the end of a run for the log line of the task's next start.
    fn record_last_end(&mut self, key: WorkerKey, end: &RunEnd<'_>, now: Duration) {
        let Some(worker) = self.workers.get(&key) else {
            return;
        };
        let last_end = LastEnd {
            attempt: end.attempt,
            worker: worker.report.id.clone(),
            outcome: end.outcome,
            given_up: end
                .given_up
                .or_else(|| self.given_up.reason(end.task, end.attempt)),
            at: now,
        };
        let job = self.jobs.get_mut(&end.task.step.job);
        if let Some(state) = job.and_then(|job| job.task(end.task.step, end.task.index)) {
            state.last_end = Some(Box::new(last_end));
        }
    }

    fn note_done(&mut self, key: WorkerKey, task: TaskId, is_copy: bool, now: Duration) -> u64 {
        if let Some(worker) = self.workers.get_mut(&key) {
            worker.life.health.on_done();
        }
        let Some(job) = self.jobs.get_mut(&task.step.job) else {
            return 0;
        };
        if !job.is_open() {
            // Only the end of the job is stored from now on.
            return job.changes;
        }
        let has_other_run = job
            .task(task.step, task.index)
            .is_some_and(|task| !task.runs.is_empty());
        let is_new = job.complete(task.step, task.index);
        let changes = job.changes;
        let has_ended = !job.is_open();
        if is_new {
            if is_copy && has_other_run {
                self.stragglers.counts.copies_ended_first += 1;
            }
            self.stop_other_runs(task);
            self.make_successors_ready(task.step);
        }
        if has_ended {
            self.end_job(task.step.job, now);
        } else {
            self.mark_dirty(task.step.job);
        }
        changes
    }

    /// Stops the other runs of a task that is done, and of its gang's tasks.
    fn stop_other_runs(&mut self, task: TaskId) {
        let Some(job) = self.jobs.get_mut(&task.step.job) else {
            return;
        };
        let mut others = Vec::new();
        if let Some(step) = job.step(task.step) {
            let changed = step.tasks.changed().iter().enumerate();
            for (index, state) in changed.filter(|(_, task)| task.is_done) {
                for run in &state.runs {
                    others.push((run.worker, task.step.task(index as u32), run.attempt));
                }
            }
        }
        let is_gang = job.spec.steps[task.step.step as usize].is_gang;
        for (worker, other, attempt) in others {
            // The members of a gang end together without an order.
            if !is_gang {
                self.stop(worker, other, attempt);
            }
        }
    }

    fn make_successors_ready(&mut self, step: StepId) {
        let Some(job) = self.jobs.get(&step.job) else {
            return;
        };
        let waits = |(_, candidate): &(usize, &crate::Step)| candidate.after.contains(&step.step);
        let successors: Vec<u32> = job
            .spec
            .steps
            .iter()
            .enumerate()
            .filter(waits)
            .map(|(index, _)| index as u32)
            .collect();
        for successor in successors {
            self.make_ready(StepId {
                step: successor,
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
            let pause = (INITIAL_RETRY_DELAY * 2_u32.pow(doublings)).min(MAX_RETRY_DELAY);
            state.not_before = now + pause;
        }
        // A task that fails everywhere is no evidence against its workers.
        if failures < TASK_FAILURE_THRESHOLD {
            if let Some(worker) = self.workers.get_mut(&key) {
                if worker.life.health.on_failed(task.step.job, now) {
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

    /// Returns how often a task of a queue may fail. While the queue is not configured
    /// the number is unknown; no task is started, and the next plan after that checks
    /// it.
    pub(crate) fn max_attempts(&self, spec: &JobSpec) -> u32 {
        let queue = self.configuration.queue_of_job(spec);
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

    /// Handles the response of the worker itself to an order; returns whether the order
    /// must be sent again. [`Self::on_other_worker`] handles that of another worker.
    /// `may_come_late` is set if an earlier attempt got no response and may still be
    /// executed.
    pub fn on_answer(
        &mut self,
        key: WorkerKey,
        order: &Order,
        answer: Answer,
        may_come_late: bool,
        now: Duration,
    ) -> bool {
        if answer == Answer::OtherWorker {
            return false;
        }
        let (task, attempt) = order.run();
        if let Some(worker) = self.workers.get_mut(&key) {
            worker.on_answer(now);
        }
        match order {
            Order::Start { .. } => {
                if !may_come_late && answer != Answer::Unclear {
                    // The only try was answered.
                    self.bind_start(key, task, attempt);
                }
                let refuses = matches!(answer, Answer::NoRoom | Answer::Unhealthy | Answer::Ticket);
                if answer == Answer::Unclear {
                    self.note_refusal(key, task, attempt, answer, now);
                }
                if answer == Answer::Unclear || refuses && may_come_late {
                    // This or the earlier attempt may still start the run; the response
                    // to the stop settles that it never will.
                    self.stop(key, task, attempt);
                } else {
                    self.on_start_answer(key, task, attempt, answer, now);
                }
                false
            }
            Order::Stop { .. } => {
                let settles = matches!(answer, Answer::Done | Answer::Old);
                self.confirm(key, task, attempt, settles.then_some(now));
                if let Some(worker) = self.workers.get_mut(&key).filter(|_| settles) {
                    worker.late_starts.on_stopped(task, attempt, now);
                }
                // A worker that refuses the stop as unhealthy keeps running the
                // task.
                !settles && answer != Answer::Fenced
            }
            Order::Pace { .. } => false,
        }
    }

    fn on_start_answer(
        &mut self,
        key: WorkerKey,
        task: TaskId,
        attempt: u64,
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
                    run.speed.on_begun(now);
                    self.overload.on_answered(took);
                }
                if let Some(job) = self.jobs.get_mut(&task.step.job) {
                    job.note_running(task.step, 0);
                }
                self.confirm(key, task, attempt, Some(now));
            }
            // The run may have ended already; the next status shows it.
            Answer::Old => self.confirm(key, task, attempt, Some(now)),
            Answer::Fenced | Answer::OtherWorker | Answer::Unclear => {}
            Answer::Ticket => {
                log::info!(task:%, attempt, worker = key.0; "ticket_refused");
                self.drop_ticket(task.step, key);
                self.lapse_start(key, task, attempt, GivenUpReason::TicketRefused, now);
            }
            Answer::Late | Answer::NoRoom | Answer::Unhealthy => {
                self.note_refusal(key, task, attempt, answer, now);
                self.lapse_start(key, task, attempt, GivenUpReason::StartRefused, now);
            }
        }
    }

    /// Keeps starts away from a worker for a while that has not accepted one.
    fn note_refusal(
        &mut self,
        key: WorkerKey,
        task: TaskId,
        attempt: u64,
        answer: Answer,
        now: Duration,
    ) {
        if let Some(worker) = self.workers.get_mut(&key) {
            worker.life.health.on_refused(now);
            log::warn!(task:%, attempt, worker = worker.report.id, answer:?; "start_refused");
        }
    }

    /// Records that no try of a start is under way any more.
    pub(crate) fn bind_start(&mut self, key: WorkerKey, task: TaskId, attempt: u64) {
        let worker = self.workers.get_mut(&key);
        let booked = worker.and_then(|worker| worker.booked.get_mut(&task));
        if let Some(booked) = booked.filter(|booked| booked.attempt == attempt) {
            booked.unbound_until = None;
        }
    }

    fn confirm(&mut self, key: WorkerKey, task: TaskId, attempt: u64, at: Option<Duration>) {
        let worker = self.workers.get_mut(&key);
        let booked = worker.and_then(|worker| worker.booked.get_mut(&task));
        if let Some(booked) = booked.filter(|booked| booked.attempt == attempt) {
            booked.confirmed_at = booked.confirmed_at.max(at);
        }
    }
}
