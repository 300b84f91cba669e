//! State of one job.

use std::{
    collections::{
        BTreeMap,
        BTreeSet, //
    },
    sync::{
        Arc,
        LazyLock, //
    },
    time::Duration, //
};

use dotterelsill_proto::jobs::{
    FailedRun,
    Phase,
    ProgressRecord,
    StepProgress, //
};

use crate::{
    done_occurrences::DoneOccurrences,
    given_up::GivenUpReason,
    pending::has_begun,
    run_times::RunSpeed,
    spec::FORMAT,
    tasks::Tasks,
    unread_places::UnreadPlaces,
    JobId,
    JobSpec,
    Resources,
    RunOutcome,
    Step,
    StepId,
    TaskId,
    WorkerKey, //
};

/// Number of attempts of each task that are reserved per fencing token, so that
/// two schedulers never assign the same attempt number to two runs of a task. Tokens
/// are revisions of the store, of which each worker's reports make one about each second;
/// no task is started 1024 times between two of them. Attempts reach 2^53, the largest
/// number that JSON carries exactly, after 2^43 revisions.
const ATTEMPTS_PER_TOKEN: u64 = 1024;

/// Number of waiting tasks of a job from which on no further occurrences are opened.
/// A schedule may have begun long ago, with any number of occurrences that are due.
const MAX_WAITING_TASKS: usize = 1000;

/// State of the tasks of ended jobs, which have none.
static NO_TASK: LazyLock<Arc<Task>> = LazyLock::new(Arc::default);

/// Lifecycle state of a run.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum RunState {
    /// The start was ordered and the worker has not responded yet.
    Ordered,
    /// The worker has confirmed that the run is active.
    Running,
    /// The stop was ordered. The run counts as active until the worker reports its
    /// end.
    Stopping,
}

/// A run of a task on a worker.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Run {
    /// Worker that executes the run.
    pub worker: WorkerKey,
    /// Attempt number, unique among all runs of the task.
    pub attempt: u64,
    /// Lifecycle state.
    pub state: RunState,
    /// Time at which the start was ordered.
    pub ordered_at: Duration,
    /// Progress in percent, as last reported by the worker.
    pub percent: u32,
    /// Time at which the reported progress last changed.
    pub advanced_at: Duration,
    pub(crate) speed: RunSpeed,
    /// Whether the run was started beside a slow run of the task.
    pub(crate) is_copy: bool,
}

/// The last known end of a run of a task.
#[derive(Clone, Debug)]
pub(crate) struct LastEnd {
    pub(crate) attempt: u64,
    /// Identifier of the worker, which may be gone.
    pub(crate) worker: String,
    pub(crate) outcome: RunOutcome,
    /// Why the run was given up, if no end of its own was listed.
    pub(crate) given_up: Option<GivenUpReason>,
    pub(crate) at: Duration,
}

/// State of one task of a step.
#[derive(Clone, Debug, Default)]
pub(crate) struct Task {
    pub(crate) is_done: bool,
    pub(crate) runs: Vec<Run>,
    pub(crate) next_attempt: u64,
    pub(crate) failed_attempts: BTreeSet<u64>,
    checkpoint: String,
    /// Worker on which the last run failed or made no progress; others are
    /// preferred.
    pub(crate) avoid: Option<WorkerKey>,
    pub(crate) not_before: Duration,
    /// Whether a run was given up that a later scheduler may have seen end `done`. The
    /// task then starts only with authority, which shows that there is no such scheduler.
    pub(crate) needs_authority: bool,
    /// Whether a slow run of the task was copied or moved, which is done once.
    pub(crate) was_copied_or_moved: bool,
    /// Last known end of a run, for the logs.
    pub(crate) last_end: Option<Box<LastEnd>>,
}

impl Task {
    /// Returns whether the task is neither done nor running.
    pub(crate) fn is_waiting(&self) -> bool {
        !self.is_done && self.runs.is_empty()
    }
}

/// State of one step in one occurrence.
#[derive(Debug)]
pub(crate) struct StepState {
    pub(crate) tasks: Tasks,
    pub(crate) done: u32,
    /// Latest checkpoint of any member of a gang, which all members resume from.
    gang_checkpoint: String,
}

impl StepState {
    pub(crate) fn is_done(&self) -> bool {
        self.done as usize == self.tasks.len()
    }
}

/// One execution of all steps of a job.
#[derive(Debug)]
pub(crate) struct Occurrence {
    pub(crate) steps: Vec<StepState>,
}

