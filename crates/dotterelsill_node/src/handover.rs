//! Hands scheduling over to an instance with a larger CPU share.
//!
//! Entry instances differ in size. A small one is elected if it starts first or
//! the large ones are down, and the load may then exceed its capacity. Once a
//! large one is back, the small one hands scheduling over in order.

use std::{
    sync::atomic::{
        AtomicU32,
        Ordering, //
    },
    time::Duration, //
};

use async_io::Timer;

use crate::peers::{
    self,
    Peers, //
};

/// Minimum time that an instance schedules before it hands over, since each
/// takeover delays restored jobs by a fraction of a second.
const MIN_TERM: Duration = Duration::from_secs(2);

/// Interval between checks for a larger instance.
const CHECK_INTERVAL: Duration = Duration::from_secs(1);

/// Maximum number of times that the minimum term is doubled: up to 64 s.
const MAX_DOUBLINGS: u32 = 5;

/// Number of handovers by this process. Each one doubles its next minimum term, so
/// that scheduling is not repeatedly given to an instance that takes over and fails.
#[derive(Default)]
pub(crate) struct Handovers(AtomicU32);

impl Handovers {
    /// Waits for the minimum term, then until a larger instance could take over. Each
    /// return counts as a handover.
    pub(crate) async fn wait_for_larger(&self, peers: &Peers, processor_milli: u32) {
        let doublings = self.0.load(Ordering::Relaxed).min(MAX_DOUBLINGS);
        Timer::after(MIN_TERM * 2_u32.pow(doublings)).await;
        while !peers::has_larger(peers, processor_milli).await {
            Timer::after(CHECK_INTERVAL).await;
        }
        self.0.fetch_add(1, Ordering::Relaxed);
        log::info!(processor_milli; "scheduling_handed_over");
    }
}
