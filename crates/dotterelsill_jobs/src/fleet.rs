//! Registration of workers, their leases, and their status.

use std::{
    collections::BTreeSet,
    time::Duration, //
};

use crate::{
    ends::RunEnd,
    granted::MAX_ORDER_DELAY,
    job::{
        Job,
        Run, //
    },
    order::MAX_LISTED_ENDS,
    worker::BookedRun,
    JobId,
    ListedEnd,
    ListedRun,
    ProcessedEnds,
    Resources,
    RunState,
    Scheduler,
    TaskId,
    WorkerKey,
    WorkerReport,
    WorkerStatus, //
};

/// Processor time reserved for a task of an unknown job: more than any worker has,
/// so that the worker counts as full.
const UNKNOWN_TASK_CPU_MILLI: u64 = 1_000_000;

impl Scheduler {
    /// Handles a worker's registration; returns its key and whether a new
    /// connection to it is needed.
    pub fn on_report(&mut self, report: WorkerReport, now: Duration) -> (WorkerKey, bool) {
        self.needs_plan = true;
        if let Some(&key) = self.by_id.get(&report.id) {
            let longest = self.limits.max_lease;
            let worker = self.workers.get_mut(&key).expect("by_id names workers");
            let is_moved = worker.report.address != report.address;
            if worker.report.started_unix_ms > report.started_unix_ms && report.started_unix_ms != 0
            {
                // A status has already shown a newer incarnation.
                return (key, false);
            }
            worker.on_incarnation(report.started_unix_ms, longest, now);
            worker.report = report;
            worker.is_listed = true;
            return (key, is_moved);
        }
        let key = self.new_worker(report, now);
        (key, true)
    }

    /// Handles the disappearance of a worker's registration. Its runs count as
    /// active until its lease has certainly ended.
    pub fn on_unlisted(&mut self, id: &str, now: Duration) {
        if let Some(worker) = self.by_id.get(id).and_then(|key| self.workers.get_mut(key)) {
            if worker.is_listed {
                log::info!(worker = id, runs = worker.booked.len() as u64; "worker_unlisted");
                worker.is_listed = false;
                worker.unlisted_at = now;
            }
        }
    }

    /// Returns the identifier and the address of a worker.
    pub fn worker_address(&self, key: WorkerKey) -> Option<(&str, &str)> {
        let report = &self.workers.get(&key)?.report;
        Some((&report.id, &report.address))
    }

    /// Returns whether a worker is still known.
    pub fn has_worker(&self, key: WorkerKey) -> bool {
        self.workers.contains_key(&key)
    }

    /// Returns the end of the lease to send with a start, on the worker's clock.
    /// Returns `None` while the worker does not answer: a new incarnation may
    /// answer next, which knows no fencing token yet, so its status must be read
    /// first.
    pub fn start_lease_end(
        &mut self,
        key: WorkerKey,
        may_extend: bool,
        now: Duration,
    ) -> Option<u64> {
        let is_silent = self.workers.get(&key).is_none_or(|worker| worker.is_silent);
        if is_silent {
            return None;
        }
        self.lease_end(key, may_extend, now)
    }

    /// Returns the end of the lease to send with a status request, on the worker's
    /// clock. The lease is extended only while this scheduler holds its authority
    /// and the worker answers.
    pub fn lease_end(&mut self, key: WorkerKey, may_extend: bool, now: Duration) -> Option<u64> {
        let lease = self.limits.lease;
        let worker = self.workers.get_mut(&key)?;
        // A request to a silent worker may still be executed. Extending the lease
        // with it would mean that the lease never certainly ends.
        if may_extend && worker.may_grant && !worker.is_silent {
            worker.grant(lease, now)
        } else {
            worker.granted()
        }
    }

    /// Returns the number up to which a worker may discard its ends.
    pub fn acknowledged(&self, key: WorkerKey) -> u64 {
        // After a silence a new incarnation may answer, which counts its ends from
        // 1 again.
        self.workers
            .get(&key)
            .filter(|worker| !worker.is_silent)
            .map_or(0, |worker| worker.acknowledged_end)
    }

