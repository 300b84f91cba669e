//! Periodic maintenance of admission: capacity, deadlines and stored answers.

use std::{
    sync::Arc,
    time::{
        Duration,
        Instant, //
    }, //
};

use async_io::Timer;

use crate::shared::Shared;

/// Time between two rounds of maintenance.
const INTERVAL: Duration = Duration::from_millis(50);

/// Adjusts the number of slots of each service to its usable upstreams, and drops
/// expired requests and answers, until shutdown.
pub(crate) async fn run(shared: Arc<Shared>) {
    loop {
        Timer::after(INTERVAL).await;
        let snapshot = shared.snapshot.load_full();
        snapshot.maintain(Instant::now());
        snapshot.start_waiting();
        shared.runs.expire(Instant::now());
    }
}
