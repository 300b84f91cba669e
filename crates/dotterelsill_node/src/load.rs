//! Reports the scheduler's activity and backlog once a second.

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
use dotterelsill_jobs::PendingUnknown;
use dotterelsill_store::{
    CommitOutcome,
    OperationError, //
};

use crate::{
    clock,
    dispatch::{
        CallAnswer,
        CallFailure, //
    },
    leadership::Leadership,
    metrics::Metrics, //
};

/// Period that one log line covers.
const REPORT_INTERVAL: Duration = Duration::from_secs(1);

/// Time after which long-running tasks that wait are logged.
const LASTING_WAIT_THRESHOLD: Duration = Duration::from_secs(2);

/// Count or maximum since it was last taken.
#[derive(Debug, Default)]
struct Counter(AtomicU64);

impl Counter {
    fn add(&self, count: u64) {
        self.0.fetch_add(count, Ordering::Relaxed);
    }

    fn record_max(&self, value: u64) {
        self.0.fetch_max(value, Ordering::Relaxed);
    }

    fn take(&self) -> u64 {
        self.0.swap(0, Ordering::Relaxed)
    }
}

/// Activity of the scheduler since the last report.
#[derive(Debug, Default)]
pub(crate) struct Load {
    plans: Counter,
    plan_us: Counter,
    orders: Counter,
    orders_answered: Counter,
    status_responses: Counter,
    ends_listed: Counter,
    timeouts: Counter,
    call_failures: Counter,
    stores: Counter,
    stores_failed: Counter,
    store_worst_us: Counter,
    /// In the order of [`PendingUnknown::ALL`].
    pending_unknown: [Counter; PendingUnknown::ALL.len()],
}

impl Load {
    /// Counts a plan, its duration and the orders that it produced.
    pub(crate) fn on_plan(&self, took: Duration, orders: usize) {
        self.plans.add(1);
        self.plan_us.add(took.as_micros() as u64);
        self.orders.add(orders as u64);
    }

    /// Counts a status call that has ended.
    pub(crate) fn on_worker_status(&self, result: &Result<CallAnswer, CallFailure>) {
        match result {
            Ok(answer) => {
                self.status_responses.add(1);
                if let CallAnswer::Status(status) = answer {
                    self.ends_listed.add(status.ended.len() as u64);
                }
            }
            Err(failure) => self.on_call_failure(failure),
        }
    }

    /// Counts a call that sent an order.
    pub(crate) fn on_order(&self, result: &Result<CallAnswer, CallFailure>) {
        match result {
            Ok(_) => self.orders_answered.add(1),
            Err(failure) => self.on_call_failure(failure),
        }
    }

    fn on_call_failure(&self, failure: &CallFailure) {
        match failure.time_limit {
            Some(_) => self.timeouts.add(1),
            None => self.call_failures.add(1),
        }
    }

    /// Counts a transaction that stores jobs and progress.
    pub(crate) fn on_store(&self, took: Duration, result: &Result<CommitOutcome, OperationError>) {
        match result {
            Ok(_) => self.stores.add(1),
            Err(_) => self.stores_failed.add(1),
        }
        self.store_worst_us.record_max(took.as_micros() as u64);
    }

    /// Counts a request for the number of pending jobs, which is not known.
    pub(crate) fn on_pending_unknown(&self, reason: PendingUnknown) {
        self.pending_unknown[reason as usize].add(1);
    }

    /// Logs and counts the requests for the number of pending jobs that were refused since
    /// the last call.
    pub(crate) fn report_pending_unknown(&self, metrics: &Metrics) {
        for reason in PendingUnknown::ALL {
            let requests = self.pending_unknown[reason as usize].take();
            if requests > 0 {
                log::info!(reason = reason.name(), requests; "pending_unknown");
                metrics.on_pending_unknown(reason, requests);
            }
        }
    }
}

/// Logs the activity and the backlog each second, and counts unusual ends, until the
/// task group stops.
pub(crate) async fn report(leadership: Arc<Leadership>, metrics: Arc<Metrics>) {
    let mut period_start = clock::now();
    let mut processor_time_at_start = clock::processor_time();
    loop {
        Timer::after(REPORT_INTERVAL).await;
        let now = clock::now();
        let processor_time_used = clock::processor_time();
        let (backlog, held_back, waiting_lasting, end_counts, deferrals) = {
            let mut scheduler = leadership.scheduler();
            metrics.on_slow_runs(&scheduler.take_run_counts(), scheduler.slow_workers());
            let end_counts = scheduler.take_end_counts();
            let waiting_lasting = scheduler.waiting_lasting(LASTING_WAIT_THRESHOLD, now);
            let held_back = scheduler.held_back(now);
            (
                scheduler.backlog(now),
                held_back,
                waiting_lasting,
                end_counts,
                scheduler.take_deferral_counts(),
            )
        };
        metrics.on_ends(&end_counts);
        leadership.load.report_pending_unknown(&metrics);
        metrics.on_deferrals(&deferrals);
        let orders_queued: usize = leadership.handles().values().map(|h| h.orders.len()).sum();
        let submissions = leadership.submissions.lock().len();
        let (dispatchers, workers_dispatched) = leadership.dispatch.dispatchers().in_use();
        metrics.dispatched_workers.set(workers_dispatched as i64);
        let load = &leadership.load;
        log::info!(
            passed_ms = now.saturating_sub(period_start).as_millis() as u64,
            processor_ms =
                processor_time_used.saturating_sub(processor_time_at_start).as_millis() as u64,
            loop_late_ms = leadership.lateness.recent(now).as_millis() as u64,
            is_valid = leadership.is_valid(),
            open_jobs = backlog.open_jobs, ready_steps = backlog.ready_steps, runs = backlog.runs,
            plans = load.plans.take(), plan_ms = load.plan_us.take() / 1000,
            orders = load.orders.take(), orders_queued,
            orders_answered = load.orders_answered.take(),
            looks_answered = load.status_responses.take(), ends_listed = load.ends_listed.take(),
            timeouts = load.timeouts.take(), broken = load.call_failures.take(),
            workers = backlog.workers, workers_known = backlog.workers_known,
            workers_silent = backlog.workers_silent, workers_unread = backlog.workers_unread,
            dispatchers = dispatchers as u64, workers_dispatched = workers_dispatched as u64,
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
        for waiting in waiting_lasting {
            log::info!(
                job:% = waiting.step.job, occurrence = waiting.step.occurrence,
                step = waiting.step.step, tasks = waiting.tasks,
                longest_ms = waiting.longest.as_millis() as u64,
                cpu_milli = waiting.resources.cpu_milli, memory_mb = waiting.resources.memory_mb,
                pool = waiting.pool, usable_workers = waiting.usable_workers,
                reservable_workers = waiting.reservable_workers,
                cordoned_with_room = waiting.cordoned_with_room, reason = waiting.reason;
                "lasting_tasks_wait"
            );
        }
        (period_start, processor_time_at_start) = (now, processor_time_used);
    }
}
