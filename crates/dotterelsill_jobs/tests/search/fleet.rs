//! Simulated workers, which follow the platform's rules.

use std::collections::{
    BTreeMap,
    BTreeSet, //
};

use dotterelsill_jobs::{
    Answer,
    ListedEnd,
    ListedRun,
    Order,
    Resources,
    RunOutcome,
    TaskId,
    WorkerStatus, //
};

/// An active run on a worker.
#[derive(Clone, Debug)]
pub(crate) struct ActiveRun {
    pub(crate) attempt: u64,
    /// Start of the run, if its progress is reported; otherwise it is 100%.
    pub(crate) begins_at_ms: Option<u64>,
    pub(crate) ends_at_ms: u64,
    pub(crate) fails: bool,
    pub(crate) resources: Resources,
}

impl ActiveRun {
    fn percent(&self, now_ms: u64) -> u32 {
        self.begins_at_ms.map_or(100, |begins_at_ms| {
            let whole = self.ends_at_ms - begins_at_ms;
            (now_ms.saturating_sub(begins_at_ms) * 100 / whole) as u32
        })
    }
}

/// A worker. Its incarnations differ in `started_ms`.
#[derive(Clone, Debug)]
pub(crate) struct Worker {
    pub(crate) id: String,
    pub(crate) data_centre: String,
    pub(crate) address: String,
    pub(crate) is_up: bool,
    pub(crate) started_ms: u64,
    /// Rate by which the worker's clock is slow, in thousandths.
    pub(crate) slow_permille: u64,
    pub(crate) fence: u64,
    pub(crate) lease_end_ms: u64,
    pub(crate) runs: BTreeMap<TaskId, ActiveRun>,
    pub(crate) ended: Vec<ListedEnd>,
    pub(crate) next_end: u64,
    /// Highest attempt of each task that was stopped or has ended.
    pub(crate) highest_ended: BTreeMap<TaskId, u64>,
    /// Number of the last end before the lease lapsed. Ends up to this number are
    /// void, since the tasks may have been started elsewhere.
    pub(crate) lapsed_end: u64,
    /// Tasks that were completed on the worker in any of its incarnations.
    pub(crate) ever_done: BTreeSet<TaskId>,
    /// Ends that were acknowledged before the lease lapsed.
    pub(crate) acknowledged: Vec<(TaskId, u64, RunOutcome)>,
}

impl Worker {
    pub(crate) fn new(index: usize, slow_permille: u64) -> Self {
        Self {
            id: format!("w{index}"),
            data_centre: format!("dc{}", index % 2),
            address: format!("127.0.0.1:{}", 1000 + index),
            is_up: true,
            started_ms: 1,
            slow_permille,
            fence: 0,
            lease_end_ms: 0,
            runs: BTreeMap::new(),
            ended: Vec::new(),
            next_end: 1,
            highest_ended: BTreeMap::new(),
            lapsed_end: 0,
            ever_done: BTreeSet::new(),
            acknowledged: Vec::new(),
        }
    }

    /// Returns the reading of the worker's own clock.
    pub(crate) fn clock_ms(&self, now_ms: u64) -> u64 {
        let passed = now_ms.saturating_sub(self.started_ms);
        passed - passed * self.slow_permille / 1000
    }

    /// Restarts the worker under the same identifier, without its state.
    pub(crate) fn restart(&mut self, now_ms: u64) {
        *self = Self {
            id: self.id.clone(),
            data_centre: self.data_centre.clone(),
            address: self.address.clone(),
            started_ms: now_ms,
            ever_done: std::mem::take(&mut self.ever_done),
            ..Self::new(0, self.slow_permille)
        };
    }

