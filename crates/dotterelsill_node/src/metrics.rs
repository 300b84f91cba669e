//! Counters and latency histograms in the Prometheus text format.

use std::{
    sync::{
        Mutex,
        PoisonError, //
    },
    time::Duration, //
};

use dotterelsill_jobs::{
    shortage::DeferralCounts,
    EndCounts,
    PendingUnknown,
    RunCounts,
    WaveProgress, //
};
use http::{
    Method,
    StatusCode, //
};
use prometheus::{
    CounterVec,
    Encoder as _,
    Gauge,
    GaugeVec,
    Histogram,
    HistogramOpts,
    HistogramVec,
    IntCounter,
    IntCounterVec,
    IntGauge,
    IntGaugeVec,
    Opts,
    Registry,
    TextEncoder, //
};

/// Upper bounds of the duration buckets, in seconds.
const DURATION_BUCKETS_S: [f64; 10] =
    [0.001, 0.0025, 0.005, 0.01, 0.025, 0.05, 0.1, 0.25, 1.0, 3.0];

/// Metrics of the daemon.
pub(crate) struct Metrics {
    registry: Registry,
    requests: IntCounterVec,
    durations: HistogramVec,
    store_calls: IntCounterVec,
    store_durations: HistogramVec,
    dispatched_calls: IntCounterVec,
    runs_given_up: IntCounterVec,
    jobs_deferred: IntCounterVec,
    deferred_time: CounterVec,
    unknown_job_ends: IntCounter,
    done_after_given_up: IntCounter,
    pending_unknown: IntCounterVec,
    copies_started: IntCounter,
    copies_ended_first: IntCounter,
    runs_moved: IntCounter,
    slow_workers: IntGauge,
    loop_lateness: Histogram,
    loop_lateness_worst: Gauge,
    /// Numbers of the waves that have gauges.
    waves: Mutex<Vec<u64>>,
    wave_instances_left: IntGaugeVec,
    wave_seconds_left: GaugeVec,
    /// Whether this instance schedules.
    pub(crate) is_scheduling: IntGauge,
    /// Number of workers that this instance, as the scheduler, calls over dispatchers.
    pub(crate) dispatched_workers: IntGauge,
}

