//! Share at which filling tasks work beside serving ones.
//!
//! Load pattern: tasks that fill disturb the tail latency of tasks that serve on
//! the same worker, by amounts that change within seconds.

use crate::{
    Order,
    Scheduler,
    TaskId,
    WorkerKey, //
    WorkerOrder,
};

/// Part of a serving task's bound, in percent, above which what fills beside it
/// is slowed.
const SLOW_ABOVE_PERCENT: u32 = 85;

/// Part of the bound, in percent, below which what fills may work more.
const RAISE_BELOW_PERCENT: u32 = 60;

/// Step by which the share of a filling task is raised, in percentage points.
const RAISE_STEP_PERCENT: u32 = 25;

/// Share below which a filling task does not work at all, in percent.
const LEAST_PERCENT: u32 = 15;

/// Returns the share of a filling task after a look at the serving tasks;
/// `worst_percent` is the highest tail in percent of its bound.
pub(crate) fn next_share(share_percent: u32, worst_percent: u32) -> u32 {
    if worst_percent > 100 {
        let share = share_percent / 4;
        return if share < LEAST_PERCENT { 0 } else { share };
    }
    if worst_percent > SLOW_ABOVE_PERCENT {
        let share = share_percent / 2;
        return if share < LEAST_PERCENT { 0 } else { share };
    }
    if worst_percent < RAISE_BELOW_PERCENT {
        return (share_percent + RAISE_STEP_PERCENT).min(100);
    }
    share_percent
}

impl Scheduler {
    /// Sets the share of the filling tasks of a worker after a look at it.
    pub(crate) fn pace(&mut self, key: WorkerKey) {
        let Some(worker) = self.workers.get_mut(&key) else {
            return;
        };
        let part = |booked: &crate::worker::Booked| {
            let target = booked.target?;
            let percent = booked.tail.as_millis() * 100 / target.as_millis().max(1);
            Some(u32::try_from(percent).unwrap_or(u32::MAX))
        };
        let worst_percent = worker.booked.values().filter_map(part).max().unwrap_or(0);
        let mut paced: Vec<(TaskId, u32, u32)> = Vec::new();
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
