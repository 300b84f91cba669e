//! Choice of the worker for a task.

use std::{
    collections::BTreeMap,
    sync::Arc,
    time::Duration, //
};

use crate::{
    worker::Worker,
    OperatorRequests,
    Resources,
    Step,
    StepId,
    WorkerKey, //
};

/// Time for which a worker that is no longer listed still gets tasks if it
/// answers: after an outage of the store the list is complete only by then.
const UNLISTED_GRACE: Duration = Duration::from_secs(2);

/// A worker that may get tasks, with what it has left in this round.
#[derive(Clone, Debug)]
pub(crate) struct Candidate {
    pub(crate) key: WorkerKey,
    pub(crate) free: Resources,
}

/// The workers of a pool that may get tasks.
///
/// Load pattern: in a queue's turn far more steps wait than find room. Those
/// that are larger than the room left on any worker are passed over without a
/// look at each worker.
#[derive(Debug)]
pub(crate) struct Candidates {
    list: Vec<Candidate>,
    /// Most room of each kind that is left on any worker.
    most: Resources,
}

impl Candidates {
    pub(crate) fn new(list: Vec<Candidate>) -> Self {
        let most = largest_free(&list);
        Self { list, most }
    }

    pub(crate) fn list(&self) -> &[Candidate] {
        &self.list
    }

    /// Returns whether a worker may have the room.
    pub(crate) fn may_fit(&self, resources: &Resources) -> bool {
        self.most.fits(&Resources::default(), resources)
    }

    /// Takes room from a worker, and returns its key.
    pub(crate) fn take(&mut self, index: usize, resources: &Resources) -> WorkerKey {
        let candidate = &mut self.list[index];
        let free = candidate.free;
        candidate.free.subtract(resources);
        let key = candidate.key;
        let had_most = free.cpu_milli == self.most.cpu_milli
            || free.memory_mb == self.most.memory_mb
            || free.accelerators == self.most.accelerators;
        if had_most {
            self.most = largest_free(&self.list);
        }
        key
    }
}

fn largest_free(candidates: &[Candidate]) -> Resources {
    candidates
        .iter()
        .fold(Resources::default(), |most, candidate| Resources {
            cpu_milli: most.cpu_milli.max(candidate.free.cpu_milli),
            memory_mb: most.memory_mb.max(candidate.free.memory_mb),
            accelerators: most.accelerators.max(candidate.free.accelerators),
        })
}

/// Returns the room that a worker has left, if it may get tasks at all.
pub(crate) fn candidate(
    key: WorkerKey,
    worker: &Worker,
    operator_requests: &OperatorRequests,
    now: Duration,
) -> Option<Candidate> {
    let is_in = !operator_requests
        .excluded_data_centres
        .contains(&worker.report.data_centre);
    let takes_tasks = worker.is_known
        && (worker.is_listed || now < worker.unlisted_at + UNLISTED_GRACE)
        && worker.may_grant
        && !worker.is_silent
        && !worker.reserved
        && !worker.report.is_draining
        && !worker.health.is_aside(now);
    if !(is_in && takes_tasks) {
        return None;
    }
    let mut free = worker.report.capacity;
    free.subtract(&worker.used);
    Some(Candidate { key, free })
}

/// What counts against a worker, the weightiest first.
type Score = (bool, bool, bool, bool, u64);

/// Returns the index of the best candidate for a task: on the rack of its data
/// if possible, then away from tasks that it would disturb, then where its step
/// has less than half of its lasting tasks, then where the least processor time
/// is left over, so that large tasks find room and idle workers stay idle.
pub(crate) fn choose<'a>(
    candidates: &[Candidate],
    worker: impl Fn(WorkerKey) -> Option<&'a Worker>,
    wanted: &Wanted<'_>,
) -> Option<usize> {
    let mut best: Option<(usize, Score)> = None;
    for (index, candidate) in candidates.iter().enumerate() {
        let resources = &wanted.resources;
        if !candidate.free.fits(&Resources::default(), resources) {
            continue;
        }
        let Some(worker) = worker(candidate.key) else {
            continue;
        };
        if !wanted.allows(candidate.key, worker) {
            continue;
        }
        let rack = wanted.rack.or(wanted.step.near_rack.as_deref());
        let is_far = rack.is_some() && worker.rack() != rack;
        let left = candidate.free.cpu_milli - resources.cpu_milli;
        let score = (
            wanted.avoid == Some(candidate.key),
            is_far,
            wanted.disturbs(worker),
            wanted.is_crowded(worker),
            left,
        );
        if best.is_none_or(|(_, other)| score < other) {
            best = Some((index, score));
        }
    }
    best.map(|(index, _)| index)
}

/// A task that looks for a worker.
pub(crate) struct Wanted<'a> {
    pub(crate) id: StepId,
    pub(crate) step: &'a Step,
    pub(crate) resources: Resources,
    /// Worker on which the last run failed.
    pub(crate) avoid: Option<WorkerKey>,
    /// Rack on which the other tasks of a rack-local step run.
    pub(crate) rack: Option<&'a str>,
    /// Workers that the advisor allows; `None` if it need not be asked.
    pub(crate) tickets: Option<&'a BTreeMap<WorkerKey, Arc<str>>>,
}

impl Wanted<'_> {
    fn allows(&self, key: WorkerKey, worker: &Worker) -> bool {
        let has_ticket = self
            .tickets
            .is_none_or(|tickets| tickets.contains_key(&key));
        let has_label = self
            .step
            .required_label
            .as_ref()
            .is_none_or(|label| worker.report.labels.contains(label));
        let most = self
            .step
            .max_per_worker
            .map_or(usize::MAX, |most| most as usize);
        has_ticket && has_label && worker.count_of_step(self.id) < most
    }

    /// Returns whether the worker already runs half of the tasks of a lasting
    /// step, so that its loss would leave less than half at work.
    fn is_crowded(&self, worker: &Worker) -> bool {
        let most = self.step.count.div_ceil(2) as usize;
        self.step.is_lasting && worker.count_of_step(self.id) >= most
    }

    fn disturbs(&self, worker: &Worker) -> bool {
        let mut booked = worker.booked.values();
        if self.step.is_filler {
            booked.any(|run| run.target.is_some())
        } else if self.step.target.is_some() {
            booked.any(|run| run.is_filler)
        } else {
            false
        }
    }
}