/// A job that the scheduler manages.
#[derive(Debug)]
pub(crate) struct Job {
    pub(crate) id: JobId,
    pub(crate) spec: Arc<JobSpec>,
    pub(crate) phase: Phase,
    /// Time at which the scheduler learned of the job.
    pub(crate) known_at: Duration,
    /// Age of the job at that time, in milliseconds.
    pub(crate) age_when_known_ms: u32,
    /// Time at which the job ended.
    pub(crate) ended_at: Option<Duration>,
    pub(crate) has_begun: bool,
    /// Whether an earlier scheduler may have started tasks of the job.
    pub(crate) is_restored: bool,
    /// Number of the progress change that spread the job beyond its home data
    /// centre.
    spread_change: Option<u64>,
    /// Further pools in which tasks may be started, each with the number of the progress
    /// change that added it.
    later_pools: Vec<(String, u64)>,
    /// Opened occurrences that are not completed, and completed ones that still have
    /// runs.
    pub(crate) occurrences: BTreeMap<u32, Occurrence>,
    done_occurrences: DoneOccurrences,
    /// Number of the next occurrence to open once it is due.
    next_occurrence: u32,
    /// State of a task that had no run and no end.
    unchanged_task: Arc<Task>,
    /// Number of changes of the progress so far, and number of the last stored one.
    pub(crate) changes: u64,
    pub(crate) stored_changes: u64,
    /// Store revision of the progress record; 0 if none is stored.
    pub(crate) progress_revision: u64,
    /// Whether a write of the progress record is in flight.
    pub(crate) is_writing: bool,
    /// For each step, the length of the critical path from its start to the job's
    /// end.
    pub(crate) critical_paths: Vec<Duration>,
}

impl Job {
    /// Creates a job without runs. `token` is the fencing token of this scheduler.
    pub(crate) fn new(id: JobId, spec: Arc<JobSpec>, token: u64, now: Duration) -> Self {
        let schedulers = token.saturating_sub(spec.accepted_token);
        let first = schedulers
            .saturating_mul(ATTEMPTS_PER_TOKEN)
            .saturating_add(1);
        let critical_paths = spec.critical_paths();
        Self {
            id,
            phase: Phase::Open,
            known_at: now,
            age_when_known_ms: 0,
            ended_at: None,
            has_begun: false,
            is_restored: spec.accepted_token != token,
            spread_change: None,
            later_pools: Vec::new(),
            occurrences: BTreeMap::new(),
            done_occurrences: DoneOccurrences::default(),
            next_occurrence: 0,
            unchanged_task: Arc::new(Task {
                next_attempt: first,
                ..Task::default()
            }),
            changes: 0,
            stored_changes: 0,
            progress_revision: 0,
            is_writing: false,
            critical_paths,
            spec,
        }
    }

    pub(crate) fn is_open(&self) -> bool {
        self.phase == Phase::Open
    }

    /// Opens due occurrences, in their order, until enough tasks wait or the job has
    /// `max_open_steps` steps in opened occurrences; returns those that it has opened.
    pub(crate) fn open_due(&mut self, unix: Duration, max_open_steps: usize) -> Vec<u32> {
        let mut opened = Vec::new();
        let tasks_each: usize = self.spec.steps.iter().map(|step| step.count as usize).sum();
        let mut waiting = None;
        self.next_occurrence = self.next_occurrence.max(self.done_occurrences.first_open());
        while self.has_unopened() {
            let number = self.next_occurrence;
            let is_due = |schedule: crate::Schedule| schedule.due(number) <= unix;
            if !self.spec.schedule.is_none_or(is_due) {
                break;
            }
            let waiting = waiting.get_or_insert_with(|| self.waiting_tasks());
            let has_room = self.occurrences.is_empty()
                || *waiting < MAX_WAITING_TASKS
                    && self.open_steps() + self.spec.steps.len() <= max_open_steps;
            // Stored progress or an adopted run may have opened it before.
            let is_new = !self.occurrences.contains_key(&number);
            if is_new && !has_room {
                break;
            }
            if self.ensure_occurrence(number) {
                *waiting += tasks_each;
                opened.push(number);
            }
            self.next_occurrence += 1;
        }
        opened
    }

    /// Returns whether there are occurrences left to open.
    pub(crate) fn has_unopened(&self) -> bool {
        self.next_occurrence < self.spec.occurrences()
    }

    /// Returns the number of steps in opened occurrences.
    pub(crate) fn open_steps(&self) -> usize {
        self.occurrences.len() * self.spec.steps.len()
    }

    fn waiting_tasks(&self) -> usize {
        let steps = self.occurrences.values().flat_map(|state| &state.steps);
        steps.map(|step| step.tasks.waiting()).sum()
    }

