//! Starts that were not answered and that a later life of their worker may carry out.
//!
//! A start for a worker that closes each connection reaches whichever life answers at its
//! address, seconds later at the most. A life in which the run has ended or was stopped
//! refuses it, but the next one knows nothing of that. So each later life is told to stop the
//! run, also when the run has ended, until the start can no longer be carried out.

use std::{
    collections::BTreeMap,
    time::Duration, //
};

use crate::{
    life::PendingEnd,
    worker::Worker,
    Order,
    Scheduler,
    TaskId,
    WorkerKey,
    WorkerOrder, //
};

/// Maximum number of ends that a worker may list for which the acknowledgement waits until a
/// start can no longer come: a worker with more would not list all of its ends.
const MAX_HELD_ENDS: usize = 100;

/// What is known of a start.
#[derive(Clone, Copy, Debug)]
struct LateStart {
    /// Time until which it may be carried out.
    until: Duration,
    /// Time of the last answer that shows that the life which gave it refuses the start.
    settled_at: Duration,
    /// Whether a stop was ordered and is not answered.
    is_stop_ordered: bool,
}

/// Starts of runs on one worker, by task and attempt.
#[derive(Debug, Default)]
pub(crate) struct LateStarts(BTreeMap<(TaskId, u64), LateStart>);

impl LateStarts {
    pub(crate) fn is_empty(&self) -> bool {
        self.0.is_empty()
    }

    pub(crate) fn contains(&self, task: TaskId, attempt: u64) -> bool {
        self.0.contains_key(&(task, attempt))
    }

    /// Adds a start that may be carried out until a time, except by the life that has
    /// answered at `settled_at`.
    pub(crate) fn add(
        &mut self,
        task: TaskId,
        attempt: u64,
        until: Duration,
        settled_at: Duration,
    ) {
        let start = LateStart {
            until,
            settled_at,
            is_stop_ordered: false,
        };
        let known = self.0.entry((task, attempt)).or_insert(start);
        known.until = known.until.max(until);
        known.settled_at = known.settled_at.max(settled_at);
    }

    /// Handles that the worker has answered a stop, and now refuses the start.
    pub(crate) fn on_stopped(&mut self, task: TaskId, attempt: u64, now: Duration) {
        if let Some(start) = self.0.get_mut(&(task, attempt)) {
            start.settled_at = now;
            start.is_stop_ordered = false;
        }
    }

    /// Returns the runs to stop, since a life may be there that began after `since`.
    fn take_unsettled(&mut self, since: Duration) -> Vec<(TaskId, u64)> {
        let is_unsettled = |start: &LateStart| !start.is_stop_ordered && start.settled_at <= since;
        let unsettled = self.0.iter_mut().filter(|(_, start)| is_unsettled(start));
        let order = |(&run, start): (&(TaskId, u64), &mut LateStart)| {
            start.is_stop_ordered = true;
            run
        };
        unsettled.map(order).collect()
    }

    /// Drops the starts that can no longer be carried out; returns whether there were any.
    fn expire(&mut self, now: Duration) -> bool {
        let before = self.0.len();
        self.0.retain(|_, start| now < start.until);
        self.0.len() < before
    }
}

impl Scheduler {
    /// Orders the stops that settle late starts with the present life of a worker, or with
    /// the one that may follow it while the worker is silent.
    pub(crate) fn settle_late_starts(&mut self, key: WorkerKey) {
        let Some(worker) = self.workers.get_mut(&key) else {
            return;
        };
        if worker.late_starts.is_empty() {
            return;
        }
        let since = worker
            .life
            .since
            .max(worker.silent_since().unwrap_or_default());
        let unsettled = worker.late_starts.take_unsettled(since);
        for (task, attempt) in unsettled {
            log::info!(task:%, attempt, worker = worker.report.id; "late_start_settled");
            self.orders.push(WorkerOrder {
                worker: key,
                order: Order::Stop { task, attempt },
            });
        }
    }

    /// Returns whether a later life of a worker may begin a task again whose run has ended.
    /// The end is not acknowledged until then, unless too many wait for it.
    pub(crate) fn may_begin_again(&self, worker: &Worker, end: &PendingEnd) -> bool {
        let (task, attempt) = end.run;
        let job = self.jobs.get(&end.job);
        let is_of_earlier_scheduler =
            !self.earlier_starts_until.is_zero() && job.is_some_and(|job| job.is_restored);
        (worker.late_starts.contains(task, attempt) || is_of_earlier_scheduler)
            && worker.life.pending_ends.len() <= MAX_HELD_ENDS
    }

    /// Drops the late starts of all workers that can no longer be carried out, and
    /// acknowledges the ends that waited for it.
    pub(crate) fn expire_late_starts(&mut self, now: Duration) {
        let are_earlier_over =
            !self.earlier_starts_until.is_zero() && now >= self.earlier_starts_until;
        if are_earlier_over {
            self.earlier_starts_until = Duration::ZERO;
        }
        let mut expired = Vec::new();
        for (&key, worker) in &mut self.workers {
            worker.has_unbound_starts &= now < worker.unknown_until;
            let has_expired = !worker.late_starts.is_empty() && worker.late_starts.expire(now);
            if has_expired || are_earlier_over && !worker.life.pending_ends.is_empty() {
                expired.push(key);
            }
        }
        for key in expired {
            self.acknowledge_stored(key);
        }
    }
}
