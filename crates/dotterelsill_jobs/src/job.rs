//! State of one job.

use std::{
    collections::{
        BTreeMap,
        BTreeSet, //
    },
    sync::Arc,
    time::Duration, //
};

use dotterelsill_proto::jobs::{
    FailedRun,
    Phase,
    ProgressRecord,
    StepProgress, //
};

use crate::{
    spec::FORMAT,
    JobId,
    JobSpec,
    Step,
    StepId,
    WorkerKey, //
};

/// Factor between the fencing tokens of two schedulers and the attempts that
/// each may make, so that no two schedulers give one number to two runs of a
/// task. No task is started that often under one scheduler.
const ATTEMPTS_PER_TOKEN: u64 = 1024;

/// Where a run is in its life.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum RunState {
    /// The worker was told to start it and has not answered.
    Ordered,
    /// The worker has answered that it runs.
    Running,
    /// The worker was told to stop it; it runs until its end is listed.
    Stopping,
}

/// A run of a task on a worker.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Run {
    /// Worker.
    pub worker: WorkerKey,
    /// Number of the start.
    pub attempt: u32,
    /// State.
    pub state: RunState,
    /// Time of the order.
    pub ordered_at: Duration,
    /// Share of the work that is done, in percent, as listed last.
    pub percent: u32,
    /// Time at which the share had last changed.
    pub advanced_at: Duration,
}

/// A task of a step.
#[derive(Clone, Debug, Default)]
pub(crate) struct Task {
    pub(crate) is_done: bool,
    pub(crate) runs: Vec<Run>,
    pub(crate) next_attempt: u32,
    pub(crate) failed_attempts: BTreeSet<u32>,
    pub(crate) checkpoint: String,
    /// Worker on which the last run failed or made no progress.
    pub(crate) avoid: Option<WorkerKey>,
    pub(crate) not_before: Duration,
}

impl Task {
    /// Returns whether the task needs a run.
    pub(crate) fn is_waiting(&self) -> bool {
        !self.is_done && self.runs.is_empty()
    }
}

/// A step of one occurrence.
#[derive(Debug)]
pub(crate) struct StepState {
    pub(crate) tasks: Vec<Task>,
    pub(crate) done: u32,
}

impl StepState {
    pub(crate) fn is_done(&self) -> bool {
        self.done as usize == self.tasks.len()
    }
}

/// One occurrence of the steps.
#[derive(Debug)]
pub(crate) struct Occurrence {
    pub(crate) steps: Vec<StepState>,
}

/// A job that the scheduler knows.
#[derive(Debug)]
pub(crate) struct Job {
    pub(crate) id: JobId,
    pub(crate) spec: Arc<JobSpec>,
    pub(crate) phase: Phase,
    /// Time at which the scheduler learned of the job.
    pub(crate) known_at: Duration,
    /// Time at which the job ended.
    pub(crate) ended_at: Option<Duration>,
    pub(crate) has_begun: bool,
    /// Whether an earlier scheduler may have started tasks of the job.
    pub(crate) is_restored: bool,
    /// Change with which the job was spread beyond its home.
    spread_change: Option<u64>,
    /// Occurrences that are due and not done.
    pub(crate) occurrences: BTreeMap<u32, Occurrence>,
    pub(crate) done_occurrences: BTreeSet<u32>,
    /// Occurrence that is due next.
    pub(crate) next_occurrence: u32,
    first_attempt: u32,
    /// Number of changes of the progress, and the last one that is stored.
    pub(crate) changes: u64,
    pub(crate) stored_changes: u64,
    /// Revision of the stored progress; 0 for none.
    pub(crate) progress_revision: u64,
    /// Whether a write of the progress is in flight.
    pub(crate) is_writing: bool,
    /// Longest chain of estimated durations from each step on.
    pub(crate) chains: Vec<Duration>,
}

impl Job {
    /// Creates a job of which nothing has run; `token` is that of the scheduler.
    pub(crate) fn new(id: JobId, spec: Arc<JobSpec>, token: u64, now: Duration) -> Self {
        let schedulers = token.saturating_sub(spec.accepted_token);
        let first = schedulers.saturating_mul(ATTEMPTS_PER_TOKEN) + 1;
        let chains = spec.chains();
        Self {
            id,
            phase: Phase::Open,
            known_at: now,
            ended_at: None,
            has_begun: false,
            is_restored: spec.accepted_token != token,
            spread_change: None,
            occurrences: BTreeMap::new(),
            done_occurrences: BTreeSet::new(),
            next_occurrence: 0,
            first_attempt: u32::try_from(first).unwrap_or(u32::MAX / 2),
            changes: 0,
            stored_changes: 0,
            progress_revision: 0,
            is_writing: false,
            chains,
            spec,
        }
    }

    pub(crate) fn is_open(&self) -> bool {
        self.phase == Phase::Open
    }

    /// Creates the occurrences that are due.
    pub(crate) fn open_due(&mut self, unix: Duration) -> Vec<u32> {
        let mut opened = Vec::new();
        while self.next_occurrence < self.spec.occurrences() {
            let number = self.next_occurrence;
            let is_due = |schedule: crate::Schedule| schedule.due(number) <= unix;
            if !self.spec.schedule.is_none_or(is_due) {
                break;
            }
            self.next_occurrence += 1;
            // It may exist already, by stored progress or by a run that was found.
            self.ensure(number);
            if !self.done_occurrences.contains(&number) {
                opened.push(number);
            }
        }
        opened
    }

