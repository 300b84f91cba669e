//! Prometheus metrics of the daemon.

use prometheus::{
    Encoder as _,
    Gauge,
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

use crate::outcome::Outcome;

/// Upper bounds of the histogram buckets of request durations, in seconds.
const DURATION_BUCKETS_S: [f64; 12] = [
    0.001, 0.0025, 0.005, 0.01, 0.025, 0.05, 0.1, 0.25, 0.5, 1.0, 5.0, 30.0,
];

/// All metrics of the daemon.
pub(crate) struct Metrics {
    registry: Registry,
    requests: IntCounterVec,
    durations: HistogramVec,
    /// Configuration revision in force.
    pub(crate) revision: IntGauge,
    /// Age of the proof that the known revision is current, in seconds.
    pub(crate) proof_age_s: Gauge,
    /// Authority mode: the current one is 1, the others are 0.
    pub(crate) authority: IntGaugeVec,
    /// Number of store calls since the start.
    pub(crate) store_calls: IntCounter,
    /// Credits of each team on this instance: allowed and in use.
    pub(crate) credits: IntGaugeVec,
    /// Number of requests in flight.
    pub(crate) in_flight: IntGauge,
}

/// Metrics of one queue, looked up once for each revision.
pub(crate) struct QueueMetrics {
    /// Answered, not run, failed and unknown, in this order.
    outcomes: [IntCounter; 4],
    duration: Histogram,
}

impl QueueMetrics {
    /// Counts a request that has ended, and its duration.
    pub(crate) fn observe(&self, outcome: &Outcome, elapsed_s: f64) {
        let index = match outcome {
            Outcome::Answered(_) => 0,
            Outcome::NotRun(_) => 1,
            Outcome::Failed(_) => 2,
            Outcome::Unknown(_) => 3,
        };
        self.outcomes[index].inc();
        self.duration.observe(elapsed_s);
    }
}

impl Metrics {
    /// Creates and registers all metrics.
    ///
    /// # Errors
    ///
    /// Returns an error if two metrics have the same name.
    pub(crate) fn new() -> Result<Self, prometheus::Error> {
        let metrics = Self {
            registry: Registry::new(),
            requests: IntCounterVec::new(
                Opts::new(
                    "dotterelsill_requests_total",
                    "Requests that have ended, by queue and outcome.",
                ),
                &["queue", "outcome"],
            )?,
            durations: HistogramVec::new(
                HistogramOpts::new(
                    "dotterelsill_request_duration_seconds",
                    "Time from the head of a request to its outcome, by queue.",
                )
                .buckets(DURATION_BUCKETS_S.to_vec()),
                &["queue"],
            )?,
            revision: IntGauge::new(
                "dotterelsill_revision_in_force",
                "Revision of the configuration in force.",
            )?,
            proof_age_s: Gauge::new(
                "dotterelsill_proof_age_seconds",
                "Age of the proof that the known revision is current.",
            )?,
            authority: IntGaugeVec::new(
                Opts::new(
                    "dotterelsill_authority_info",
                    "Authority of this incarnation: 1 for the current mode.",
                ),
                &["mode"],
            )?,
            store_calls: IntCounter::new(
                "dotterelsill_store_calls_total",
                "Calls of the platform's key-value service.",
            )?,
            credits: IntGaugeVec::new(
                Opts::new(
                    "dotterelsill_credits",
                    "Credits of a team's upper limit on this instance.",
                ),
                &["team", "state"],
            )?,
            in_flight: IntGauge::new(
                "dotterelsill_requests_in_flight",
                "Requests that have not ended.",
            )?,
        };
        metrics.register()?;
        Ok(metrics)
    }

    fn register(&self) -> Result<(), prometheus::Error> {
        let registry = &self.registry;
        registry.register(Box::new(self.requests.clone()))?;
        registry.register(Box::new(self.durations.clone()))?;
        registry.register(Box::new(self.revision.clone()))?;
        registry.register(Box::new(self.proof_age_s.clone()))?;
        registry.register(Box::new(self.authority.clone()))?;
        registry.register(Box::new(self.store_calls.clone()))?;
        registry.register(Box::new(self.credits.clone()))?;
        registry.register(Box::new(self.in_flight.clone()))
    }

    /// Returns the metrics of a queue.
    pub(crate) fn queue(&self, queue: &str) -> QueueMetrics {
        let outcomes = ["answered", "not_run", "failed", "unknown"]
            .map(|outcome| self.requests.with_label_values(&[queue, outcome]));
        QueueMetrics {
            outcomes,
            duration: self.durations.with_label_values(&[queue]),
        }
    }

    /// Returns all metrics in the Prometheus text format.
    pub(crate) fn encode(&self) -> Vec<u8> {
        let mut text = Vec::new();
        if let Err(error) = TextEncoder::new().encode(&self.registry.gather(), &mut text) {
            log::error!(error:%; "metrics_not_encoded");
        }
        text
    }
}
