//! Runs that are given up without an end reported by their worker, and what is recorded
//! of them for the logs and metrics. Nothing here decides anything.

use std::{
    collections::{
        BTreeMap,
        VecDeque, //
    },
    time::Duration, //
};

use log::Level;

use crate::{
    ListedEnd,
    RunOutcome,
    Scheduler,
    TaskId,
    WorkerKey, //
};

/// Maximum number of runs that are remembered after they were given up. The end of an
/// older one is logged and counted like that of any other run.
const MAX_REMEMBERED_RUNS: usize = 4096;

/// Why a run was given up without an end of its own.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub enum GivenUpReason {
    /// The worker's lease has lapsed.
    LeaseLapsed,
    /// The worker's life had been found to have ended before.
    LifeEnded,
    /// The worker listed the run neither as active nor as ended.
    NotListed,
    /// The list of instances shows that the worker has ended.
    EndedByList,
    /// The worker's instance was moved.
    InstanceMoved,
    /// Another worker answered at the address.
    OtherWorker,
    /// The worker refused the start.
    StartRefused,
    /// The start was withdrawn before it was sent.
    StartWithdrawn,
    /// The worker refused the advisor's ticket.
    TicketRefused,
}

impl GivenUpReason {
    /// Returns the name in logs and metrics.
    pub fn name(self) -> &'static str {
        match self {
            Self::LeaseLapsed => "lease_lapsed",
            Self::LifeEnded => "life_ended",
            Self::NotListed => "not_listed",
            Self::EndedByList => "ended_by_list",
            Self::InstanceMoved => "instance_moved",
            Self::OtherWorker => "other_worker",
            Self::StartRefused => "start_refused",
            Self::StartWithdrawn => "start_withdrawn",
            Self::TicketRefused => "ticket_refused",
        }
    }
}

/// The fact for which a run is given up.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Evidence {
    pub(crate) reason: GivenUpReason,
    /// Time for which the fact holds: that of the request which showed it, or of the
    /// last reading of the worker's clock for a lapsed lease.
    pub(crate) at: Duration,
}

/// A run that was given up.
#[derive(Clone, Copy, Debug)]
struct GivenUpRun {
    reason: GivenUpReason,
    at: Duration,
}

/// Numbers of unusual ends since they were last taken.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct EndCounts {
    /// Runs that were given up, by reason.
    pub given_up: BTreeMap<GivenUpReason, u64>,
    /// Listed ends of runs of unknown jobs.
    pub of_unknown_jobs: u64,
    /// Listed ends `done` of runs that had been given up.
    pub done_after_given_up: u64,
}

/// Record of the runs that were given up.
#[derive(Debug, Default)]
pub(crate) struct GivenUpRuns {
    runs: BTreeMap<(TaskId, u64), GivenUpRun>,
    /// Keys of `runs`, the oldest first.
    order: VecDeque<(TaskId, u64)>,
    counts: EndCounts,
}

impl GivenUpRuns {
    fn add(&mut self, task: TaskId, attempt: u64, run: GivenUpRun) {
        *self.counts.given_up.entry(run.reason).or_default() += 1;
        if self.runs.insert((task, attempt), run).is_some() {
            return;
        }
        self.order.push_back((task, attempt));
        if self.order.len() > MAX_REMEMBERED_RUNS {
            if let Some(oldest) = self.order.pop_front() {
                self.runs.remove(&oldest);
            }
        }
    }

    /// Returns why a run was given up, if it was.
    pub(crate) fn reason(&self, task: TaskId, attempt: u64) -> Option<GivenUpReason> {
        self.runs.get(&(task, attempt)).map(|run| run.reason)
    }
}

impl Scheduler {
    /// Returns the numbers of unusual ends since the last call.
    pub fn take_end_counts(&mut self) -> EndCounts {
        std::mem::take(&mut self.given_up.counts)
    }

    /// Logs and counts that a run is given up, before it is released.
    pub(crate) fn record_given_up(
        &mut self,
        key: WorkerKey,
        task: TaskId,
        attempt: u64,
        evidence: Evidence,
        now: Duration,
    ) {
        let run = self.run_mut(key, task, attempt);
        let ordered_at = run.map(|run| run.ordered_at);
        let Some(worker) = self.workers.get(&key) else {
            return;
        };
        let booked = worker.booked.get(&task);
        let Some(booked) = booked.filter(|booked| booked.attempt == attempt) else {
            return;
        };
        let age_ms = |at: Duration| now.saturating_sub(at).as_millis() as u64;
        let lease = worker.life.lease_reading(now);
        log::info!(
            task:%, attempt, worker = worker.report.id, born = worker.life.started_unix_ms,
            reason = evidence.reason.name(), is_stopping = booked.is_stopping,
            evidence_age_ms = age_ms(evidence.at),
            ordered_age_ms = ordered_at.map(age_ms),
            confirmed_age_ms = booked.confirmed_at.map(age_ms),
            answered_age_ms = age_ms(worker.answered_at),
            worker_ms = lease.worker_ms, granted_until_ms = lease.granted_until_ms,
            foreign_until_ms = lease.foreign_until_ms;
            "run_given_up"
        );
        let reason = evidence.reason;
        self.given_up
            .add(task, attempt, GivenUpRun { reason, at: now });
    }

    /// Logs an end that a worker lists for the first time, before it is handled.
    pub(crate) fn record_listed_end(&mut self, key: WorkerKey, end: &ListedEnd, now: Duration) {
        let Some(worker) = self.workers.get(&key) else {
            return;
        };
        let (task, attempt, outcome) = (end.task, end.attempt, end.outcome);
        let id = worker.report.id.as_str();
        let born = worker.life.started_unix_ms;
        let is_known = self.has_job(task.step.job);
        log::info!(
            task:%, attempt, outcome:?, worker = id, number = end.number, born, is_known;
            "end_listed"
        );
        if !is_known {
            self.given_up.counts.of_unknown_jobs += 1;
            log::warn!(
                task:%, attempt, outcome:?, worker = id, number = end.number, born,
                token = self.token;
                "end_of_unknown_job"
            );
        }
        if let Some(run) = self.given_up.runs.get(&(task, attempt)) {
            let given_up_age_ms = now.saturating_sub(run.at).as_millis() as u64;
            // Only `done` may contradict a later start of the task.
            let level = match outcome {
                RunOutcome::Done => Level::Warn,
                _ => Level::Info,
            };
            log::log!(
                level, task:%, attempt, outcome:?, worker = id, number = end.number, born,
                reason = run.reason.name(), given_up_age_ms;
                "given_up_run_ended"
            );
            if outcome == RunOutcome::Done {
                self.given_up.counts.done_after_given_up += 1;
            }
        }
    }
}
