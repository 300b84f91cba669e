//! Simulated workers, which follow the platform's rules.

use std::collections::BTreeMap;

use dotterelsill_jobs::{
    Answer,
    ListedEnd,
    ListedRun,
    Order,
    RunOutcome,
    TaskId,
    WorkerStatus, //
};

use crate::{
    calls::StatusRequest,
    rules::Rules, //
};

/// Longest lease that a worker accepts.
pub(crate) const MAX_LEASE_MS: u64 = 10_000;

/// An active run.
#[derive(Clone, Copy, Debug)]
pub(crate) struct ActiveRun {
    pub(crate) attempt: u64,
    /// Start of the run, if its progress is reported; otherwise it is 100%.
    pub(crate) begins_at_ms: Option<u64>,
    pub(crate) ends_at_ms: u64,
    pub(crate) fails: bool,
    /// Time from the moment at which a gang is complete until it is done; `None` for a
    /// run that works by itself.
    pub(crate) gang_takes_ms: Option<u64>,
    /// Whether the run is part of a complete gang.
    pub(crate) is_in_gang: bool,
    /// Time until which an ordered stop takes.
    pub(crate) stops_at_ms: Option<u64>,
}

impl ActiveRun {
    fn percent(&self, now_ms: u64) -> u32 {
        self.begins_at_ms.map_or(100, |begins_at_ms| {
            let whole = self.ends_at_ms - begins_at_ms;
            (now_ms.saturating_sub(begins_at_ms) * 100 / whole) as u32
        })
    }

    fn waits_for_gang(&self) -> bool {
        self.gang_takes_ms.is_some() && !self.is_in_gang
    }
}

/// An end that is listed, and the moment at which it happened.
#[derive(Debug)]
struct KeptEnd {
    end: ListedEnd,
    moment: u64,
}

/// A worker. Its lives differ in `born_ms`.
#[derive(Debug)]
pub(crate) struct Worker {
    pub(crate) id: String,
    pub(crate) data_centre: String,
    pub(crate) port: u16,
    pub(crate) is_up: bool,
    pub(crate) born_ms: u64,
    /// Time at which a worker that is down starts again.
    pub(crate) starts_at_ms: u64,
    /// Rate by which the worker's clock is slow, in thousandths.
    slow_permille: u64,
    fence: u64,
    lease_end_ms: u64,
    pub(crate) runs: BTreeMap<TaskId, ActiveRun>,
    ended: Vec<KeptEnd>,
    next_end: u64,
    /// Highest attempt of each task that was stopped or has ended.
    highest_ended: BTreeMap<TaskId, u64>,
    /// Number of the last end before the lease lapsed.
    lapsed_end: u64,
}

impl Worker {
    pub(crate) fn new(index: usize, slow_permille: u64) -> Self {
        Self {
            id: format!("w{index}"),
            data_centre: format!("dc{}", index % 2),
            port: 1000 + index as u16,
            is_up: true,
            born_ms: 1,
            starts_at_ms: 0,
            slow_permille,
            fence: 0,
            lease_end_ms: 0,
            runs: BTreeMap::new(),
            ended: Vec::new(),
            next_end: 1,
            highest_ended: BTreeMap::new(),
            lapsed_end: 0,
        }
    }

    fn clock_ms(&self, now_ms: u64) -> u64 {
        let passed = now_ms.saturating_sub(self.born_ms);
        passed - passed * self.slow_permille / 1000
    }

    pub(crate) fn crash(&mut self, starts_at_ms: u64) {
        log::debug!("{} crashes", self.id);
        self.is_up = false;
        self.starts_at_ms = starts_at_ms;
        self.runs.clear();
    }

    /// Starts the worker again under its identifier, without its state.
    pub(crate) fn restart(&mut self, now_ms: u64) {
        log::debug!("{} restarts, born {now_ms}", self.id);
        *self = Self {
            id: std::mem::take(&mut self.id),
            data_centre: std::mem::take(&mut self.data_centre),
            port: self.port,
            born_ms: now_ms,
            ..Self::new(0, self.slow_permille)
        };
    }

    /// Ends runs that are finished or stopped, or whose lease has lapsed.
    pub(crate) fn advance(&mut self, now_ms: u64, rules: &mut Rules) {
        let has_lapsed = self.clock_ms(now_ms) > self.lease_end_ms;
        let outcome = |run: &ActiveRun| {
            if has_lapsed {
                Some(RunOutcome::Lapsed)
            } else if run.ends_at_ms <= now_ms && run.fails {
                Some(RunOutcome::Failed)
            } else if run.ends_at_ms <= now_ms && run.waits_for_gang() {
                Some(RunOutcome::Alone)
            } else if run.ends_at_ms <= now_ms {
                Some(RunOutcome::Done)
            } else {
                let stops_at_ms = run.stops_at_ms.filter(|&at| at <= now_ms);
                stops_at_ms.map(|_| RunOutcome::Stopped)
            }
        };
        let due: Vec<(TaskId, RunOutcome)> = self
            .runs
            .iter()
            .filter_map(|(task, run)| Some((*task, outcome(run)?)))
            .collect();
        for (task, outcome) in due {
            self.end(task, outcome, rules);
        }
        if has_lapsed {
            self.lapsed_end = self.next_end - 1;
        }
    }

