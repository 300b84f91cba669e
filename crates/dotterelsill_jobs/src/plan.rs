//! Assignment of waiting tasks to workers.

use std::{
    collections::{
        BTreeMap,
        HashMap, //
    },
    sync::Arc,
    time::Duration, //
};

use crate::{
    given_up::GivenUpReason,
    job::{
        Job,
        Run, //
    },
    placement::{
        candidate,
        choose_worker,
        Candidate,
        Candidates,
        PlacementRequest, //
    },
    rank::Rank,
    run_times::RunSpeed,
    shortage::JobOccurrence,
    unread_places::UnreadPlaces,
    worker::BookedRun,
    Order,
    Resources,
    RunState,
    Scheduler,
    StepId,
    TaskId,
    WorkerKey,
    WorkerOrder, //
};

impl Scheduler {
    /// Starts all tasks that can start, and takes the pending orders.
    pub fn plan(&mut self, now: Duration) -> Vec<WorkerOrder> {
        self.planned_at = now;
        if self.needs_plan {
            self.needs_plan = false;
            self.requeue_unknown_queues();
            self.unseen_usage = self.count_unseen(now);
            for (workspace, resources) in self.count_unended(now) {
                let unseen = self.unseen_usage.entry(workspace).or_default();
                unseen.add(&resources);
            }
            let pools = self.waiting_pools();
            let unread_places = self.unread_places(now);
            self.end_shortages(&pools, now);
            for pool in pools {
                let candidates = self.candidates_of(&pool, now);
                if !candidates.list().is_empty() {
                    self.plan_pool(&pool, candidates, &unread_places, now);
                }
            }
        }
        self.relieve_stragglers(now);
        std::mem::take(&mut self.orders)
    }

    /// Requests a new plan, for example after a delay has expired.
    pub fn replan(&mut self) {
        self.needs_plan = true;
    }

    fn requeue_unknown_queues(&mut self) {
        for step in self.ready.remove("").unwrap_or_default() {
            self.make_ready(step);
        }
    }

    /// Returns the pools with ready steps.
    pub(crate) fn waiting_pools(&self) -> Vec<String> {
        let waiting = self.ready.iter().filter(|(_, steps)| !steps.is_empty());
        waiting.map(|(pool, _)| pool.clone()).collect()
    }

    /// Returns the workers of a pool that may get tasks.
    pub(crate) fn candidates_of(&self, pool: &str, now: Duration) -> Candidates {
        let of_pool = self.workers.iter().filter(|(_, w)| w.report.pool == pool);
        let usable =
            of_pool.filter_map(|(&key, w)| candidate(key, w, &self.operator_requests, now));
        Candidates::new(usable.collect())
    }

    fn plan_pool(
        &mut self,
        pool: &str,
        mut candidates: Candidates,
        unread_places: &UnreadPlaces,
        now: Duration,
    ) {
        if self.divides_jobs {
            self.divide_pool(pool, &candidates, now);
        }
        let ranks = self.ranks(pool, now, |resources| candidates.may_fit(resources));
        if ranks.is_empty() {
            return;
        }
        for rank in ranks {
            self.plan_step(rank.step, pool, &mut candidates, unread_places, now);
        }
    }

