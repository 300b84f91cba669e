//! Why steps with waiting tasks are not started.

use std::{
    collections::BTreeMap,
    time::Duration, //
};

use crate::Scheduler;

/// What keeps the waiting tasks of a step from a worker.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub enum HoldReason {
    /// The queue is not configured.
    UnknownQueue,
    /// No worker of the pool takes tasks.
    NoWorker,
    /// Runs of an earlier scheduler may go on where the lists were not read.
    UnreadWorkers,
    /// No worker of the pool has the room.
    NoRoom,
}

/// Steps of a pool that are held back for one reason.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct HeldBack {
    /// Pool; empty while the queue is not configured.
    pub pool: String,
    /// Reason, the first one in this order that holds.
    pub reason: HoldReason,
    /// Steps with tasks that wait.
    pub steps: usize,
    /// Time for which the scheduler has known the oldest of their jobs.
    pub oldest: Duration,
    /// Workers of the pool that take tasks.
    pub usable_workers: usize,
    /// Workers of the pool on which runs of an earlier scheduler may go on unseen.
    pub unread_workers: usize,
}

impl Scheduler {
    /// Returns the steps that are held back, by pool and reason. Pauses after
    /// failed runs, limits of workspaces and the advisor are left out.
    pub fn held_back(&self, now: Duration) -> Vec<HeldBack> {
        let pools = self.waiting_pools();
        pools
            .iter()
            .flat_map(|pool| self.held_back_in(pool, now))
            .collect()
    }

    fn held_back_in(&self, pool: &str, now: Duration) -> Vec<HeldBack> {
        let usable = self.candidates_of(pool, now);
        let unsettled = self.unsettled(pool, now);
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
            let mut tasks = state.steps[id.step as usize].tasks.iter();
            if !tasks.any(crate::job::Task::is_waiting) {
                continue;
            }
            let resources = job.spec.steps[id.step as usize].counted_resources();
            let reason = if pool.is_empty() {
                HoldReason::UnknownQueue
            } else if usable.list().is_empty() {
                HoldReason::NoWorker
            } else if job.waits_for_lists(&unsettled) {
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
