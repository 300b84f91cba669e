//! The status of a worker: runs and ends that it lists.

use std::time::Duration;

use log::Level;

use crate::{
    ends::RunEnd,
    given_up::{
        Evidence,
        GivenUpReason, //
    },
    granted::MAX_ORDER_DELAY,
    job::{
        Job,
        Run, //
    },
    life::PendingEnd,
    order::MAX_LISTED_ENDS,
    run_times::{
        RunSpeed,
        MAX_RUNS, //
    },
    worker::BookedRun,
    ListedEnd,
    ListedRun,
    Resources,
    RunOutcome,
    RunState,
    Scheduler,
    TaskId,
    WorkerKey,
    WorkerStatus, //
};

/// Processor time reserved for a task of an unknown job: more than any worker has,
/// so that the worker counts as full.
const UNKNOWN_TASK_CPU_MILLI: u64 = 1_000_000;

impl Scheduler {
    /// Handles the status of a worker.
    pub fn on_worker_status(&mut self, key: WorkerKey, status: &WorkerStatus, now: Duration) {
        let Some(worker) = self.workers.get_mut(&key) else {
            return;
        };
        let longest = self.limits.max_lease;
        if !worker.on_started(status.started_unix_ms, Some(status.sent_at), longest, now) {
            return;
        }
        if status.started_unix_ms == 0 {
            worker.on_clock_without_start(status.worker_ms, status.sent_at, longest, now);
        }
        if !worker.life.on_status_answered(status.sent_at, now) {
            log::info!(worker = worker.report.id; "status_of_an_ended_life_ignored");
            return;
        }
        worker.on_status(status.sent_at, status.read_at);
        let life = &mut worker.life;
        life.on_clock(status.worker_ms, status.sent_at, status.read_at);
        life.on_status_read(longest, status.read_at);
        let was_known = worker.life.is_known;
        worker.life.is_known = true;
        if !was_known {
            self.needs_plan = true;
        }
        worker.life.set_unreadable_end(status.unreadable_end);
        for end in &status.ended {
            self.note_listed_end(key, end, now);
        }
        if let Some(worker) = self.workers.get_mut(&key) {
            worker.life.on_ends_processed();
        }
        let mut adopted = 0_u64;
        for run in &status.running {
            adopted += u64::from(self.note_listed_run(key, run, now));
        }
        if !was_known {
            self.log_first_status(key, status, adopted);
        }
        if status.ended.len() < MAX_LISTED_ENDS && !status.has_unreadable_rows {
            self.end_unlisted_runs(key, status, now);
        }
        self.settle_late_starts(key);
        self.judge_worker(key, status, now);
        self.acknowledge_stored(key);
        self.pace_fillers(key);
    }

    /// Logs the first status of a life that is read under this scheduler's token, or the
    /// first one after its lease has lapsed.
    fn log_first_status(&self, key: WorkerKey, status: &WorkerStatus, adopted: u64) {
        if let Some(worker) = self.workers.get(&key) {
            // New workers, of which there may be hundreds, have nothing to list.
            let is_empty = status.ended.is_empty() && status.running.is_empty();
            let level = if is_empty && !worker.is_expected {
                Level::Debug
            } else {
                Level::Info
            };
            log::log!(
                level, worker = worker.report.id, born = worker.life.started_unix_ms,
                token = self.token, ends = status.ended.len() as u64,
                processed = worker.life.processed_end, runs = status.running.len() as u64,
                adopted, is_expected = worker.is_expected;
                "first_status_read"
            );
        }
    }

    fn note_listed_end(&mut self, key: WorkerKey, end: &ListedEnd, now: Duration) {
        let Some(worker) = self.workers.get_mut(&key) else {
            return;
        };
        if worker.life.is_processed(end.number) {
            return;
        }
        self.record_listed_end(key, end, now);
        if let Some(job) = self.jobs.get_mut(&end.task.step.job) {
            job.note_listed_outcome(end.task.step, end.outcome);
        }
        let change = self.end_run(
            key,
            &RunEnd {
                task: end.task,
                attempt: end.attempt,
                outcome: end.outcome,
                checkpoint: &end.checkpoint,
                given_up: None,
            },
            now,
        );
        let copied = self.copied_task(end);
        let run = (end.task, end.attempt);
        if let Some(worker) = self.workers.get_mut(&key) {
            worker.life.on_end_processed(PendingEnd {
                number: end.number,
                job: end.task.step.job,
                change,
                copied,
                run,
            });
        }
    }

