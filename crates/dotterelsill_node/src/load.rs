//! What the scheduler did in each second, and what it has still to do.

use std::{
    sync::{
        atomic::{
            AtomicU64,
            Ordering, //
        },
        Arc, //
    },
    time::Duration, //
};

use async_io::Timer;
use dotterelsill_jobs::{
    Answer,
    WorkerStatus, //
};
use dotterelsill_platform::CallError;
use dotterelsill_store::{
    CommitOutcome,
    OperationError, //
};

use crate::{
    clock,
    lead::Lead, //
};

/// Time that one line sums up.
const PERIOD: Duration = Duration::from_secs(1);

/// Events since they were taken last.
#[derive(Debug, Default)]
struct Counter(AtomicU64);

impl Counter {
    fn add(&self, count: u64) {
        self.0.fetch_add(count, Ordering::Relaxed);
    }

    fn note_worst(&self, value: u64) {
        self.0.fetch_max(value, Ordering::Relaxed);
    }

    fn take(&self) -> u64 {
        self.0.swap(0, Ordering::Relaxed)
    }
}

/// Counts what the scheduler does.
#[derive(Debug, Default)]
pub(crate) struct Load {
    plans: Counter,
    plan_us: Counter,
    orders: Counter,
    orders_answered: Counter,
    looks_answered: Counter,
    ends_listed: Counter,
    timeouts: Counter,
    broken: Counter,
    stores: Counter,
    stores_failed: Counter,
    store_worst_us: Counter,
}

impl Load {
    /// Counts a plan with the orders that it gave.
    pub(crate) fn on_plan(&self, took: Duration, orders: usize) {
        self.plans.add(1);
        self.plan_us.add(took.as_micros() as u64);
        self.orders.add(orders as u64);
    }

    /// Counts a look that has ended.
    pub(crate) fn on_worker_status(
        &self,
        result: &Result<Result<WorkerStatus, Answer>, CallError>,
    ) {
        match result {
            Ok(answer) => {
                self.looks_answered.add(1);
                let ends = answer.as_ref().map_or(0, |look| look.ended.len());
                self.ends_listed.add(ends as u64);
            }
            Err(error) => self.on_error(error),
        }
    }

    /// Counts an order that was sent.
    pub(crate) fn on_order(&self, result: &Result<Answer, CallError>) {
        match result {
            Ok(_) => self.orders_answered.add(1),
            Err(error) => self.on_error(error),
        }
    }

    fn on_error(&self, error: &CallError) {
        match error.limit() {
            Some(_) => self.timeouts.add(1),
            None => self.broken.add(1),
        }
    }

    /// Counts a transaction of jobs and progress.
    pub(crate) fn on_store(&self, took: Duration, result: &Result<CommitOutcome, OperationError>) {
        match result {
            Ok(_) => self.stores.add(1),
            Err(_) => self.stores_failed.add(1),
        }
        self.store_worst_us.note_worst(took.as_micros() as u64);
    }
}

/// Logs each second what was done and what waits, until the group stops.
pub(crate) async fn report(lead: Arc<Lead>) {
    let mut began_at = clock::now();
    let mut used_at_begin = clock::processor_time();
    loop {
        Timer::after(PERIOD).await;
        let now = clock::now();
        let used = clock::processor_time();
        let (backlog, held_back) = {
            let scheduler = lead.scheduler();
            (scheduler.backlog(now), scheduler.held_back(now))
        };
        let orders_queued: usize = lead.handles().values().map(|h| h.orders.len()).sum();
        let submissions = lead.submissions.lock().len();
        let load = &lead.load;
        log::info!(
            passed_ms = now.saturating_sub(began_at).as_millis() as u64,
            processor_ms = used.saturating_sub(used_at_begin).as_millis() as u64,
            loop_late_ms = lead.lateness.recent(now).as_millis() as u64,
            is_valid = lead.is_valid(),
            open_jobs = backlog.open_jobs, ready_steps = backlog.ready_steps, runs = backlog.runs,
            plans = load.plans.take(), plan_ms = load.plan_us.take() / 1000,
            orders = load.orders.take(), orders_queued,
            orders_answered = load.orders_answered.take(),
            looks_answered = load.looks_answered.take(), ends_listed = load.ends_listed.take(),
            timeouts = load.timeouts.take(), broken = load.broken.take(),
            workers = backlog.workers, workers_known = backlog.workers_known,
            workers_silent = backlog.workers_silent, workers_unread = backlog.workers_unread,
            submissions, unstored = backlog.unstored,
            oldest_unstored_ms = backlog.oldest_unstored.as_millis() as u64,
            stores = load.stores.take(), stores_failed = load.stores_failed.take(),
            store_worst_ms = load.store_worst_us.take() / 1000;
            "scheduling_load"
        );
        for held in held_back {
            log::info!(
                pool = held.pool, reason:? = held.reason, steps = held.steps,
                oldest_age_ms = held.oldest.as_millis() as u64,
                usable_workers = held.usable_workers, unread_workers = held.unread_workers;
                "steps_held_back"
            );
        }
        (began_at, used_at_begin) = (now, used);
    }
}
