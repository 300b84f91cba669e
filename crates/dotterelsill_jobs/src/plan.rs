//! Gives waiting tasks to workers.

use std::{
    collections::BTreeMap,
    time::Duration, //
};

use crate::{
    job::Run,
    place::{
        candidate,
        choose,
        Candidate,
        Wanted, //
    },
    rank::Rank,
    worker::Booked,
    Addressed,
    Order,
    Room,
    RunState,
    Scheduler,
    StepId,
    WorkerKey, //
};

impl Scheduler {
    /// Starts what can start, and takes the orders that are due.
    pub fn plan(&mut self, now: Duration) -> Vec<Addressed> {
        if self.needs_plan {
            self.needs_plan = false;
            self.relist_unknown_queues();
            let pools: Vec<String> = self.ready.keys().cloned().collect();
            for pool in pools {
                self.plan_pool(&pool, now);
            }
        }
        std::mem::take(&mut self.orders)
    }

    /// Asks for a new plan, for example when a pause is over.
    pub fn replan(&mut self) {
        self.needs_plan = true;
    }

    fn relist_unknown_queues(&mut self) {
        for step in self.ready.remove("").unwrap_or_default() {
            self.make_ready(step);
        }
    }

    fn plan_pool(&mut self, pool: &str, now: Duration) {
        let ranks = self.ranks(pool, now);
        if ranks.is_empty() {
            return;
        }
        let mut candidates: Vec<Candidate> = self
            .workers
            .iter()
            .filter(|(_, worker)| worker.report.pool == pool)
            .filter_map(|(&key, worker)| candidate(key, worker, &self.requests, now))
            .collect();
        let is_unsettled = self.is_unsettled(pool, now);
        for rank in ranks {
            if candidates.is_empty() {
                return;
            }
            self.plan_step(rank.step, &mut candidates, is_unsettled, now);
        }
    }

