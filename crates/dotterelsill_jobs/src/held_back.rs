//! Reasons why steps with waiting tasks are not started.

use std::{
    collections::BTreeMap,
    time::Duration, //
};

use crate::Scheduler;

/// Reason why the waiting tasks of a step are not started.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub enum HoldReason {
    /// The queue is not configured.
    UnknownQueue,
    /// No worker of the pool accepts tasks.
    NoWorker,
    /// Runs of an earlier scheduler may be active on workers whose status was not
    /// read.
    UnreadWorkers,
    /// No worker of the pool has enough free resources.
    NoRoom,
}

/// Steps of one pool that are held back for the same reason.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct HeldBack {
    /// Name of the pool; empty if the queue is not configured.
    pub pool: String,
    /// The first reason, in the order of [`HoldReason`], that applies.
    pub reason: HoldReason,
    /// Number of steps with waiting tasks.
    pub steps: usize,
    /// Time for which the scheduler has known the oldest of the jobs.
    pub oldest: Duration,
    /// Number of workers of the pool that accept tasks.
    pub usable_workers: usize,
    /// Number of workers of the pool that may have active runs of an earlier
    /// scheduler and whose status was not read.
    pub unread_workers: usize,
}

impl Scheduler {
    /// Returns the steps that are held back, by pool and reason. Retry delays,
    /// workspace limits and the advisor are not reported.
    pub fn held_back(&self, now: Duration) -> Vec<HeldBack> {
        let pools = self.waiting_pools();
        pools
            .iter()
            .flat_map(|pool| self.held_back_in(pool, now))
            .collect()
    }

    fn held_back_in(&self, pool: &str, now: Duration) -> Vec<HeldBack> {
        let usable = self.candidates_of(pool, now);
        let unread_data_centres = self.unread_data_centres(pool, now);
        let unread = self.workers.values().filter(|worker| {
            let is_of_pool = worker.report.pool.is_empty() || worker.report.pool == pool;
            is_of_pool && self.may_run_unseen(worker, now)
        });
        let unread_workers = unread.count();
        let mut held: BTreeMap<HoldReason, HeldBack> = BTreeMap::new();
        for id in self.ready.get(pool).into_iter().flatten() {
            let Some(job) = self.jobs.get(&id.job).filter(|job| job.is_open()) else {
                continue;
            };
            let Some(state) = job.occurrences.get(&id.occurrence) else {
                continue;
            };
            if !state.steps[id.step as usize].tasks.has_waiting() {
                continue;
            }
            let resources = job.spec.steps[id.step as usize].counted_resources();
            let reason = if pool.is_empty() {
                HoldReason::UnknownQueue
            } else if usable.list().is_empty() {
                HoldReason::NoWorker
            } else if job.waits_for_unread_workers(&unread_data_centres) {
                HoldReason::UnreadWorkers
            } else if !usable.may_fit(&resources) {
                HoldReason::NoRoom
            } else {
                continue;
            };
            let entry = held.entry(reason).or_insert_with(|| HeldBack {
                pool: pool.to_owned(),
                reason,
                steps: 0,
                oldest: Duration::ZERO,
                usable_workers: usable.list().len(),
                unread_workers,
            });
            entry.steps += 1;
            entry.oldest = entry.oldest.max(now.saturating_sub(job.known_at));
        }
        held.into_values().collect()
    }
}