    /// Returns the task of an end `done` of which a copy may have been started.
    fn copied_task(&self, end: &ListedEnd) -> Option<TaskId> {
        let job = self.jobs.get(&end.task.step.job)?;
        let step = job.spec.steps.get(end.task.step.step as usize)?;
        (end.outcome == RunOutcome::Done && step.is_speculative).then_some(end.task)
    }

    /// Handles an active run; returns whether this scheduler has adopted it.
    fn note_listed_run(&mut self, key: WorkerKey, listed: &ListedRun, now: Duration) -> bool {
        let task = listed.task;
        let Some(worker) = self.workers.get_mut(&key) else {
            return false;
        };
        let booked = worker.booked.get_mut(&task);
        let Some(booked) = booked.filter(|booked| booked.attempt == listed.attempt) else {
            return self.adopt_run(key, listed, now);
        };
        // A start for the life before may have reached the present one.
        booked.life_since = worker.life.since;
        if booked.target.is_some() {
            booked.tail_latency = Duration::from_millis(listed.measure);
        }
        let job = self.jobs.get_mut(&task.step.job);
        if let Some(job) = job {
            job.note_checkpoint(task.step, task.index, &listed.checkpoint);
        }
        if let Some(run) = self.run_mut(key, task, listed.attempt) {
            if run.state == RunState::Ordered {
                run.state = RunState::Running;
            }
            if run.percent != listed.percent {
                run.percent = listed.percent;
                run.advanced_at = now;
            }
        }
        if let Some(job) = self.jobs.get_mut(&task.step.job) {
            job.note_running(task.step, listed.percent);
        }
        false
    }

    /// Takes over a run that this scheduler did not order, or stops it if it is not
    /// needed. Returns whether it is needed.
    fn adopt_run(&mut self, key: WorkerKey, listed: &ListedRun, now: Duration) -> bool {
        let task = listed.task;
        if self.is_valid_task(task) {
            self.reopen_occurrence(task.step.job, task.step.occurrence);
        }
        let job = self.jobs.get_mut(&task.step.job);
        let wanted = job.and_then(|job| wanted_run(job, task));
        let is_wanted = wanted.is_some();
        let booked = match wanted {
            Some(ref booked) => booked.clone(),
            None => self.booking_of(task),
        };
        let booked = BookedRun {
            attempt: listed.attempt,
            ..booked
        };
        let workspace = self.workspace_of(task.step.job);
        let late_until = self.started_at + MAX_ORDER_DELAY;
        let Some(worker) = self.workers.get_mut(&key) else {
            return false;
        };
        if worker.booked.contains_key(&task) {
            // Another attempt of the task is booked here; the listed one is older
            // or late.
            log::warn!(task:%, attempt = listed.attempt, worker = worker.report.id; "stray_run_stopped");
            self.stop(key, task, listed.attempt);
            return false;
        }
        let given_up = self.given_up.reason(task, listed.attempt);
        log::info!(
            task:%, attempt = listed.attempt, worker = worker.report.id,
            born = worker.life.started_unix_ms, is_wanted,
            given_up = given_up.map(GivenUpReason::name);
            "run_adopted"
        );
        let resources = booked.resources;
        let booked = BookedRun {
            // An earlier scheduler may have sent the start more than once.
            unbound_until: worker.has_unbound_starts.then_some(late_until),
            ..booked
        };
        worker.life.note_foreign_lease(self.limits.max_lease);
        worker.book(task, booked);
        self.add_usage(workspace, &resources);
        if !is_wanted {
            self.stop(key, task, listed.attempt);
            return false;
        }
        if let Some(job) = self.jobs.get_mut(&task.step.job) {
            job.note_checkpoint(task.step, task.index, &listed.checkpoint);
            if let Some(state) = job.task(task.step, task.index) {
                state.next_attempt = state.next_attempt.max(listed.attempt + 1);
                state.runs.push(Run {
                    worker: key,
                    attempt: listed.attempt,
                    state: RunState::Running,
                    ordered_at: now,
                    percent: listed.percent,
                    advanced_at: now,
                    speed: RunSpeed::default(),
                    is_copy: false,
                });
            }
            job.note_running(task.step, listed.percent);
        }
        true
    }

