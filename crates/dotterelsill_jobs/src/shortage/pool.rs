//! Divisions of the jobs that wait for the pools of a scheduler.

use std::{
    collections::HashMap,
    time::Duration, //
};

use super::{
    deferrals::Summary,
    divide,
    divide_by_time,
    throughput::Throughput,
    views::{
        millis,
        part_of, //
    },
    Division,
    JobOccurrence,
    Placing, //
};
use crate::{
    placement::Candidates,
    InstanceAction,
    Resources,
    Scheduler,
    Step, //
};

/// Minimum time between two divisions of a pool.
const DIVISION_INTERVAL: Duration = Duration::from_millis(100);

/// Time after the last sign of an arriving instance for which room counts as on its way:
/// a move, the registration of the worker and the first reading of its status.
const GROWTH_TIME: Duration = Duration::from_secs(3);

/// A job in a division.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Placed {
    pub(crate) placing: Placing,
    /// Time since which the job is deferred.
    pub(crate) deferred_since: Option<Duration>,
}

/// Order of a pool's jobs.
#[derive(Debug, Default)]
pub(crate) struct PoolShortage {
    divided_at: Option<Duration>,
    /// Classes of the jobs; empty while the waiting work fits into the free room.
    pub(crate) placed: HashMap<JobOccurrence, Placed>,
    capacity: Resources,
    /// Time until which room counts as on its way.
    grows_until: Duration,
    throughput: Throughput,
    summary: Summary,
}

impl Scheduler {
    /// Divides the jobs of a pool, unless that was done lately.
    pub(crate) fn divide_pool(&mut self, pool: &str, candidates: &Candidates, now: Duration) {
        let mut shortage = self.shortage.remove(pool).unwrap_or_default();
        let is_due = |at: Duration| now >= at + DIVISION_INTERVAL;
        if shortage.divided_at.is_none_or(is_due) {
            shortage.divided_at = Some(now);
            if self.fits_free_room(pool, candidates) {
                shortage.throughput.on_free_room();
                self.place(&mut shortage, &Division::new(), now);
            } else {
                self.divide_full_pool(pool, &mut shortage, candidates, now);
            }
        }
        self.shortage.insert(pool.to_owned(), shortage);
    }

    /// Ends the shortages of pools without waiting steps.
    pub(crate) fn end_shortages(&mut self, waiting: &[String], now: Duration) {
        let pools = self.shortage.iter();
        let pools =
            pools.filter(|(pool, shortage)| !shortage.placed.is_empty() && !waiting.contains(pool));
        let over: Vec<String> = pools.map(|(pool, _)| pool.clone()).collect();
        for pool in over {
            let mut shortage = self.shortage.remove(&pool).unwrap_or_default();
            shortage.throughput.on_free_room();
            self.place(&mut shortage, &Division::new(), now);
            self.shortage.insert(pool, shortage);
        }
    }

    /// Returns whether all ready tasks of a pool fit into the free resources.
    fn fits_free_room(&self, pool: &str, candidates: &Candidates) -> bool {
        let mut wanted = Resources::default();
        for id in self.ready.get(pool).into_iter().flatten() {
            let Some(job) = self.jobs.get(&id.job).filter(|job| job.is_open()) else {
                continue;
            };
            let step = &job.spec.steps[id.step as usize];
            let occurrence = job.occurrences.get(&id.occurrence);
            if let Some(occurrence) = occurrence.filter(|_| !step.is_lasting) {
                let waiting = occurrence.steps[id.step as usize].tasks.waiting();
                wanted.add(&step.counted_resources().times(waiting));
            }
        }
        let free = candidates.total_free();
        free.fits(&Resources::default(), &wanted)
    }

    fn divide_full_pool(
        &mut self,
        pool: &str,
        shortage: &mut PoolShortage,
        candidates: &Candidates,
        now: Duration,
    ) {
        shortage.capacity = self.finite_capacity(candidates);
        let rate = shortage.throughput.measure(now);
        let views = self.views(pool, candidates, &shortage.capacity, rate, now);
        if self.is_room_coming(pool, now) {
            shortage.grows_until = now + GROWTH_TIME;
        }
        let division = if now < shortage.grows_until {
            divide_by_time(&views.jobs, now)
        } else {
            divide(&views.jobs, views.room, &views.shares, now)
        };
        self.place(shortage, &division, now);
        shortage.summary.log(pool, &division, rate, now);
    }

    /// Returns whether instances are being moved to a pool, or not all of its workers were
    /// read since a takeover.
    fn is_room_coming(&self, pool: &str, now: Duration) -> bool {
        let mut ordered = self.instances.values().filter_map(|known| {
            let order = known.ordered.as_ref()?;
            match &order.action {
                InstanceAction::Move { pool } => Some(pool),
                InstanceAction::Maintain { .. } => None,
            }
        });
        ordered.any(|destination| destination == pool) || self.unread_workers_of(pool, now) > 0
    }

    /// Replaces the classes of a pool's jobs, and counts the deferred jobs.
    fn place(&mut self, shortage: &mut PoolShortage, division: &Division, now: Duration) {
        let earlier = std::mem::take(&mut shortage.placed);
        for (id, &placing) in division {
            let is_deferred = placing.class.is_deferred();
            let since = earlier.get(id).and_then(|placed| placed.deferred_since);
            let queue = self.jobs.get(&id.job).map(|job| &job.spec.queue);
            if let Some(queue) = queue.filter(|_| is_deferred && since.is_none()) {
                self.deferrals.on_deferred(queue, *id, placing);
            }
            let placed = Placed {
                placing,
                deferred_since: is_deferred.then_some(since.unwrap_or(now)),
            };
            shortage.placed.insert(*id, placed);
        }
        for (id, placed) in earlier {
            let is_deferred = |placed: &Placed| placed.deferred_since.is_some();
            if shortage.placed.get(&id).is_some_and(is_deferred) {
                continue;
            }
            if let (Some(job), Some(since)) = (self.jobs.get(&id.job), placed.deferred_since) {
                let took = now.saturating_sub(since);
                self.deferrals.on_over(&job.spec.queue, took);
            }
        }
    }

    /// Records that a task is started.
    pub(crate) fn note_start(&mut self, pool: &str, step: &Step) {
        if let Some(shortage) = self.shortage.get_mut(pool).filter(|_| !step.is_lasting) {
            let part = part_of(&step.counted_resources(), &shortage.capacity);
            shortage.throughput.on_start(part * millis(step.estimated));
        }
    }
}
