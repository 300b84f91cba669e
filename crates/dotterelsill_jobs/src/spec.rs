//! Job specifications as submitted by callers.

use std::{
    sync::Arc,
    time::Duration, //
};

use dotterelsill_proto::jobs;
use snafu::Snafu;

use crate::Resources;

/// Maximum number of tasks per job, over all steps.
const MAX_TASKS: u64 = 10_000;

/// Maximum number of steps per job.
const MAX_STEPS: usize = 256;

/// Maximum size of a job's payload, in bytes, as the platform's documentation states it.
/// The payload is sent with each order to start a task.
const MAX_PAYLOAD_BYTES: usize = 4000;

/// Version of the stored format of job and progress records.
pub const FORMAT: u32 = 1;

/// Reasons to reject a job or a stored job record.
#[derive(Debug, Eq, PartialEq, Snafu)]
pub enum SpecError {
    /// The number of steps is zero or above the limit.
    #[snafu(display("a job has 1 to {MAX_STEPS} steps, this one has {count}"))]
    Steps {
        /// Number of steps in the job.
        count: usize,
    },
    /// A step has no tasks, or the job has too many in total.
    #[snafu(display("a step has at least 1 task and a job at most {MAX_TASKS}; see step {step}"))]
    Tasks {
        /// Index of the step.
        step: usize,
    },
    /// A step depends on itself or on a later step.
    #[snafu(display("step {step} names step {after}; name earlier steps only"))]
    After {
        /// Index of the step.
        step: usize,
        /// Index of the step that it depends on.
        after: u32,
    },
    /// The payload is too long.
    #[snafu(display("a payload has at most {MAX_PAYLOAD_BYTES} bytes, this one has {bytes}"))]
    Payload {
        /// Size of the payload.
        bytes: usize,
    },
    /// The record was stored in a format that this version does not read.
    #[snafu(display("format {format} of a stored job is not known; this version reads {FORMAT}"))]
    Format {
        /// Format version found in the record.
        format: u32,
    },
}

/// A step of a job: a number of identical tasks that may run in parallel.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Step {
    /// Number of tasks.
    pub count: u32,
    /// Resources that each task requests.
    pub resources: Resources,
    /// Rough estimate of the duration of one task.
    pub estimated: Duration,
    /// Indices of the earlier steps that must be completed before this one starts.
    pub after: Vec<u32>,
    /// Whether the tasks form a gang: they only make progress when all of them run.
    pub is_gang: bool,
    /// Whether the tasks run slower when they are spread over several racks.
    pub is_rack_local: bool,
    /// Label that a worker must have to run the tasks.
    pub required_label: Option<String>,
    /// Rack that holds the input data; workers on it are preferred.
    pub near_rack: Option<String>,
    /// Maximum number of tasks of one occurrence on one worker.
    pub max_per_worker: Option<u32>,
    /// Whether several runs of the same task may be active at once.
    pub is_speculative: bool,
    /// Whether the tasks are long-running: they end only when the job is cancelled.
    pub is_lasting: bool,
    /// Tail latency target of the tasks, if they serve requests.
    pub target: Option<Duration>,
    /// Whether the tasks are best-effort and only use processor time left over by
    /// others.
    pub is_filler: bool,
    /// Image that the tasks run; empty if not known.
    pub image: Box<str>,
    /// Maximum number of tasks that may be unavailable at once because of the
    /// system's own actions, such as maintenance.
    pub may_miss: Option<u32>,
}

impl Step {
    /// Returns the resources that one task reserves on a worker. Filler tasks
    /// reserve no processor time.
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

/// Times at which a recurring job runs.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Schedule {
    /// Number of occurrences.
    pub count: u32,
    /// Time of the first occurrence, since the Unix epoch.
    pub first: Duration,
    /// Time between two occurrences.
    pub interval: Duration,
}

