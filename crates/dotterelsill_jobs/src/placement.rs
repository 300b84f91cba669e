//! Choice of a worker for a task.

use std::{
    collections::BTreeMap,
    sync::Arc,
    time::Duration, //
};

use crate::{
    job::Job,
    run_times::is_measured,
    worker::Worker,
    OperatorRequests,
    Resources,
    Step,
    StepId,
    WorkerKey, //
};

/// Time for which an unregistered worker still gets tasks if it answers. After an
/// outage of the store, registrations are complete only after this time.
const UNLISTED_GRACE: Duration = Duration::from_secs(2);

/// Maximum number of long-running tasks for which a plan holds back room in a pool. One
/// job may have thousands, which would keep all workers from the tasks of others.
const MAX_HELD_TASKS: usize = 4;

/// A worker that may get tasks, with its free resources in the current plan.
#[derive(Clone, Debug)]
pub(crate) struct Candidate {
    pub(crate) key: WorkerKey,
    pub(crate) free: Resources,
    /// Resources that are held back on the worker.
    held: Resources,
    /// Whether runs on the worker are much slower than expected.
    pub(crate) is_slow: bool,
}

/// The workers of a pool that may get tasks.
///
/// Load pattern: during a queue's burst, far more steps are waiting than fit. Steps
/// whose tasks are larger than the free resources of any worker are skipped without
/// checking each worker.
#[derive(Debug)]
pub(crate) struct Candidates {
    list: Vec<Candidate>,
    /// Maximum free amount of each resource on any worker.
    max_free: Resources,
    /// Number of tasks for which room is held back.
    held_tasks: usize,
}

impl Candidates {
    pub(crate) fn new(list: Vec<Candidate>) -> Self {
        let max_free = largest_free(&list);
        Self {
            list,
            max_free,
            held_tasks: 0,
        }
    }

    pub(crate) fn list(&self) -> &[Candidate] {
        &self.list
    }

    /// Returns the sum of the free resources of all workers.
    pub(crate) fn total_free(&self) -> Resources {
        let mut total = Resources::default();
        self.list.iter().for_each(|worker| total.add(&worker.free));
        total
    }

    /// Returns whether the resources may fit on a worker; `false` is certain.
    pub(crate) fn may_fit(&self, resources: &Resources) -> bool {
        self.max_free.fits(&Resources::default(), resources)
    }

    /// Takes resources from a worker, and returns its key.
    pub(crate) fn take(&mut self, index: usize, resources: &Resources) -> WorkerKey {
        let candidate = &mut self.list[index];
        let free = candidate.free;
        candidate.free.subtract(resources);
        let key = candidate.key;
        let was_max_free = free.cpu_milli == self.max_free.cpu_milli
            || free.memory_mb == self.max_free.memory_mb
            || free.accelerators == self.max_free.accelerators;
        if was_max_free {
            self.max_free = largest_free(&self.list);
        }
        key
    }

    /// Holds back room for up to `count` long-running tasks of a step that fit on no
    /// worker, so that what becomes free there is not given to tasks that are planned
    /// later. It is held on the workers that lack the least, those that no wave is yet to
    /// maintain first; as nothing is started on these, they lack less in each further
    /// plan.
    pub(crate) fn hold_back<'a>(
        &mut self,
        worker: impl Fn(WorkerKey) -> Option<&'a Worker>,
        request: &PlacementRequest<'_>,
        count: usize,
    ) {
        let mut held_on: BTreeMap<usize, usize> = BTreeMap::new();
        let count = count.min(MAX_HELD_TASKS - self.held_tasks);
        for _ in 0..count {
            let lacking = |(index, candidate): (usize, &Candidate)| {
                let worker = worker(candidate.key)?;
                let others = held_on.get(&index).copied().unwrap_or(0);
                let mut wanted = candidate.held;
                wanted.add(&request.resources);
                let could_run = request.allows_beside(candidate.key, worker, others)
                    && worker.lasting_room().fits(&Resources::default(), &wanted);
                could_run.then(|| (worker.is_due, worker.lacking_permille(&wanted), index))
            };
            let candidates = self.list.iter().enumerate();
            let Some((_, _, index)) = candidates.filter_map(lacking).min() else {
                break;
            };
            *held_on.entry(index).or_default() += 1;
            self.held_tasks += 1;
            let candidate = &mut self.list[index];
            candidate.held.add(&request.resources);
            candidate.free.subtract(&request.resources);
        }
        if !held_on.is_empty() {
            self.max_free = largest_free(&self.list);
        }
    }
}

fn largest_free(candidates: &[Candidate]) -> Resources {
    candidates
        .iter()
        .fold(Resources::default(), |max_free, candidate| Resources {
            cpu_milli: max_free.cpu_milli.max(candidate.free.cpu_milli),
            memory_mb: max_free.memory_mb.max(candidate.free.memory_mb),
            accelerators: max_free.accelerators.max(candidate.free.accelerators),
        })
}

/// Returns whether a start may be sent to a worker: neither the operator nor the
/// scheduler empties it, and it has not left. A start that was decided earlier may have
/// waited for a silent worker since.
pub(crate) fn may_be_sent_starts(
    worker: &Worker,
    operator_requests: &OperatorRequests,
    now: Duration,
) -> bool {
    !worker.is_cordoned && is_staying(worker, operator_requests, now)
}

