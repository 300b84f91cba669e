//! Throttling of filler tasks next to serving tasks.
//!
//! Load pattern: filler tasks increase the tail latency of serving tasks on the
//! same worker, by amounts that change within seconds.

use crate::{
    Order,
    Scheduler,
    TaskId,
    WorkerKey,
    WorkerOrder, //
};

/// Tail latency, in percent of a serving task's target, above which fillers on the
/// same worker are slowed down.
const SLOW_ABOVE_PERCENT: u32 = 85;

/// Tail latency, in percent of the target, below which fillers may do more work.
const RAISE_BELOW_PERCENT: u32 = 60;

/// Increment by which the share of a filler task is raised, in percentage points.
const RAISE_STEP_PERCENT: u32 = 25;

/// Share, in percent, below which a filler task is paused.
const MIN_PERCENT: u32 = 15;

/// Returns the new share of a filler task. `worst_percent` is the highest tail
/// latency on the worker, in percent of its target.
pub(crate) fn next_share(share_percent: u32, worst_percent: u32) -> u32 {
    if worst_percent > 100 {
        let share = share_percent / 4;
        return if share < MIN_PERCENT { 0 } else { share };
    }
    if worst_percent > SLOW_ABOVE_PERCENT {
        let share = share_percent / 2;
        return if share < MIN_PERCENT { 0 } else { share };
    }
    if worst_percent < RAISE_BELOW_PERCENT {
        return (share_percent + RAISE_STEP_PERCENT).min(100);
    }
    share_percent
}

impl Scheduler {
    /// Adjusts the shares of a worker's filler tasks to its latest status.
    pub(crate) fn pace_fillers(&mut self, key: WorkerKey) {
        let Some(worker) = self.workers.get_mut(&key) else {
            return;
        };
        let part = |booked: &crate::worker::BookedRun| {
            let target = booked.target?;
            let percent = booked.tail_latency.as_millis() * 100 / target.as_millis().max(1);
            Some(u32::try_from(percent).unwrap_or(u32::MAX))
        };
        let worst_percent = worker.booked.values().filter_map(part).max().unwrap_or(0);
        let mut paced: Vec<(TaskId, u64, u32)> = Vec::new();
        for (task, booked) in &mut worker.booked {
            if !booked.is_filler || booked.confirmed_at.is_none() || booked.is_stopping {
                continue;
            }
            let percent = next_share(booked.pace_percent, worst_percent);
            if percent != booked.pace_percent {
                booked.pace_percent = percent;
                paced.push((*task, booked.attempt, percent));
            }
        }
        for (task, attempt, percent) in paced {
            log::info!(
                task:%, attempt, percent, worst_percent, worker = key.0; "filler_paced"
            );
            self.orders.push(WorkerOrder {
                worker: key,
                order: Order::Pace {
                    task,
                    attempt,
                    percent,
                },
            });
        }
    }
}
