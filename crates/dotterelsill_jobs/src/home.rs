//! Choice of the home data centre of a new job.
//!
//! While a scheduler cannot reach some workers, it holds back only the jobs that
//! may be running on them; jobs with a home in another data centre continue.
//!
//! Load pattern: during a queue's burst, jobs arrive faster than one per
//! millisecond while many others wait. Free resources are therefore recounted only
//! after a while, and each new job is deducted from the count until then.

use std::{
    collections::BTreeMap,
    time::Duration, //
};

use dotterelsill_proto::jobs::JobRecord;

use crate::{
    Resources,
    Scheduler, //
};

/// Time for which a count of free resources is reused.
const COUNT_LIFETIME: Duration = Duration::from_millis(50);

/// Free processor time for new jobs in each data centre of a pool.
#[derive(Debug)]
pub(crate) struct FreeCpu {
    counted_at: Duration,
    /// Processor time beyond what waiting tasks need, in millicores; may be
    /// negative.
    free_milli: BTreeMap<String, i64>,
}

impl Scheduler {
    /// Sets the pool in the record of a new job, and the path of its queue if only the name
    /// is given. Neither is set while the queue is not configured.
    pub fn complete_queue(&self, record: &mut JobRecord) {
        let queue = self
            .configuration
            .queue_by(&record.queue, &record.queue_path);
        if let Some(queue) = queue {
            record.pool.clone_from(&queue.pool);
            record.queue_path = queue.path();
        }
    }

    /// Returns the home of a new job: the data centre with the most free processor
    /// time. Returns `None` if no worker of the pool accepts tasks.
    pub fn choose_home(&mut self, record: &JobRecord, now: Duration) -> Option<String> {
        let queue = self
            .configuration
            .queue_by(&record.queue, &record.queue_path)?;
        let pool = queue.pool.clone();
        let is_valid = |free: &FreeCpu| now < free.counted_at + COUNT_LIFETIME;
        if !self.free_cpu.get(&pool).is_some_and(is_valid) {
            let free = FreeCpu {
                counted_at: now,
                free_milli: self.count_free(&pool, now),
            };
            self.free_cpu.insert(pool.clone(), free);
        }
        let free_milli = &mut self.free_cpu.get_mut(&pool)?.free_milli;
        let (home, free) = free_milli.iter_mut().max_by_key(|(_, free)| **free)?;
        *free -= first_tasks_milli(record);
        Some(home.clone())
    }

    fn count_free(&self, pool: &str, now: Duration) -> BTreeMap<String, i64> {
        let mut free_by_data_centre: BTreeMap<String, i64> = BTreeMap::new();
        for candidate in self.candidates_of(pool, now).list() {
            let data_centre = &self.workers[&candidate.key].report.data_centre;
            let free = candidate.free.cpu_milli as i64;
            match free_by_data_centre.get_mut(data_centre) {
                Some(sum) => *sum += free,
                None => {
                    free_by_data_centre.insert(data_centre.clone(), free);
                }
            }
        }
        for id in self.ready.get(pool).into_iter().flatten() {
            let Some(job) = self.jobs.get(&id.job) else {
                continue;
            };
            let free = job
                .bound_to()
                .and_then(|home| free_by_data_centre.get_mut(home));
            let state = job.occurrences.get(&id.occurrence);
            if let (Some(free), Some(state)) = (free, state) {
                let waiting = state.steps[id.step as usize].tasks.waiting() as i64;
                let step = &job.spec.steps[id.step as usize];
                *free -= waiting * step.counted_resources().cpu_milli as i64;
            }
        }
        free_by_data_centre
    }
}

/// Returns the processor time, in millicores, of all tasks without dependencies.
fn first_tasks_milli(record: &JobRecord) -> i64 {
    let steps = record.steps.iter().filter(|step| step.after.is_empty());
    steps
        .filter(|step| !step.is_filler)
        .map(|step| {
            let resources = step.room.as_ref().map(Resources::from).unwrap_or_default();
            i64::from(step.count) * resources.cpu_milli as i64
        })
        .sum()
}