    /// Returns the ready steps of a pool with waiting tasks that may fit, in
    /// scheduling order.
    pub(crate) fn ranks(
        &mut self,
        pool: &str,
        now: Duration,
        may_fit: impl Fn(&Resources) -> bool,
    ) -> Vec<Rank> {
        let Some(ready) = self.ready.get_mut(pool) else {
            return Vec::new();
        };
        let mut ranks = Vec::new();
        let (jobs, configuration) = (&self.jobs, &self.configuration);
        let division = self.shortage.get(pool).map(|shortage| &shortage.placed);
        let mut moved = Vec::new();
        ready.retain(|step| {
            let Some(job) = jobs.get(&step.job).filter(|job| job.is_open()) else {
                return false;
            };
            let Some(occurrence) = job.occurrences.get(&step.occurrence) else {
                return false;
            };
            let state = &occurrence.steps[step.step as usize];
            if !state.tasks.has_waiting() {
                return false;
            }
            match configuration.queue_of_job(&job.spec) {
                Some(queue) if queue.pool == pool => {
                    let spec = &job.spec.steps[step.step as usize];
                    // Room is held back for long-running tasks that do not fit.
                    if spec.is_lasting || may_fit(&spec.counted_resources()) {
                        let id = JobOccurrence::of(*step);
                        let placing = division.and_then(|division| division.get(&id));
                        let placing = placing.map(|placed| placed.placing);
                        ranks.push(Rank::new(*step, job, queue, placing, now));
                    }
                    true
                }
                _ => {
                    moved.push(*step);
                    false
                }
            }
        });
        for step in moved {
            self.make_ready(step);
        }
        ranks.sort_unstable();
        ranks
    }

    fn plan_step(
        &mut self,
        id: StepId,
        pool: &str,
        candidates: &mut Candidates,
        unread_places: &UnreadPlaces,
        now: Duration,
    ) {
        // The plan may have failed the job at another of its steps.
        let Some(job) = self.jobs.get(&id.job).filter(|job| job.is_open()) else {
            return;
        };
        let step = &job.spec.steps[id.step as usize];
        let resources = step.counted_resources();
        if !step.is_lasting && !candidates.may_fit(&resources) {
            return;
        }
        let bound_to = job.bound_to().map(str::to_owned);
        if job.waits_for_unread_workers(unread_places) {
            return;
        }
        let max_attempts = self.max_attempts(&job.spec);
        let job = self.jobs.get_mut(&id.job);
        if job.is_some_and(|job| job.fail_if_exhausted(id, max_attempts)) {
            self.end_job(id.job, now);
            return;
        }
        let job = &self.jobs[&id.job];
        let spec = job.spec.clone();
        let job_known_at = job.known_at;
        let step = &spec.steps[id.step as usize];
        let state = &job.occurrences[&id.occurrence].steps[id.step as usize];
        let waiting: Vec<u32> = state
            .tasks
            .iter()
            .enumerate()
            .filter(|(_, task)| task.is_waiting() && task.not_before <= now)
            .filter(|(_, task)| self.has_authority || !task.needs_authority)
            .map(|(index, _)| index as u32)
            .collect();
        if waiting.is_empty() {
            return;
        }
        if !job.may_start_in(pool) {
            self.add_pool(id, pool, waiting.len(), candidates, now);
            return;
        }
        if step.is_gang {
            if waiting.len() == state.tasks.len() {
                self.plan_gang(id, candidates, bound_to.as_deref(), now);
            }
            return;
        }
        let rack = step.is_rack_local.then(|| self.rack_of(id)).flatten();
        let tickets = self.valid_tickets(id, now);
        let mut started = 0_u64;
        let waited = now.saturating_sub(job_known_at);
        let log_started = |started: u64, left: usize| {
            if started > 0 {
                log::info!(
                    job:% = id.job, occurrence = id.occurrence, step = id.step, started,
                    left = left as u64, age_ms = waited.as_millis() as u64,
                    home = bound_to.as_deref().unwrap_or("any"); "tasks_placed"
                );
            }
        };
        let count = waiting.len();
        for index in waiting {
            if !self.is_within_cap(spec.workspace.as_deref(), &resources) {
                log_started(started, count - started as usize);
                return;
            }
            let tasks =
                &self.jobs[&id.job].occurrences[&id.occurrence].steps[id.step as usize].tasks;
            let avoid = tasks.get(index as usize).and_then(|task| task.avoid);
            let request = PlacementRequest {
                id,
                step,
                resources,
                avoid,
                rack: rack.as_deref(),
                tickets: tickets.as_ref(),
            };
            let workers = &self.workers;
            let bound_to = bound_to.as_deref();
            let worker = |key| workers.get(&key).filter(|worker| worker.is_in(bound_to));
            let Some(chosen) = choose_worker(candidates.list(), worker, &request) else {
                let left = count - started as usize;
                if step.is_lasting {
                    candidates.hold_back(worker, &request, left);
                }
                self.spread_if_useful(id, candidates.list(), &request);
                log_started(started, left);
                return;
            };
            let key = candidates.take(chosen, &resources);
            let attempt = self.next_attempt(id, index);
            let ticket = ticket_of(tickets.as_ref(), key);
            self.start(key, id.task(index), attempt, ticket, now);
            started += 1;
        }
        log_started(started, 0);
    }