    /// Returns whether a task is one of an open job that is known.
    fn is_valid_task(&self, task: TaskId) -> bool {
        let job = self.jobs.get(&task.step.job).filter(|job| job.is_open());
        job.is_some_and(|job| {
            let step = job.spec.steps.get(task.step.step as usize);
            step.is_some_and(|step| task.index < step.count)
                && task.step.occurrence < job.spec.occurrences()
        })
    }

    /// Returns a booking for a run that is to be stopped. The resources of an
    /// unknown task are unknown, so the worker counts as full.
    fn booking_of(&self, task: TaskId) -> BookedRun {
        let job = self.jobs.get(&task.step.job);
        let step = job.and_then(|job| job.spec.steps.get(task.step.step as usize));
        let unknown = Resources {
            cpu_milli: UNKNOWN_TASK_CPU_MILLI,
            ..Resources::default()
        };
        BookedRun {
            attempt: 0,
            resources: step.map_or(unknown, crate::Step::counted_resources),
            is_lasting: false,
            is_filler: false,
            target: None,
            pace_percent: 100,
            tail_latency: Duration::ZERO,
            confirmed_at: None,
            is_stopping: false,
            life_since: Duration::ZERO,
            needs_authority: false,
            unbound_until: None,
        }
    }

    /// Ends runs that were confirmed before the status was requested but are not in
    /// it.
    fn end_unlisted_runs(&mut self, key: WorkerKey, status: &WorkerStatus, now: Duration) {
        let Some(worker) = self.workers.get(&key) else {
            return;
        };
        let is_listed = |task: &TaskId, attempt: u64| {
            status
                .running
                .iter()
                .any(|run| run.task == *task && run.attempt == attempt)
        };
        let life_since = worker.life.since;
        let (mut gone, mut late) = (Vec::new(), Vec::new());
        for (&task, booked) in &worker.booked {
            let is_expected = |at: &Duration| *at < status.sent_at;
            let Some(confirmed_at) = booked.confirmed_at.filter(is_expected) else {
                continue;
            };
            if is_listed(&task, booked.attempt) {
                continue;
            }
            match booked.unbound_until {
                // A life before this one has confirmed the run.
                Some(until) if now < until && confirmed_at <= life_since => {
                    late.push((task, booked.attempt, until, confirmed_at));
                }
                _ => gone.push((task, booked.attempt)),
            }
        }
        if let Some(worker) = self.workers.get_mut(&key) {
            for (task, attempt, until, settled_at) in late {
                worker.late_starts.add(task, attempt, until, settled_at);
            }
        }
        for (task, attempt) in gone {
            log::warn!(task:%, attempt, worker = self.workers[&key].report.id; "run_gone");
            let evidence = Evidence {
                reason: GivenUpReason::NotListed,
                at: status.sent_at,
            };
            self.lapse_run(key, task, attempt, evidence, now);
        }
    }
}

/// Returns a booking for a listed run if the task still needs one.
fn wanted_run(job: &mut Job, task: TaskId) -> Option<BookedRun> {
    if !job.is_open() {
        return None;
    }
    let step = job.spec.steps.get(task.step.step as usize)?.clone();
    let state = job.task(task.step, task.index)?;
    let most = if step.is_speculative { MAX_RUNS } else { 1 };
    let is_wanted = !state.is_done && state.runs.len() < most;
    is_wanted.then(|| BookedRun {
        attempt: 0,
        resources: step.counted_resources(),
        is_lasting: step.is_lasting,
        is_filler: step.is_filler,
        target: step.target,
        pace_percent: 100,
        tail_latency: Duration::ZERO,
        confirmed_at: Some(Duration::ZERO),
        is_stopping: false,
        life_since: Duration::ZERO,
        needs_authority: false,
        unbound_until: None,
    })
}