    /// Ends runs that are finished or whose lease has lapsed.
    pub(crate) fn advance(&mut self, now_ms: u64) {
        let lapsed = self.clock_ms(now_ms) > self.lease_end_ms;
        let due: Vec<(TaskId, RunOutcome)> = self
            .runs
            .iter()
            .filter_map(|(task, run)| {
                if run.ends_at_ms <= now_ms {
                    let outcome = if run.fails {
                        RunOutcome::Failed
                    } else {
                        RunOutcome::Done
                    };
                    Some((*task, outcome))
                } else {
                    lapsed.then_some((*task, RunOutcome::Lapsed))
                }
            })
            .collect();
        for (task, outcome) in due {
            self.end(task, outcome);
        }
        if lapsed {
            self.lapsed_end = self.next_end - 1;
        }
    }

    fn end(&mut self, task: TaskId, outcome: RunOutcome) {
        if let Some(run) = self.runs.remove(&task) {
            log::debug!("{} ends {task} {} {outcome:?}", self.id, run.attempt);
            if outcome == RunOutcome::Done {
                self.ever_done.insert(task);
            }
            self.highest_ended.insert(task, run.attempt);
            self.ended.push(ListedEnd {
                number: self.next_end,
                task,
                attempt: run.attempt,
                outcome,
                checkpoint: String::new(),
            });
            self.next_end += 1;
        }
    }

    pub(crate) fn status(
        &mut self,
        token: u64,
        lease_end_ms: Option<u64>,
        acknowledged: u64,
        now_ms: u64,
    ) -> Result<WorkerStatus, Answer> {
        if token < self.fence {
            return Err(Answer::Fenced);
        }
        self.fence = token;
        self.advance(now_ms);
        if let Some(end) = lease_end_ms {
            self.lease_end_ms = self.lease_end_ms.max(end);
        }
        let (seen, kept) = self
            .ended
            .drain(..)
            .partition(|end: &ListedEnd| end.number <= acknowledged);
        self.ended = kept;
        let seen: Vec<ListedEnd> = seen;
        let counts = |end: &&ListedEnd| end.number > self.lapsed_end;
        let seen = seen.iter().filter(counts);
        self.acknowledged
            .extend(seen.map(|end| (end.task, end.attempt, end.outcome)));
        Ok(WorkerStatus {
            worker_ms: self.clock_ms(now_ms),
            started_unix_ms: self.started_ms,
            running: self
                .runs
                .iter()
                .map(|(task, run)| ListedRun {
                    task: *task,
                    attempt: run.attempt,
                    checkpoint: String::new(),
                    percent: run.percent(now_ms),
                    measure: 0,
                })
                .collect(),
            ended: self.ended.clone(),
            ..WorkerStatus::default()
        })
    }

    /// Executes an order; `run` is the run that a start order begins.
    pub(crate) fn execute(
        &mut self,
        order: &Order,
        token: u64,
        lease_end_ms: u64,
        run: ActiveRun,
        now_ms: u64,
    ) -> Answer {
        if token < self.fence {
            return Answer::Fenced;
        }
        self.fence = token;
        self.advance(now_ms);
        let (task, attempt) = order.run();
        match order {
            Order::Start { .. } => {
                if self
                    .runs
                    .get(&task)
                    .is_some_and(|run| run.attempt == attempt)
                {
                    return Answer::Done;
                }
                if self.clock_ms(now_ms) > lease_end_ms {
                    return Answer::Late;
                }
                self.lease_end_ms = self.lease_end_ms.max(lease_end_ms);
                let highest = self.highest_ended.get(&task).copied().unwrap_or(0);
                if attempt <= highest || self.runs.contains_key(&task) {
                    return Answer::Old;
                }
                self.runs.insert(task, ActiveRun { attempt, ..run });
            }
            Order::Stop { .. } => {
                if self
                    .runs
                    .get(&task)
                    .is_some_and(|run| run.attempt <= attempt)
                {
                    self.end(task, RunOutcome::Stopped);
                }
                let highest_ended = self.highest_ended.entry(task).or_default();
                *highest_ended = (*highest_ended).max(attempt);
            }
            Order::Pace { .. } => {}
        }
        Answer::Done
    }
}
