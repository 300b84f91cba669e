//! When a scheduler leaves its work to an instance that gets more processor time.
//!
//! Load pattern: entry instances differ in size. A small one is elected when it
//! is the first to start or the large ones are away, and its work may outgrow
//! it; the large ones, once they are back, take over in order.

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

/// Least time for which an instance schedules: a takeover holds restored jobs
/// back for a part of a second.
const MIN_TERM: Duration = Duration::from_secs(2);

/// Time between two looks for a larger instance.
const CHECK_INTERVAL: Duration = Duration::from_secs(1);

/// Times that the least term is doubled at most: to 64 s.
const MAX_DOUBLINGS: u32 = 5;

/// Handovers of this process, each of which doubles its next least term, so that
/// an instance that takes over and fails is not given the work again and again.
#[derive(Default)]
pub(crate) struct Handovers(AtomicU32);

impl Handovers {
    /// Waits until a larger instance could take over; each return counts as a
    /// handover.
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
