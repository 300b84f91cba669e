//! The rules that are checked.

use std::collections::{
    BTreeMap,
    BTreeSet, //
};

use dotterelsill_jobs::{
    StepId,
    TaskId, //
};

use crate::worker::Worker;

/// A run that was started, and the moment.
#[derive(Debug)]
struct Started {
    worker: String,
    attempt: u64,
    moment: u64,
}

/// What happened to the tasks, and the first violation.
#[derive(Debug, Default)]
pub(crate) struct Rules {
    moment: u64,
    starts: BTreeMap<TaskId, Vec<Started>>,
    /// Runs that ended `done` and whose ends were acknowledged.
    noted: BTreeMap<TaskId, (String, u64)>,
    /// Numbers of tasks of the steps whose tasks form a gang.
    pub(crate) gangs: BTreeMap<StepId, u32>,
    /// Steps of which a task may have two runs at once.
    pub(crate) speculative: BTreeSet<StepId>,
    pub(crate) violation: Option<String>,
}

/// Numbers of what happened in a simulation run.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct Counts {
    pub(crate) starts: usize,
    pub(crate) noted: usize,
    pub(crate) restarted_tasks: usize,
}

impl Rules {
    /// Numbers the events in their order.
    pub(crate) fn next_moment(&mut self) -> u64 {
        self.moment += 1;
        self.moment
    }

    pub(crate) fn counts(&self) -> Counts {
        Counts {
            starts: self.starts.values().map(Vec::len).sum(),
            noted: self.noted.len(),
            restarted_tasks: self.starts.values().filter(|runs| runs.len() > 1).count(),
        }
    }

    fn note_violation(&mut self, text: String) {
        log::debug!("VIOLATION {text}");
        self.violation.get_or_insert(text);
    }

    pub(crate) fn on_start(&mut self, worker: &str, task: TaskId, attempt: u64) {
        let moment = self.next_moment();
        if let Some((done_on, done)) = self.noted.get(&task) {
            let text = format!(
                "{task} starts as {attempt} on {worker} after {done} was done on {done_on} and noted"
            );
            self.note_violation(text);
        }
        self.starts.entry(task).or_default().push(Started {
            worker: worker.to_owned(),
            attempt,
            moment,
        });
    }

    /// Records that the end `done` of a run was acknowledged. That of a member of a gang
    /// stands for the whole gang.
    pub(crate) fn on_done_noted(&mut self, worker: &str, task: TaskId, attempt: u64, done_at: u64) {
        match self.gangs.get(&task.step) {
            Some(&count) => {
                for index in 0..count {
                    self.on_task_noted(worker, task.step.task(index), attempt, done_at);
                }
            }
            None => self.on_task_noted(worker, task, attempt, done_at),
        }
    }

    fn on_task_noted(&mut self, worker: &str, task: TaskId, attempt: u64, done_at: u64) {
        let starts = self.starts.get(&task).map_or(&[][..], Vec::as_slice);
        // A copy may start while the end of the other run is on its way.
        let may_be_copied = self.speculative.contains(&task.step);
        let mut later = starts.iter().filter(|start| start.moment > done_at);
        if let Some(later) = later.next().filter(|_| !may_be_copied) {
            let text = format!(
                "{task} was done as {attempt} on {worker}, started as {} on {}, and then noted",
                later.attempt, later.worker
            );
            self.note_violation(text);
        }
        self.noted.insert(task, (worker.to_owned(), attempt));
    }

    /// Checks that no task runs twice at the same time, and one of a speculative step three
    /// times.
    pub(crate) fn check_runs(&mut self, workers: &[Worker]) {
        let mut running: BTreeMap<TaskId, &str> = BTreeMap::new();
        let mut copied = BTreeSet::new();
        for worker in workers.iter().filter(|worker| worker.is_up) {
            for task in worker.runs.keys() {
                if let Some(other) = running.insert(*task, &worker.id) {
                    if self.speculative.contains(&task.step) && copied.insert(*task) {
                        continue;
                    }
                    self.note_violation(format!("{task} runs on {other} and {}", worker.id));
                    return;
                }
            }
        }
    }
}
