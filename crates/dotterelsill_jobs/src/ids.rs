//! Identifiers of jobs, steps, tasks and workers.

/// Identifier of a job, chosen by the caller.
#[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub struct JobId(pub u64);

impl std::fmt::Display for JobId {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        write!(f, "{:016x}", self.0)
    }
}

/// Identifier of a step in one occurrence of a job.
#[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub struct StepId {
    /// Job that the step belongs to.
    pub job: JobId,
    /// Index of the occurrence, from 0; always 0 for a job without a schedule.
    pub occurrence: u32,
    /// Index of the step, from 0.
    pub step: u32,
}

impl StepId {
    /// Returns the identifier of one of the step's tasks.
    pub fn task(self, index: u32) -> TaskId {
        TaskId { step: self, index }
    }
}

impl std::fmt::Display for StepId {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        write!(f, "{}.{}.{}", self.job, self.occurrence, self.step)
    }
}

/// Identifier of a task.
#[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub struct TaskId {
    /// Step that the task belongs to.
    pub step: StepId,
    /// Index of the task within the step, from 0.
    pub index: u32,
}

impl std::fmt::Display for TaskId {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        write!(f, "{}.{}", self.step, self.index)
    }
}

/// Key of a worker, assigned by the scheduler that knows it.
#[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub struct WorkerKey(pub u32);
