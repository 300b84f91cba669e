//! Runs that are stopped on a slow worker and started again on another one.
//!
//! The task waits for its next start until the end of the stopped run is listed, as after
//! every other end.

use std::time::Duration;

use super::stragglers::Straggler;
use crate::{
    placement::{
        Candidates,
        PlacementRequest, //
    },
    Scheduler,
    TaskId, //
};

/// Longest time that a run takes to stop: the upper end of the platform's `stopTimeoutMs`,
/// and the calls around it.
const MAX_STOP_TIME: Duration = Duration::from_millis(900);

/// Time after its begin in which a run is not stopped.
const MIN_AGE: Duration = Duration::from_millis(300);

/// Factor on the time until a new run has ended by which the present one must take longer,
/// in percent. Both times are estimates.
const MOVE_PERCENT: u32 = 150;

/// Returns whether a run is expected to end clearly earlier if it is moved.
pub(super) fn is_worth_a_move(straggler: &Straggler) -> bool {
    let moved = MAX_STOP_TIME + straggler.renewed;
    straggler.age >= MIN_AGE && straggler.left >= moved * MOVE_PERCENT / 100
}

impl Scheduler {
    /// Stops a run on a slow worker if another worker has room for it.
    pub(super) fn move_run(
        &mut self,
        straggler: &Straggler,
        candidates: &mut Candidates,
        now: Duration,
    ) {
        let (task, attempt, key) = (straggler.task, straggler.attempt, straggler.worker);
        if !self.reserve_room(task, candidates, now) {
            return;
        }
        let job = self.jobs.get_mut(&task.step.job);
        let Some(state) = job.and_then(|job| job.task(task.step, task.index)) else {
            return;
        };
        state.was_copied_or_moved = true;
        state.avoid = Some(key);
        self.stop(key, task, attempt);
        self.stragglers.counts.runs_moved += 1;
        let worker = self.workers.get(&key);
        log::info!(
            task:%, attempt, worker = worker.map(|worker| worker.report.id.as_str()),
            left_ms = straggler.left.as_millis() as u64,
            renewed_ms = straggler.renewed.as_millis() as u64;
            "run_moved"
        );
    }

    /// Takes the room for a task that is moved from the candidates; returns whether there
    /// is any.
    pub(super) fn reserve_room(
        &self,
        task: TaskId,
        candidates: &mut Candidates,
        now: Duration,
    ) -> bool {
        let Some(job) = self.jobs.get(&task.step.job) else {
            return false;
        };
        let tickets = self.valid_tickets(task.step, now);
        let request = PlacementRequest::of(job, task.step, tickets.as_ref());
        let chosen = self.choose_other_worker(task, candidates, &request);
        let Some(chosen) = chosen else {
            return false;
        };
        candidates.take(chosen, &request.resources);
        true
    }
}