    /// Returns the ends of a worker that need not be listed to this scheduler again.
    pub fn processed_ends(&self, key: WorkerKey) -> ProcessedEnds {
        let worker = self.workers.get(&key);
        worker.map_or(ProcessedEnds::default(), |worker| ProcessedEnds {
            started_unix_ms: worker.report.started_unix_ms,
            number: worker.processed_end,
        })
    }

    /// Returns whether ends of a worker are waiting to be stored.
    pub fn has_pending_ends(&self, key: WorkerKey) -> bool {
        self.workers
            .get(&key)
            .is_some_and(|worker| !worker.pending_ends.is_empty())
    }

    /// Returns whether a worker has something to report: runs, or ends that are not
    /// acknowledged.
    pub fn is_busy(&self, key: WorkerKey) -> bool {
        self.workers
            .get(&key)
            .is_some_and(|worker| !worker.booked.is_empty() || !worker.pending_ends.is_empty())
    }

    /// Returns whether a worker's status must be read before it gets tasks, because
    /// its lease has lapsed or its last call was not answered.
    pub fn needs_status(&self, key: WorkerKey) -> bool {
        self.workers
            .get(&key)
            .is_some_and(|worker| !worker.is_known || worker.is_silent)
    }

    /// Returns whether a worker runs both serving and filler tasks.
    pub fn has_serving_and_filler(&self, key: WorkerKey) -> bool {
        self.workers.get(&key).is_some_and(|worker| {
            let mut booked = worker.booked.values();
            worker.booked.values().any(|run| run.target.is_some())
                && booked.any(|run| run.is_filler)
        })
    }

    /// Returns whether the last call to a worker was not answered.
    pub fn is_silent(&self, key: WorkerKey) -> bool {
        self.workers
            .get(&key)
            .is_some_and(|worker| worker.is_silent)
    }

    /// Handles a call to a worker that was not answered; the worker gets no new
    /// tasks until it answers.
    pub fn on_silence(&mut self, key: WorkerKey, now: Duration) {
        if let Some(worker) = self.workers.get_mut(&key) {
            if !worker.is_silent {
                worker.is_silent = true;
                let age_ms = now.saturating_sub(worker.answered_at).as_millis() as u64;
                log::warn!(worker = worker.report.id, age_ms; "worker_silent");
            }
        }
    }

    /// Handles the status of a worker.
    pub fn on_worker_status(&mut self, key: WorkerKey, status: &WorkerStatus, now: Duration) {
        let Some(worker) = self.workers.get_mut(&key) else {
            return;
        };
        if status.started_unix_ms != 0 && status.started_unix_ms < worker.report.started_unix_ms {
            log::info!(worker = worker.report.id; "look_of_an_earlier_life");
            return;
        }
        worker.on_incarnation(status.started_unix_ms, self.limits.max_lease, now);
        worker.on_clock(status.worker_ms, status.sent_at, status.read_at);
        worker.on_first_status(self.limits.max_lease);
        let was_known = worker.is_known;
        worker.is_known = true;
        if !was_known {
            self.needs_plan = true;
        }
        for end in &status.ended {
            self.note_listed_end(key, end, now);
        }
        for run in &status.running {
            self.note_listed_run(key, run, now);
        }
        if status.ended.len() < MAX_LISTED_ENDS {
            self.end_unlisted_runs(key, status, now);
        }
        self.acknowledge_stored(key);
        self.pace_fillers(key);
    }

    fn note_listed_end(&mut self, key: WorkerKey, end: &ListedEnd, now: Duration) {
        let Some(worker) = self.workers.get_mut(&key) else {
            return;
        };
        if end.number <= worker.processed_end {
            return;
        }
        worker.processed_end = end.number;
        let change = self.end_run(
            key,
            &RunEnd {
                task: end.task,
                attempt: end.attempt,
                outcome: end.outcome,
                checkpoint: &end.checkpoint,
            },
            now,
        );
        if let Some(worker) = self.workers.get_mut(&key) {
            worker.pending_ends.push_back(crate::worker::PendingEnd {
                number: end.number,
                job: end.task.step.job,
                change,
            });
        }
    }