    /// Notes that tasks of a job may start in another pool, if one of them fits there, and
    /// keeps room for them until that is stored.
    fn add_pool(
        &mut self,
        id: StepId,
        pool: &str,
        waiting: usize,
        candidates: &mut Candidates,
        now: Duration,
    ) {
        let job = &self.jobs[&id.job];
        let tickets = self.valid_tickets(id, now);
        let request = PlacementRequest::of(job, id, tickets.as_ref());
        let resources = request.resources;
        let mut kept = 0;
        while kept < waiting {
            let worker = |key| self.workers.get(&key);
            let Some(chosen) = choose_worker(candidates.list(), worker, &request) else {
                break;
            };
            candidates.take(chosen, &resources);
            kept += 1;
        }
        if kept == 0 {
            return;
        }
        if self
            .jobs
            .get_mut(&id.job)
            .is_some_and(|job| job.add_pool(pool))
        {
            log::info!(job:% = id.job, pool; "job_gets_another_pool");
            self.mark_dirty(id.job);
        }
    }

    /// Spreads the job beyond its home if the task fits elsewhere.
    fn spread_if_useful(
        &mut self,
        id: StepId,
        candidates: &[Candidate],
        request: &PlacementRequest<'_>,
    ) {
        if choose_worker(candidates, |key| self.workers.get(&key), request).is_some() {
            self.spread(id);
        }
    }

    fn spread(&mut self, id: StepId) {
        if self.jobs.get_mut(&id.job).is_some_and(Job::spread) {
            log::debug!(job:% = id.job; "job_spread");
            self.mark_dirty(id.job);
        }
    }

    /// Starts all members of a gang, or none.
    fn plan_gang(
        &mut self,
        id: StepId,
        candidates: &mut Candidates,
        bound_to: Option<&str>,
        now: Duration,
    ) {
        let spec = self.jobs[&id.job].spec.clone();
        let step = &spec.steps[id.step as usize];
        let resources = step.counted_resources();
        let mut total = Resources::default();
        (0..step.count).for_each(|_| total.add(&resources));
        if !self.is_within_cap(spec.workspace.as_deref(), &total) {
            return;
        }
        let racks = if step.is_rack_local {
            self.racks(candidates.list())
        } else {
            Vec::new()
        };
        let tickets = self.valid_tickets(id, now);
        let tries = racks.into_iter().map(Some).chain([None]);
        for rack in tries {
            let list = candidates.list();
            let positions = self.place_gang(id, list, rack.as_deref(), bound_to, tickets.as_ref());
            let Some(chosen) = positions else {
                continue;
            };
            let attempt = (0..step.count)
                .map(|index| self.next_attempt(id, index))
                .max()
                .unwrap_or(1);
            for (index, position) in chosen.into_iter().enumerate() {
                let key = candidates.take(position, &resources);
                let ticket = ticket_of(tickets.as_ref(), key);
                self.start(key, id.task(index as u32), attempt, ticket, now);
            }
            return;
        }
        if bound_to.is_some()
            && self
                .place_gang(id, candidates.list(), None, None, tickets.as_ref())
                .is_some()
        {
            self.spread(id);
        }
    }