    pub(crate) fn end(&mut self, task: TaskId, outcome: RunOutcome, rules: &mut Rules) {
        let Some(run) = self.runs.remove(&task) else {
            return;
        };
        let number = self.next_end;
        log::debug!(
            "{} ends {task} {} {outcome:?} as {number}",
            self.id,
            run.attempt
        );
        let highest = self.highest_ended.entry(task).or_default();
        *highest = (*highest).max(run.attempt);
        self.ended.push(KeptEnd {
            end: ListedEnd {
                number,
                task,
                attempt: run.attempt,
                outcome,
                checkpoint: String::new(),
            },
            moment: rules.next_moment(),
        });
        self.next_end += 1;
    }

    /// Returns whether a status request waits for an end.
    pub(crate) fn has_ends(&self) -> bool {
        !self.ended.is_empty()
    }

    /// Carries out a status request: extends the lease and forgets acknowledged ends.
    pub(crate) fn accept_status(
        &mut self,
        request: &StatusRequest,
        now_ms: u64,
        rules: &mut Rules,
    ) -> Result<(), Answer> {
        self.check_fence(request.token)?;
        self.advance(now_ms, rules);
        let clock_ms = self.clock_ms(now_ms);
        if let Some(end_ms) = request.lease_end_ms {
            self.extend_lease(end_ms, clock_ms);
        }
        let is_seen = |kept: &mut KeptEnd| kept.end.number <= request.acknowledged;
        for kept in self.ended.extract_if(.., is_seen) {
            if kept.end.number > self.lapsed_end && kept.end.outcome == RunOutcome::Done {
                log::debug!("{} forgets {} {}", self.id, kept.end.number, kept.end.task);
                rules.on_done_noted(&self.id, kept.end.task, kept.end.attempt, kept.moment);
            }
        }
        Ok(())
    }

    fn check_fence(&mut self, token: u64) -> Result<(), Answer> {
        if token < self.fence {
            return Err(Answer::Fenced);
        }
        self.fence = token;
        Ok(())
    }

    fn extend_lease(&mut self, end_ms: u64, clock_ms: u64) {
        let end_ms = end_ms.min(clock_ms + MAX_LEASE_MS);
        self.lease_end_ms = self.lease_end_ms.max(end_ms);
    }

    pub(crate) fn status(&self, now_ms: u64) -> WorkerStatus {
        let running = self.runs.iter().map(|(task, run)| ListedRun {
            task: *task,
            attempt: run.attempt,
            checkpoint: String::new(),
            percent: run.percent(now_ms),
            // A tail latency, of which only that of serving tasks counts.
            measure: (now_ms + u64::from(task.index) * 700) % 200,
        });
        WorkerStatus {
            worker_ms: self.clock_ms(now_ms),
            started_unix_ms: self.born_ms,
            running: running.collect(),
            ended: self.ended.iter().map(|kept| kept.end.clone()).collect(),
            ..WorkerStatus::default()
        }
    }

    /// Carries out an order; `run` is the run that a start begins, and the end of a run
    /// that a stop ends.
    pub(crate) fn execute(
        &mut self,
        order: &Order,
        token: u64,
        lease_end_ms: u64,
        run: ActiveRun,
        now_ms: u64,
        rules: &mut Rules,
    ) -> Answer {
        if let Err(answer) = self.check_fence(token) {
            return answer;
        }
        self.advance(now_ms, rules);
        let (task, attempt) = order.run();
        log::debug!("{} carries out of {token}: {order:?}", self.id);
        match order {
            Order::Start { .. } => {
                let active = self.runs.get(&task).map(|active| active.attempt);
                if active == Some(attempt) {
                    return Answer::Done;
                }
                let clock_ms = self.clock_ms(now_ms);
                if clock_ms > lease_end_ms {
                    return Answer::Late;
                }
                self.extend_lease(lease_end_ms, clock_ms);
                let highest = self.highest_ended.get(&task).copied().unwrap_or(0);
                if attempt <= highest || active.is_some() {
                    return Answer::Old;
                }
                let started = ActiveRun {
                    attempt,
                    stops_at_ms: None,
                    ..run
                };
                self.runs.insert(task, started);
                rules.on_start(&self.id, task, attempt);
            }
            Order::Stop { .. } => {
                let active = self.runs.get_mut(&task);
                if let Some(active) = active.filter(|active| active.attempt <= attempt) {
                    active.stops_at_ms = active.stops_at_ms.or(run.stops_at_ms);
                }
                let highest = self.highest_ended.entry(task).or_default();
                *highest = (*highest).max(attempt);
            }
            Order::Pace { .. } => {}
        }
        Answer::Done
    }
}