    fn note_listed_run(&mut self, key: WorkerKey, listed: &ListedRun, now: Duration) {
        let task = listed.task;
        let booked = self
            .workers
            .get_mut(&key)
            .and_then(|worker| worker.booked.get_mut(&task))
            .filter(|booked| booked.attempt == listed.attempt);
        let Some(booked) = booked else {
            self.adopt_run(key, listed, now);
            return;
        };
        if booked.target.is_some() {
            booked.tail_latency = Duration::from_millis(listed.measure);
        }
        let job = self.jobs.get_mut(&task.step.job);
        if let Some(job) = job {
            job.has_begun = true;
            if let Some(state) = job.task(task.step, task.index) {
                if !listed.checkpoint.is_empty() {
                    state.checkpoint.clone_from(&listed.checkpoint);
                }
            }
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
    }

    /// Takes over a run that this scheduler did not order, or stops it if it is not
    /// needed.
    fn adopt_run(&mut self, key: WorkerKey, listed: &ListedRun, now: Duration) {
        let task = listed.task;
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
        let Some(worker) = self.workers.get_mut(&key) else {
            return;
        };
        if worker.booked.contains_key(&task) {
            // Another attempt of the task is booked here; the listed one is older
            // or late.
            log::warn!(task:%, attempt = listed.attempt, worker = worker.report.id; "stray_run_stopped");
            self.stop(key, task, listed.attempt);
            return;
        }
        log::info!(
            task:%, attempt = listed.attempt, worker = worker.report.id, is_wanted;
            "run_adopted"
        );
        let resources = booked.resources;
        worker.note_foreign_lease(self.limits.max_lease);
        worker.book(task, booked);
        self.add_usage(workspace, &resources);
        if !is_wanted {
            self.stop(key, task, listed.attempt);
            return;
        }
        if let Some(job) = self.jobs.get_mut(&task.step.job) {
            job.has_begun = true;
            if let Some(state) = job.task(task.step, task.index) {
                state.next_attempt = state.next_attempt.max(listed.attempt + 1);
                state.checkpoint.clone_from(&listed.checkpoint);
                state.runs.push(Run {
                    worker: key,
                    attempt: listed.attempt,
                    state: RunState::Running,
                    ordered_at: now,
                    percent: listed.percent,
                    advanced_at: now,
                });
            }
        }
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
        }
    }

    /// Ends runs that were confirmed before the status was requested but are not in
    /// it.
    fn end_unlisted_runs(&mut self, key: WorkerKey, status: &WorkerStatus, now: Duration) {
        let Some(worker) = self.workers.get(&key) else {
            return;
        };
        let is_listed = |task: &TaskId, attempt: u32| {
            status
                .running
                .iter()
                .any(|run| run.task == *task && run.attempt == attempt)
        };
        let gone: Vec<(TaskId, u32)> = worker
            .booked
            .iter()
            .filter(|(_, booked)| booked.confirmed_at.is_some_and(|at| at < status.sent_at))
            .filter(|(task, booked)| !is_listed(task, booked.attempt))
            .map(|(task, booked)| (*task, booked.attempt))
            .collect();
        for (task, attempt) in gone {
            log::warn!(task:%, attempt, worker = self.workers[&key].report.id; "run_gone");
            self.lapse_run(key, task, attempt, now);
        }
    }