    /// Creates an occurrence unless it exists or is completed; returns whether it
    /// was created.
    pub(crate) fn ensure_occurrence(&mut self, number: u32) -> bool {
        if self.occurrences.contains_key(&number) || self.done_occurrences.contains(number) {
            return false;
        }
        let step = |step: &Step| StepState {
            done: 0,
            gang_checkpoint: String::new(),
            tasks: Tasks::new(step.count as usize, &self.unchanged_task),
        };
        let steps = self.spec.steps.iter().map(step).collect();
        self.occurrences.insert(number, Occurrence { steps });
        true
    }

    /// Returns a task of an existing occurrence.
    pub(crate) fn task(&mut self, step: StepId, index: u32) -> Option<&mut Task> {
        self.step(step)?.tasks.get_mut(index as usize)
    }

    /// Records the checkpoint of a run, unless it has none. That of any member of a
    /// gang is valid for the whole gang.
    pub(crate) fn note_checkpoint(&mut self, step: StepId, index: u32, checkpoint: &str) {
        let is_gang = self.is_gang(step);
        let Some(state) = self.step(step).filter(|_| !checkpoint.is_empty()) else {
            return;
        };
        if is_gang {
            checkpoint.clone_into(&mut state.gang_checkpoint);
        } else if let Some(task) = state.tasks.get_mut(index as usize) {
            checkpoint.clone_into(&mut task.checkpoint);
        }
    }

    /// Returns the checkpoint from which a task resumes: the same for all members of a
    /// gang. Empty for none.
    pub(crate) fn checkpoint(&self, step: StepId, index: u32) -> String {
        let state = self.occurrences.get(&step.occurrence);
        let Some(state) = state.and_then(|state| state.steps.get(step.step as usize)) else {
            return String::new();
        };
        if self.is_gang(step) {
            return state.gang_checkpoint.clone();
        }
        let task = state.tasks.get(index as usize);
        task.map_or(String::new(), |task| task.checkpoint.clone())
    }

    pub(crate) fn is_gang(&self, step: StepId) -> bool {
        let step = self.spec.steps.get(step.step as usize);
        step.is_some_and(|step| step.is_gang)
    }

    pub(crate) fn step(&mut self, step: StepId) -> Option<&mut StepState> {
        let occurrence = self.occurrences.get_mut(&step.occurrence)?;
        occurrence.steps.get_mut(step.step as usize)
    }

    /// Returns whether all dependencies of a step are completed.
    pub(crate) fn is_ready(&self, step: StepId) -> bool {
        let Some(occurrence) = self.occurrences.get(&step.occurrence) else {
            return false;
        };
        let after = &self.spec.steps[step.step as usize].after;
        after
            .iter()
            .all(|&after| occurrence.steps[after as usize].is_done())
    }

    /// Marks a task as done; returns whether it was not done before.
    pub(crate) fn complete(&mut self, step: StepId, index: u32) -> bool {
        let is_gang = self.spec.steps[step.step as usize].is_gang;
        let Some(state) = self.step(step) else {
            return false;
        };
        let Some(task) = state.tasks.get_mut(index as usize) else {
            return false;
        };
        if task.is_done {
            return false;
        }
        if is_gang {
            // The worker reports one end for the whole gang.
            state.tasks.set_all_done();
            state.done = state.tasks.len() as u32;
        } else {
            task.is_done = true;
            state.done += 1;
        }
        self.changes += 1;
        self.close_if_done(step.occurrence);
        true
    }

    fn close_if_done(&mut self, number: u32) {
        let is_done = |occurrence: &Occurrence| occurrence.steps.iter().all(StepState::is_done);
        if self.occurrences.get(&number).is_some_and(is_done) {
            self.done_occurrences.insert(number);
            self.drop_if_over(number);
        }
        if self.done_occurrences.count() == u64::from(self.spec.occurrences()) {
            self.phase = Phase::Completed;
        }
    }

    /// Drops the state of an occurrence that is completed and has no runs left.
    pub(crate) fn drop_if_over(&mut self, number: u32) {
        if !self.done_occurrences.contains(number) {
            return;
        }
        let is_over = |state: &Occurrence| {
            let mut tasks = state.steps.iter().flat_map(|step| step.tasks.changed());
            tasks.all(|task| task.runs.is_empty())
        };
        if self.occurrences.get(&number).is_some_and(is_over) {
            self.occurrences.remove(&number);
        }
    }