impl Metrics {
    /// Creates and registers all metrics, counting from zero.
    pub(crate) fn new() -> Result<Self, prometheus::Error> {
        let durations = |name: &str, help: &str, label: &str| {
            let options = HistogramOpts::new(name, help).buckets(DURATION_BUCKETS_S.to_vec());
            HistogramVec::new(options, &[label])
        };
        let metrics = Self {
            registry: Registry::new(),
            requests: IntCounterVec::new(
                Opts::new("dotterelsill_requests_total", "Requests of callers"),
                &["method", "status"],
            )?,
            durations: durations(
                "dotterelsill_request_seconds",
                "Time until a caller was answered",
                "method",
            )?,
            store_calls: IntCounterVec::new(
                Opts::new("dotterelsill_store_calls_total", "Calls of the store"),
                &["way", "result"],
            )?,
            store_durations: durations(
                "dotterelsill_store_seconds",
                "Time until the store answered, without the wait of watches",
                "way",
            )?,
            dispatched_calls: IntCounterVec::new(
                Opts::new(
                    "dotterelsill_dispatched_calls_total",
                    "Calls to workers for a scheduler on another instance",
                ),
                &["result"],
            )?,
            runs_given_up: IntCounterVec::new(
                Opts::new(
                    "dotterelsill_runs_given_up_total",
                    "Runs that the scheduler gave up without an end of their own",
                ),
                &["reason"],
            )?,
            jobs_deferred: IntCounterVec::new(
                Opts::new(
                    "dotterelsill_jobs_deferred_total",
                    "Jobs that a shortage deferred, by what decided on it",
                ),
                &["queue", "term"],
            )?,
            deferred_time: CounterVec::new(
                Opts::new(
                    "dotterelsill_jobs_deferred_seconds_total",
                    "Time for which jobs were deferred by a shortage",
                ),
                &["queue"],
            )?,
            unknown_job_ends: IntCounter::new(
                "dotterelsill_unknown_job_ends_total",
                "Ends listed by workers of runs whose job the scheduler does not know",
            )?,
            done_after_given_up: IntCounter::new(
                "dotterelsill_done_after_given_up_total",
                "Ends `done` listed by workers of runs that the scheduler had given up",
            )?,
            pending_unknown: IntCounterVec::new(
                Opts::new(
                    "dotterelsill_pending_unknown_total",
                    "Requests for the number of pending jobs that the scheduler refused",
                ),
                &["reason"],
            )?,
            copies_started: IntCounter::new(
                "dotterelsill_copies_started_total",
                "Second runs that were started beside a slow run",
            )?,
            copies_ended_first: IntCounter::new(
                "dotterelsill_copies_ended_first_total",
                "Second runs that ended before the slow run of their task",
            )?,
            runs_moved: IntCounter::new(
                "dotterelsill_runs_moved_total",
                "Runs that were stopped on a slow worker to be started on another one",
            )?,
            slow_workers: IntGauge::new(
                "dotterelsill_slow_workers",
                "Workers on which runs are much slower than expected, on the scheduler",
            )?,
            loop_lateness: Histogram::with_opts(
                HistogramOpts::new(
                    "dotterelsill_loop_late_seconds",
                    "Time by which a sleeping task was woken late",
                )
                .buckets(DURATION_BUCKETS_S.to_vec()),
            )?,
            loop_lateness_worst: Gauge::new(
                "dotterelsill_loop_late_worst_seconds",
                "Longest time by which a sleeping task was woken late in the last second",
            )?,
            waves: Mutex::default(),
            wave_instances_left: IntGaugeVec::new(
                Opts::new(
                    "dotterelsill_wave_instances_left",
                    "Instances of a wave whose maintenance has not started",
                ),
                &["wave"],
            )?,
            wave_seconds_left: GaugeVec::new(
                Opts::new(
                    "dotterelsill_wave_seconds_left",
                    "Time until a wave must be over, 0 once it has passed",
                ),
                &["wave"],
            )?,
            is_scheduling: IntGauge::new(
                "dotterelsill_is_scheduling",
                "Whether this instance schedules",
            )?,
            dispatched_workers: IntGauge::new(
                "dotterelsill_dispatched_workers",
                "Workers that this instance, as the scheduler, calls over dispatchers",
            )?,
        };
        let registry = &metrics.registry;
        registry.register(Box::new(metrics.requests.clone()))?;
        registry.register(Box::new(metrics.durations.clone()))?;
        registry.register(Box::new(metrics.store_calls.clone()))?;
        registry.register(Box::new(metrics.store_durations.clone()))?;
        registry.register(Box::new(metrics.dispatched_calls.clone()))?;
        registry.register(Box::new(metrics.runs_given_up.clone()))?;
        registry.register(Box::new(metrics.jobs_deferred.clone()))?;
        registry.register(Box::new(metrics.deferred_time.clone()))?;
        registry.register(Box::new(metrics.unknown_job_ends.clone()))?;
        registry.register(Box::new(metrics.done_after_given_up.clone()))?;
        registry.register(Box::new(metrics.pending_unknown.clone()))?;
        registry.register(Box::new(metrics.copies_started.clone()))?;
        registry.register(Box::new(metrics.copies_ended_first.clone()))?;
        registry.register(Box::new(metrics.runs_moved.clone()))?;
        registry.register(Box::new(metrics.slow_workers.clone()))?;
        registry.register(Box::new(metrics.loop_lateness.clone()))?;
        registry.register(Box::new(metrics.loop_lateness_worst.clone()))?;
        registry.register(Box::new(metrics.wave_instances_left.clone()))?;
        registry.register(Box::new(metrics.wave_seconds_left.clone()))?;
        registry.register(Box::new(metrics.is_scheduling.clone()))?;
        registry.register(Box::new(metrics.dispatched_workers.clone()))?;
        Ok(metrics)
    }

