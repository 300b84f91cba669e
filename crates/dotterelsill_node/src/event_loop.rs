//! Watches how late this process runs its tasks.

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

/// Time between two samples: ten of them in a line, and few wake-ups beside the
/// scheduler's own each 50 ms.
const SAMPLE_INTERVAL: Duration = Duration::from_millis(100);

/// Time that one line sums up.
const PERIOD: Duration = Duration::from_secs(1);

/// Lateness above which a line is written: a seventh of the 700 ms within which a
/// worker answers an order.
const LATE_BOUND: Duration = Duration::from_millis(100);

/// Measures the lateness until the group stops.
pub(crate) async fn watch(lateness: Arc<Lateness>, metrics: Arc<Metrics>) {
    let mut began_at = clock::now();
    let mut used_at_begin = clock::processor_time();
    loop {
        lateness.set_due(clock::now() + SAMPLE_INTERVAL);
        Timer::after(SAMPLE_INTERVAL).await;
        let now = clock::now();
        metrics.on_loop_wake(lateness.on_wake(now));
        let passed = now.saturating_sub(began_at);
        if passed < PERIOD {
            continue;
        }
        let period = lateness.take_period();
        let used = clock::processor_time();
        metrics.on_loop_period(period.worst);
        if period.worst > LATE_BOUND {
            log::warn!(
                worst_ms = period.worst.as_millis() as u64,
                mean_ms = period.mean.as_millis() as u64, wakes = period.wakes,
                processor_ms = used.saturating_sub(used_at_begin).as_millis() as u64,
                passed_ms = passed.as_millis() as u64; "loop_late"
            );
        }
        (began_at, used_at_begin) = (now, used);
    }
}
