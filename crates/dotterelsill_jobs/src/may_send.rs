//! Whether an order may still be sent.
//!
//! An order may wait for a worker that does not answer, while the operators' requests,
//! the configuration and the worker change.

use std::time::Duration;

use crate::{
    given_up::GivenUpReason,
    job::{
        Job,
        Task, //
    },
    placement::may_be_sent_starts,
    worker::{
        BookedRun,
        Worker, //
    },
    Order,
    Resources,
    Scheduler,
    TaskId,
    WorkerKey, //
};

impl Scheduler {
    /// Returns whether an order still has to be sent.
    pub fn is_wanted(&self, key: WorkerKey, order: &Order) -> bool {
        let (task, attempt) = order.run();
        let Some(worker) = self.workers.get(&key) else {
            return false;
        };
        let booked = worker
            .booked
            .get(&task)
            .filter(|booked| booked.attempt == attempt);
        match order {
            Order::Start { .. } => booked.is_some_and(|booked| !booked.is_stopping),
            Order::Stop { .. } => {
                booked.is_some()
                    || worker.booked.contains_key(&task)
                    || worker.late_starts.contains(task, attempt)
            }
            Order::Pace { percent, .. } => {
                booked.is_some_and(|booked| booked.pace_percent == *percent)
            }
        }
    }

    /// Returns whether an order may be sent now. A start that may not is withdrawn, so
    /// that its task waits again: at once if the start was never sent, and otherwise once
    /// a stop has settled that the worker does not run it. Each sender asks this right
    /// before each try. `may_come_late` is set if the order was sent before and may still
    /// be executed.
    pub fn may_send(
        &mut self,
        key: WorkerKey,
        order: &Order,
        may_come_late: bool,
        now: Duration,
    ) -> bool {
        let Order::Start { task, attempt, .. } = order else {
            return self.is_wanted(key, order);
        };
        let Some(worker) = self.workers.get(&key) else {
            return false;
        };
        let booked = worker.booked.get(task);
        let Some(booked) = booked.filter(|booked| booked.attempt == *attempt) else {
            return false;
        };
        let reason = if booked.is_stopping {
            // The stop settles a start that was sent before.
            if may_come_late {
                return false;
            }
            "stopped"
        } else {
            match self.start_obstacle(worker, booked, *task, may_come_late, now) {
                Some(reason) => reason,
                None => return true,
            }
        };
        log::info!(
            task:%, attempt, worker = worker.report.id, may_come_late, reason; "start_withdrawn"
        );
        if may_come_late {
            self.stop(key, *task, *attempt);
            self.stop_rest_of_gang(*task, *attempt);
        } else {
            self.bind_start(key, *task, *attempt);
            self.lapse_start(key, *task, *attempt, GivenUpReason::StartWithdrawn, now);
        }
        false
    }

    /// Returns why a start may not be sent, for the logs: what the plan asks before it
    /// decides on a start, as far as it may have changed since.
    fn start_obstacle(
        &self,
        worker: &Worker,
        booked: &BookedRun,
        task: TaskId,
        may_come_late: bool,
        now: Duration,
    ) -> Option<&'static str> {
        // A start that may come late was sent with authority before.
        if booked.needs_authority && !self.has_authority && !may_come_late {
            return Some("no_authority");
        }
        // One that was sent before may have reached the present life, whose status shows
        // it. Until that is read, the start is not repeated either.
        let is_for_other_life = booked.life_since != worker.life.since;
        if is_for_other_life && (!may_come_late || worker.life.is_known) {
            return Some("other_life");
        }
        if !may_be_sent_starts(worker, &self.operator_requests, now) {
            return Some("worker_is_emptied");
        }
        let Some(job) = self.jobs.get(&task.step.job) else {
            return Some("job_unknown");
        };
        let queue = self.configuration.queue_of_job(&job.spec);
        let Some(queue) = queue.filter(|queue| queue.pool == worker.report.pool) else {
            return Some("queue_without_pool");
        };
        if !self.is_cap_kept(job, may_come_late) {
            return Some("limit");
        }
        let state = task_of(job, task)?;
        // The members of a gang are not stopped when an earlier run of it ends as done.
        if state.is_done {
            return Some("task_done");
        }
        let max_attempts = queue.max_attempts.max(1) as usize;
        (state.failed_attempts.len() >= max_attempts).then_some("attempts")
    }

    /// Returns whether a workspace is within its limit, its booked runs included.
    /// Possible runs on unread workers do not count against a start that was sent: if the
    /// worker runs it, stopping it would be of no use.
    fn is_cap_kept(&self, job: &Job, was_sent: bool) -> bool {
        let Some(name) = &job.spec.workspace else {
            return true;
        };
        let booked = self.usage.get(name).copied().unwrap_or_default();
        if was_sent {
            self.is_below_cap(name, &booked, &Resources::default())
        } else {
            self.is_within_cap(Some(name), &Resources::default())
        }
    }
}

fn task_of(job: &Job, task: TaskId) -> Option<&Task> {
    let occurrence = job.occurrences.get(&task.step.occurrence)?;
    let step = occurrence.steps.get(task.step.step as usize)?;
    step.tasks.get(task.index as usize)
}