    /// Records an answered request and its duration.
    pub(crate) fn on_request(&self, method: &Method, status: StatusCode, took: Duration) {
        let method = match *method {
            Method::GET => "get",
            Method::POST => "post",
            Method::DELETE => "delete",
            _ => "other",
        };
        self.requests
            .with_label_values(&[method, status.as_str()])
            .inc();
        self.durations
            .with_label_values(&[method])
            .observe(took.as_secs_f64());
    }

    /// Records a store call. Calls with a nonzero `waited`, the requested wait of a
    /// watch, are counted but left out of the durations.
    pub(crate) fn on_store_call(
        &self,
        route: &str,
        result: &str,
        took: Duration,
        waited: Duration,
    ) {
        self.store_calls.with_label_values(&[route, result]).inc();
        if waited.is_zero() {
            self.store_durations
                .with_label_values(&[route])
                .observe(took.as_secs_f64());
        }
    }

    /// Records a call to a worker for a scheduler on another instance. `result` is
    /// `answered`, `unanswered` or `not_made`.
    pub(crate) fn on_dispatched_call(&self, result: &str) {
        self.dispatched_calls.with_label_values(&[result]).inc();
    }

    /// Adds the unusual ends that the scheduler has counted.
    pub(crate) fn on_ends(&self, counts: &EndCounts) {
        for (reason, count) in &counts.given_up {
            self.runs_given_up
                .with_label_values(&[reason.name()])
                .inc_by(*count);
        }
        self.unknown_job_ends.inc_by(counts.of_unknown_jobs);
        self.done_after_given_up.inc_by(counts.done_after_given_up);
    }

    /// Adds requests for the number of pending jobs that the scheduler refused.
    pub(crate) fn on_pending_unknown(&self, reason: PendingUnknown, requests: u64) {
        self.pending_unknown
            .with_label_values(&[reason.name()])
            .inc_by(requests);
    }

    /// Sets the progress of the maintenance waves, and removes that of all others.
    pub(crate) fn on_waves(&self, waves: &[WaveProgress]) {
        let numbers: Vec<u64> = waves.iter().map(|wave| wave.number).collect();
        let mut shown = self.waves.lock().unwrap_or_else(PoisonError::into_inner);
        if *shown != numbers {
            self.wave_instances_left.reset();
            self.wave_seconds_left.reset();
            *shown = numbers;
        }
        for wave in waves {
            let number = wave.number.to_string();
            self.wave_instances_left
                .with_label_values(&[&number])
                .set(wave.instances_left as i64);
            self.wave_seconds_left
                .with_label_values(&[&number])
                .set(wave.time_left.as_secs_f64());
        }
    }

    /// Adds what the scheduler has done about slow runs, and sets the number of slow workers.
    pub(crate) fn on_slow_runs(&self, counts: &RunCounts, slow_workers: usize) {
        self.copies_started.inc_by(counts.copies_started);
        self.copies_ended_first.inc_by(counts.copies_ended_first);
        self.runs_moved.inc_by(counts.runs_moved);
        self.slow_workers.set(slow_workers as i64);
    }

    /// Adds the deferrals that the scheduler has counted.
    pub(crate) fn on_deferrals(&self, counts: &DeferralCounts) {
        for ((queue, term), count) in &counts.jobs {
            self.jobs_deferred
                .with_label_values(&[queue.as_str(), term.name()])
                .inc_by(*count);
        }
        for (queue, took) in &counts.deferred {
            self.deferred_time
                .with_label_values(&[queue.as_str()])
                .inc_by(took.as_secs_f64());
        }
    }

    /// Records by how much a sample of the event loop was late.
    pub(crate) fn on_loop_wake(&self, late: Duration) {
        self.loop_lateness.observe(late.as_secs_f64());
    }

    /// Sets the worst lateness of the event loop in the last second.
    pub(crate) fn on_loop_period(&self, worst: Duration) {
        self.loop_lateness_worst.set(worst.as_secs_f64());
    }

    /// Encodes all metrics in the Prometheus text format.
    pub(crate) fn encode(&self) -> Vec<u8> {
        let mut text = Vec::new();
        if let Err(error) = TextEncoder::new().encode(&self.registry.gather(), &mut text) {
            log::error!(error:%; "metrics_not_encoded");
        }
        text
    }
}