    /// Returns the waiting steps of a pool in the order in which they get room.
    fn ranks(&mut self, pool: &str, now: Duration) -> Vec<Rank> {
        let Some(ready) = self.ready.get_mut(pool) else {
            return Vec::new();
        };
        let mut ranks = Vec::new();
        let (jobs, catalogue) = (&self.jobs, &self.catalogue);
        let mut moved = Vec::new();
        ready.retain(|step| {
            let Some(job) = jobs.get(&step.job).filter(|job| job.is_open()) else {
                return false;
            };
            let Some(occurrence) = job.occurrences.get(&step.occurrence) else {
                return false;
            };
            let state = &occurrence.steps[step.step as usize];
            if !state.tasks.iter().any(crate::job::Task::is_waiting) {
                return false;
            }
            match catalogue.queue(&job.spec.queue) {
                Some(queue) if queue.pool == pool => {
                    ranks.push(Rank::new(*step, job, queue, now));
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
        candidates: &mut [Candidate],
        is_unsettled: bool,
        now: Duration,
    ) {
        let Some(job) = self.jobs.get(&id.job) else {
            return;
        };
        if is_unsettled && job.is_restored {
            // An earlier scheduler's run may still go on where nobody sees it.
            return;
        }
        let spec = job.spec.clone();
        let step = &spec.steps[id.step as usize];
        let state = &job.occurrences[&id.occurrence].steps[id.step as usize];
        let waiting: Vec<u32> = state
            .tasks
            .iter()
            .enumerate()
            .filter(|(_, task)| task.is_waiting() && task.not_before <= now)
            .map(|(index, _)| index as u32)
            .collect();
        if waiting.is_empty() {
            return;
        }
        if step.is_gang {
            if waiting.len() == state.tasks.len() {
                self.plan_gang(id, candidates, now);
            }
            return;
        }
        let rack = step.is_rack_local.then(|| self.rack_of(id)).flatten();
        for index in waiting {
            let room = step.counted_room();
            if !self.is_within_cap(spec.workspace.as_deref(), &room) {
                return;
            }
            let avoid = self.jobs[&id.job].occurrences[&id.occurrence].steps[id.step as usize]
                .tasks[index as usize]
                .avoid;
            let wanted = Wanted {
                id,
                step,
                room,
                avoid,
                rack: rack.as_deref(),
            };
            let workers = &self.workers;
            let Some(chosen) = choose(candidates, |key| workers.get(&key), &wanted) else {
                return;
            };
            candidates[chosen].free.subtract(&room);
            let attempt = self.next_attempt(id, index);
            self.start(candidates[chosen].key, id, index, attempt, now);
        }
    }

    /// Starts all members of a gang, or none.
    fn plan_gang(&mut self, id: StepId, candidates: &mut [Candidate], now: Duration) {
        let spec = self.jobs[&id.job].spec.clone();
        let step = &spec.steps[id.step as usize];
        let room = step.counted_room();
        let mut total = Room::default();
        (0..step.count).for_each(|_| total.add(&room));
        if !self.is_within_cap(spec.workspace.as_deref(), &total) {
            return;
        }
        let racks = if step.is_rack_local {
            self.racks(candidates)
        } else {
            Vec::new()
        };
        let tries = racks.into_iter().map(Some).chain([None]);
        for rack in tries {
            let Some(chosen) = self.gang_places(id, candidates, rack.as_deref()) else {
                continue;
            };
            let attempt = (0..step.count)
                .map(|index| self.next_attempt(id, index))
                .max()
                .unwrap_or(1);
            for (index, place) in chosen.into_iter().enumerate() {
                candidates[place].free.subtract(&room);
                self.start(candidates[place].key, id, index as u32, attempt, now);
            }
            return;
        }
    }

    /// Returns a place for each member of a gang, on one rack if one is given.
    fn gang_places(
        &self,
        id: StepId,
        candidates: &[Candidate],
        rack: Option<&str>,
    ) -> Option<Vec<usize>> {
        let step = &self.jobs[&id.job].spec.steps[id.step as usize];
        let room = step.counted_room();
        let mut left: Vec<Candidate> = candidates.to_vec();
        let mut taken: BTreeMap<WorkerKey, u32> = BTreeMap::new();
        let mut places = Vec::new();
        let most = step.max_per_worker.unwrap_or(u32::MAX);
        for _ in 0..step.count {
            let wanted = Wanted {
                id,
                step,
                room,
                avoid: None,
                rack,
            };
            let worker = |key: WorkerKey| {
                let worker = self.workers.get(&key)?;
                let is_on_rack = rack.is_none() || worker.rack() == rack;
                let is_below = taken.get(&key).copied().unwrap_or(0) < most;
                (is_on_rack && is_below).then_some(worker)
            };
            let place = choose(&left, worker, &wanted)?;
            left[place].free.subtract(&room);
            *taken.entry(left[place].key).or_default() += 1;
            places.push(place);
        }
        Some(places)
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

    /// Returns the rack on which tasks of a step run.
    fn rack_of(&self, id: StepId) -> Option<String> {
        let state = &self
            .jobs
            .get(&id.job)?
            .occurrences
            .get(&id.occurrence)?
            .steps[id.step as usize];
        let run = state.tasks.iter().find_map(|task| task.runs.first())?;
        Some(self.workers.get(&run.worker)?.rack()?.to_owned())
    }

    /// Returns whether a workspace may have another room running.
    pub(crate) fn is_within_cap(&self, workspace: Option<&str>, room: &Room) -> bool {
        let Some(name) = workspace else {
            return true;
        };
        let Some(workspace) = self.catalogue.workspaces.get(name) else {
            // Its keys were taken away; what it handed in before still runs.
            return true;
        };
        let used = self.usage.get(name).copied().unwrap_or_default();
        let is_within = |cap: u64, used: u64, room: u64| cap == 0 || used + room <= cap;
        let cap = &workspace.cap;
        is_within(cap.cpu_milli, used.cpu_milli, room.cpu_milli)
            && is_within(cap.memory_mb, used.memory_mb, room.memory_mb)
            && is_within(cap.accelerators, used.accelerators, room.accelerators)
    }

    fn next_attempt(&mut self, id: StepId, index: u32) -> u32 {
        let job = self.jobs.get_mut(&id.job);
        job.and_then(|job| job.task(id, index))
            .map_or(1, |task| task.next_attempt)
    }

    /// Books a run and orders its start.
    fn start(&mut self, key: WorkerKey, id: StepId, index: u32, attempt: u32, now: Duration) {
        let Some(job) = self.jobs.get_mut(&id.job) else {
            return;
        };
        let spec = job.spec.clone();
        let step = &spec.steps[id.step as usize];
        let Some(state) = job.task(id, index) else {
            return;
        };
        state.next_attempt = attempt + 1;
        state.runs.push(Run {
            worker: key,
            attempt,
            state: RunState::Ordered,
            ordered_at: now,
            percent: 0,
            advanced_at: now,
        });
        let checkpoint = state.checkpoint.clone();
        let task = id.task(index);
        let room = step.counted_room();
        if let Some(worker) = self.workers.get_mut(&key) {
            worker.book(
                task,
                Booked {
                    attempt,
                    room,
                    is_lasting: step.is_lasting,
                    is_filler: step.is_filler,
                    target: step.target,
                    pace_percent: 100,
                    tail: Duration::ZERO,
                    confirmed_at: None,
                    is_stopping: false,
                },
            );
        }
        self.add_usage(spec.workspace.clone(), &room);
        log::debug!(task:%, attempt, worker = key.0; "task_placed");
        self.orders.push(Addressed {
            worker: key,
            order: Order::Start {
                task,
                attempt,
                text: spec.text.clone(),
                checkpoint,
            },
        });
    }
}
