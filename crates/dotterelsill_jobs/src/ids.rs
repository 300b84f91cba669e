//! Identifiers of jobs, tasks and workers.

/// Identifier of a job, chosen by the caller.
#[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub struct JobId(pub u64);

impl std::fmt::Display for JobId {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        write!(f, "{:016x}", self.0)
    }
}

/// One step of one occurrence of a job.
#[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub struct StepId {
    /// Job.
    pub job: JobId,
    /// Occurrence, counted from 0; 0 for a job without occurrences.
    pub occurrence: u32,
    /// Step, counted from 0.
    pub step: u32,
}

impl StepId {
    /// Returns one of the step's tasks.
    pub fn task(self, index: u32) -> TaskId {
        TaskId { step: self, index }
    }
}

impl std::fmt::Display for StepId {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        write!(f, "{}.{}.{}", self.job, self.occurrence, self.step)
    }
}

/// One task.
#[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub struct TaskId {
    /// Step that the task belongs to.
    pub step: StepId,
    /// Index in the step, counted from 0.
    pub index: u32,
}

impl std::fmt::Display for TaskId {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        write!(f, "{}.{}", self.step, self.index)
    }
}

/// One life of a worker, numbered by the scheduler that knows it.
#[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub struct WorkerKey(pub u32);
