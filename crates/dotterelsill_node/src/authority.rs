//! Whether this instance still holds the scheduler's lease.

use std::{
    sync::atomic::{
        AtomicBool,
        AtomicU64,
        Ordering, //
    },
    time::Duration, //
};

use event_listener::Event;

/// Part of the lease that is left out of account for the drift of clocks.
const CLOCK_DRIFT_DIVISOR: u32 = 50;

/// Time after the last renewal for which a scheduler counts as connected: two
/// renewals and the time of one call.
const MAX_RENEWAL_AGE: Duration = Duration::from_millis(1200);

/// Authority of one scheduler.
#[derive(Default)]
pub(crate) struct Authority {
    /// Time up to which the lease surely lives, in microseconds since the start
    /// of the machine.
    valid_until_us: AtomicU64,
    /// Time of the last renewal, in microseconds since the start of the machine.
    renewed_us: AtomicU64,
    is_lost: AtomicBool,
    lost: Event,
}

impl Authority {
    /// Notes a renewal that was answered; the lease runs from its arrival, which
    /// is not before it was sent.
    pub(crate) fn on_renewed(&self, sent_at: Duration, ttl: Duration) {
        let until = sent_at + ttl - ttl / CLOCK_DRIFT_DIVISOR;
        self.valid_until_us
            .fetch_max(until.as_micros() as u64, Ordering::SeqCst);
        self.renewed_us
            .fetch_max(sent_at.as_micros() as u64, Ordering::SeqCst);
    }

    /// Returns whether the lease was renewed lately, so that callers are best
    /// served here.
    pub(crate) fn is_recently_renewed(&self, now: Duration) -> bool {
        let renewed = Duration::from_micros(self.renewed_us.load(Ordering::SeqCst));
        self.is_valid(now) && now < renewed + MAX_RENEWAL_AGE
    }

    /// Returns whether no other scheduler can exist.
    pub(crate) fn is_valid(&self, now: Duration) -> bool {
        !self.is_lost() && now.as_micros() < self.valid_until_us.load(Ordering::SeqCst).into()
    }

    /// Notes that the lease has ended, or that another scheduler was seen.
    pub(crate) fn mark_lost(&self, reason: &str) {
        if !self.is_lost.swap(true, Ordering::SeqCst) {
            log::warn!(reason; "authority_lost");
        }
        self.lost.notify(usize::MAX);
    }

    pub(crate) fn is_lost(&self) -> bool {
        self.is_lost.load(Ordering::SeqCst)
    }

    /// Waits until the authority is lost.
    pub(crate) async fn lost(&self) {
        loop {
            let listener = self.lost.listen();
            if self.is_lost() {
                return;
            }
            listener.await;
        }
    }
}
