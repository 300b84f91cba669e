//! Whether a job has begun: whether any of its tasks was started.
//!
//! Addresses schedulers that change, and starts that are refused or lost, while many jobs
//! wait: a job counts as begun only on evidence of a worker that a task has run.

use dotterelsill_proto::jobs::{
    ProgressRecord,
    StepProgress, //
};

use crate::{
    job::{
        Job,
        Run,
        RunState,
        Task, //
    },
    RunOutcome,
    StepId, //
};

/// Returns whether a job with this stored progress has begun. Progress without the end
/// of a run, such as that of a job that may leave its home, does not show it.
pub(crate) fn has_begun(progress: &ProgressRecord) -> bool {
    let has_ends = |step: &StepProgress| !step.done.is_empty() || !step.failed.is_empty();
    progress.done_below > 0
        || !progress.done_occurrences.is_empty()
        || progress.steps.iter().any(has_ends)
}

impl Job {
    /// Records that a worker runs a task, as far as `percent`. The members of a gang only
    /// wait for each other until all of them are there.
    pub(crate) fn note_running(&mut self, step: StepId, percent: u32) {
        if !self.has_begun {
            self.has_begun = !self.is_gang(step) || percent > 0 || self.is_gang_complete(step);
        }
    }

    /// Records that a worker has listed the end of a run. Members of a gang that were
    /// stopped, or waited in vain for the others, may never have begun.
    pub(crate) fn note_listed_outcome(&mut self, step: StepId, outcome: RunOutcome) {
        let is_certain = match outcome {
            RunOutcome::Done | RunOutcome::Failed => true,
            RunOutcome::Stopped | RunOutcome::Lapsed | RunOutcome::Broken | RunOutcome::Alone => {
                !self.is_gang(step)
            }
        };
        self.has_begun |= is_certain;
    }

    /// Returns whether all members of a gang run.
    fn is_gang_complete(&mut self, step: StepId) -> bool {
        let is_running = |run: &Run| run.state == RunState::Running;
        let has_run = |task: &Task| task.runs.iter().any(is_running);
        self.step(step)
            .is_some_and(|state| state.tasks.iter().all(has_run))
    }
}
