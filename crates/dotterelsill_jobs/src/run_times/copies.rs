//! Second runs of tasks of speculative steps.
//!
//! The run that ends `done` first counts, and the other is stopped.

use std::time::Duration;

use super::stragglers::Straggler;
use crate::{
    placement::{
        choose_worker,
        Candidates,
        PlacementRequest, //
    },
    Resources,
    Scheduler,
    TaskId, //
};

/// Maximum number of runs of a task at the same time.
pub(crate) const MAX_RUNS: usize = 2;

/// Factor on the time that a copy takes by which the run must take longer. Estimates are
/// off by half or more, and a copy costs as much as the run.
const COPY_FACTOR: u32 = 2;

/// Time by which the run must end later than a copy in any case.
const MIN_COPY_GAIN: Duration = Duration::from_millis(100);

/// Maximum share of the processor time of a pool that copies may use, in percent. Copies
/// of all stragglers need about 3%; more are due to wrong expectations.
const MAX_COPY_PERCENT: u64 = 10;

/// Returns whether a copy of a run is worth its cost.
pub(super) fn is_worth_a_copy(straggler: &Straggler) -> bool {
    straggler.left >= straggler.renewed * COPY_FACTOR + MIN_COPY_GAIN
}

/// Processor time that copies use in a pool, and may use.
pub(super) struct CopyBudget {
    used_milli: u64,
    most_milli: u64,
}

impl CopyBudget {
    pub(super) fn new(capacity_milli: u64, used_milli: u64) -> Self {
        Self {
            used_milli,
            most_milli: capacity_milli * MAX_COPY_PERCENT / 100,
        }
    }

    /// Returns whether there is room for a copy. One may be of any size.
    fn allows(&self, cpu_milli: u64) -> bool {
        self.used_milli == 0 || self.used_milli + cpu_milli <= self.most_milli
    }
}

impl Scheduler {
    /// Starts a copy of a run on a worker that is not slow, if there is room.
    pub(super) fn copy_run(
        &mut self,
        straggler: &Straggler,
        candidates: &mut Candidates,
        budget: &mut CopyBudget,
        now: Duration,
    ) {
        let task = straggler.task;
        let Some(job) = self.jobs.get(&task.step.job) else {
            return;
        };
        let spec = job.spec.clone();
        let resources = spec.steps[task.step.step as usize].counted_resources();
        if !budget.allows(resources.cpu_milli)
            || !self.is_within_cap(spec.workspace.as_deref(), &resources)
        {
            return;
        }
        let tickets = self.valid_tickets(task.step, now);
        let request = PlacementRequest::of(job, task.step, tickets.as_ref());
        let Some(chosen) = self.choose_other_worker(task, candidates, &request) else {
            return;
        };
        let key = candidates.take(chosen, &resources);
        let attempt = self.next_attempt(task.step, task.index);
        let ticket = crate::plan::ticket_of(tickets.as_ref(), key);
        self.start(key, task, attempt, ticket, now);
        if let Some(run) = self.run_mut(key, task, attempt) {
            run.is_copy = true;
        }
        // Without authority, a later scheduler may have seen the first run end.
        let worker = self.workers.get_mut(&key);
        if let Some(booked) = worker.and_then(|worker| worker.booked.get_mut(&task)) {
            booked.needs_authority = true;
        }
        let job = self.jobs.get_mut(&task.step.job);
        if let Some(state) = job.and_then(|job| job.task(task.step, task.index)) {
            state.was_copied_or_moved = true;
        }
        budget.used_milli += resources.cpu_milli;
        self.stragglers.counts.copies_started += 1;
        let id = |key| {
            let worker = self.workers.get(&key);
            worker.map(|worker| worker.report.id.as_str())
        };
        log::info!(
            task:%, attempt, worker = id(key), first_attempt = straggler.attempt,
            first_worker = id(straggler.worker), left_ms = straggler.left.as_millis() as u64,
            renewed_ms = straggler.renewed.as_millis() as u64;
            "copy_started"
        );
    }

    /// Returns the index of the best candidate that has no run of a task.
    pub(super) fn choose_other_worker(
        &self,
        task: TaskId,
        candidates: &Candidates,
        request: &PlacementRequest<'_>,
    ) -> Option<usize> {
        let bound_to = self.jobs.get(&task.step.job)?.bound_to();
        let worker = |key| {
            let worker = self.workers.get(&key)?;
            let is_other = !worker.booked.contains_key(&task);
            (is_other && worker.is_in(bound_to)).then_some(worker)
        };
        choose_worker(candidates.list(), worker, request)
    }

    /// Returns whether the start of a run of a task may still be carried out although the
    /// task is done. The end `done` is not acknowledged until then, so that the start is
    /// known to be earlier.
    pub(crate) fn has_unsettled_start(&self, task: TaskId, now: Duration) -> bool {
        let Some(job) = self.jobs.get(&task.step.job) else {
            return false;
        };
        let is_unsettled = |run: &crate::Run| {
            let worker = self.workers.get(&run.worker);
            let booked = worker.and_then(|worker| worker.booked.get(&task));
            booked.is_some_and(|booked| {
                booked.attempt == run.attempt && booked.confirmed_at.is_none()
            })
        };
        let occurrence = job.occurrences.get(&task.step.occurrence);
        let step = occurrence.and_then(|state| state.steps.get(task.step.step as usize));
        let state = step.and_then(|step| step.tasks.get(task.index as usize));
        if state.is_some_and(|state| state.runs.iter().any(is_unsettled)) {
            return true;
        }
        // An earlier scheduler may have ordered a copy on a worker that was not read.
        job.is_restored && job.waits_for_unread_workers(&self.unread_places(now))
    }
}

/// Returns the processor time of all candidates.
pub(super) fn capacity_milli(candidates: &Candidates, scheduler: &Scheduler) -> u64 {
    let capacity = |key| {
        let worker = scheduler.workers.get(key);
        worker.map_or(Resources::default(), |worker| worker.report.capacity)
    };
    let keys = candidates.list().iter().map(|candidate| &candidate.key);
    keys.map(|key| capacity(key).cpu_milli).sum()
}
