//! Adapts admission to the upstreams that can be used.

use std::{
    sync::Arc,
    time::{
        Duration,
        Instant, //
    }, //
};

use async_io::Timer;

use crate::shared::Shared;

/// Time between two adaptations.
const INTERVAL: Duration = Duration::from_millis(50);

/// Adapts the number of slots of each service until the program stops.
pub(crate) async fn run(shared: Arc<Shared>) {
    loop {
        Timer::after(INTERVAL).await;
        let snapshot = shared.snapshot.load_full();
        snapshot.maintain(Instant::now());
        snapshot.start_waiting();
        shared.runs.expire(Instant::now());
    }
}
