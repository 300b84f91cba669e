//! Outcome counts and latency histogram.

use std::{
    collections::BTreeMap,
    fmt,
    time::Duration, //
};

use hdrhistogram::Histogram;

/// Maximum latency of the histogram, in microseconds; longer ones count as this.
const MAX_LATENCY_US: u64 = 120_000_000;

/// Outcomes and latencies of one connection or of a whole run.
pub(crate) struct Report {
    outcomes: BTreeMap<String, u64>,
    latency_us: Histogram<u64>,
    elapsed: Duration,
}

impl Report {
    /// Creates an empty report.
    pub(crate) fn new() -> Self {
        Self {
            outcomes: BTreeMap::new(),
            latency_us: Histogram::new_with_bounds(1, MAX_LATENCY_US, 3)
                .expect("the bounds and the precision are valid"),
            elapsed: Duration::ZERO,
        }
    }

    /// Adds one request; only the latencies of answered requests are recorded.
    pub(crate) fn add(&mut self, outcome: &str, latency: Duration) {
        *self.outcomes.entry(outcome.to_owned()).or_default() += 1;
        if outcome == "answered" {
            self.latency_us
                .saturating_record(latency.as_micros() as u64);
        }
    }

    /// Adds the requests of another report.
    pub(crate) fn merge(&mut self, other: &Report) {
        for (outcome, count) in &other.outcomes {
            *self.outcomes.entry(outcome.clone()).or_default() += count;
        }
        self.latency_us += &other.latency_us;
    }

    /// Sets the duration of the run.
    pub(crate) fn set_elapsed(&mut self, elapsed: Duration) {
        self.elapsed = elapsed;
    }

    /// Returns the number of answered requests.
    pub(crate) fn answered(&self) -> u64 {
        self.latency_us.len()
    }
}

impl fmt::Display for Report {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let quantile_us = |q| self.latency_us.value_at_quantile(q);
        let elapsed_s = self.elapsed.as_secs_f64();
        write!(
            f,
            "elapsed_s={elapsed_s:.2} answered_per_s={:.0} p50_us={} p99_us={} p999_us={} max_us={}",
            self.answered() as f64 / elapsed_s,
            quantile_us(0.5),
            quantile_us(0.99),
            quantile_us(0.999),
            self.latency_us.max(),
        )?;
        for (outcome, count) in &self.outcomes {
            write!(f, " {outcome}={count}")?;
        }
        Ok(())
    }
}