    /// Returns a candidate index for each member of a gang, all on one rack if one
    /// is given; `None` if they do not all fit.
    fn place_gang(
        &self,
        id: StepId,
        candidates: &[Candidate],
        rack: Option<&str>,
        bound_to: Option<&str>,
        tickets: Option<&BTreeMap<WorkerKey, Arc<str>>>,
    ) -> Option<Vec<usize>> {
        let step = &self.jobs[&id.job].spec.steps[id.step as usize];
        let resources = step.counted_resources();
        let mut left: Vec<Candidate> = candidates.to_vec();
        let mut taken: BTreeMap<WorkerKey, u32> = BTreeMap::new();
        let mut positions = Vec::new();
        let most = step.max_per_worker.unwrap_or(u32::MAX);
        for _ in 0..step.count {
            let request = PlacementRequest {
                id,
                step,
                resources,
                avoid: None,
                rack,
                tickets,
            };
            let worker = |key: WorkerKey| {
                let worker = self.workers.get(&key)?;
                let is_on_rack = rack.is_none() || worker.rack() == rack;
                let is_below = taken.get(&key).copied().unwrap_or(0) < most;
                (is_on_rack && is_below && worker.is_in(bound_to)).then_some(worker)
            };
            let position = choose_worker(&left, worker, &request)?;
            left[position].free.subtract(&resources);
            *taken.entry(left[position].key).or_default() += 1;
            positions.push(position);
        }
        Some(positions)
    }

    fn racks(&self, candidates: &[Candidate]) -> Vec<String> {
        let rack = |candidate: &Candidate| self.workers.get(&candidate.key)?.rack();
        let mut racks: Vec<String> = candidates
            .iter()
            .filter_map(rack)
            .map(ToOwned::to_owned)
            .collect();
        racks.sort_unstable();
        racks.dedup();
        racks
    }

    /// Returns the rack on which tasks of a step are running.
    fn rack_of(&self, id: StepId) -> Option<String> {
        let state = &self
            .jobs
            .get(&id.job)?
            .occurrences
            .get(&id.occurrence)?
            .steps[id.step as usize];
        let mut changed = state.tasks.changed().iter();
        let run = changed.find_map(|task| task.runs.first())?;
        Some(self.workers.get(&run.worker)?.rack()?.to_owned())
    }

    /// Returns, by workspace, an upper bound on the resources of an earlier
    /// scheduler's runs on workers whose status was not read: those of all tasks
    /// that are not seen elsewhere.
    fn count_unseen(&self, now: Duration) -> HashMap<String, Resources> {
        let is_unread = |worker: &crate::worker::Worker| self.may_run_unseen(worker, now);
        let mut unseen: HashMap<String, Resources> = HashMap::new();
        if !self.workers.values().any(is_unread) {
            return unseen;
        }
        for job in self.jobs.values().filter(|job| job.is_restored) {
            let Some(workspace) = &job.spec.workspace else {
                continue;
            };
            let resources = unseen.entry(workspace.clone()).or_default();
            resources.add(&job.waiting_resources());
        }
        unseen
    }

    /// Returns whether a workspace may use additional resources.
    pub(crate) fn is_within_cap(&self, workspace: Option<&str>, resources: &Resources) -> bool {
        let Some(name) = workspace else {
            return true;
        };
        let mut used = self.usage.get(name).copied().unwrap_or_default();
        used.add(&self.unseen_usage.get(name).copied().unwrap_or_default());
        self.is_below_cap(name, &used, resources)
    }