/// Returns whether a worker would get tasks that fit if it were not cordoned.
pub(crate) fn would_take_tasks(
    worker: &Worker,
    operator_requests: &OperatorRequests,
    now: Duration,
) -> bool {
    is_staying(worker, operator_requests, now)
        && worker.life.is_known
        && worker.may_grant
        && !worker.is_silent()
        && !worker.life.health.is_quarantined(now)
}

fn is_staying(worker: &Worker, operator_requests: &OperatorRequests, now: Duration) -> bool {
    let is_excluded = operator_requests
        .excluded_data_centres
        .contains(&worker.report.data_centre);
    !is_excluded
        && (worker.is_listed || now < worker.unlisted_at + UNLISTED_GRACE)
        && !worker.report.is_draining
}

/// Returns the free resources of a worker, or `None` if it may not get tasks.
pub(crate) fn candidate(
    key: WorkerKey,
    worker: &Worker,
    operator_requests: &OperatorRequests,
    now: Duration,
) -> Option<Candidate> {
    if worker.is_cordoned || !would_take_tasks(worker, operator_requests, now) {
        return None;
    }
    let mut free = worker.report.capacity;
    free.subtract(&worker.used);
    Some(Candidate {
        key,
        free,
        held: Resources::default(),
        is_slow: worker.life.speed.is_slow(now),
    })
}

/// Penalties of a worker, most important first; the lowest score wins.
type Score = (bool, bool, bool, bool, bool, bool, u64);

/// Returns the index of the best candidate for a task. In order of importance it
/// prefers a worker that is not slow if the runs of the task are measured, another
/// worker than the one where the task failed, the rack of the task's data, a worker
/// without tasks that it would interfere with, one with less than half of the step's
/// long-running tasks, for a long-running task one that no wave is yet to maintain, and
/// the one with the least processor time left, so that large tasks still fit and idle
/// workers stay idle.
pub(crate) fn choose_worker<'a>(
    candidates: &[Candidate],
    worker: impl Fn(WorkerKey) -> Option<&'a Worker>,
    request: &PlacementRequest<'_>,
) -> Option<usize> {
    let mut best: Option<(usize, Score)> = None;
    for (index, candidate) in candidates.iter().enumerate() {
        let resources = &request.resources;
        if !candidate.free.fits(&Resources::default(), resources) {
            continue;
        }
        let Some(worker) = worker(candidate.key) else {
            continue;
        };
        if !request.allows(candidate.key, worker) {
            continue;
        }
        let rack = request.rack.or(request.step.near_rack.as_deref());
        let is_far = rack.is_some() && worker.rack() != rack;
        let left = candidate.free.cpu_milli - resources.cpu_milli;
        let score = (
            candidate.is_slow && is_measured(request.step),
            request.avoid == Some(candidate.key),
            is_far,
            request.interferes_with(worker),
            request.is_crowded(worker),
            request.step.is_lasting && worker.is_due,
            left,
        );
        if best.is_none_or(|(_, other)| score < other) {
            best = Some((index, score));
        }
    }
    best.map(|(index, _)| index)
}

/// Constraints on the placement of a task.
pub(crate) struct PlacementRequest<'a> {
    pub(crate) id: StepId,
    pub(crate) step: &'a Step,
    pub(crate) resources: Resources,
    /// Worker on which the last run failed; others are preferred.
    pub(crate) avoid: Option<WorkerKey>,
    /// Rack on which the other tasks of a rack-local step run.
    pub(crate) rack: Option<&'a str>,
    /// Workers that the advisor permits; `None` if the queue has no advisor.
    pub(crate) tickets: Option<&'a BTreeMap<WorkerKey, Arc<str>>>,
}

impl<'a> PlacementRequest<'a> {
    /// Creates a request for any task of a step, without preferences.
    pub(crate) fn of(
        job: &'a Job,
        id: StepId,
        tickets: Option<&'a BTreeMap<WorkerKey, Arc<str>>>,
    ) -> Self {
        let step = &job.spec.steps[id.step as usize];
        Self {
            id,
            step,
            resources: step.counted_resources(),
            avoid: None,
            rack: None,
            tickets,
        }
    }

    pub(crate) fn allows(&self, key: WorkerKey, worker: &Worker) -> bool {
        self.allows_beside(key, worker, 0)
    }

    /// Returns whether a worker may run a task beside `others` of the step that are not
    /// booked there.
    fn allows_beside(&self, key: WorkerKey, worker: &Worker, others: usize) -> bool {
        let has_ticket = self
            .tickets
            .is_none_or(|tickets| tickets.contains_key(&key));
        let has_label = self
            .step
            .required_label
            .as_ref()
            .is_none_or(|label| worker.has_label(label));
        let limit = self
            .step
            .max_per_worker
            .map_or(usize::MAX, |limit| limit as usize);
        has_ticket && has_label && worker.count_of_step(self.id) + others < limit
    }

    /// Returns whether the worker already runs half of the tasks of a long-running
    /// step, so that its loss would leave less than half of them available.
    fn is_crowded(&self, worker: &Worker) -> bool {
        let limit = self.step.count.div_ceil(2) as usize;
        self.step.is_lasting && worker.count_of_step(self.id) >= limit
    }

    fn interferes_with(&self, worker: &Worker) -> bool {
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