    /// Returns the time since the start of a run was ordered.
    pub(crate) fn ran_for(&self, task: TaskId, attempt: u64, now: Duration) -> Duration {
        let occurrence = self.occurrences.get(&task.step.occurrence);
        let step = occurrence.and_then(|state| state.steps.get(task.step.step as usize));
        let runs = step.and_then(|step| step.tasks.get(task.index as usize));
        let mut runs = runs.into_iter().flat_map(|task| &task.runs);
        let run = runs.find(|run| run.attempt == attempt);
        run.map_or(Duration::ZERO, |run| now.saturating_sub(run.ordered_at))
    }

    /// Returns whether any task has a run.
    pub(crate) fn has_runs(&self) -> bool {
        let steps = self.occurrences.values().flat_map(|state| &state.steps);
        let mut tasks = steps.flat_map(|step| step.tasks.changed());
        tasks.any(|task| !task.runs.is_empty())
    }

    /// Drops what only an open job needs: the states of its tasks and its payload.
    pub(crate) fn drop_open_state(&mut self) {
        self.occurrences.clear();
        self.critical_paths = Vec::new();
        // No occurrence of an ended job is opened, so all can share one.
        self.unchanged_task = NO_TASK.clone();
        if !self.spec.payload.is_empty() {
            Arc::make_mut(&mut self.spec).payload = "".into();
        }
    }

    /// Records a failed run and fails the job once `max_attempts` runs of the task
    /// have failed; returns whether the failure was new.
    pub(crate) fn fail(
        &mut self,
        step: StepId,
        index: u32,
        attempt: u64,
        max_attempts: u32,
    ) -> bool {
        if self.spec.steps[step.step as usize].is_lasting {
            return false;
        }
        let Some(task) = self.task(step, index) else {
            return false;
        };
        if !task.failed_attempts.insert(attempt) {
            return false;
        }
        let is_over = !task.is_done && task.failed_attempts.len() as u32 >= max_attempts;
        self.changes += 1;
        if is_over && self.is_open() {
            self.phase = Phase::Failed;
        }
        true
    }

    /// Fails the job if a waiting task of a step has failed as often as it may; returns
    /// whether it did. The last run may have failed while the limit was not known.
    pub(crate) fn fail_if_exhausted(&mut self, step: StepId, max_attempts: u32) -> bool {
        let is_exhausted =
            |task: &Task| task.is_waiting() && task.failed_attempts.len() >= max_attempts as usize;
        let state = self.step(step);
        let is_over = state.is_some_and(|state| state.tasks.changed().iter().any(is_exhausted));
        if is_over && self.is_open() {
            self.phase = Phase::Failed;
            self.changes += 1;
        }
        is_over
    }

    /// Returns the data centre to which the tasks are bound. After a failover the
    /// next scheduler relies on the stored binding and looks for runs only there.
    pub(crate) fn bound_to(&self) -> Option<&str> {
        match self.spread_change {
            Some(change) if change <= self.stored_changes => None,
            _ => self.spec.home.as_deref(),
        }
    }

    /// Returns whether tasks may be started in a pool: after a failover the next scheduler
    /// looks for runs only in the stored ones, whatever pool the queue has then.
    pub(crate) fn may_start_in(&self, pool: &str) -> bool {
        let is_stored = |later: &(String, u64)| later.0 == pool && later.1 <= self.stored_changes;
        let is_first = |first: &String| first == pool;
        self.spec.pool.as_ref().is_none_or(is_first) || self.later_pools.iter().any(is_stored)
    }

    /// Allows tasks to start in another pool as soon as this is stored; returns whether this
    /// is a change.
    pub(crate) fn add_pool(&mut self, pool: &str) -> bool {
        if self.may_start_in(pool) || self.later_pools.iter().any(|later| later.0 == pool) {
            return false;
        }
        self.changes += 1;
        self.later_pools.push((pool.to_owned(), self.changes));
        true
    }

    /// Returns whether an earlier scheduler may have started tasks at one of the places,
    /// whatever pool the queue has now.
    pub(crate) fn may_run_at(&self, places: &UnreadPlaces) -> bool {
        let home = self.bound_to();
        let Some(first) = &self.spec.pool else {
            return places.has_any(home);
        };
        let later = self.later_pools.iter().map(|later| &later.0);
        let mut pools = std::iter::once(first).chain(later);
        pools.any(|pool| places.has_in(pool, home))
    }

    /// Returns whether a run started by an earlier scheduler may still be active on
    /// a worker whose status was not read yet, given the places of these workers.
    pub(crate) fn waits_for_unread_workers(&self, unread_places: &UnreadPlaces) -> bool {
        self.is_restored && !unread_places.is_empty() && self.may_run_at(unread_places)
    }