    /// Returns whether a workspace that uses some resources may use additional ones.
    pub(crate) fn is_below_cap(&self, name: &str, used: &Resources, resources: &Resources) -> bool {
        let Some(workspace) = self.configuration.workspaces.get(name) else {
            // The workspace was removed from the configuration; jobs that it
            // submitted before still run.
            return true;
        };
        let is_within = |cap: u64, used: u64, resources: u64| cap == 0 || used + resources <= cap;
        let cap = &workspace.cap;
        is_within(cap.cpu_milli, used.cpu_milli, resources.cpu_milli)
            && is_within(cap.memory_mb, used.memory_mb, resources.memory_mb)
            && is_within(cap.accelerators, used.accelerators, resources.accelerators)
    }

    pub(crate) fn next_attempt(&mut self, id: StepId, index: u32) -> u64 {
        let job = self.jobs.get_mut(&id.job);
        job.and_then(|job| job.task(id, index))
            .map_or(1, |task| task.next_attempt)
    }

    /// Books a run and orders its start.
    pub(crate) fn start(
        &mut self,
        key: WorkerKey,
        task: TaskId,
        attempt: u64,
        ticket: Arc<str>,
        now: Duration,
    ) {
        let (id, index) = (task.step, task.index);
        let Some(job) = self.jobs.get_mut(&id.job) else {
            return;
        };
        let spec = job.spec.clone();
        let step = &spec.steps[id.step as usize];
        let checkpoint = job.checkpoint(id, index);
        let Some(state) = job.task(id, index) else {
            return;
        };
        state.next_attempt = attempt + 1;
        let needs_authority = std::mem::take(&mut state.needs_authority);
        let last_end = state.last_end.clone();
        let active_runs = state.runs.len() as u64;
        state.runs.push(Run {
            worker: key,
            attempt,
            state: RunState::Ordered,
            ordered_at: now,
            percent: 0,
            advanced_at: now,
            speed: RunSpeed::of_start(!checkpoint.is_empty()),
            is_copy: false,
        });
        let is_restored = job.is_restored;
        let resources = step.counted_resources();
        if let Some(worker) = self.workers.get_mut(&key) {
            worker.book(
                task,
                BookedRun {
                    attempt,
                    resources,
                    is_lasting: step.is_lasting,
                    is_filler: step.is_filler,
                    target: step.target,
                    pace_percent: 100,
                    tail_latency: Duration::ZERO,
                    confirmed_at: None,
                    is_stopping: false,
                    life_since: Duration::ZERO,
                    needs_authority,
                    unbound_until: None,
                },
            );
        }
        self.add_usage(spec.workspace.clone(), &resources);
        if let Some(queue) = self.configuration.queue_of_job(&spec) {
            let pool = queue.pool.clone();
            self.note_start(&pool, step);
        }
        self.overload.on_decided();
        log::debug!(task:%, attempt, worker = key.0; "task_placed");
        let worker = self.workers.get(&key).map(|worker| &worker.report.id);
        if last_end.is_some() || active_runs > 0 {
            let last_end = last_end.as_deref();
            log::info!(
                task:%, attempt, worker, active_runs,
                last_attempt = last_end.map(|last| last.attempt),
                last_worker = last_end.map(|last| last.worker.as_str()),
                last_outcome:? = last_end.map(|last| last.outcome),
                last_given_up = last_end.and_then(|last| last.given_up).map(GivenUpReason::name),
                last_age_ms =
                    last_end.map(|last| now.saturating_sub(last.at).as_millis() as u64);
                "task_started_again"
            );
        } else if is_restored {
            // An earlier scheduler may have started the task.
            log::info!(task:%, attempt, worker, token = self.token; "restored_task_started");
        }
        self.orders.push(WorkerOrder {
            worker: key,
            order: Order::Start {
                task,
                attempt,
                text: spec.payload.clone(),
                checkpoint,
                ticket,
            },
        });
    }
}

pub(crate) fn ticket_of(
    tickets: Option<&BTreeMap<WorkerKey, Arc<str>>>,
    key: WorkerKey,
) -> Arc<str> {
    let ticket = tickets.and_then(|tickets| tickets.get(&key));
    ticket.cloned().unwrap_or_else(|| "".into())
}
