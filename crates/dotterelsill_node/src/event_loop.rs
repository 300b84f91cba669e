//! Measures how late the event loop runs its tasks.

use std::{
    sync::Arc,
    time::Duration, //
};

use async_io::Timer;
use dotterelsill_rpc::Lateness;

use crate::{
    clock,
    metrics::Metrics, //
};

/// Interval between samples: ten samples per report, and few wake-ups compared to
/// the scheduler's own tick of 50 ms.
const SAMPLE_INTERVAL: Duration = Duration::from_millis(100);

/// Period that one log line covers.
const REPORT_INTERVAL: Duration = Duration::from_secs(1);

/// Lateness above which a warning is logged: a seventh of the 700 ms within which
/// a worker answers an order.
const LATENESS_LOG_THRESHOLD: Duration = Duration::from_millis(100);

/// Samples the lateness and exports it as metrics until the task group stops.
pub(crate) async fn monitor(lateness: Arc<Lateness>, metrics: Arc<Metrics>) {
    let mut period_start = clock::now();
    let mut processor_time_at_start = clock::processor_time();
    loop {
        lateness.set_due(clock::now() + SAMPLE_INTERVAL);
        Timer::after(SAMPLE_INTERVAL).await;
        let now = clock::now();
        metrics.on_loop_wake(lateness.on_wake(now));
        let passed = now.saturating_sub(period_start);
        if passed < REPORT_INTERVAL {
            continue;
        }
        let period = lateness.take_period();
        let processor_time_used = clock::processor_time();
        metrics.on_loop_period(period.worst);
        if period.worst > LATENESS_LOG_THRESHOLD {
            log::warn!(
                worst_ms = period.worst.as_millis() as u64,
                mean_ms = period.mean.as_millis() as u64, wakes = period.wakes,
                processor_ms =
                    processor_time_used.saturating_sub(processor_time_at_start).as_millis() as u64,
                passed_ms = passed.as_millis() as u64; "loop_late"
            );
        }
        (period_start, processor_time_at_start) = (now, processor_time_used);
    }
}