impl Schedule {
    /// Returns the time at which an occurrence is due, since the Unix epoch.
    pub fn due(&self, occurrence: u32) -> Duration {
        self.first
            .saturating_add(self.interval.saturating_mul(occurrence))
    }
}

/// An accepted job.
#[derive(Clone, Debug, PartialEq)]
pub struct JobSpec {
    /// Name that the queue had when the job was submitted to it. It may be that of another
    /// queue now.
    pub queue: String,
    /// Path of the queue; empty for a job that an earlier version has stored.
    pub queue_path: String,
    /// Workspace that owns the API key of the submission; `None` for a submission
    /// without a key.
    pub workspace: Option<String>,
    /// Description of the work, passed to workers unchanged.
    pub payload: Arc<str>,
    /// Steps in the order of their indices; a step depends only on earlier ones.
    pub steps: Vec<Step>,
    /// Schedule of a recurring job; `None` for a job that runs once, immediately.
    pub schedule: Option<Schedule>,
    /// Data centre to which the tasks are bound until the job is spread; `None` for
    /// any.
    pub home: Option<String>,
    /// Pool in which tasks may be started without a note in the progress; `None` for any.
    pub pool: Option<String>,
    /// Fencing token of the scheduler that accepted the job.
    pub accepted_token: u64,
    /// Time of acceptance, since the Unix epoch.
    pub accepted_unix: Duration,
}

impl JobSpec {
    /// Decodes the record of a job that a caller submits. The limits that it checks on top
    /// do not hold for a stored record, which may have been accepted without them.
    ///
    /// # Errors
    ///
    /// Returns an error if the record is invalid or its payload is too long.
    pub fn from_submission(record: &jobs::JobRecord) -> Result<Self, SpecError> {
        let bytes = record.spec.len();
        if bytes > MAX_PAYLOAD_BYTES {
            return PayloadSnafu { bytes }.fail();
        }
        Self::try_from(record)
    }

    /// Returns what identifies the queue, whatever its name is now.
    pub fn queue_key(&self) -> &str {
        queue_key(&self.queue, &self.queue_path)
    }

    /// Returns the number of occurrences, 1 for a job without a schedule.
    pub fn occurrences(&self) -> u32 {
        self.schedule.map_or(1, |schedule| schedule.count)
    }

    /// Returns for each step the length of the critical path from its start to the
    /// end of the job, based on the estimated durations.
    pub fn critical_paths(&self) -> Vec<Duration> {
        let mut critical_paths: Vec<Duration> =
            self.steps.iter().map(|step| step.estimated).collect();
        for step in (0..self.steps.len()).rev() {
            for &after in &self.steps[step].after {
                let path = self.steps[after as usize].estimated + critical_paths[step];
                let before = &mut critical_paths[after as usize];
                *before = (*before).max(path);
            }
        }
        critical_paths
    }
}

/// Returns what identifies the queue of a job, given its name and path: the path, or the
/// name if a version stored the job that did not note the path.
pub(crate) fn queue_key<'a>(name: &'a str, path: &'a str) -> &'a str {
    if path.is_empty() {
        name
    } else {
        path
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
        if !(1..=MAX_STEPS).contains(&count) {
            return StepsSnafu { count }.fail();
        }
        let mut tasks = 0;
        for (index, step) in record.steps.iter().enumerate() {
            tasks += u64::from(step.count);
            if step.count == 0 || tasks > MAX_TASKS {
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
            queue_path: record.queue_path.clone(),
            workspace: (!record.workspace.is_empty()).then(|| record.workspace.clone()),
            payload: record.spec.as_str().into(),
            steps: record.steps.iter().map(Step::from).collect(),
            schedule,
            home: (!record.home.is_empty()).then(|| record.home.clone()),
            pool: (!record.pool.is_empty()).then(|| record.pool.clone()),
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
            image: step.image.as_str().into(),
            may_miss: non_zero(step.may_miss),
        }
    }
}