    /// Ends the runs of workers whose leases have certainly ended, and removes
    /// workers that are gone.
    pub fn expire_leases(&mut self, now: Duration) {
        self.late_orders.retain(|_, (_, until)| now < *until);
        let lapsed: Vec<WorkerKey> = self
            .workers
            .iter()
            .filter(|(_, worker)| !worker.booked.is_empty() || !worker.is_listed)
            .filter(|(_, worker)| worker.has_lapsed(now))
            .map(|(&key, _)| key)
            .collect();
        for key in lapsed {
            let worker = &self.workers[&key];
            let is_listed = worker.is_listed;
            if !worker.booked.is_empty() || !is_listed {
                let silent_ms = now.saturating_sub(worker.answered_at).as_millis() as u64;
                log::warn!(
                    worker = worker.report.id, runs = worker.booked.len() as u64, silent_ms,
                    is_listed; "lease_lapsed"
                );
            }
            self.end_worker_runs(key, now);
            if !is_listed {
                self.remove_worker(key);
            }
        }
    }

    /// Handles an answer of another worker at the address of a worker, which means
    /// that the latter has ended.
    pub fn on_other_worker(&mut self, key: WorkerKey, now: Duration) {
        if let Some(worker) = self.workers.get(&key) {
            log::info!(worker = worker.report.id; "worker_replaced");
            self.on_worker_ended(key, now);
        }
    }

    /// Handles the certain end of a worker incarnation and all of its runs.
    pub(crate) fn on_worker_ended(&mut self, key: WorkerKey, now: Duration) {
        if let Some(worker) = self.workers.get_mut(&key) {
            worker.is_listed = false;
            worker.has_ended = true;
            self.end_worker_runs(key, now);
        }
    }

    /// Ends all runs of a worker that certainly runs nothing any more.
    fn end_worker_runs(&mut self, key: WorkerKey, now: Duration) {
        let Some(worker) = self.workers.get_mut(&key) else {
            return;
        };
        worker.is_known = false;
        self.needs_plan = true;
        let mut booked = worker.booked.values();
        if booked.any(|booked| booked.confirmed_at.is_none()) {
            let late = (worker.granted_record(), now + MAX_ORDER_DELAY);
            self.late_orders.insert(worker.report.id.clone(), late);
        }
        let runs: Vec<(TaskId, u32)> = worker
            .booked
            .iter()
            .map(|(task, booked)| (*task, booked.attempt))
            .collect();
        for (task, attempt) in runs {
            self.lapse_run(key, task, attempt, now);
        }
    }

    fn remove_worker(&mut self, key: WorkerKey) {
        if let Some(worker) = self.workers.remove(&key) {
            if self.by_id.get(&worker.report.id) == Some(&key) {
                self.by_id.remove(&worker.report.id);
            }
        }
    }

    /// Returns the data centres in which workers of a pool may have active runs of
    /// an earlier scheduler, because their status was not read. An empty name
    /// stands for a worker in an unknown data centre.
    pub(crate) fn unread_data_centres(&self, pool: &str, now: Duration) -> BTreeSet<String> {
        let is_unread = |worker: &&crate::worker::Worker| {
            let is_of_pool = worker.report.pool.is_empty() || worker.report.pool == pool;
            is_of_pool && self.may_run_unseen(worker, now)
        };
        let data_centre = |worker: &crate::worker::Worker| worker.report.data_centre.clone();
        let unread_data_centres = self.workers.values().filter(is_unread);
        unread_data_centres.map(data_centre).collect()
    }

    pub(crate) fn workspace_of(&self, id: JobId) -> Option<String> {
        self.jobs.get(&id)?.spec.workspace.clone()
    }

    pub(crate) fn add_usage(&mut self, workspace: Option<String>, resources: &Resources) {
        if let Some(workspace) = workspace {
            self.usage.entry(workspace).or_default().add(resources);
        }
    }
}

/// Returns a booking for a listed run if the task still needs one.
fn wanted_run(job: &mut Job, task: TaskId) -> Option<BookedRun> {
    if !job.is_open() || task.step.step as usize >= job.spec.steps.len() {
        return None;
    }
    if task.step.occurrence >= job.spec.occurrences() {
        return None;
    }
    job.ensure_occurrence(task.step.occurrence);
    let step = job.spec.steps[task.step.step as usize].clone();
    let state = job.task(task.step, task.index)?;
    let is_wanted = !state.is_done && (state.runs.is_empty() || step.is_speculative);
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
    })
}