    /// Creates an occurrence unless it exists; returns whether it did so.
    pub(crate) fn ensure(&mut self, number: u32) -> bool {
        if self.occurrences.contains_key(&number) || self.done_occurrences.contains(&number) {
            return false;
        }
        let first_attempt = self.first_attempt;
        let step = |step: &Step| StepState {
            done: 0,
            tasks: (0..step.count)
                .map(|_| Task {
                    next_attempt: first_attempt,
                    ..Task::default()
                })
                .collect(),
        };
        let steps = self.spec.steps.iter().map(step).collect();
        self.occurrences.insert(number, Occurrence { steps });
        true
    }

    /// Returns a task of an occurrence that exists.
    pub(crate) fn task(&mut self, step: StepId, index: u32) -> Option<&mut Task> {
        self.step(step)?.tasks.get_mut(index as usize)
    }

    pub(crate) fn step(&mut self, step: StepId) -> Option<&mut StepState> {
        let occurrence = self.occurrences.get_mut(&step.occurrence)?;
        occurrence.steps.get_mut(step.step as usize)
    }

    /// Returns whether all steps that a step waits for are done.
    pub(crate) fn is_ready(&self, step: StepId) -> bool {
        let Some(occurrence) = self.occurrences.get(&step.occurrence) else {
            return false;
        };
        let after = &self.spec.steps[step.step as usize].after;
        after
            .iter()
            .all(|&after| occurrence.steps[after as usize].is_done())
    }

    /// Notes that a task is done; returns whether it was not done before.
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
            // One end represents those of all members.
            state.tasks.iter_mut().for_each(|task| task.is_done = true);
            state.done = state.tasks.len() as u32;
        } else {
            task.is_done = true;
            state.done += 1;
        }
        self.changes += 1;
        self.close_done(step.occurrence);
        true
    }

    fn close_done(&mut self, number: u32) {
        let is_done = |occurrence: &Occurrence| occurrence.steps.iter().all(StepState::is_done);
        if self.occurrences.get(&number).is_some_and(is_done) {
            self.done_occurrences.insert(number);
        }
        if self.done_occurrences.len() as u32 == self.spec.occurrences() {
            self.phase = Phase::Completed;
        }
    }

    /// Notes a failed run; returns whether it was not known before.
    pub(crate) fn fail(
        &mut self,
        step: StepId,
        index: u32,
        attempt: u32,
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

    /// Returns the data centre that the tasks are bound to: the next scheduler
    /// takes it that they run nowhere else.
    pub(crate) fn bound_to(&self) -> Option<&str> {
        match self.spread_change {
            Some(change) if change <= self.stored_changes => None,
            _ => self.spec.home.as_deref(),
        }
    }

    /// Returns whether an earlier scheduler's run of the job may still go on where
    /// nobody sees it: in a data centre with workers whose lists were not read. An
    /// empty name stands for a worker of which nothing is known.
    pub(crate) fn waits_for_lists(&self, unsettled: &BTreeSet<String>) -> bool {
        self.is_restored
            && match self.bound_to() {
                Some(home) => unsettled.contains(home) || unsettled.contains(""),
                None => !unsettled.is_empty(),
            }
    }

    /// Lets tasks run outside the job's home, once that is stored; returns
    /// whether this is new.
    pub(crate) fn spread(&mut self) -> bool {
        if self.spec.home.is_none() || self.spread_change.is_some() {
            return false;
        }
        self.changes += 1;
        self.spread_change = Some(self.changes);
        true
    }

    /// Returns whether the job waits until its spread is stored.
    pub(crate) fn is_spreading(&self) -> bool {
        self.spread_change
            .is_some_and(|change| change > self.stored_changes)
    }

    /// Cancels the job.
    pub(crate) fn cancel(&mut self) {
        if self.is_open() {
            self.phase = Phase::Cancelled;
            self.changes += 1;
        }
    }

    /// Returns the stored form of the progress.
    pub(crate) fn progress(&self) -> ProgressRecord {
        let mut steps = Vec::new();
        if self.is_open() {
            for (&occurrence, state) in &self.occurrences {
                if self.done_occurrences.contains(&occurrence) {
                    continue;
                }
                for (step, state) in state.steps.iter().enumerate() {
                    steps.extend(step_progress(occurrence, step as u32, state));
                }
            }
        }
        ProgressRecord {
            format: FORMAT,
            phase: self.phase.into(),
            steps,
            done_occurrences: self.done_occurrences.iter().copied().collect(),
            is_spread: self.spread_change.is_some(),
        }
    }

    /// Takes over stored progress.
    pub(crate) fn restore(&mut self, record: &ProgressRecord, revision: u64) {
        self.progress_revision = revision;
        self.spread_change = record.is_spread.then_some(0);
        self.done_occurrences = record.done_occurrences.iter().copied().collect();
        for progress in &record.steps {
            self.ensure(progress.occurrence);
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
            state.done = state.tasks.iter().filter(|task| task.is_done).count() as u32;
        }
        if !record.steps.is_empty() || !record.done_occurrences.is_empty() {
            self.has_begun = true;
        }
        self.phase = record.phase();
    }
}

fn step_progress(occurrence: u32, step: u32, state: &StepState) -> Option<StepProgress> {
    let mut progress = StepProgress {
        occurrence,
        step,
        ..StepProgress::default()
    };
    for (index, task) in state.tasks.iter().enumerate() {
        let index = index as u32;
        if task.is_done {
            progress.done.push(index);
        }
        let failed = |&attempt: &u32| FailedRun { index, attempt };
        progress
            .failed
            .extend(task.failed_attempts.iter().map(failed));
    }
    let has_ends = !progress.done.is_empty() || !progress.failed.is_empty();
    has_ends.then_some(progress)
}