    /// Allows tasks to run outside the home data centre as soon as this is stored;
    /// returns whether this is a change.
    pub(crate) fn spread(&mut self) -> bool {
        if self.spec.home.is_none() || self.spread_change.is_some() {
            return false;
        }
        self.changes += 1;
        self.spread_change = Some(self.changes);
        true
    }

    /// Returns whether the job waits until its spread or a further pool is stored.
    pub(crate) fn is_spreading(&self) -> bool {
        let later_pools = self.later_pools.iter().map(|later| later.1);
        let mut changes = self.spread_change.into_iter().chain(later_pools);
        changes.any(|change| change > self.stored_changes)
    }

    /// Returns the resources of all waiting tasks of the opened occurrences, which an
    /// earlier scheduler may have started.
    pub(crate) fn waiting_resources(&self) -> Resources {
        let mut resources = Resources::default();
        for occurrence in self.occurrences.values() {
            for (step, state) in self.spec.steps.iter().zip(&occurrence.steps) {
                resources.add(&step.counted_resources().times(state.tasks.waiting()));
            }
        }
        resources
    }

    /// Returns whether a long-running task with a disruption budget waits.
    pub(crate) fn has_waiting_budgeted(&self) -> bool {
        self.occurrences.values().any(|occurrence| {
            let mut steps = self.spec.steps.iter().zip(&occurrence.steps);
            steps.any(|(step, state)| {
                step.is_lasting && step.may_miss.is_some() && state.tasks.has_waiting()
            })
        })
    }

    /// Cancels the job if it is still open.
    pub(crate) fn cancel(&mut self) {
        if self.is_open() {
            self.phase = Phase::Cancelled;
            self.changes += 1;
        }
    }

    /// Returns the progress record to store.
    pub(crate) fn progress(&self) -> ProgressRecord {
        let (mut steps, mut later_pools) = (Vec::new(), Vec::new());
        if self.is_open() {
            let pools = self.later_pools.iter();
            later_pools.extend(pools.map(|later| later.0.clone()));
            for (&occurrence, state) in &self.occurrences {
                if self.done_occurrences.contains(occurrence) {
                    continue;
                }
                for (step, state) in state.steps.iter().enumerate() {
                    steps.extend(step_progress(occurrence, step as u32, state));
                }
            }
        }
        let (done_below, done_occurrences) = self.done_occurrences.to_record();
        ProgressRecord {
            format: FORMAT,
            phase: self.phase.into(),
            steps,
            done_occurrences,
            done_below,
            is_spread: self.spread_change.is_some(),
            later_pools,
            // The job does not know its workers by their identifiers.
            unended: Vec::new(),
            workspace: String::new(),
        }
    }

    /// Restores the progress from a stored record.
    pub(crate) fn restore(&mut self, record: &ProgressRecord, revision: u64) {
        self.progress_revision = revision;
        self.spread_change = record.is_spread.then_some(0);
        let later_pools = record.later_pools.iter();
        self.later_pools = later_pools.map(|pool| (pool.clone(), 0)).collect();
        self.done_occurrences =
            DoneOccurrences::from_record(record.done_below, &record.done_occurrences);
        for progress in &record.steps {
            self.ensure_occurrence(progress.occurrence);
            let step = StepId {
                job: self.id,
                occurrence: progress.occurrence,
                step: progress.step,
            };
            let Some(state) = self.step(step) else {
                continue;
            };
            for &index in &progress.done {
                if let Some(task) = state.tasks.get_mut(index as usize) {
                    task.is_done = true;
                }
            }
            for failed in &progress.failed {
                if let Some(task) = state.tasks.get_mut(failed.index as usize) {
                    task.failed_attempts.insert(failed.attempt);
                }
            }
            let changed = state.tasks.changed().iter();
            state.done = changed.filter(|task| task.is_done).count() as u32;
        }
        self.has_begun |= has_begun(record);
        self.phase = record.phase();
    }
}

fn step_progress(occurrence: u32, step: u32, state: &StepState) -> Option<StepProgress> {
    let mut progress = StepProgress {
        occurrence,
        step,
        ..StepProgress::default()
    };
    for (index, task) in state.tasks.changed().iter().enumerate() {
        let index = index as u32;
        if task.is_done {
            progress.done.push(index);
        }
        let failed = |&attempt: &u64| FailedRun { index, attempt };
        progress
            .failed
            .extend(task.failed_attempts.iter().map(failed));
    }
    let has_ends = !progress.done.is_empty() || !progress.failed.is_empty();
    has_ends.then_some(progress)
}
