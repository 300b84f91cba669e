//! What callers ask for.

use std::{
    sync::Arc,
    time::Duration, //
};

use dotterelsill_proto::jobs;
use snafu::Snafu;

use crate::Resources;

/// Most tasks of one job.
const TASKS_MAX: u64 = 10_000;

/// Most steps of one job.
const STEPS_MAX: usize = 256;

/// Version of the stored form of a job.
pub const FORMAT: u32 = 1;

/// A job that cannot be accepted.
#[derive(Debug, Eq, PartialEq, Snafu)]
pub enum SpecError {
    /// The job has no steps or too many.
    #[snafu(display("a job has 1 to {STEPS_MAX} steps, this one has {count}"))]
    Steps {
        /// Steps of the job.
        count: usize,
    },
    /// The steps have no tasks or too many.
    #[snafu(display("a step has at least 1 task and a job at most {TASKS_MAX}; see step {step}"))]
    Tasks {
        /// Index of the step.
        step: usize,
    },
    /// A step waits for itself or for a later one.
    #[snafu(display("step {step} names step {after}; name earlier steps only"))]
    After {
        /// Index of the step.
        step: usize,
        /// Index that it names.
        after: u32,
    },
    /// The stored form is of another version.
    #[snafu(display("format {format} of a stored job is not known; this version reads {FORMAT}"))]
    Format {
        /// Version found.
        format: u32,
    },
}

/// A step of a job.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Step {
    /// Number of tasks.
    pub count: u32,
    /// Room of each task.
    pub resources: Resources,
    /// Rough estimate of the duration of a task.
    pub estimated: Duration,
    /// Earlier steps whose tasks must all be done first.
    pub after: Vec<u32>,
    /// Whether the tasks work only together.
    pub is_gang: bool,
    /// Whether the tasks are slower on more than one rack.
    pub is_rack_local: bool,
    /// Label that a worker must have.
    pub required_label: Option<String>,
    /// Rack on which the data lies.
    pub near_rack: Option<String>,
    /// Most tasks of one occurrence on one worker.
    pub max_per_worker: Option<u32>,
    /// Whether copies of a task may run at the same time.
    pub is_speculative: bool,
    /// Whether the tasks run until the job is cancelled.
    pub is_lasting: bool,
    /// Bound on the tail latency of a serving task.
    pub target: Option<Duration>,
    /// Whether the tasks use the processor time that others leave.
    pub is_filler: bool,
    /// Tasks that may be away at once through the system's own actions.
    pub may_miss: Option<u32>,
}

impl Step {
    /// Returns the room that a task takes of a worker's capacity.
    pub fn counted_resources(&self) -> Resources {
        let cpu_milli = if self.is_filler {
            0
        } else {
            self.resources.cpu_milli
        };
        Resources {
            cpu_milli,
            ..self.resources
        }
    }
}

/// Times at which the steps of a job run.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Schedule {
    /// Number of occurrences.
    pub count: u32,
    /// Time of the first, since the Unix epoch.
    pub first: Duration,
    /// Time between two.
    pub interval: Duration,
}

impl Schedule {
    /// Returns when an occurrence is due, since the Unix epoch.
    pub fn due(&self, occurrence: u32) -> Duration {
        self.first
            .saturating_add(self.interval.saturating_mul(occurrence))
    }
}

/// A job as accepted.
#[derive(Clone, Debug, PartialEq)]
pub struct JobSpec {
    /// Queue that the job was handed in on.
    pub queue: String,
    /// Workspace whose key came with the job.
    pub workspace: Option<String>,
    /// What the tasks run.
    pub payload: Arc<str>,
    /// Steps.
    pub steps: Vec<Step>,
    /// Times of the occurrences; `None` for a job that runs once, at once.
    pub schedule: Option<Schedule>,
    /// Data centre in which all tasks run until the job is spread.
    pub home: Option<String>,
    /// Fencing token under which the job was accepted.
    pub accepted_token: u64,
    /// Time of the acceptance, since the Unix epoch.
    pub accepted_unix: Duration,
}

impl JobSpec {
    /// Returns the number of occurrences.
    pub fn occurrences(&self) -> u32 {
        self.schedule.map_or(1, |schedule| schedule.count)
    }

    /// Returns the longest chain of estimated durations from each step on.
    pub fn chains(&self) -> Vec<Duration> {
        let mut chains: Vec<Duration> = self.steps.iter().map(|step| step.estimated).collect();
        for step in (0..self.steps.len()).rev() {
            for &after in &self.steps[step].after {
                let chain = self.steps[after as usize].estimated + chains[step];
                let before = &mut chains[after as usize];
                *before = (*before).max(chain);
            }
        }
        chains
    }
}

impl TryFrom<&jobs::JobRecord> for JobSpec {
    type Error = SpecError;

    fn try_from(record: &jobs::JobRecord) -> Result<Self, SpecError> {
        if record.format != FORMAT {
            let format = record.format;
            return FormatSnafu { format }.fail();
        }
        let count = record.steps.len();
        if !(1..=STEPS_MAX).contains(&count) {
            return StepsSnafu { count }.fail();
        }
        let mut tasks = 0;
        for (index, step) in record.steps.iter().enumerate() {
            tasks += u64::from(step.count);
            if step.count == 0 || tasks > TASKS_MAX {
                return TasksSnafu { step: index }.fail();
            }
            if let Some(&after) = step.after.iter().find(|&&after| after as usize >= index) {
                return AfterSnafu { step: index, after }.fail();
            }
        }
        let schedule = (record.occurrences > 0).then(|| Schedule {
            count: record.occurrences,
            first: Duration::from_millis(record.first_unix_ms),
            interval: Duration::from_millis(record.interval_ms),
        });
        Ok(Self {
            queue: record.queue.clone(),
            workspace: (!record.workspace.is_empty()).then(|| record.workspace.clone()),
            payload: record.spec.as_str().into(),
            steps: record.steps.iter().map(Step::from).collect(),
            schedule,
            home: (!record.home.is_empty()).then(|| record.home.clone()),
            accepted_token: record.accepted_token,
            accepted_unix: Duration::from_millis(record.accepted_unix_ms),
        })
    }
}

impl From<&jobs::Step> for Step {
    fn from(step: &jobs::Step) -> Self {
        let non_empty = |text: &String| (!text.is_empty()).then(|| text.clone());
        let non_zero = |number: u32| (number > 0).then_some(number);
        Self {
            count: step.count,
            resources: step.room.as_ref().map(Resources::from).unwrap_or_default(),
            estimated: Duration::from_millis(step.estimated_ms.into()),
            after: step.after.clone(),
            is_gang: step.is_gang,
            is_rack_local: step.is_rack_local,
            required_label: non_empty(&step.required_label),
            near_rack: non_empty(&step.near_rack),
            max_per_worker: non_zero(step.max_per_worker),
            is_speculative: step.is_speculative,
            is_lasting: step.is_lasting,
            target: non_zero(step.target_ms).map(|ms| Duration::from_millis(ms.into())),
            is_filler: step.is_filler,
            may_miss: non_zero(step.may_miss),
        }
    }
}
